#pragma once

#include "primrosebridge/Model/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace PrimroseBridge {

/// The value of an ownership key. It names its writer, so that a lost answer can be settled by reading it back.
struct OwnershipValue {
    const std::string m_vm;
    const std::int64_t m_incarnation;
    const std::string m_peerAddress;
    const std::string m_operation; ///< Different for each attempt to become owner.

    bool operator==(const OwnershipValue &) const = default;
};

/// JSON text of @p value. Thread-safe.
std::string encodeOwnershipValue(const OwnershipValue &value);

/// Inverse of encodeOwnershipValue(); Internal if the text is malformed. Thread-safe.
Result<OwnershipValue> decodeOwnershipValue(std::string_view text);

} // namespace PrimroseBridge
