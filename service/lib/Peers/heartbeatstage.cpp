#include "heartbeatstage.h"

#include "limits.h"

#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Pipeline/timerservice.h"
#include "primrosebridge/Wire/peer.grpc.pb.h"

#include <grpcpp/completion_queue.h>

#include <system_error>
#include <thread>

namespace PrimroseBridge {

namespace wire = primrosebridge::wire;

struct HeartbeatStage::Private {
    explicit Private(PeerState &state)
        : m_state(state)
    {
    }
    PeerState &m_state;
    BoundedQueue<bool> m_rounds{1};
    grpc::CompletionQueue m_completions;
    std::thread m_sender;
    std::thread m_receiver;
};

// One heartbeat on its way. Its address is the tag in the completion queue.
struct HeartbeatCall {
    HeartbeatCall(PeerState &state, const Peer &peer)
        : m_peer(peer)
        , m_connection(state.m_connections.get(peer.m_address))
        , m_registered(state.m_calls, m_context)
    {
    }
    const Peer m_peer;
    const std::shared_ptr<const PeerConnection> m_connection;
    grpc::ClientContext m_context;
    const RegisteredCall m_registered;
    Instant m_sentAt;
    wire::HeartbeatMessage m_reply;
    grpc::Status m_status;
    std::unique_ptr<grpc::ClientAsyncResponseReader<wire::HeartbeatMessage>> m_reader;
};

static void sendHeartbeat(PeerState &state, const Peer &peer, grpc::CompletionQueue &completions)
{
    auto call = std::make_unique<HeartbeatCall>(state, peer);
    if (!call->m_registered.accepted()) {
        return;
    }
    const StampedHeartbeat heartbeat = ownHeartbeat(state, peer.m_zone, false);
    wire::HeartbeatMessage message;
    encodeHeartbeat(heartbeat, &message);
    state.m_heartbeatBytes += message.ByteSizeLong();
    call->m_sentAt = heartbeat.m_sentAt;
    call->m_context.set_deadline(std::chrono::system_clock::now() + heartbeatDeadline);
    call->m_reader = call->m_connection->m_stub->AsyncHeartbeat(&call->m_context, message, &completions);
    auto *tag = call.release(); // The receiver takes ownership back.
    tag->m_reader->Finish(&tag->m_reply, &tag->m_status, tag);
}

static void refreshLocalState(PeerState &state)
{
    state.m_storeReachable = state.m_callbacks.m_storeReachable && state.m_callbacks.m_storeReachable();
    const auto zones = state.m_callbacks.m_localZones ? state.m_callbacks.m_localZones() : std::vector<ZoneSummary>();
    const Instant now = TimerService::wallClockNow();
    changeView(state, [&zones, now](const MembershipView &view) { return mergeZoneSummaries(advanceMembership(view, now), zones); });
}

static void dropUnusedConnections(PeerState &state, const MembershipView &view)
{
    std::set<std::string> used;
    for (const auto &[vm, peer] : view.m_peers) {
        used.insert(peer.m_address);
    }
    for (const auto &[zone, summary] : view.m_zones) {
        used.insert(summary.m_ownerAddress);
    }
    state.m_connections.retain(used);
}

static void sendRounds(PeerState &state, BoundedQueue<bool> &rounds, grpc::CompletionQueue &completions)
{
    while (rounds.pop()) {
        refreshLocalState(state);
        const auto view = state.m_view.get();
        dropUnusedConnections(state, *view);
        for (const auto &peer : heartbeatTargets(*view, state.m_round++)) {
            sendHeartbeat(state, peer, completions);
        }
    }
}

static void measureClock(PeerState &state, const HeartbeatCall &call, const StampedHeartbeat &reply, Instant now)
{
    const ClockSample sample{reply.m_heartbeat.m_incarnation, call.m_sentAt, reply.m_sentAt, now};
    state.m_clocks.update(reply.m_heartbeat.m_vm, [&sample](const auto &known) -> std::shared_ptr<const ClockOffset> {
        const auto updated = updateClockOffset(known ? std::optional<ClockOffset>(*known) : std::nullopt, sample);
        return updated ? std::make_shared<const ClockOffset>(*updated) : nullptr;
    });
}

static void receiveReply(PeerState &state, const HeartbeatCall &call)
{
    if (!call.m_status.ok()) {
        logEvent(LogLevel::Debug, "heartbeat_failed", {{"peer", call.m_peer.m_vm.text()}, {"reason", call.m_status.error_message()}});
        return;
    }
    const Instant now = TimerService::wallClockNow();
    const auto reply = acceptHeartbeat(state, call.m_reply, now);
    if (!reply.ok()) {
        logEvent(LogLevel::Warn, "heartbeat_refused", {{"peer", call.m_peer.m_vm.text()}, {"reason", reply.error().what()}});
        return;
    }
    measureClock(state, call, reply.value(), now);
}

static void receiveReplies(PeerState &state, grpc::CompletionQueue &completions)
{
    void *tag = nullptr;
    bool completed = false;
    while (completions.Next(&tag, &completed)) {
        const std::unique_ptr<HeartbeatCall> call(static_cast<HeartbeatCall *>(tag));
        receiveReply(state, *call);
    }
}

HeartbeatStage::HeartbeatStage(PeerState &state)
    : m_private(std::make_unique<Private>(state))
{
    auto *stage = m_private.get();
    m_private->m_receiver = std::thread([stage] { receiveReplies(stage->m_state, stage->m_completions); });
    try {
        m_private->m_sender = std::thread([stage] { sendRounds(stage->m_state, stage->m_rounds, stage->m_completions); });
    } catch (const std::system_error &) {
        m_private->m_completions.Shutdown();
        m_private->m_receiver.join();
        throw;
    }
}

HeartbeatStage::~HeartbeatStage()
{
    m_private->m_rounds.close();
    m_private->m_sender.join();
    // The queue may only be shut down once no call can start any more.
    m_private->m_completions.Shutdown();
    m_private->m_receiver.join();
}

void HeartbeatStage::requestRound()
{
    m_private->m_rounds.tryPush(true);
}

} // namespace PrimroseBridge
