#include "primrosebridge/Runtime/recordwriter.h"

#include "primrosebridge/Election/zoneelection.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Pipeline/boundedqueue.h"
#include "primrosebridge/Store/storeclient.h"

#include <algorithm>
#include <atomic>
#include <list>
#include <map>
#include <thread>

namespace PrimroseBridge {

constexpr std::size_t batchLimit = 32; // Two puts each stay under the store's 128 operations in a transaction.
constexpr std::size_t batchByteLimit = 128 * 1024; // Escaping can enlarge text sixfold, and the store refuses requests much above 1 MB.
constexpr Duration firstBackoff = Duration(100);
constexpr Duration longestBackoff = Duration(1000);

// A write together with whether an earlier try may have taken effect.
struct PendingWrite {
    RecordWrite m_write;
    bool m_uncertain;
};

using Batch = std::list<PendingWrite>;

struct RecordWriter::Private {
    Private(const RecordWriterSettings &settings, std::shared_ptr<StoreClient> store, std::function<void(const RecordAnswer &)> answered)
        : m_zone(settings.m_zone)
        , m_store(std::move(store))
        , m_answered(std::move(answered))
        , m_queue(settings.m_queueCapacity)
    {
    }

    const ZoneId m_zone;
    const std::shared_ptr<StoreClient> m_store;
    const std::function<void(const RecordAnswer &)> m_answered;
    BoundedQueue<RecordWrite> m_queue;
    std::atomic<std::size_t> m_repeating = 0;
    std::thread m_thread;
};

static RequestEntry entryOf(const RecordWrite &write)
{
    const auto &job = *write.m_job;
    const bool final = write.m_kind == RecordKind::Outcome;
    const bool keepsResult = job.m_outcome.m_result.size() <= maxResultBytes;
    const Outcome kept{
        .m_kind = job.m_outcome.m_kind,
        .m_result = keepsResult ? job.m_outcome.m_result : std::string(),
        .m_reason = keepsResult ? job.m_outcome.m_reason
                                : "the result was delivered; with " + std::to_string(job.m_outcome.m_result.size()) + " bytes it is too large to keep",
        .m_attempt = job.m_outcome.m_attempt,
    };
    return RequestEntry{
        .m_zone = job.m_request.m_zone,
        .m_organisation = job.m_request.m_organisation,
        .m_jobClass = job.m_request.m_jobClass,
        .m_fingerprint = requestFingerprint(job.m_request),
        .m_writer = write.m_writer,
        .m_outcome = final ? std::optional<Outcome>(kept) : std::nullopt,
    };
}

static Transaction transactionFor(const ZoneId &zone, const Batch &batch)
{
    std::vector<Compare> compares;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
    std::vector<std::string> reads;
    const auto ownerKey = ownershipKey(zone);
    compares.push_back(Compare{.m_key = ownerKey, .m_target = CompareTarget::CreateRevision, .m_expected = batch.front().m_write.m_fence.m_number});
    reads.push_back(ownerKey);
    for (const auto &pending : batch) {
        const auto &write = pending.m_write;
        const auto &key = write.m_job->m_request.m_key;
        const auto entryKey = requestEntryKey(key);
        if (write.m_kind == RecordKind::Acceptance) {
            compares.push_back(Compare{.m_key = entryKey, .m_target = CompareTarget::CreateRevision, .m_expected = 0});
            reads.push_back(entryKey);
        }
        if (write.m_kind != RecordKind::Intent) {
            puts.push_back(Put{.m_key = entryKey, .m_value = encodeRequestEntry(entryOf(write)), .m_leaseId = 0});
        }
        if (write.m_kind == RecordKind::Outcome) {
            deletes.push_back(activeKey(zone, key));
        } else {
            puts.push_back(Put{.m_key = activeKey(zone, key), .m_value = encodeJob(*write.m_job), .m_leaseId = 0});
        }
    }
    return Transaction{.m_compares = compares, .m_puts = puts, .m_deletes = deletes, .m_readsOnFailure = reads};
}

template<class State>
static void answer(const State &state, const PendingWrite &pending, RecordResult result, const std::optional<RequestEntry> &existing = std::nullopt)
{
    state.m_answered(RecordAnswer{.m_write = pending.m_write, .m_result = result, .m_existing = existing});
}

template<class State>
static void answerAll(const State &state, Batch &batch, RecordResult result)
{
    for (const auto &pending : batch) {
        answer(state, pending, result);
    }
    batch.clear();
}

static std::optional<std::string> valueOf(const TransactionResult &result, const std::string &key)
{
    for (const auto &read : result.m_read) {
        if (read.m_key == key) {
            return read.m_value;
        }
    }
    return std::nullopt;
}

static bool fenceHolds(const TransactionResult &result, const std::string &ownerKey, const Fence &fence)
{
    return std::any_of(
        result.m_read.begin(), result.m_read.end(), [&](const KeyValue &read) { return read.m_key == ownerKey && read.m_createRevision == fence.m_number; });
}

// Settles the acceptances whose key exists already; the others stay in the batch.
template<class State>
static void settleExisting(const State &state, Batch &batch, const TransactionResult &result)
{
    for (auto pending = batch.begin(); pending != batch.end();) {
        const auto &write = pending->m_write;
        const auto value = write.m_kind == RecordKind::Acceptance ? valueOf(result, requestEntryKey(write.m_job->m_request.m_key)) : std::nullopt;
        if (!value) {
            ++pending;
            continue;
        }
        const auto entry = decodeRequestEntry(*value);
        if (!entry.ok()) {
            logEvent(LogLevel::Error, "record_damaged", {{"key", write.m_job->m_request.m_key.text()}, {"error", entry.error().what()}});
            answer(state, *pending, RecordResult::NotWritten);
        } else if (entry.value().m_writer == write.m_writer) {
            answer(state, *pending, RecordResult::Written);
        } else {
            answer(state, *pending, RecordResult::Duplicate, entry.value());
        }
        pending = batch.erase(pending);
    }
}

// While the store is unreachable, acceptances that certainly were not written are refused, and idempotent work goes on without a record.
template<class State>
static void settleUnreachable(const State &state, Batch &batch)
{
    for (auto pending = batch.begin(); pending != batch.end();) {
        const auto &write = pending->m_write;
        if (write.m_kind == RecordKind::Acceptance && !pending->m_uncertain) {
            answer(state, *pending, RecordResult::NotWritten);
            pending = batch.erase(pending);
            continue;
        }
        if (write.m_kind == RecordKind::Intent && write.m_job->m_jobClass.m_idempotent) {
            answer(state, *pending, RecordResult::Written);
            pending = batch.erase(pending);
            continue;
        }
        ++pending;
    }
}

// Commits the batch once. Returns false if the store has to be tried again after a pause.
template<class State>
static bool commitOnce(const State &state, Batch &batch)
{
    const auto result = state.m_store->commit(transactionFor(state.m_zone, batch));
    if (!result.ok()) {
        if (result.error().kind() == ErrorKind::DeadlineExceeded) {
            for (auto &pending : batch) {
                pending.m_uncertain = true;
            }
        }
        logEvent(LogLevel::Warn, "record_write_failed", {{"writes", std::to_string(batch.size())}, {"error", result.error().what()}});
        settleUnreachable(state, batch);
        return batch.empty();
    }
    if (result.value().m_succeeded) {
        answerAll(state, batch, RecordResult::Written);
        return true;
    }
    if (!fenceHolds(result.value(), ownershipKey(state.m_zone), batch.front().m_write.m_fence)) {
        answerAll(state, batch, RecordResult::FenceLost);
        return true;
    }
    settleExisting(state, batch, result.value());
    return true;
}

// A key stands once in a transaction, and every write of it belongs to one owner.
static bool fitsBatch(const Batch &batch, const RecordWrite &write, std::size_t bytes)
{
    if (batch.empty()) {
        return true;
    }
    if (batch.size() >= batchLimit || bytes + write.m_job->m_request.m_payload.size() + write.m_job->m_outcome.m_result.size() > batchByteLimit) {
        return false;
    }
    return batch.front().m_write.m_fence == write.m_fence && std::none_of(batch.begin(), batch.end(), [&write](const PendingWrite &pending) {
               return pending.m_write.m_job->m_request.m_key == write.m_job->m_request.m_key;
           });
}

// Moves writes from the waiting list into the batch, in order, without overtaking an earlier write of the same key.
static void fillBatch(Batch &batch, Batch &waiting)
{
    std::size_t bytes = 0;
    while (!waiting.empty() && fitsBatch(batch, waiting.front().m_write, bytes)) {
        const auto &job = *waiting.front().m_write.m_job;
        bytes += job.m_request.m_payload.size() + job.m_outcome.m_result.size();
        batch.splice(batch.end(), waiting, waiting.begin());
    }
}

// New acceptances are refused at once while the store fails, instead of waiting behind writes that must be repeated.
template<class State>
static void takeNew(State &state, Batch &waiting, bool storeFails, Duration wait)
{
    for (auto &write : state.m_queue.popBatchFor(batchLimit, wait)) {
        waiting.push_back(PendingWrite{.m_write = std::move(write), .m_uncertain = false});
    }
    if (storeFails) {
        settleUnreachable(state, waiting);
    }
}

template<class State>
static void writeRecords(State &state)
{
    Batch batch;
    Batch waiting;
    Duration backoff(0);
    while (!state.m_queue.closed() || state.m_queue.size() > 0 || !waiting.empty() || !batch.empty()) {
        const bool idle = batch.empty() && waiting.empty();
        const bool storeFails = backoff > Duration(0);
        takeNew(state, waiting, storeFails, idle ? longestBackoff : backoff);
        fillBatch(batch, waiting);
        state.m_repeating = batch.size() + waiting.size();
        if (batch.empty()) {
            // Nothing is left to repeat, so the next write tries the store again.
            backoff = Duration(0);
            continue;
        }
        if (commitOnce(state, batch)) {
            backoff = Duration(0);
            continue;
        }
        if (state.m_queue.closed()) {
            return;
        }
        backoff = std::clamp(backoff * 2, firstBackoff, longestBackoff);
    }
}

Result<std::unique_ptr<RecordWriter>>
RecordWriter::create(const RecordWriterSettings &settings, std::shared_ptr<StoreClient> store, std::function<void(const RecordAnswer &)> answered)
{
    if (settings.m_queueCapacity == 0) {
        return Error(ErrorKind::InvalidArgument, "the record queue has no places", "set a capacity above 0");
    }
    auto state = std::make_unique<Private>(settings, std::move(store), std::move(answered));
    auto *shared = state.get();
    state->m_thread = std::thread([shared] { writeRecords(*shared); });
    return std::unique_ptr<RecordWriter>(new RecordWriter(std::move(state)));
}

RecordWriter::RecordWriter(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

RecordWriter::~RecordWriter()
{
    m_private->m_queue.close();
    m_private->m_thread.join();
}

bool RecordWriter::enqueue(RecordWrite write)
{
    return m_private->m_queue.tryPush(std::move(write));
}

std::size_t RecordWriter::backlog() const
{
    return m_private->m_queue.size() + m_private->m_repeating;
}

} // namespace PrimroseBridge
