#include "storejson.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>

#include <cctype>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace PrimroseBridge::Standin {

using Json = nlohmann::json;

namespace {

std::string camelCase(const std::string &snakeName)
{
    std::string name;
    bool raise = false;
    for (const char letter : snakeName) {
        if (letter == '_') {
            raise = true;
            continue;
        }
        name += raise ? static_cast<char>(std::toupper(static_cast<unsigned char>(letter))) : letter;
        raise = false;
    }
    return name;
}

std::string textField(const Json &object, const std::string &snakeName, const std::string &fallback)
{
    const Json value = field(object, snakeName);
    return value.is_null() ? fallback : value.get<std::string>();
}

std::string bytesField(const Json &object, const std::string &snakeName)
{
    return decodeBase64(textField(object, snakeName, ""));
}

ComparisonTarget decodeTarget(const std::string &name)
{
    if (name == "VERSION") {
        return ComparisonTarget::Version;
    }
    if (name == "CREATE") {
        return ComparisonTarget::Create;
    }
    if (name == "MOD") {
        return ComparisonTarget::Mod;
    }
    if (name == "VALUE") {
        return ComparisonTarget::Value;
    }
    throw std::invalid_argument("compare target '" + name + "' is not supported");
}

ComparisonResult decodeResult(const std::string &name)
{
    if (name == "EQUAL") {
        return ComparisonResult::Equal;
    }
    if (name == "GREATER") {
        return ComparisonResult::Greater;
    }
    if (name == "LESS") {
        return ComparisonResult::Less;
    }
    if (name == "NOT_EQUAL") {
        return ComparisonResult::NotEqual;
    }
    throw std::invalid_argument("compare result '" + name + "' is not supported");
}

const char *numberFieldName(ComparisonTarget target)
{
    switch (target) {
    case ComparisonTarget::Version:
        return "version";
    case ComparisonTarget::Create:
        return "create_revision";
    default:
        return "mod_revision";
    }
}

Comparison decodeComparison(const Json &message)
{
    const auto target = decodeTarget(textField(message, "target", "VERSION"));
    const auto result = decodeResult(textField(message, "result", "EQUAL"));
    const auto key = bytesField(message, "key");
    if (target == ComparisonTarget::Value) {
        return {key, target, result, 0, bytesField(message, "value")};
    }
    return {key, target, result, integerField(message, numberFieldName(target)), ""};
}

Operation decodeOperation(const Json &message)
{
    if (const Json put = field(message, "request_put"); !put.is_null()) {
        return PutOperation{bytesField(put, "key"), bytesField(put, "value"), integerField(put, "lease")};
    }
    if (const Json deletion = field(message, "request_delete_range"); !deletion.is_null()) {
        return DeleteOperation{decodeKeyRange(deletion)};
    }
    if (const Json read = field(message, "request_range"); !read.is_null()) {
        return decodeRead(read);
    }
    throw std::invalid_argument("an operation must be request_put, request_delete_range or request_range");
}

std::vector<Operation> decodeOperations(const Json &message)
{
    std::vector<Operation> operations;
    for (const auto &operation : message) {
        operations.push_back(decodeOperation(operation));
    }
    return operations;
}

void addNumber(Json &object, const char *name, std::int64_t number)
{
    if (number != 0) {
        object[name] = std::to_string(number);
    }
}

Json encodeKey(const StoredKey &key)
{
    Json message = {{"key", encodeBase64(key.m_key)}};
    addNumber(message, "create_revision", key.m_createRevision);
    addNumber(message, "mod_revision", key.m_modRevision);
    addNumber(message, "version", key.m_version);
    addNumber(message, "lease", key.m_lease);
    if (!key.m_value.empty()) {
        message["value"] = encodeBase64(key.m_value);
    }
    return message;
}

Json encodeAnswer(const OperationAnswer &answer, std::int64_t revision)
{
    switch (answer.m_operation) {
    case 0:
        return {{"response_range", encodeRead(answer.m_keys, answer.m_count, 0, revision)}};
    case 1:
        return {{"response_put", {{"header", encodeHeader(revision)}}}};
    default:
        break;
    }
    Json deletion = {{"header", encodeHeader(revision)}};
    addNumber(deletion, "deleted", answer.m_count);
    return {{"response_delete_range", deletion}};
}

// The codes of gRPC, as the gateway puts them into error bodies.
int statusCode(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::NotFound:
        return 5;
    case ErrorKind::Unavailable:
        return 14;
    default:
        return 3;
    }
}

} // namespace

std::string encodeBase64(const std::string &bytes)
{
    std::ostringstream stream;
    Poco::Base64Encoder encoder(stream);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return stream.str();
}

std::string decodeBase64(const std::string &text)
{
    std::istringstream stream(text);
    Poco::Base64Decoder decoder(stream);
    return {std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>()};
}

Json field(const Json &object, const std::string &snakeName)
{
    if (const auto found = object.find(snakeName); found != object.end()) {
        return *found;
    }
    const auto found = object.find(camelCase(snakeName));
    return found == object.end() ? Json() : *found;
}

std::int64_t integerField(const Json &object, const std::string &snakeName)
{
    const Json value = field(object, snakeName);
    if (value.is_null()) {
        return 0;
    }
    return value.is_string() ? std::stoll(value.get<std::string>()) : value.get<std::int64_t>();
}

KeyRange decodeKeyRange(const Json &message)
{
    return {bytesField(message, "key"), bytesField(message, "range_end")};
}

ReadOperation decodeRead(const Json &message)
{
    return {decodeKeyRange(message), integerField(message, "limit")};
}

TransactionRequest decodeTransaction(const Json &message)
{
    std::vector<Comparison> comparisons;
    for (const auto &comparison : field(message, "compare")) {
        comparisons.push_back(decodeComparison(comparison));
    }
    return {std::move(comparisons), decodeOperations(field(message, "success")), decodeOperations(field(message, "failure"))};
}

Json encodeHeader(std::int64_t revision)
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(revision)}, {"raft_term", "1"}};
}

Json encodeRead(const std::vector<StoredKeyPointer> &keys, std::int64_t count, std::int64_t limit, std::int64_t revision)
{
    Json message = {{"header", encodeHeader(revision)}};
    for (const auto &key : keys) {
        message["kvs"].push_back(encodeKey(*key));
    }
    addNumber(message, "count", count);
    if (limit > 0 && count > limit) {
        message["more"] = true;
    }
    return message;
}

Json encodeTransaction(const TransactionAnswer &answer)
{
    Json message = {{"header", encodeHeader(answer.m_revision)}};
    if (answer.m_succeeded) {
        message["succeeded"] = true;
    }
    for (const auto &one : answer.m_answers) {
        message["responses"].push_back(encodeAnswer(one, answer.m_revision));
    }
    return message;
}

Json encodeEvents(const EventBatch &batch)
{
    Json result = {{"header", encodeHeader(batch.m_revision)}, {"watch_id", "0"}};
    if (batch.m_compactedRevision > 0) {
        result["canceled"] = true;
        result["compact_revision"] = std::to_string(batch.m_compactedRevision);
    }
    for (const auto &event : batch.m_events) {
        Json message = {{"kv", encodeKey(*event.m_key)}};
        if (event.m_deleted) {
            message["type"] = "DELETE";
        }
        result["events"].push_back(message);
    }
    return {{"result", result}};
}

Json encodeError(const Error &error)
{
    const int code = statusCode(error.kind());
    return {{"error", error.message()}, {"code", code}, {"message", error.message()}};
}

} // namespace PrimroseBridge::Standin
