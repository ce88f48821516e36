#include "simulatedvm.h"

#include "calldescriptions.h"

#include "primrosebridge/Fleetservice/roster.h"
#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Fleetwire/messages.h"
#include "primrosebridge/Ownership/succession.h"
#include "primrosebridge/Progress/jobrecord.h"

namespace PrimroseBridge {

// The constants of session.cpp, progresswriter.cpp, storewatch.cpp, platformstore.cpp, fleetnode.cpp and fleetowner.cpp.
static constexpr Duration storeLease(1000);
static constexpr Duration ownerRenewalPeriod(250);
static constexpr Duration renewalPeriod(550);
static constexpr Duration minRenewalPause(50);
static constexpr Duration electionRetryPeriod(250);
static constexpr Duration minOwnershipTime(2000);
static constexpr Duration handOverCooldown(30000);
static constexpr std::size_t maxRecordsPerTransaction = (maxTransactionEntries - 1) / 2;
static constexpr Duration batchDelay(4);
static constexpr Duration writerRetryDelay(100);
static constexpr Duration watchWait(1500);
static constexpr Duration watchRetryDelay(150);
static constexpr Duration waitAfterInterruption(100);
static constexpr Duration storeTimeout(1000);
static constexpr Duration renewalTimeout(900);
static constexpr Duration watchTimeoutAllowance(1000);
static constexpr Duration snapshotRetryDelay(100);
static constexpr std::size_t maxEventBatch = 256;
static constexpr std::size_t maxQueuedEvents = 20000;
static constexpr std::int64_t unknownRevision = -1;
// The store's pages are much larger; small ones let listings of a small fleet consist of several.
static constexpr std::size_t pageSize = 6;
// Probability that an open connection to a worker was closed or is in use when a call needs one.
static constexpr double idleConnectionClosed = 0.2;
static constexpr std::int64_t longestWatchDelayMs = 1200;
// An answer may pass this many other events of its millisecond in turn, which is more than an order, its answer and the owner's iteration take.
static constexpr std::int64_t maxHandOvers = 8;

static FleetSettings settingsOf(const NetworkNode &node, double processorCores, std::optional<Duration> zoneDrainBound)
{
    return FleetSettings{.m_vm = VmId::create(node.m_name).value(),
                         .m_zone = ZoneId::create(node.m_zone).value(),
                         .m_frontAddress = {},
                         .m_readinessAddress = {},
                         .m_peerAddress = {},
                         .m_peerListenAddress = {},
                         .m_metricsAddress = {},
                         .m_storeAddress = {},
                         .m_taskLease = Duration(3000),
                         .m_shortestStoreLease = storeLease,
                         .m_reclaimBound = Duration(3400),
                         .m_stopBound = Duration(900),
                         .m_shutdownBound = Duration(6000),
                         .m_processorCores = processorCores,
                         .m_remoteFactor = 3.0,
                         .m_logLevel = "info",
                         .m_zoneDrainBound = zoneDrainBound};
}

SimulatedVm::SimulatedVm(SimulatedWorld &world,
                         const NetworkNode &node,
                         double processorCores,
                         std::string incarnation,
                         Duration bootClockOffset,
                         Duration wallClockOffset,
                         const FleetConfigurationPointer &configuration,
                         const ThreadFaults &faults,
                         std::optional<Duration> zoneDrainBound)
    : m_world(world)
    , m_node(node)
    , m_self{.m_vm = node.m_name, .m_address = "127.0.0.1:1", .m_incarnation = std::move(incarnation), .m_processorCores = processorCores}
    , m_bootClockOffset(bootClockOffset)
    , m_wallClockOffset(wallClockOffset)
    , m_faults(faults)
    , m_zoneDrainBound(zoneDrainBound)
    , m_startedAt(world.m_queue.now() + bootClockOffset)
    , m_process(std::make_shared<SimulatedProcess>(world.m_queue))
    , m_sessionChanged(m_process)
    , m_termChanged(m_process)
    , m_snapshotChanged(m_process)
    , m_writerChanged(m_process)
    , m_eventPosted(m_process)
    , m_state(OwnerContext{
          .m_settings = settingsOf(node, processorCores, zoneDrainBound),
          .m_workerCalls = workerCalls(),
          .m_configuration = m_configuration,
          .m_enqueueRecord =
              [this](std::int64_t fence, const DurableRecord &record) {
                  SimulatedProcess::schedule(m_process, m_process->now() + m_sendDelay, [this, fence, record] { enqueueRecord(fence, record); });
              },
          .m_leaseEnd = [this](std::int64_t fence) { return leaseEnd(fence); },
          .m_onSuperseded = [this](std::int64_t fence, const std::string &reason) { requestOwnershipRelease(fence, reason); },
          .m_bootClock = [this] { return bootNow() + m_sendDelay; },
          .m_wallClock = [this] { return m_world.m_queue.now() + m_wallClockOffset; },
          .m_zoneDrains = [this] { return m_zoneDrains.current(); },
      })
{
    m_state.m_events = std::make_shared<BoundedQueue<OwnerEvent>>(maxQueuedEvents);
    m_configuration.installIfNewer(configuration);
    trace("starts");
    m_process->startThread(runOwner());
    m_process->startThread(runWriter());
    m_process->startThread(runRenewals());
    m_process->startThread(runElections());
    m_process->startThread(watchControlKeys());
    m_process->startThread(watchInbox());
    m_process->startThread(watchWorkers());
    if (m_zoneDrainBound) {
        m_process->startThread(watchZoneDrains());
    }
}

SimulatedVm::~SimulatedVm()
{
    trace("ends");
    m_process->end();
}

void SimulatedVm::trace(const std::string &text)
{
    if (m_world.m_trace.enabled()) {
        m_world.m_trace.add(m_node.m_name + " " + text);
    }
}

void SimulatedVm::pause(Duration time)
{
    trace("pauses for " + std::to_string(time.count()));
    m_process->pauseUntil(m_world.m_queue.now() + time);
}

void SimulatedVm::stallSending(Duration time)
{
    m_pendingSendStall = time;
}

void SimulatedVm::stallOwner(Duration time)
{
    trace("owner's thread stands still for " + std::to_string(time.count()));
    m_pendingStall = time;
}

Instant SimulatedVm::bootNow() const
{
    return m_world.m_queue.now() + m_bootClockOffset;
}

Sleep SimulatedVm::sleep(Duration time)
{
    return Sleep{.m_process = m_process, .m_time = time};
}

Sleep SimulatedVm::threadDelay()
{
    return sleep(m_world.m_random.chance(m_faults.m_lateThread) ? m_world.m_random.duration(0, m_faults.m_latestMs) : Duration(0));
}

void SimulatedVm::post(OwnerEvent event)
{
    m_state.m_events->tryPush(std::move(event));
    m_eventPosted.notifyAll();
}

// ---- Calls to the store

namespace {

template<class T>
struct StoreCall {
    std::shared_ptr<Suspended> m_suspended;
    std::optional<Result<T>> m_result;

    void finish(const Result<T> &result)
    {
        if (!m_result) {
            m_result.emplace(result);
            if (m_suspended) {
                m_suspended->resumeOnce();
            }
        }
    }
};

// The language fixes the names of the members of coroutine types. NOLINTBEGIN(readability-identifier-naming)
template<class T>
struct StoreCallEnd {
    std::shared_ptr<StoreCall<T>> m_call;

    [[nodiscard]] bool await_ready() const noexcept
    {
        return m_call->m_result.has_value();
    }
    void await_suspend(std::coroutine_handle<> handle) const
    {
        m_call->m_suspended = std::make_shared<Suspended>(Suspended{.m_handle = handle});
    }
    void await_resume() const noexcept
    {
    }
};
// NOLINTEND(readability-identifier-naming)

} // namespace

static bool isWithin(const std::vector<std::pair<Instant, Instant>> &times, Instant now)
{
    return std::any_of(times.begin(), times.end(), [now](const auto &time) { return time.first <= now && now < time.second; });
}

template<class T>
Co<Result<T>> SimulatedVm::callStore(Duration timeout, std::function<void(std::function<void(const Result<T> &)>)> execute)
{
    auto call = std::make_shared<StoreCall<T>>();
    auto &world = m_world;
    const auto now = world.m_queue.now();
    const auto fate = drawFate(world.m_random, world.m_faults.m_store);
    const Error unanswered(ErrorKind::DeadlineExceeded, "no answer", "try again");
    const Error refused(ErrorKind::Unavailable, "refused", "try again");
    const auto finishAt = [process = m_process, call](Instant at, const Result<T> &result) {
        SimulatedProcess::schedule(process, at, [call, result] { call->finish(result); });
    };
    finishAt(now + timeout, unanswered);
    if (fate.m_refused) {
        finishAt(now + fate.m_out + fate.m_back, refused);
    } else {
        const bool arrives = !fate.m_lostCall && (fate.m_late || !world.isCut(m_node, m_storeNode));
        if (fate.m_closesEarly && (!arrives || fate.m_late)) {
            finishAt(now + fate.m_out + fate.m_back, unanswered);
        }
        const auto answer = [&world, fate, finishAt, from = m_storeNode, to = m_node](const Result<T> &result) {
            if (!fate.m_late && !fate.m_lostAnswer && !world.isCut(from, to)) {
                finishAt(world.m_queue.now() + fate.m_back, result);
            }
        };
        if (arrives) {
            world.m_queue.add(now + fate.m_late.value_or(fate.m_out), [&world, answer, execute = std::move(execute), refused] {
                if (isWithin(world.m_faults.m_storeOutages, world.m_queue.now())) {
                    return;
                }
                if (isWithin(world.m_faults.m_storeRefusals, world.m_queue.now())) {
                    answer(refused);
                    return;
                }
                execute(answer);
            });
        }
    }
    StoreCallEnd<T> end{.m_call = call};
    co_await end;
    co_return *call->m_result;
}

Co<Result<StoreCommit>> SimulatedVm::commit(StoreTransaction transaction)
{
    std::function<void(std::function<void(const Result<StoreCommit> &)>)> execute
        = [&store = m_world.m_store, transaction](const auto &answer) { answer(store.commit(transaction)); };
    auto call = callStore<StoreCommit>(storeTimeout, std::move(execute));
    co_return co_await call;
}

Co<Result<std::optional<StoreItem>>> SimulatedVm::get(std::string key)
{
    std::function<void(std::function<void(const Result<std::optional<StoreItem>> &)>)> execute
        = [&store = m_world.m_store, key](const auto &answer) { answer(store.get(key)); };
    auto call = callStore<std::optional<StoreItem>>(storeTimeout, std::move(execute));
    co_return co_await call;
}

namespace {

struct Page {
    StoreListing m_listing;
    bool m_more = false;
};

} // namespace

Co<Result<StoreListing>> SimulatedVm::list(std::string prefix)
{
    std::vector<StoreItem> items;
    std::int64_t revision = 0;
    std::string after;
    while (true) {
        std::function<void(std::function<void(const Result<Page> &)>)> execute = [&store = m_world.m_store, prefix, after](const auto &answer) {
            bool more = false;
            const auto listing = store.list(prefix, after, pageSize, more);
            answer(Page{.m_listing = listing, .m_more = more});
        };
        auto call = callStore<Page>(storeTimeout, std::move(execute));
        const auto page = co_await call;
        if (!page.ok()) {
            co_return page.error();
        }
        const auto &listing = page.value().m_listing;
        revision = revision == 0 ? listing.m_revision : revision;
        for (const auto &item : listing.m_items) {
            items.push_back(item);
        }
        if (!page.value().m_more) {
            co_return StoreListing{.m_items = items, .m_revision = revision};
        }
        after = items.back().m_key;
    }
}

Co<Result<StoreChanges>> SimulatedVm::watch(std::string prefix, std::int64_t revision, Duration wait)
{
    const auto delay = m_world.m_random.chance(m_world.m_faults.m_watchDelayed) ? m_world.m_random.duration(0, longestWatchDelayMs) : Duration(0);
    std::function<void(std::function<void(const Result<StoreChanges> &)>)> execute = [&world = m_world, prefix, revision, wait, delay](const auto &answer) {
        world.m_store.watch(prefix, revision, wait, [&world, answer, delay](const Result<StoreChanges> &changes) {
            world.m_queue.add(world.m_queue.now() + delay, [answer, changes] { answer(changes); });
        });
    };
    auto call = callStore<StoreChanges>(wait + watchTimeoutAllowance, std::move(execute));
    co_return co_await call;
}

// ---- Calls to workers

// Lets events of the same millisecond that were added earlier or later come first.
static void runAfterHandOvers(EventQueue &queue, Instant at, std::int64_t handOvers, std::function<void()> event)
{
    if (handOvers == 0) {
        event();
        return;
    }
    queue.add(at, [&queue, at, handOvers, event = std::move(event)] { runAfterHandOvers(queue, at, handOvers - 1, event); });
}

std::optional<SimulatedVm::WorkerConnection> SimulatedVm::usableConnection(const OrderTarget &target)
{
    const auto found = m_workerConnections.find(target.m_worker);
    if (found == m_workerConnections.end()) {
        return std::nullopt;
    }
    if (found->second.m_workerStarts != m_world.m_workerStarts[target.m_worker] || m_world.m_random.chance(idleConnectionClosed)) {
        m_workerConnections.erase(found);
        return std::nullopt;
    }
    const bool allowed = !target.m_connectedBefore || found->second.m_establishedAt < *target.m_connectedBefore;
    return allowed ? std::optional(found->second) : std::nullopt;
}

template<class Reply>
void SimulatedVm::callWorker(const OrderTarget &target,
                             bool isReport,
                             std::function<void(OrderDelivery delivery, std::function<void(const Reply &)>)> execute,
                             std::function<Reply(OrderAnswer)> failure,
                             std::function<void(const Reply &)> handler)
{
    const auto send = [this, target, isReport, execute = std::move(execute), failure = std::move(failure), handler = std::move(handler)] {
        auto &world = m_world;
        const auto now = world.m_queue.now();
        const auto fate = drawFate(world.m_random, world.m_faults.m_workers);
        auto done = std::make_shared<bool>(false);
        const auto finishAt = [this, process = m_process, done, handler](Instant at, const Reply &reply) {
            SimulatedProcess::schedule(process, at, [this, done, handler, reply] {
                if (!std::exchange(*done, true)) {
                    handler(reply);
                    m_eventPosted.notifyAll();
                }
            });
        };
        if (target.m_sentBefore && bootNow() >= *target.m_sentBefore) {
            finishAt(now, failure(OrderAnswer::NotSent));
            return;
        }
        const auto connection = usableConnection(target);
        const bool onLaterConnection = isReport && !connection && target.m_connectedBefore;
        if (!connection && !onLaterConnection && target.m_connectedBefore && bootNow() >= *target.m_connectedBefore) {
            finishAt(now, failure(OrderAnswer::NotSent));
            return;
        }
        finishAt(now + target.m_timeout, failure(OrderAnswer::Unanswered));
        const NetworkNode worker{.m_name = target.m_worker, .m_zone = world.m_workerZones[target.m_worker]};
        const auto earlyAnswerAt = now + fate.m_out + fate.m_back;
        if (fate.m_refused) {
            finishAt(earlyAnswerAt, failure(fate.m_closesEarly ? OrderAnswer::NotSent : OrderAnswer::Unhealthy));
            return;
        }
        const bool cut = world.isCut(m_node, worker);
        if (fate.m_lostCall || cut || fate.m_late) {
            if (fate.m_closesEarly && !cut) {
                finishAt(earlyAnswerAt, failure(OrderAnswer::Unanswered));
            }
            if (fate.m_lostCall || cut) {
                return;
            }
        }
        const auto answer = [&world, fate, finishAt, from = worker, to = m_node](const Reply &reply) {
            if (!fate.m_late && !fate.m_lostAnswer && !world.isCut(from, to)) {
                const auto at = world.m_queue.now() + fate.m_back;
                const auto handOvers = world.m_faults.m_closeRaces ? world.m_random.between(0, maxHandOvers) : 0;
                runAfterHandOvers(world.m_queue, at, handOvers, [finishAt, at, reply] { finishAt(at, reply); });
            }
        };
        const auto startsAtSending = world.m_workerStarts[target.m_worker];
        world.m_queue.add(now + fate.m_late.value_or(fate.m_out),
                          [this,
                           process = m_process,
                           &world,
                           target,
                           connection,
                           startsAtSending,
                           sentAt = now,
                           onLaterConnection,
                           fate,
                           answer,
                           execute,
                           failure,
                           finishAt] {
                              world.checkWorkers();
                              const auto &name = target.m_worker;
                              const bool restarted = world.m_workerStarts[name] != startsAtSending;
                              if (!fate.m_late && connection && restarted) {
                                  finishAt(world.m_queue.now(),
                                           failure(OrderAnswer::Unanswered)); // The connection ended with the process that had accepted it.
                                  return;
                              }
                              if (!fate.m_late && !connection && process->isAlive()) {
                                  const WorkerConnection opened{.m_workerStarts = world.m_workerStarts[name], .m_establishedAt = bootNow()};
                                  if (!onLaterConnection && target.m_connectedBefore && opened.m_establishedAt >= *target.m_connectedBefore) {
                                      finishAt(world.m_queue.now(), failure(OrderAnswer::NotSent));
                                      return;
                                  }
                                  m_workerConnections.emplace(name, opened);
                              }
                              // While the worker is down, the call gets no answer, or its machine refuses the connection or passes it to another worker.
                              if (world.m_workers.isUp(name) || fate.m_closesEarly) {
                                  execute(OrderDelivery{.m_late = fate.m_late.has_value(),
                                                        .m_afterRestart = fate.m_late && restarted,
                                                        .m_onLaterConnection = onLaterConnection,
                                                        .m_sentAt = sentAt},
                                          answer);
                                  world.checkWorkers();
                              }
                          });
    };
    if (m_sendDelay == Duration(0)) {
        send();
    } else {
        SimulatedProcess::schedule(m_process, m_process->now() + m_sendDelay, send);
    }
}

WorkerCalls SimulatedVm::workerCalls()
{
    const auto orderFailure = [](OrderAnswer answer) { return OrderReply{.m_answer = answer, .m_workerClockMs = std::nullopt}; };
    const auto reportFailure = [](OrderAnswer answer) { return RunReportReply{.m_answer = answer, .m_runReport = std::nullopt}; };
    return WorkerCalls{
        .m_sendStartOrder =
            [this, orderFailure](const OrderTarget &target, const StartOrder &order, const std::function<void(const OrderReply &)> &handler) {
                auto &world = m_world;
                const auto text = world.m_trace.enabled() ? describeStart(target, order) : std::string();
                trace("sends " + text);
                if (m_pendingSendStall > Duration(0)) {
                    m_sendDelay = std::max(m_sendDelay, std::exchange(m_pendingSendStall, Duration(0)));
                    m_process->pauseUntil(world.m_queue.now() + m_sendDelay);
                    trace("stalls for " + std::to_string(m_sendDelay.count()));
                }
                callWorker<OrderReply>(
                    target,
                    false,
                    [&world, target, order, sender = m_node.m_name, text](OrderDelivery delivery, const std::function<void(const OrderReply &)> &answer) {
                        const auto reply = world.m_workers.startOrder(target, order, sender, delivery, world.m_queue.now());
                        if (world.m_trace.enabled()) {
                            world.m_trace.add(describeExecution(delivery) + text + " from " + sender + " " + describeAnswer(reply.m_answer));
                        }
                        answer(reply);
                    },
                    orderFailure,
                    [this, handler, text](const OrderReply &reply) {
                        trace("got " + describeAnswer(reply.m_answer) + " to " + text);
                        handler(reply);
                    });
            },
        .m_sendStopOrder =
            [this, orderFailure](
                const OrderTarget &target, const TaskReference &task, std::int64_t runNumber, const std::function<void(const OrderReply &)> &handler) {
                auto &world = m_world;
                const auto text = world.m_trace.enabled() ? describeStop(target, task, runNumber) : std::string();
                trace("sends " + text);
                callWorker<OrderReply>(
                    target,
                    false,
                    [&world, target, task, runNumber, text](OrderDelivery delivery, const std::function<void(const OrderReply &)> &answer) {
                        const auto reply = world.m_workers.stopOrder(target, task, runNumber, world.m_queue.now());
                        if (world.m_trace.enabled()) {
                            world.m_trace.add(describeExecution(delivery) + text + " " + describeAnswer(reply.m_answer));
                        }
                        answer(reply);
                    },
                    orderFailure,
                    [this, handler, text](const OrderReply &reply) {
                        trace("got " + describeAnswer(reply.m_answer) + " to " + text);
                        handler(reply);
                    });
            },
        .m_requestRunReport =
            [this, reportFailure](const OrderTarget &target, const RunReportRequest &request, const std::function<void(const RunReportReply &)> &handler) {
                auto &world = m_world;
                callWorker<RunReportReply>(
                    target,
                    true,
                    [&world, target, sent = request, sender = m_node.m_name, reportFailure](OrderDelivery delivery,
                                                                                            const std::function<void(const RunReportReply &)> &answer) {
                        const auto now = world.m_queue.now();
                        const RunReportRequest request{.m_lastAcknowledgedEnd = delivery.m_onLaterConnection ? 0 : sent.m_lastAcknowledgedEnd,
                                                       .m_leaseEndMs = sent.m_leaseEndMs,
                                                       .m_wait = sent.m_wait};
                        const auto reply = world.m_workers.report(target, request, delivery, now);
                        if (world.m_trace.enabled() && (delivery.m_late || request.m_lastAcknowledgedEnd > 0)) {
                            world.m_trace.add(describeExecution(delivery) + describeRequest(target, request) + " from " + sender + " "
                                              + describeAnswer(reply.m_answer));
                        }
                        const bool listsEnds = world.m_faults.m_closeRaces && reply.m_runReport && !reply.m_runReport->m_ends.empty();
                        if (reply.m_answer != OrderAnswer::Accepted || request.m_wait == Duration(0) || listsEnds) {
                            answer(reply);
                            return;
                        }
                        world.waitForRunEnd(SimulatedWorld::WaitingPoll{.m_worker = target.m_worker,
                                                                        .m_workerStarts = world.m_workerStarts[target.m_worker],
                                                                        .m_endCount = world.m_workers.endCount(target.m_worker),
                                                                        .m_deadline = now + request.m_wait,
                                                                        .m_answer = [answer, reportFailure](const std::optional<RunReportReply> &current) {
                                                                            answer(current ? *current : reportFailure(OrderAnswer::Unanswered));
                                                                        }});
                    },
                    reportFailure,
                    [this, handler, worker = target.m_worker](const RunReportReply &reply) {
                        if (m_world.m_trace.enabled()) {
                            trace("got " + describeReport(worker, reply));
                        }
                        handler(reply);
                    });
            },
    };
}

// ---- Session

Instant SimulatedVm::leaseEnd(std::int64_t fence) const
{
    if (fence != 0 && fence == m_sessionFence) {
        return m_leaseEnd;
    }
    return fence != 0 && fence == m_endedFence ? m_endedAt : Instant();
}

bool SimulatedVm::electionNeeded() const
{
    return !m_ownerKnown || (m_namedAsOwner && m_sessionFence == 0);
}

Duration SimulatedVm::electionDelay() const
{
    std::vector<double> peerCores;
    for (const auto &peer : m_directory.peers()) {
        if (peer != m_self) {
            peerCores.push_back(peer.m_processorCores);
        }
    }
    return successionDelay(
        SuccessionView{.m_processorCores = m_self.m_processorCores, .m_peerCores = std::move(peerCores), .m_uptime = bootNow() - m_startedAt});
}

void SimulatedVm::endOwnership(const std::string &reason)
{
    const auto fence = std::exchange(m_sessionFence, 0);
    if (fence == 0) {
        return;
    }
    m_endedFence = fence;
    m_endedAt = std::min(m_leaseEnd, bootNow());
    trace("ends ownership " + std::to_string(fence) + ": " + reason);
    handleOwnershipLost(fence, reason);
}

Co<Nothing> SimulatedVm::openSession()
{
    const auto sentAt = bootNow();
    std::function<void(std::function<void(const Result<std::int64_t> &)>)> execute
        = [&store = m_world.m_store](const auto &answer) { answer(store.grantLease(storeLease)); };
    auto grant = callStore<std::int64_t>(storeTimeout, std::move(execute));
    const auto lease = co_await grant;
    if (!lease.ok()) {
        co_return Nothing{};
    }
    const auto key = std::string(StoreKeys::vms) + m_self.m_vm;
    const StoreTransaction transaction{
        .m_expectations = {}, .m_writes = {StoreWrite{.m_key = key, .m_value = encodePeer(m_self), .m_leaseId = lease.value()}}, .m_removals = {}};
    auto registration = commit(transaction);
    const auto registered = co_await registration;
    if (!registered.ok()) {
        co_return Nothing{};
    }
    m_leaseEnd = sentAt + storeLease;
    m_leaseId = lease.value();
    trace("opens session " + std::to_string(m_leaseId));
    m_sessionChanged.notifyAll();
    co_return Nothing{};
}

Co<Nothing> SimulatedVm::renewSession(std::int64_t lease)
{
    const auto sentAt = bootNow();
    std::function<void(std::function<void(const Result<bool> &)>)> execute
        = [&store = m_world.m_store, lease](const auto &answer) { answer(store.renewLease(lease)); };
    auto renewal = callStore<bool>(renewalTimeout, std::move(execute));
    const auto renewed = co_await renewal;
    auto delay = threadDelay();
    co_await delay;
    if (renewed.ok()) {
        m_leaseEnd = sentAt + storeLease;
        co_return Nothing{};
    }
    if (renewed.error().kind() != ErrorKind::NotFound) {
        co_return Nothing{};
    }
    m_leaseId = 0;
    endOwnership("the session's lease has expired");
    auto opening = openSession();
    co_await opening;
    co_return Nothing{};
}

void SimulatedVm::requestHandOverToLargerVm()
{
    const auto now = bootNow();
    if (m_sessionFence == 0 || now - m_ownerSince < minOwnershipTime || now < m_nextHandOver || electionDelay() == Duration(0)) {
        return;
    }
    m_nextHandOver = now + handOverCooldown;
    m_releaseReason = "a VM with a larger processor share can own the fleet";
}

Co<Nothing> SimulatedVm::revokeLater(std::int64_t lease)
{
    std::function<void(std::function<void(const Result<bool> &)>)> execute
        = [&store = m_world.m_store, lease](const auto &answer) { answer(store.revokeLease(lease)); };
    auto revocation = callStore<bool>(storeTimeout, std::move(execute));
    co_await revocation;
    co_return Nothing{};
}

Co<Nothing> SimulatedVm::releaseOwnershipIfRequested()
{
    const auto reason = std::exchange(m_releaseReason, {});
    if (reason.empty() || m_sessionFence == 0) {
        co_return Nothing{};
    }
    const auto lease = std::exchange(m_leaseId, 0);
    endOwnership(reason);
    auto revocation = revokeLater(lease);
    co_await revocation;
    co_return Nothing{};
}

Co<Nothing> SimulatedVm::runRenewals()
{
    Duration pause(0);
    const std::function<bool()> interrupted = [this] { return m_closed || !m_releaseReason.empty(); };
    while (true) {
        auto wait = m_sessionChanged.waitFor(interrupted, pause);
        co_await wait;
        if (m_closed) {
            co_return Nothing{};
        }
        const auto startedAt = bootNow();
        requestHandOverToLargerVm();
        auto release = releaseOwnershipIfRequested();
        co_await release;
        const auto lease = m_leaseId;
        const auto period = m_sessionFence != 0 ? ownerRenewalPeriod : renewalPeriod;
        auto step = lease == 0 ? openSession() : renewSession(lease);
        co_await step;
        pause = std::max(minRenewalPause, period - (bootNow() - startedAt));
    }
}

std::optional<std::int64_t> SimulatedVm::fenceIfHeldBySelf(const std::optional<StoreItem> &item, std::int64_t lease) const
{
    const auto holder = item && item->m_leaseId == lease ? decodePeer(item->m_value) : std::nullopt;
    return holder && *holder == m_self ? std::optional(item->m_revision) : std::nullopt;
}

Co<Nothing> SimulatedVm::tryAcquireOwnership()
{
    const auto lease = m_leaseId;
    if (lease == 0) {
        co_return Nothing{};
    }
    const std::string key(StoreKeys::owner);
    const StoreTransaction transaction{.m_expectations = {StoreExpectation{.m_key = key, .m_revision = 0}},
                                       .m_writes = {StoreWrite{.m_key = key, .m_value = encodePeer(m_self), .m_leaseId = lease}},
                                       .m_removals = {}};
    auto writing = commit(transaction);
    const auto result = co_await writing;
    std::optional<std::int64_t> fence;
    if (result.ok() && result.value().m_committed) {
        fence = result.value().m_revision;
    } else if (!result.ok() && result.error().kind() == ErrorKind::DeadlineExceeded) {
        auto reading = get(key);
        const auto item = co_await reading;
        fence = item.ok() ? fenceIfHeldBySelf(item.value(), lease) : std::nullopt;
    } else if (result.ok() && !result.value().m_current.empty()) {
        fence = fenceIfHeldBySelf(result.value().m_current.front(), lease);
    }
    auto delay = threadDelay();
    co_await delay;
    if (fence) {
        auto beginning = beginOwnership(*fence, lease);
        co_await beginning;
    }
    co_return Nothing{};
}

Co<Nothing> SimulatedVm::adoptOwnershipKey()
{
    const auto lease = m_leaseId;
    auto reading = get(std::string(StoreKeys::owner));
    const auto item = co_await reading;
    const auto fence = item.ok() && lease != 0 ? fenceIfHeldBySelf(item.value(), lease) : std::nullopt;
    if (fence) {
        auto beginning = beginOwnership(*fence, lease);
        co_await beginning;
    }
    co_return Nothing{};
}

Co<Nothing> SimulatedVm::beginOwnership(std::int64_t fence, std::int64_t lease)
{
    if (m_closed || m_leaseId != lease) {
        co_return Nothing{};
    }
    m_sessionFence = fence;
    m_ownerSince = bootNow();
    trace("begins ownership " + std::to_string(fence));
    auto gaining = handleOwnershipGained(fence);
    co_await gaining;
    co_return Nothing{};
}

Co<Nothing> SimulatedVm::runElections()
{
    const std::function<bool()> electable = [this] { return m_closed || (electionNeeded() && m_sessionFence == 0 && m_leaseId != 0); };
    const std::function<bool()> ownerAppeared = [this] { return m_closed || m_ownerKnown; };
    const std::function<bool()> closed = [this] { return m_closed; };
    while (true) {
        auto waitForElection = m_sessionChanged.waitFor(electable, std::nullopt);
        co_await waitForElection;
        if (!m_namedAsOwner) {
            auto delay = m_sessionChanged.waitFor(ownerAppeared, electionDelay());
            co_await delay;
        }
        if (m_closed) {
            co_return Nothing{};
        }
        if (!electionNeeded()) {
            continue;
        }
        auto attempt = m_namedAsOwner ? adoptOwnershipKey() : tryAcquireOwnership();
        co_await attempt;
        if (electionNeeded()) {
            auto pause = m_sessionChanged.waitFor(closed, electionRetryPeriod);
            co_await pause;
        }
    }
}

void SimulatedVm::setKnownOwner()
{
    const auto owner = m_directory.owner();
    m_ownerKnown = owner.has_value();
    m_namedAsOwner = owner && owner->m_vm == m_self;
    if (m_sessionFence != 0 && owner && owner->m_fence > m_sessionFence) {
        endOwnership("the store names another owner");
    }
    m_sessionChanged.notifyAll();
}

void SimulatedVm::requestOwnershipRelease(std::int64_t fence, const std::string &reason)
{
    if (m_sessionFence != fence || fence == 0) {
        return;
    }
    m_releaseReason = reason;
    m_sessionChanged.notifyAll();
}

void SimulatedVm::handOver()
{
    if (m_closed) {
        return;
    }
    trace("hands over");
    m_closed = true;
    const auto lease = m_leaseId;
    m_sessionChanged.notifyAll();
    endOwnership("this VM is stopping");
    if (lease != 0) {
        m_process->startThread(revokeLater(lease));
    }
}

// ---- FleetNode

Co<Nothing> SimulatedVm::watchPrefix(std::string prefix,
                                     std::optional<std::int64_t> revision,
                                     std::function<void(const StoreListing &)> listed,
                                     std::function<void(const StoreChange &)> changed,
                                     std::function<bool()> keepWatching,
                                     std::function<void(std::int64_t revision, Instant confirmedAt)> confirmed)
{
    auto lastRevision = revision.value_or(unknownRevision);
    const auto longestWait = confirmed ? std::min(watchWait, (*m_zoneDrainBound - startSendingBound) / 3) : watchWait;
    bool interrupted = false;
    while (keepWatching()) {
        if (lastRevision == unknownRevision) {
            const auto requestedAt = bootNow();
            auto reading = list(prefix);
            const auto listing = co_await reading;
            if (!listing.ok()) {
                interrupted = true;
                auto pause = sleep(watchRetryDelay);
                co_await pause;
                continue;
            }
            auto delay = threadDelay();
            co_await delay;
            listed(listing.value());
            if (confirmed) {
                confirmed(listing.value().m_revision, requestedAt);
            }
            lastRevision = listing.value().m_revision;
        }
        const auto requestedAt = bootNow();
        auto watching = watch(prefix, lastRevision, interrupted && confirmed ? std::min(waitAfterInterruption, longestWait) : longestWait);
        const auto changes = co_await watching;
        interrupted = !changes.ok();
        if (!changes.ok()) {
            if (changes.error().kind() == ErrorKind::Conflict) {
                lastRevision = unknownRevision;
            } else {
                auto pause = sleep(watchRetryDelay);
                co_await pause;
            }
            continue;
        }
        for (const auto &change : changes.value().m_changes) {
            auto delay = threadDelay();
            co_await delay;
            changed(change);
        }
        lastRevision = changes.value().m_revision;
        if (confirmed) {
            confirmed(lastRevision, requestedAt);
        }
    }
    co_return Nothing{};
}

void SimulatedVm::updatePeerDirectory(const std::string &key, const std::string &value, std::int64_t revision, bool removed)
{
    const bool isOwner = key == StoreKeys::owner;
    if (removed) {
        if (isOwner) {
            m_directory.setOwner(std::nullopt);
        } else if (key.starts_with(StoreKeys::vms)) {
            m_directory.removePeer(key.substr(StoreKeys::vms.size()));
        }
        return;
    }
    const auto peer = decodePeer(value);
    if (!peer) {
        return;
    }
    if (isOwner) {
        m_directory.setOwner(FleetOwnerRecord{.m_vm = *peer, .m_fence = revision});
    } else {
        m_directory.setPeer(*peer);
    }
}

Co<Nothing> SimulatedVm::watchControlKeys()
{
    std::function<void(const StoreListing &)> listed = [this](const StoreListing &listing) {
        m_directory.setOwner(std::nullopt);
        m_directory.clearPeers();
        for (const auto &item : listing.m_items) {
            updatePeerDirectory(item.m_key, item.m_value, item.m_revision, false);
        }
        setKnownOwner();
    };
    std::function<void(const StoreChange &)> changed = [this](const StoreChange &change) {
        updatePeerDirectory(change.m_key, change.m_value, change.m_revision, change.m_removed);
        setKnownOwner();
    };
    auto watching = watchPrefix(std::string(StoreKeys::control), std::nullopt, listed, changed, [] { return true; });
    co_await watching;
    co_return Nothing{};
}

Co<Nothing> SimulatedVm::watchZoneDrains()
{
    std::function<void(const StoreListing &)> listed
        = [this](const StoreListing &listing) { m_zoneDrains.replace(decodeZoneDrains(listing), listing.m_revision, Instant()); };
    std::function<void(const StoreChange &)> changed = [this](const StoreChange &change) {
        if (const auto zone = decodeZoneDrainKey(change.m_key)) {
            m_zoneDrains.change(*zone, !change.m_removed, change.m_revision);
        }
    };
    std::function<void(std::int64_t, Instant)> confirmed = [this](std::int64_t revision, Instant confirmedAt) { m_zoneDrains.confirm(revision, confirmedAt); };
    auto watching = watchPrefix(
        "op/", std::nullopt, listed, changed, [] { return true; }, confirmed);
    co_await watching;
    co_return Nothing{};
}

Co<Nothing> SimulatedVm::readListing(std::string prefix, std::shared_ptr<SnapshotParts> parts, std::optional<Result<StoreListing>> SnapshotParts::*part)
{
    auto reading = list(std::move(prefix));
    const auto listing = co_await reading;
    ((*parts).*part).emplace(listing);
    m_snapshotChanged.notifyAll();
    co_return Nothing{};
}

Co<Nothing> SimulatedVm::readItem(std::string key, std::shared_ptr<SnapshotParts> parts, std::optional<Result<std::optional<StoreItem>>> SnapshotParts::*part)
{
    auto reading = get(std::move(key));
    const auto item = co_await reading;
    ((*parts).*part).emplace(item);
    m_snapshotChanged.notifyAll();
    co_return Nothing{};
}

Co<bool> SimulatedVm::startTermFromStore(std::int64_t fence)
{
    const auto requestedAt = bootNow();
    auto parts = std::make_shared<SnapshotParts>();
    m_process->startThread(readListing(std::string(StoreKeys::inbox), parts, &SnapshotParts::m_inbox));
    m_process->startThread(readListing(std::string(StoreKeys::progress), parts, &SnapshotParts::m_progress));
    m_process->startThread(readListing(std::string(workerPrefix), parts, &SnapshotParts::m_workers));
    m_process->startThread(readItem(std::string(StoreKeys::roster), parts, &SnapshotParts::m_roster));
    m_process->startThread(readItem(std::string(StoreKeys::lateStarts), parts, &SnapshotParts::m_lateStarts));
    // The seeds of fleets without zone drains are older than these two reads, and keep their histories without them.
    if (m_zoneDrainBound) {
        m_process->startThread(readItem(std::string(StoreKeys::speeds), parts, &SnapshotParts::m_speeds));
        m_process->startThread(readListing(std::string(zoneDrainPrefix), parts, &SnapshotParts::m_zoneDrains));
    } else {
        parts->m_speeds.emplace(std::optional<StoreItem>());
        parts->m_zoneDrains.emplace(StoreListing{.m_items = {}, .m_revision = 0});
    }
    const std::function<bool()> complete = [parts] {
        return parts->m_inbox && parts->m_progress && parts->m_workers && parts->m_roster && parts->m_lateStarts && parts->m_speeds && parts->m_zoneDrains;
    };
    auto waiting = m_snapshotChanged.waitFor(complete, std::nullopt);
    co_await waiting;
    if (!parts->m_inbox->ok() || !parts->m_progress->ok() || !parts->m_workers->ok() || !parts->m_roster->ok() || !parts->m_lateStarts->ok()
        || !parts->m_speeds->ok() || !parts->m_zoneDrains->ok()) {
        co_return false;
    }
    auto delay = threadDelay();
    co_await delay;
    if (m_zoneDrainBound) {
        const auto &drains = parts->m_zoneDrains->value();
        m_zoneDrains.replace(decodeZoneDrains(drains), drains.m_revision, requestedAt);
    }
    const StoreSnapshot snapshot{.m_inbox = parts->m_inbox->value(),
                                 .m_progress = parts->m_progress->value(),
                                 .m_workers = parts->m_workers->value(),
                                 .m_roster = parts->m_roster->value(),
                                 .m_lateStarts = parts->m_lateStarts->value(),
                                 .m_speeds = parts->m_speeds->value()};
    const auto decoded = decodeSnapshot(snapshot, fence, m_configuration.current(), bootNow());
    if (m_term.m_fence != fence) {
        co_return true;
    }
    trace("has read its snapshot " + std::to_string(fence));
    beginWriterTerm(fence, decoded.m_revisions);
    post(OwnershipGained{.m_snapshot = decoded.m_fleet});
    m_term = Term{.m_fence = fence,
                  .m_inboxRevision = snapshot.m_inbox.m_revision,
                  .m_workersRevision = snapshot.m_workers.m_revision,
                  .m_workerKeys = decoded.m_workerKeys};
    m_termChanged.notifyAll();
    co_return true;
}

Co<Nothing> SimulatedVm::handleOwnershipGained(std::int64_t fence)
{
    if (fence <= m_lastEndedFence) {
        co_return Nothing{};
    }
    m_term = Term{.m_fence = fence};
    while (m_term.m_fence == fence) {
        auto start = startTermFromStore(fence);
        const bool started = co_await start;
        if (started) {
            break;
        }
        auto pause = sleep(snapshotRetryDelay);
        co_await pause;
    }
    co_return Nothing{};
}

void SimulatedVm::handleOwnershipLost(std::int64_t fence, const std::string &reason)
{
    m_lastEndedFence = std::max(m_lastEndedFence, fence);
    if (m_term.m_fence == fence) {
        m_term = Term{};
        endWriterTerm();
    }
    post(OwnershipLost{.m_fence = fence, .m_reason = reason});
}

void SimulatedVm::postInboxEntry(std::int64_t fence, const std::string &key, const std::string &value)
{
    if (key.starts_with(StoreKeys::cancellations)) {
        post(EventOfTerm{.m_fence = fence, .m_event = JobCancelled{.m_job = key.substr(StoreKeys::cancellations.size())}});
        return;
    }
    const auto spec = decodeSubmissionAt(key, value);
    if (spec.ok()) {
        post(EventOfTerm{.m_fence = fence, .m_event = JobSubmitted{.m_spec = std::make_shared<const JobSpec>(spec.value())}});
    }
}

Co<Nothing> SimulatedVm::watchInbox()
{
    const std::function<bool()> hasTerm = [this] { return m_term.m_inboxRevision != 0; };
    while (true) {
        auto waiting = m_termChanged.waitFor(hasTerm, std::nullopt);
        co_await waiting;
        const auto fence = m_term.m_fence;
        std::function<void(const StoreListing &)> listed = [this, fence](const StoreListing &listing) {
            for (const auto prefix : {StoreKeys::submissions, StoreKeys::cancellations}) {
                for (const auto &item : listing.m_items) {
                    if (item.m_key.starts_with(prefix)) {
                        postInboxEntry(fence, item.m_key, item.m_value);
                    }
                }
            }
        };
        std::function<void(const StoreChange &)> changed = [this, fence](const StoreChange &change) {
            if (!change.m_removed) {
                postInboxEntry(fence, change.m_key, change.m_value);
            }
        };
        std::function<bool()> keepWatching = [this, fence] { return m_term.m_fence == fence; };
        auto watching = watchPrefix(std::string(StoreKeys::inbox), m_term.m_inboxRevision, listed, changed, keepWatching);
        co_await watching;
    }
}

void SimulatedVm::postWorkerEntry(std::int64_t fence, const std::string &key, const std::string &value, std::int64_t revision)
{
    const auto report = decodeWorkerReport(key.substr(workerPrefix.size()), value, revision);
    if (report.ok()) {
        post(EventOfTerm{.m_fence = fence, .m_event = WorkerReported{.m_report = std::make_shared<const WorkerReport>(report.value())}});
    }
}

Co<Nothing> SimulatedVm::watchWorkers()
{
    const std::function<bool()> hasTerm = [this] { return m_term.m_inboxRevision != 0; };
    while (true) {
        auto waiting = m_termChanged.waitFor(hasTerm, std::nullopt);
        co_await waiting;
        const auto fence = m_term.m_fence;
        auto known = std::make_shared<std::set<std::string>>(m_term.m_workerKeys);
        const auto postRemoval = [this, fence](const std::string &key) {
            post(EventOfTerm{.m_fence = fence, .m_event = WorkerEntryRemoved{.m_worker = key.substr(workerPrefix.size())}});
        };
        std::function<void(const StoreListing &)> listed = [this, fence, known, postRemoval](const StoreListing &listing) {
            std::set<std::string> keys;
            for (const auto &item : listing.m_items) {
                keys.insert(item.m_key);
                postWorkerEntry(fence, item.m_key, item.m_value, item.m_revision);
            }
            for (const auto &key : *known) {
                if (!keys.contains(key)) {
                    postRemoval(key);
                }
            }
            *known = std::move(keys);
        };
        std::function<void(const StoreChange &)> changed = [this, fence, known, postRemoval](const StoreChange &change) {
            if (change.m_removed) {
                known->erase(change.m_key);
                postRemoval(change.m_key);
            } else {
                known->insert(change.m_key);
                postWorkerEntry(fence, change.m_key, change.m_value, change.m_revision);
            }
        };
        std::function<bool()> keepWatching = [this, fence] { return m_term.m_fence == fence; };
        auto watching = watchPrefix(std::string(workerPrefix), m_term.m_workersRevision, listed, changed, keepWatching);
        co_await watching;
    }
}

// ---- ProgressWriter

void SimulatedVm::beginWriterTerm(std::int64_t fence, const std::vector<RecordRevision> &revisions)
{
    ++m_writerTerm;
    m_writerFence = fence;
    m_queued.clear();
    m_revisions.clear();
    for (const auto &entry : revisions) {
        m_revisions[entry.m_key] = entry.m_revision;
    }
}

void SimulatedVm::endWriterTerm()
{
    ++m_writerTerm;
    m_writerFence.reset();
    m_queued.clear();
}

void SimulatedVm::enqueueRecord(std::int64_t fence, const DurableRecord &record)
{
    if (m_writerFence != fence) {
        return;
    }
    m_queued.insert_or_assign(record.m_key, std::make_shared<const DurableRecord>(record));
    m_writerChanged.notifyAll();
}

void SimulatedVm::reportRecorded(const Batch &batch, std::size_t index, std::int64_t revision)
{
    const auto &record = *batch.m_records[index].m_record;
    if (m_writerTerm != batch.m_term) {
        return;
    }
    m_revisions[record.m_key] = revision;
    if (record.m_key == StoreKeys::lateStarts || record.m_key == StoreKeys::speeds) {
        return;
    }
    if (record.m_job) {
        post(
            EventOfTerm{.m_fence = batch.m_fence,
                        .m_event = ProgressRecorded{.m_job = record.m_job->m_spec->m_id, .m_version = record.m_version, .m_outcome = record.m_job->m_outcome}});
    } else {
        post(EventOfTerm{.m_fence = batch.m_fence, .m_event = RosterRecorded{.m_version = record.m_version}});
    }
}

void SimulatedVm::requeue(const Batch &batch, std::size_t index, std::optional<std::int64_t> revision)
{
    if (m_writerTerm != batch.m_term) {
        return;
    }
    const auto &record = batch.m_records[index].m_record;
    if (revision) {
        m_revisions[record->m_key] = *revision;
    }
    m_queued.emplace(record->m_key, record);
}

Co<Nothing> SimulatedVm::writeBatch(std::shared_ptr<const Batch> batch)
{
    std::vector<StoreExpectation> expectations{StoreExpectation{.m_key = std::string(StoreKeys::owner), .m_revision = batch->m_fence}};
    std::vector<StoreWrite> writes;
    for (const auto &record : batch->m_records) {
        expectations.push_back(StoreExpectation{.m_key = record.m_record->m_key, .m_revision = record.m_revision});
        writes.push_back(StoreWrite{.m_key = record.m_record->m_key, .m_value = record.m_value, .m_leaseId = 0});
    }
    const StoreTransaction transaction{.m_expectations = expectations, .m_writes = writes, .m_removals = {}};
    auto writing = commit(transaction);
    const auto result = co_await writing;
    if (m_world.m_trace.enabled()) {
        std::string text = !result.ok() ? "cannot write" : (result.value().m_committed ? "has written" : "was refused");
        for (const auto &record : batch->m_records) {
            text += " " + record.m_record->m_key + "@" + std::to_string(record.m_record->m_version);
        }
        trace(text + " fence " + std::to_string(batch->m_fence));
    }
    auto delay = threadDelay();
    co_await delay;
    const auto count = batch->m_records.size();
    if (!result.ok()) {
        for (std::size_t index = 0; index < count; ++index) {
            requeue(*batch, index, std::nullopt);
        }
        auto pause = sleep(writerRetryDelay);
        co_await pause;
        co_return Nothing{};
    }
    if (result.value().m_committed) {
        for (std::size_t index = 0; index < count; ++index) {
            reportRecorded(*batch, index, result.value().m_revision);
        }
        co_return Nothing{};
    }
    std::map<std::string, const StoreItem *> current;
    for (const auto &item : result.value().m_current) {
        current[item.m_key] = &item;
    }
    const auto owner = current.find(std::string(StoreKeys::owner));
    if (owner == current.end() || owner->second->m_revision != batch->m_fence) {
        requestOwnershipRelease(batch->m_fence, "the store refused a write");
        co_return Nothing{};
    }
    for (std::size_t index = 0; index < count; ++index) {
        const auto found = current.find(batch->m_records[index].m_record->m_key);
        if (found != current.end() && found->second->m_value == batch->m_records[index].m_value) {
            reportRecorded(*batch, index, found->second->m_revision);
        } else {
            requeue(*batch, index, found == current.end() ? 0 : found->second->m_revision);
        }
    }
    co_return Nothing{};
}

Co<Nothing> SimulatedVm::runWriter()
{
    const std::function<bool()> hasWork = [this] { return m_writerFence && !m_queued.empty(); };
    const std::function<bool()> isFull = [this] { return m_queued.size() >= maxRecordsPerTransaction; };
    while (true) {
        auto waiting = m_writerChanged.waitFor(hasWork, std::nullopt);
        co_await waiting;
        auto collecting = m_writerChanged.waitFor(isFull, batchDelay);
        co_await collecting;
        if (!m_writerFence || m_queued.empty()) {
            continue;
        }
        auto batch = std::make_shared<Batch>(Batch{.m_fence = *m_writerFence, .m_term = m_writerTerm, .m_records = {}});
        while (!m_queued.empty() && batch->m_records.size() < maxRecordsPerTransaction) {
            const auto first = m_queued.begin();
            const auto &record = first->second;
            batch->m_records.push_back(Record{
                .m_record = record, .m_value = record->m_job ? encodeProgress(*record->m_job) : record->m_value, .m_revision = m_revisions[first->first]});
            m_queued.erase(first);
        }
        auto writing = writeBatch(batch);
        co_await writing;
    }
}

// ---- FleetOwner

Co<Nothing> SimulatedVm::runOwner()
{
    OwnerPacing pacing;
    const std::function<bool()> hasEvents = [this] { return m_state.m_events->size() > 0; };
    while (true) {
        // An iteration without events does nothing while another VM owns the fleet.
        const auto wait = m_state.m_fence == 0 ? std::nullopt : std::optional(maxWaitForEvents(m_state, pacing, bootNow()));
        auto waiting = m_eventPosted.waitFor(hasEvents, wait);
        co_await waiting;
        auto stallBefore = sleep(std::exchange(m_pendingStall, Duration(0)));
        co_await stallBefore;
        auto lateStart = threadDelay();
        co_await lateStart;
        const auto events = m_state.m_events->popBatchFor(maxEventBatch, Duration(0));
        auto lateClock = threadDelay();
        co_await lateClock;
        const auto now = bootNow();
        if (m_world.m_random.chance(m_faults.m_stall)) {
            m_sendDelay = m_world.m_random.duration(1, m_faults.m_longestStallMs);
            if (m_world.m_random.chance(0.5)) {
                m_process->pauseUntil(m_world.m_queue.now() + m_sendDelay);
            }
            trace("stalls for " + std::to_string(m_sendDelay.count()));
        }
        runOwnerIteration(m_state, pacing, events, now);
        auto stall = sleep(m_sendDelay);
        co_await stall;
        m_sendDelay = Duration(0);
    }
}

} // namespace PrimroseBridge
