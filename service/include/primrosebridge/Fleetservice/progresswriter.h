#pragma once

#include "primrosebridge/Kv/platformstore.h"
#include "primrosebridge/Model/result.h"
#include "primrosebridge/Progress/jobstate.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// Something that only the owner writes: the progress of a job, or a value under a key of its own.
struct DurableRecord {
    const std::string m_key;
    const JobPointer m_job; ///< Null for a plain value.
    const std::string m_value; ///< Empty for a job, which is encoded when it is written.
    const std::int64_t m_version; ///< Rises with each change of this record.

    bool operator==(const DurableRecord &) const = default;
};

/// What the writer reports back. Called on the writer's thread; must not block.
struct ProgressWriterCallbacks {
    std::function<void(const DurableRecord &record)> m_recorded;
    std::function<void(std::int64_t fence)> m_ownershipLost;
};

/// Revision of an owner's record in the store.
struct RecordRevision {
    const std::string m_key;
    const std::int64_t m_revision;

    bool operator==(const RecordRevision &) const = default;
};

/// Stage that writes the owner's records to the store, many in one transaction.
///
/// Every transaction expects the ownership key at the owner's fence and each record at the revision that is known for it,
/// so that neither a former owner nor a write that is carried out late can replace newer progress. Thread-safe.
class ProgressWriter
{
public:
    /// Starts the stage's thread.
    static Result<std::unique_ptr<ProgressWriter>> create(std::shared_ptr<PlatformStore> store, ProgressWriterCallbacks callbacks);
    ~ProgressWriter();
    ProgressWriter(const ProgressWriter &) = delete;
    ProgressWriter &operator=(const ProgressWriter &) = delete;

    /// Starts writing as the owner with @p fence; drops what is queued. @p revisions are those of the records that exist.
    void begin(std::int64_t fence, const std::vector<RecordRevision> &revisions);
    /// Stops writing and drops what is queued.
    void end();
    /// Queues a record; replaces an older one of the same key. Never blocks.
    void record(const DurableRecord &record);
    /// Records that wait to be written.
    [[nodiscard]] std::size_t backlog() const;

private:
    struct Private;
    explicit ProgressWriter(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
