#pragma once

#include "primrosebridge/Fleetservice/currentconfiguration.h"
#include "primrosebridge/Fleetservice/ownerevents.h"
#include "primrosebridge/Fleetservice/progresswriter.h"
#include "primrosebridge/Kv/platformstore.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// What the store holds for a new owner. The records of the owner cannot change while it is read, because they are written on condition of
/// the ownership.
struct StoreSnapshot {
    const StoreListing m_inbox;
    const StoreListing m_progress;
    const StoreListing m_workers;
    const std::optional<StoreItem> m_roster;
    const std::optional<StoreItem> m_lateStarts = std::nullopt;
    const std::optional<StoreListing> m_zoneDrains = std::nullopt;
    const std::optional<StoreItem> m_speeds = std::nullopt;
};

/// A decoded snapshot.
struct DecodedSnapshot {
    const std::shared_ptr<const FleetSnapshot> m_fleet;
    const std::vector<RecordRevision> m_revisions; ///< Revisions of the records that only the owner writes.
    const std::set<std::string> m_workerKeys; ///< Keys of the workers' entries, readable or not.
};

/// Decodes the snapshot for the term @p fence that begins at @p now on the boot clock. Records that cannot be read are skipped, logged and
/// counted. Thread-safe.
DecodedSnapshot decodeSnapshot(const StoreSnapshot &snapshot, std::int64_t fence, const FleetConfigurationPointer &configuration, Instant now);

/// Decodes the submission under @p key. Fails with Internal if it cannot be read or belongs to another key: a copy of a record under another
/// key would make one job appear twice. Thread-safe.
Result<JobSpec> decodeSubmissionAt(const std::string &key, const std::string &value);

/// Decodes a listing of the inbox. Entries that cannot be read are skipped, logged and counted. Thread-safe.
InboxListed decodeInboxListing(const StoreListing &listing);

/// Decodes a listing of the workers' entries. @p knownKeys are the keys that were known before; those that are missing from the listing are
/// reported as removed. Entries that cannot be read are skipped, logged and counted, but count as present. Thread-safe.
WorkersListed decodeWorkersListing(const StoreListing &listing, const std::set<std::string> &knownKeys);

/// Returns the zone that @p key asks to drain, if it is a key of that kind. One that names no zone is skipped, logged and counted. Thread-safe.
std::optional<std::string> decodeZoneDrainKey(const std::string &key);

/// Returns the zones that the keys of a listing ask to drain. Keys of that kind that name no zone are skipped, logged and counted. Thread-safe.
std::set<std::string> decodeZoneDrains(const StoreListing &listing);

/// Returns the keys of a listing. Thread-safe.
std::set<std::string> keysOf(const StoreListing &listing);

/// Returns the item that was read, or nothing if reading it failed, which is logged and counted as a skipped record. For records without which a term
/// may begin. Thread-safe.
std::optional<StoreItem> itemIfRead(std::string_view key, const Result<std::optional<StoreItem>> &item);

/// Logs and counts a record of the store that cannot be used. Thread-safe.
void reportSkippedRecord(const std::string &key, const Error &error);

} // namespace PrimroseBridge
