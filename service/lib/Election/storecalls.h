#pragma once

#include "primrosebridge/Election/zoneelection.h"

#include "ownershipvalue.h"

#include <cstdint>
#include <optional>
#include <string>

namespace PrimroseBridge {

/// What a call to the store tells the ownership protocol.
struct CallOutcome {
    const OwnershipEvent m_event;
    const std::optional<Error> m_error; ///< Why the call failed, if it did.
    const bool m_ownerKnown; ///< True if the call showed who holds the ownership key.
    const std::optional<OwnerRecord> m_owner; ///< Who holds it; empty if nobody does or the value is malformed.
};

/// True if the store has answered. Thread-safe.
bool reachedStore(const CallOutcome &outcome);

/// The calls of the ownership protocol. Each blocks for at most two timeouts of @p store. Thread-safe.
CallOutcome callGrantLease(StoreClient &store, Instant now);
CallOutcome callRenewLease(StoreClient &store, std::int64_t lease, Instant now);
CallOutcome callCreateKey(StoreClient &store, const std::string &key, const OwnershipValue &mine, std::int64_t lease);
CallOutcome callReadKey(StoreClient &store, const std::string &key, const OwnershipValue &mine);
/// Tries twice, because a successor would otherwise wait for the end of the lease. Returns the error of the second attempt.
std::optional<Error> callRevokeLease(StoreClient &store, std::int64_t lease);

} // namespace PrimroseBridge
