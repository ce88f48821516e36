#include "primrosebridge/Fleetservice/progresswriter.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Progress/jobrecord.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

namespace PrimroseBridge {

// Each record needs one expectation and one write; the ownership key needs one more expectation.
static constexpr std::size_t maxRecordsPerTransaction = (maxTransactionEntries - 1) / 2;
// Lets jobs that end at about the same time share a transaction; it delays the acknowledgement of the runs' ends by as much.
static constexpr Duration batchDelay(4);
// Total size of the values of one transaction, unless a single value is larger. A call with several of the largest values could time out on a slow link.
static constexpr std::size_t maxTransactionBytes = std::size_t(1024) * 1024;
// Delay before the next write after the store refused a transaction or did not answer.
static constexpr Duration retryDelay(100);

struct ProgressWriter::Private {
    std::shared_ptr<PlatformStore> m_store;
    ProgressWriterCallbacks m_callbacks;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::shared_ptr<const DurableRecord>> m_queued; // By key.
    std::map<std::string, std::int64_t> m_revisions;
    std::set<std::string> m_refusedKeys; // Keys of which the last record was refused in this term; their next records are written alone.
    std::size_t m_maxValueBytes = 0;
    std::optional<std::int64_t> m_fence;
    std::uint64_t m_term = 0; // Incremented by beginTerm() and endTerm(); a batch of an earlier term is neither reported as recorded nor requeued.
    bool m_stopped = false;
    std::thread m_thread;

    void run();
};

namespace {

// The records of one transaction with their encoded values and their expected revisions, at the same indexes.
struct Batch {
    std::int64_t m_fence = 0;
    std::uint64_t m_term = 0;
    std::vector<std::shared_ptr<const DurableRecord>> m_records;
    std::vector<std::string> m_values;
    std::vector<std::int64_t> m_revisions;
};

} // namespace

// Takes records in the order of their keys. A record whose key was refused before is taken alone.
template<class State>
static std::optional<Batch> takeBatch(State &state)
{
    std::unique_lock lock(state.m_mutex);
    state.m_changed.wait(lock, [&] { return state.m_stopped || (state.m_fence && !state.m_queued.empty()); });
    if (state.m_stopped) {
        return std::nullopt;
    }
    state.m_changed.wait_for(lock, batchDelay, [&] { return state.m_stopped || state.m_queued.size() >= maxRecordsPerTransaction; });
    Batch batch;
    if (!state.m_fence) {
        return batch;
    }
    batch.m_fence = *state.m_fence;
    batch.m_term = state.m_term;
    bool alone = false;
    while (!alone && !state.m_queued.empty() && batch.m_records.size() < maxRecordsPerTransaction) {
        const auto first = state.m_queued.begin();
        alone = state.m_refusedKeys.contains(first->first);
        if (alone && !batch.m_records.empty()) {
            break;
        }
        batch.m_records.push_back(first->second);
        batch.m_revisions.push_back(state.m_revisions[first->first]);
        state.m_queued.erase(first);
    }
    lock.unlock();
    for (const auto &record : batch.m_records) {
        batch.m_values.push_back(record->m_job ? encodeProgress(*record->m_job, state.m_maxValueBytes) : record->m_value);
    }
    return batch;
}

// Returns the records of the batch from @p first up to but not including @p last.
static Batch partOf(const Batch &batch, std::size_t first, std::size_t last)
{
    const auto range = [first, last](const auto &all) {
        return std::vector(all.begin() + static_cast<std::ptrdiff_t>(first), all.begin() + static_cast<std::ptrdiff_t>(last));
    };
    return Batch{.m_fence = batch.m_fence,
                 .m_term = batch.m_term,
                 .m_records = range(batch.m_records),
                 .m_values = range(batch.m_values),
                 .m_revisions = range(batch.m_revisions)};
}

static StoreTransaction transactionFor(const Batch &batch)
{
    std::vector<StoreExpectation> expectations{{.m_key = std::string(StoreKeys::owner), .m_revision = batch.m_fence}};
    std::vector<StoreWrite> writes;
    for (std::size_t index = 0; index < batch.m_records.size(); ++index) {
        const auto &key = batch.m_records[index]->m_key;
        expectations.push_back(StoreExpectation{.m_key = key, .m_revision = batch.m_revisions[index]});
        writes.push_back(StoreWrite{.m_key = key, .m_value = batch.m_values[index], .m_leaseId = 0});
    }
    return StoreTransaction{.m_expectations = std::move(expectations), .m_writes = std::move(writes), .m_removals = {}};
}

template<class State>
static void reportRecorded(State &state, const Batch &batch, std::size_t index, std::int64_t revision)
{
    const auto &record = *batch.m_records[index];
    {
        const std::lock_guard lock(state.m_mutex);
        if (state.m_term != batch.m_term) {
            return;
        }
        state.m_revisions[record.m_key] = revision;
        state.m_refusedKeys.erase(record.m_key);
    }
    state.m_callbacks.m_recorded(batch.m_fence, record);
}

// Queues the record again unless a newer record with the same key is queued, and sets the known revision of its key, if given.
template<class State>
static void requeue(State &state, const Batch &batch, std::size_t index, std::optional<std::int64_t> revision)
{
    const std::lock_guard lock(state.m_mutex);
    if (state.m_term != batch.m_term) {
        return;
    }
    const auto &record = batch.m_records[index];
    if (revision) {
        state.m_revisions[record->m_key] = *revision;
    }
    state.m_queued.emplace(record->m_key, record);
}

static const StoreItem *findItem(const std::vector<StoreItem> &items, const std::string &key)
{
    const auto found = std::find_if(items.begin(), items.end(), [&](const auto &item) { return item.m_key == key; });
    return found == items.end() ? nullptr : &*found;
}

// Handles a transaction whose expectations failed. Either an earlier transaction was committed although its answer was lost, or
// another VM owns the fleet.
template<class State>
static void resolveConflict(State &state, const Batch &batch, const std::vector<StoreItem> &current)
{
    const auto *owner = findItem(current, std::string(StoreKeys::owner));
    if (!owner || owner->m_revision != batch.m_fence) {
        state.m_callbacks.m_ownershipLost(batch.m_fence);
        return;
    }
    for (std::size_t index = 0; index < batch.m_records.size(); ++index) {
        const auto *item = findItem(current, batch.m_records[index]->m_key);
        if (item && item->m_value == batch.m_values[index]) {
            reportRecorded(state, batch, index, item->m_revision);
        } else {
            requeue(state, batch, index, item ? item->m_revision : 0);
        }
    }
}

// Drops a record that the store refuses for what it holds. The ends of runs that it would have recorded stay listed by their workers.
template<class State>
static void reportRefused(State &state, const Batch &batch, std::size_t index, const std::string &reason)
{
    const auto &key = batch.m_records[index]->m_key;
    FleetMetrics::instance().increment(FleetCounter::RecordsRefused);
    logEvent(LogLevel::Error,
             "record_refused",
             {{"key", key},
              {"bytes", std::to_string(batch.m_values[index].size())},
              {"limit", std::to_string(state.m_maxValueBytes)},
              {"version", std::to_string(batch.m_records[index]->m_version)},
              {"error", reason}});
    const std::lock_guard lock(state.m_mutex);
    if (state.m_term == batch.m_term) {
        state.m_refusedKeys.insert(key);
    }
}

template<class State>
static void writeBatch(State &state, const Batch &batch)
{
    const auto result = state.m_store->commit(transactionFor(batch));
    if (result.ok() && result.value().m_committed) {
        for (std::size_t index = 0; index < batch.m_records.size(); ++index) {
            reportRecorded(state, batch, index, result.value().m_revision);
        }
        return;
    }
    if (result.ok()) {
        resolveConflict(state, batch, result.value().m_current);
        return;
    }
    if (result.error().kind() == ErrorKind::InvalidArgument) {
        const auto size = batch.m_records.size();
        if (size == 1) {
            reportRefused(state, batch, 0, result.error().message());
            return;
        }
        writeBatch(state, partOf(batch, 0, size / 2));
        writeBatch(state, partOf(batch, size / 2, size));
        return;
    }
    logEvent(LogLevel::Warn,
             "progress_not_recorded",
             {{"records", std::to_string(batch.m_records.size())}, {"error", result.error().message()}, {"outcome", "retried"}});
    // A write whose answer was lost can safely be repeated: if the first one was committed, the expectations of the second one fail.
    for (std::size_t index = 0; index < batch.m_records.size(); ++index) {
        requeue(state, batch, index, std::nullopt);
    }
    std::unique_lock lock(state.m_mutex);
    state.m_changed.wait_for(lock, retryDelay, [&] { return state.m_stopped; });
}

// Writes the records in transactions of a limited size, without those that are too large for the store.
template<class State>
static void writeInParts(State &state, const Batch &batch)
{
    std::size_t first = 0;
    std::size_t bytes = 0;
    const auto writeUpTo = [&](std::size_t end) {
        if (first < end) {
            writeBatch(state, partOf(batch, first, end));
        }
        first = end;
        bytes = 0;
    };
    for (std::size_t index = 0; index < batch.m_records.size(); ++index) {
        const auto size = batch.m_values[index].size();
        if (size > state.m_maxValueBytes) {
            writeUpTo(index);
            reportRefused(state, batch, index, "the record is larger than a value of the store");
            first = index + 1;
            continue;
        }
        if (bytes + size > maxTransactionBytes) {
            writeUpTo(index);
        }
        bytes += size;
    }
    writeUpTo(batch.m_records.size());
}

void ProgressWriter::Private::run()
{
    while (const auto batch = takeBatch(*this)) {
        writeInParts(*this, *batch);
    }
}

ProgressWriter::ProgressWriter(std::shared_ptr<PlatformStore> store, ProgressWriterCallbacks callbacks, std::size_t maxValueBytes)
    : m_private(std::make_unique<Private>())
{
    m_private->m_maxValueBytes = maxValueBytes;
    m_private->m_store = std::move(store);
    m_private->m_callbacks = std::move(callbacks);
}

Result<bool> ProgressWriter::start()
{
    try {
        m_private->m_thread = std::thread([&inner = *m_private] { inner.run(); });
    } catch (const std::system_error &error) {
        return Error(ErrorKind::Unavailable, std::string("cannot start the writer's thread: ") + error.what(), "raise the thread limit of this process");
    }
    return true;
}

ProgressWriter::~ProgressWriter()
{
    {
        const std::lock_guard lock(m_private->m_mutex);
        m_private->m_stopped = true;
    }
    m_private->m_changed.notify_all();
    if (m_private->m_thread.joinable()) {
        m_private->m_thread.join();
    }
}

void ProgressWriter::beginTerm(std::int64_t fence, const std::vector<RecordRevision> &revisions)
{
    const std::lock_guard lock(m_private->m_mutex);
    ++m_private->m_term;
    m_private->m_fence = fence;
    m_private->m_queued.clear();
    m_private->m_refusedKeys.clear();
    m_private->m_revisions.clear();
    for (const auto &entry : revisions) {
        m_private->m_revisions[entry.m_key] = entry.m_revision;
    }
}

void ProgressWriter::endTerm()
{
    const std::lock_guard lock(m_private->m_mutex);
    ++m_private->m_term;
    m_private->m_fence.reset();
    m_private->m_queued.clear();
}

void ProgressWriter::enqueue(std::int64_t fence, const DurableRecord &record)
{
    {
        const std::lock_guard lock(m_private->m_mutex);
        if (m_private->m_fence != fence) {
            return;
        }
        m_private->m_queued.insert_or_assign(record.m_key, std::make_shared<const DurableRecord>(record));
    }
    m_private->m_changed.notify_all();
}

std::size_t ProgressWriter::backlog() const
{
    const std::lock_guard lock(m_private->m_mutex);
    return m_private->m_queued.size();
}

} // namespace PrimroseBridge
