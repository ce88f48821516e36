#pragma once

#include "keyvaluestore.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace PrimroseBridge::Standin {

/// Standard base64 without line breaks. Thread-safe.
std::string encodeBase64(const std::string &bytes);
/// Inverse of encodeBase64(); throws Poco::DataFormatException if malformed. Thread-safe.
std::string decodeBase64(const std::string &text);

/// The field @p snakeName, in snake_case or camelCase; null if absent. Thread-safe.
nlohmann::json field(const nlohmann::json &object, const std::string &snakeName);
/// An int64 field as a string or a number; 0 if absent. Thread-safe.
std::int64_t integerField(const nlohmann::json &object, const std::string &snakeName);

/// The messages of the etcd v3 gateway. The decoders throw nlohmann::json::exception, Poco::DataFormatException or
/// std::logic_error on malformed input. Fields with default values are left out, as the gateway does. Thread-safe.
ReadOperation decodeRead(const nlohmann::json &message);
KeyRange decodeKeyRange(const nlohmann::json &message);
TransactionRequest decodeTransaction(const nlohmann::json &message);
nlohmann::json encodeHeader(std::int64_t revision);
nlohmann::json encodeRead(const std::vector<StoredKeyPointer> &keys, std::int64_t count, std::int64_t limit, std::int64_t revision);
nlohmann::json encodeTransaction(const TransactionAnswer &answer);
nlohmann::json encodeEvents(const EventBatch &batch);
nlohmann::json encodeError(const Error &error);

} // namespace PrimroseBridge::Standin
