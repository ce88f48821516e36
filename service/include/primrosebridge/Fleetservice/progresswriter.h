#pragma once

#include "primrosebridge/Kv/platformstore.h"
#include "primrosebridge/Model/result.h"
#include "primrosebridge/Progress/jobstate.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// A record that only the owner of the fleet writes: the progress of a job, or a plain value such as the roster.
struct DurableRecord {
    const std::string m_key;
    const JobPointer m_job; ///< Null if the record is a plain value.
    const std::string m_value; ///< Content of a plain value; empty for a job, which is encoded when it is written.
    const std::int64_t m_version; ///< Increases with each change of this record.

    bool operator==(const DurableRecord &) const = default;
};

/// Callbacks of a ProgressWriter. They are called on the writer's thread and must not block.
struct ProgressWriterCallbacks {
    std::function<void(std::int64_t fence, const DurableRecord &record)> m_recorded; ///< The store has committed the record of the term @p fence.
    std::function<void(std::int64_t fence)> m_ownershipLost; ///< The ownership key no longer has the revision @p fence.
};

/// Revision in the store of a record that the owner writes.
struct RecordRevision {
    const std::string m_key;
    const std::int64_t m_revision;

    bool operator==(const RecordRevision &) const = default;
};

/// Pipeline stage that writes the owner's records to the store in batches, one transaction per batch.
///
/// Every transaction requires the ownership key to be at the owner's fence and each record to be at its last known revision.
/// Neither a former owner nor a delayed write can therefore overwrite newer progress. A transaction that the store refuses for what it holds is
/// split until the refused record is alone. That record is logged and dropped, and the next one with its key is written alone. Thread-safe.
class ProgressWriter
{
public:
    /// Creates the writer without its thread, so that @p callbacks may refer to objects that are created later. Records with more than
    /// @p maxValueBytes count as refused without a call to the store.
    ProgressWriter(std::shared_ptr<PlatformStore> store,
                   ProgressWriterCallbacks callbacks,
                   std::size_t maxValueBytes = std::numeric_limits<std::size_t>::max());
    ~ProgressWriter();
    ProgressWriter(const ProgressWriter &) = delete;
    ProgressWriter &operator=(const ProgressWriter &) = delete;

    /// Starts the writer's thread. Call once, after everything that the callbacks use has been created. Nothing is written before beginTerm().
    /// Returns Unavailable if the system cannot start a thread.
    Result<bool> start();
    /// Drops the queued records and starts writing as the owner with @p fence. @p revisions holds the revisions of the existing
    /// records.
    void beginTerm(std::int64_t fence, const std::vector<RecordRevision> &revisions);
    /// Drops the queued records and stops writing until the next beginTerm(). A transaction that was already sent may still commit.
    void endTerm();
    /// Queues a record that was decided in the term @p fence, and replaces a queued one with the same key. Drops it if another term or none
    /// is running: the owner stage may still apply events of a term that has ended, and later owners may have written the record since. Does
    /// not wait for the store.
    void enqueue(std::int64_t fence, const DurableRecord &record);
    /// Returns the number of queued records, without the batch that is being written.
    [[nodiscard]] std::size_t backlog() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
