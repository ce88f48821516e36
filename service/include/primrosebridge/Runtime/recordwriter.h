#pragma once

#include "primrosebridge/Model/fleet.h"
#include "primrosebridge/Records/codec.h"
#include "primrosebridge/Records/job.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace PrimroseBridge {

class StoreClient;

/// What a record write is for.
enum class RecordKind {
    Acceptance,
    Intent,
    Outcome,
};

/// One write to the records of a zone.
struct RecordWrite {
    const RecordKind m_kind;
    const std::shared_ptr<const Job> m_job; ///< As it is to be recorded.
    const Fence m_fence; ///< The writer's; the store refuses the write if another owner has taken over.
    const std::string m_writer; ///< VM, incarnation and operation; unique for each acceptance.

    bool operator==(const RecordWrite &) const = default;
};

/// What became of a write.
enum class RecordResult {
    Written,
    Duplicate, ///< Acceptance: the key belongs to an earlier request; m_existing.
    NotWritten, ///< Certainly not written and never will be.
    FenceLost, ///< Another owner has taken over; not written.
};

/// The result of one write.
struct RecordAnswer {
    const RecordWrite m_write;
    const RecordResult m_result;
    const std::optional<RequestEntry> m_existing;

    bool operator==(const RecordAnswer &) const = default;
};

/// Settings of the record stage.
struct RecordWriterSettings {
    const ZoneId m_zone;
    const std::size_t m_queueCapacity; ///< Writes waiting; further acceptances are refused.

    bool operator==(const RecordWriterSettings &) const = default;
};

/// The stage that writes records: batches of up to 32 writes in one transaction, on a thread of its own.
///
/// A write whose answer was lost is repeated until the store says what became of it: intents and outcomes are idempotent, and an
/// acceptance is recognised by the writer that its entry names. Thread-safe.
class RecordWriter
{
public:
    /// @p answered is called on the writer's thread, once for each write, in order for each key.
    static Result<std::unique_ptr<RecordWriter>>
    create(const RecordWriterSettings &settings, std::shared_ptr<StoreClient> store, std::function<void(const RecordAnswer &)> answered);
    /// Writes what is queued if the store is reachable, then stops.
    ~RecordWriter();
    RecordWriter(const RecordWriter &) = delete;
    RecordWriter &operator=(const RecordWriter &) = delete;

    /// Queues a write; false if the queue is full, which only acceptances may be told.
    bool enqueue(RecordWrite write);
    /// Writes that wait or are being repeated.
    [[nodiscard]] std::size_t backlog() const;

private:
    struct Private;
    explicit RecordWriter(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
