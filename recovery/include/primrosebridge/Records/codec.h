#pragma once

#include "primrosebridge/Records/job.h"

#include <optional>
#include <string>

namespace PrimroseBridge {

/// The entry of a request key, which lasts longer than the job and is the same for every zone.
struct RequestEntry {
    const ZoneId m_zone; ///< The zone whose owner accepted the request.
    const OrganisationId m_organisation;
    const JobClassId m_jobClass;
    const std::uint64_t m_fingerprint; ///< See requestFingerprint().
    const std::string m_writer; ///< VM, incarnation and operation; settles a lost answer by reading back.
    const std::optional<Outcome> m_outcome; ///< Set once it is final.

    bool operator==(const RequestEntry &) const = default;
};

/// Store key of the entry. Thread-safe.
std::string requestEntryKey(const RequestKey &key);
/// Store key prefix of the jobs of one zone that have no outcome yet. Thread-safe.
std::string activePrefix(const ZoneId &zone);
/// Store key of one of them. Thread-safe.
std::string activeKey(const ZoneId &zone, const RequestKey &key);

/// The job as JSON; member states are left out because workers know them better. Thread-safe.
std::string encodeJob(const Job &job);
/// Inverse of encodeJob(). Internal if the text is damaged. Thread-safe.
Result<Job> decodeJob(const std::string &text);

/// The entry as JSON. Thread-safe.
std::string encodeRequestEntry(const RequestEntry &entry);
/// Inverse of encodeRequestEntry(). Internal if the text is damaged. Thread-safe.
Result<RequestEntry> decodeRequestEntry(const std::string &text);

} // namespace PrimroseBridge
