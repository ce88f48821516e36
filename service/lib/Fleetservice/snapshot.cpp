#include "snapshot.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Fleetservice/roster.h"
#include "primrosebridge/Fleetservice/speedrecord.h"
#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Fleetwire/messages.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Progress/jobrecord.h"

#include <map>

namespace PrimroseBridge {

Result<JobSpec> decodeSubmissionAt(const std::string &key, const std::string &value)
{
    auto spec = decodeSubmission(value);
    if (spec.ok() && key != submissionKey(spec.value().m_id)) {
        return Error(ErrorKind::Internal, "the record belongs to job '" + spec.value().m_id + "'", "check which program wrote the record");
    }
    return spec;
}

void reportSkippedRecord(const std::string &key, const Error &error)
{
    FleetMetrics::instance().increment(FleetCounter::RecordsSkipped);
    logEvent(LogLevel::Warn, "record_skipped", {{"key", key}, {"reason", error.message()}});
}

std::optional<StoreItem> itemIfRead(std::string_view key, const Result<std::optional<StoreItem>> &item)
{
    if (!item.ok()) {
        reportSkippedRecord(std::string(key), item.error());
        return std::nullopt;
    }
    return item.value();
}

InboxListed decodeInboxListing(const StoreListing &listing)
{
    std::vector<JobSpecPointer> jobs;
    std::vector<std::string> cancelledJobs;
    for (const auto &item : listing.m_items) {
        if (item.m_key.starts_with(StoreKeys::cancellations)) {
            cancelledJobs.push_back(item.m_key.substr(StoreKeys::cancellations.size()));
            continue;
        }
        const auto spec = decodeSubmissionAt(item.m_key, item.m_value);
        if (spec.ok()) {
            jobs.push_back(std::make_shared<const JobSpec>(spec.value()));
        } else {
            reportSkippedRecord(item.m_key, spec.error());
        }
    }
    return InboxListed{.m_jobs = std::move(jobs), .m_cancelledJobs = std::move(cancelledJobs)};
}

std::optional<std::string> decodeZoneDrainKey(const std::string &key)
{
    auto zone = zoneOfDrainKey(key);
    if (!zone && key.starts_with(zoneDrainPrefix)) {
        reportSkippedRecord(key, Error(ErrorKind::Internal, "the key names no zone", "check which program wrote the key"));
    }
    return zone;
}

std::set<std::string> decodeZoneDrains(const StoreListing &listing)
{
    std::set<std::string> zones;
    for (const auto &item : listing.m_items) {
        if (const auto zone = decodeZoneDrainKey(item.m_key)) {
            zones.insert(*zone);
        }
    }
    return zones;
}

std::set<std::string> keysOf(const StoreListing &listing)
{
    std::set<std::string> keys;
    for (const auto &item : listing.m_items) {
        keys.insert(item.m_key);
    }
    return keys;
}

WorkersListed decodeWorkersListing(const StoreListing &listing, const std::set<std::string> &knownKeys)
{
    std::vector<WorkerReportPointer> workers;
    for (const auto &item : listing.m_items) {
        const auto report = decodeWorkerReport(item.m_key.substr(workerPrefix.size()), item.m_value, item.m_revision);
        if (report.ok()) {
            workers.push_back(std::make_shared<const WorkerReport>(report.value()));
        } else {
            reportSkippedRecord(item.m_key, report.error());
        }
    }
    std::vector<std::string> removed;
    const auto listed = keysOf(listing);
    for (const auto &key : knownKeys) {
        if (!listed.contains(key)) {
            removed.push_back(key.substr(workerPrefix.size()));
        }
    }
    return WorkersListed{.m_workers = std::move(workers), .m_removedWorkers = std::move(removed)};
}

DecodedSnapshot decodeSnapshot(const StoreSnapshot &snapshot, std::int64_t fence, const FleetConfigurationPointer &configuration, Instant now)
{
    const auto &[inbox, progress, workers, roster, lateStarts, zoneDrains, speeds] = snapshot;
    std::map<std::string, const StoreItem *> records;
    std::vector<RecordRevision> revisions;
    for (const auto &item : progress.m_items) {
        const auto job = item.m_key.substr(StoreKeys::progress.size());
        records[job] = &item;
        revisions.push_back(RecordRevision{.m_key = item.m_key, .m_revision = item.m_revision});
    }
    const auto listedInbox = decodeInboxListing(inbox);
    std::vector<JobPointer> jobs;
    for (const auto &pointer : listedInbox.m_jobs) {
        const auto record = records.find(pointer->m_id);
        const auto maxAttempts = findMaxAttempts(*pointer, configuration);
        if (record == records.end()) {
            jobs.push_back(newJobState(pointer, maxAttempts, now));
            continue;
        }
        const auto restored = restoreJob(pointer, maxAttempts, record->second->m_value, now);
        if (!restored.ok()) {
            reportSkippedRecord(record->second->m_key, restored.error());
            continue;
        }
        jobs.push_back(restored.value());
    }
    std::vector<RosterEntry> rosterEntries;
    std::int64_t rosterVersion = 0;
    bool rosterReadable = true;
    if (const auto &item = roster) {
        revisions.push_back(RecordRevision{.m_key = item->m_key, .m_revision = item->m_revision});
        const auto decoded = decodeRoster(item->m_value);
        if (decoded.ok()) {
            auto entries = decoded.value().m_workers;
            rosterEntries.swap(entries);
            rosterVersion = decoded.value().m_version;
        } else {
            rosterReadable = false;
            reportSkippedRecord(item->m_key, decoded.error());
        }
    }
    std::optional<LateStartRecord> recordedLateStarts;
    if (const auto &item = lateStarts) {
        revisions.push_back(RecordRevision{.m_key = item->m_key, .m_revision = item->m_revision});
        const auto decoded = decodeLateStarts(item->m_value);
        if (decoded.ok()) {
            recordedLateStarts.emplace(decoded.value());
        } else {
            reportSkippedRecord(item->m_key, decoded.error());
        }
    }
    std::optional<SpeedRecord> recordedSpeeds;
    if (const auto &item = speeds) {
        revisions.push_back(RecordRevision{.m_key = item->m_key, .m_revision = item->m_revision});
        const auto decoded = decodeSpeeds(item->m_value);
        if (decoded.ok()) {
            recordedSpeeds.emplace(decoded.value());
        } else {
            reportSkippedRecord(item->m_key, decoded.error());
        }
    }
    return DecodedSnapshot{.m_fleet = std::make_shared<const FleetSnapshot>(
                               FleetSnapshot{.m_fence = fence,
                                             .m_jobs = std::move(jobs),
                                             .m_cancelledJobs = listedInbox.m_cancelledJobs,
                                             .m_workers = decodeWorkersListing(workers, {}).m_workers,
                                             .m_roster = std::move(rosterEntries),
                                             .m_rosterVersion = rosterVersion,
                                             .m_rosterReadable = rosterReadable,
                                             .m_lateStarts = recordedLateStarts.value_or(LateStartRecord{.m_version = 0, .m_jobsByWorker = {}}),
                                             .m_speeds = recordedSpeeds.value_or(SpeedRecord{.m_version = 0})}),
                           .m_revisions = std::move(revisions),
                           .m_workerKeys = keysOf(workers)};
}

} // namespace PrimroseBridge
