#include "storecalls.h"

#include "primrosebridge/Store/storeclient.h"

namespace PrimroseBridge {

using Kind = OwnershipEventKind;

static bool saysUnreachable(ErrorKind kind)
{
    return kind == ErrorKind::Unavailable || kind == ErrorKind::DeadlineExceeded;
}

bool reachedStore(const CallOutcome &outcome)
{
    return !outcome.m_error || !saysUnreachable(outcome.m_error->kind());
}

static CallOutcome succeeded(const OwnershipEvent &event)
{
    return {.m_event = event, .m_error = std::nullopt, .m_ownerKnown = false, .m_owner = std::nullopt};
}

static CallOutcome failed(Kind kind, const Error &error)
{
    return {.m_event = {.m_kind = kind}, .m_error = error, .m_ownerKnown = false, .m_owner = std::nullopt};
}

static OwnerRecord toOwner(const OwnershipValue &value, std::int64_t createRevision)
{
    return {.m_vm = value.m_vm, .m_incarnation = value.m_incarnation, .m_peerAddress = value.m_peerAddress, .m_fence = Fence{createRevision}};
}

static CallOutcome keyAbsent()
{
    return {.m_event = {.m_kind = Kind::KeyAbsent}, .m_error = std::nullopt, .m_ownerKnown = true, .m_owner = std::nullopt};
}

static CallOutcome keyPresent(const KeyValue &entry, const OwnershipValue &mine)
{
    const auto value = decodeOwnershipValue(entry.m_value);
    if (!value.ok()) {
        // A malformed value holds the zone like any other one; only an operator can tell whether it may be deleted.
        return {.m_event = {.m_kind = Kind::KeyHeldByOther}, .m_error = value.error(), .m_ownerKnown = true, .m_owner = std::nullopt};
    }
    return {
        .m_event = {.m_kind = value.value() == mine ? Kind::KeyReadBackMine : Kind::KeyHeldByOther, .m_revision = entry.m_createRevision},
        .m_error = std::nullopt,
        .m_ownerKnown = true,
        .m_owner = toOwner(value.value(), entry.m_createRevision),
    };
}

CallOutcome callGrantLease(StoreClient &store, Instant now)
{
    const auto lease = store.grantLease(static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(ownershipLease).count()));
    if (!lease.ok()) {
        return failed(Kind::StoreUnreachable, lease.error());
    }
    return succeeded({.m_kind = Kind::LeaseGranted, .m_leaseId = lease.value(), .m_sentAt = now});
}

CallOutcome callRenewLease(StoreClient &store, std::int64_t lease, Instant now)
{
    const auto renewed = store.renewLease(lease);
    if (renewed.ok()) {
        return succeeded({.m_kind = Kind::LeaseRenewed, .m_leaseId = lease, .m_sentAt = now});
    }
    return failed(renewed.error().kind() == ErrorKind::NotFound ? Kind::LeaseLost : Kind::StoreUnreachable, renewed.error());
}

static Kind failureOfCreate(ErrorKind kind)
{
    if (kind == ErrorKind::NotFound) {
        return Kind::LeaseLost;
    }
    return kind == ErrorKind::Unavailable ? Kind::StoreUnreachable : Kind::KeyAnswerLost;
}

CallOutcome callCreateKey(StoreClient &store, const std::string &key, const OwnershipValue &mine, std::int64_t lease)
{
    const Transaction create{
        .m_compares = {{.m_key = key, .m_target = CompareTarget::CreateRevision, .m_expected = 0}},
        .m_puts = {{.m_key = key, .m_value = encodeOwnershipValue(mine), .m_leaseId = lease}},
        .m_deletes = {},
        .m_readsOnFailure = {key},
    };
    const auto answer = store.commit(create);
    if (!answer.ok()) {
        return failed(failureOfCreate(answer.error().kind()), answer.error());
    }
    const auto &result = answer.value();
    if (result.m_succeeded) {
        return {
            .m_event = {.m_kind = Kind::KeyCreated, .m_leaseId = lease, .m_revision = result.m_revision},
            .m_error = std::nullopt,
            .m_ownerKnown = true,
            .m_owner = toOwner(mine, result.m_revision),
        };
    }
    return result.m_read.empty() ? keyAbsent() : keyPresent(result.m_read.front(), mine);
}

CallOutcome callReadKey(StoreClient &store, const std::string &key, const OwnershipValue &mine)
{
    const auto found = store.get(key);
    if (!found.ok()) {
        return failed(Kind::StoreUnreachable, found.error());
    }
    return found.value() ? keyPresent(*found.value(), mine) : keyAbsent();
}

std::optional<Error> callRevokeLease(StoreClient &store, std::int64_t lease)
{
    if (store.revokeLease(lease).ok()) {
        return std::nullopt;
    }
    const auto second = store.revokeLease(lease);
    return second.ok() ? std::nullopt : std::optional<Error>(second.error());
}

} // namespace PrimroseBridge
