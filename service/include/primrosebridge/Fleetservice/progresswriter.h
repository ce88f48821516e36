#pragma once

#include "primrosebridge/Kv/platformstore.h"
#include "primrosebridge/Model/result.h"
#include "primrosebridge/Progress/jobstate.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// What the writer reports back. Called on the writer's thread; must not block.
struct ProgressCallbacks {
    std::function<void(const std::string &job, std::int64_t version, JobOutcome outcome)> m_recorded;
    std::function<void(std::int64_t fence)> m_ownershipLost;
};

/// Revision of a progress record in the store.
struct RecordRevision {
    const std::string m_job;
    const std::int64_t m_revision;

    bool operator==(const RecordRevision &) const = default;
};

/// Stage that writes jobs' progress to the store, many jobs in one transaction.
///
/// Every transaction expects the ownership key at the owner's fence and each record at the revision that is known for it,
/// so that neither a former owner nor a write that is carried out late can replace newer progress. Thread-safe.
class ProgressWriter
{
public:
    /// Starts the stage's thread.
    static Result<std::unique_ptr<ProgressWriter>> create(std::shared_ptr<PlatformStore> store, ProgressCallbacks callbacks);
    ~ProgressWriter();
    ProgressWriter(const ProgressWriter &) = delete;
    ProgressWriter &operator=(const ProgressWriter &) = delete;

    /// Starts writing as the owner with @p fence; drops what is queued. @p revisions are those of the records that exist.
    void begin(std::int64_t fence, const std::vector<RecordRevision> &revisions);
    /// Stops writing and drops what is queued.
    void end();
    /// Queues the job's present progress; replaces an older one of the same job. Never blocks.
    void record(JobPointer job);
    /// Jobs that wait to be written.
    [[nodiscard]] std::size_t backlog() const;

private:
    struct Private;
    explicit ProgressWriter(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
