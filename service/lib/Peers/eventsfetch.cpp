#include "eventsfetch.h"

#include "forwardcodec.h"
#include "limits.h"

#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Pipeline/timerservice.h"
#include "primrosebridge/Wire/range.h"

#include <grpcpp/completion_queue.h>

#include <algorithm>

namespace PrimroseBridge {

namespace wire = primrosebridge::wire;

// One question to one peer. Its address is the tag in the completion queue.
struct EventsCall {
    EventsCall(PeerState &state, const Peer &peer)
        : m_peer(peer)
        , m_connection(state.m_connections.get(peer.m_address))
        , m_registered(state.m_calls, m_context)
    {
    }
    const Peer m_peer;
    const std::shared_ptr<const PeerConnection> m_connection;
    grpc::ClientContext m_context;
    const RegisteredCall m_registered;
    const Instant m_sentAt = TimerService::wallClockNow();
    Instant m_receivedAt;
    wire::FetchEventsReply m_reply;
    grpc::Status m_status = grpc::Status(grpc::StatusCode::CANCELLED, "not sent");
    std::unique_ptr<grpc::ClientAsyncResponseReader<wire::FetchEventsReply>> m_reader;
};

using EventsCalls = std::vector<std::unique_ptr<EventsCall>>;

static std::optional<Duration> knownOffset(const PeerState &state, const VmId &vm)
{
    const auto clock = state.m_clocks.find(vm);
    return clock ? std::optional<Duration>(clock->m_offset) : std::nullopt;
}

static void startCall(const PeerState &state, EventsCall &call, Instant since, const std::string &key, grpc::CompletionQueue &completions)
{
    const Duration offset = knownOffset(state, call.m_peer.m_vm).value_or(Duration(0));
    wire::FetchEventsRequest request;
    request.set_since_ms(std::max(toMilliseconds(since - offset), 0LL));
    request.set_key(key);
    call.m_context.set_deadline(std::chrono::system_clock::now() + eventsDeadline);
    call.m_reader = call.m_connection->m_stub->AsyncFetchEvents(&call.m_context, request, &completions);
    call.m_reader->Finish(&call.m_reply, &call.m_status, &call);
}

static EventsCalls askPeers(PeerState &state, const MembershipView &view, Instant since, const std::string &key)
{
    EventsCalls calls;
    grpc::CompletionQueue completions;
    for (const auto &[vm, peer] : view.m_peers) {
        if (peer.m_status == PeerStatus::Removed) {
            continue;
        }
        calls.push_back(std::make_unique<EventsCall>(state, peer));
        if (calls.back()->m_registered.accepted()) {
            startCall(state, *calls.back(), since, key, completions);
        }
    }
    completions.Shutdown();
    void *tag = nullptr;
    bool completed = false;
    while (completions.Next(&tag, &completed)) {
        static_cast<EventsCall *>(tag)->m_receivedAt = TimerService::wallClockNow();
    }
    return calls;
}

// Throws InvalidArgument if the answer cannot be read.
static ProcessEvents readReply(const PeerState &state, const EventsCall &call)
{
    if (call.m_reply.vm() != call.m_peer.m_vm.text()) {
        throw Error(ErrorKind::InvalidArgument, "VM " + call.m_reply.vm() + " answered in place of the peer", "wait for the peer's next heartbeat");
    }
    const Instant peerClock = checkInstant("time of the answer", call.m_reply.now_ms()).value();
    std::vector<TimelineEvent> events;
    events.reserve(static_cast<std::size_t>(call.m_reply.events_size()));
    for (const auto &event : call.m_reply.events()) {
        events.push_back(decodeEvent(event).value());
    }
    const Duration measured = call.m_sentAt + (call.m_receivedAt - call.m_sentAt) / 2 - peerClock;
    return ProcessEvents{call.m_peer.m_vm.text(), knownOffset(state, call.m_peer.m_vm).value_or(measured), call.m_reply.truncated(), std::move(events)};
}

static std::optional<ProcessEvents> eventsOf(const PeerState &state, const EventsCall &call)
{
    if (!call.m_status.ok()) {
        return std::nullopt;
    }
    try {
        return readReply(state, call);
    } catch (const Error &error) {
        logEvent(LogLevel::Warn, "events_refused", {{"peer", call.m_peer.m_vm.text()}, {"reason", error.what()}});
        return std::nullopt;
    }
}

std::pair<std::vector<ProcessEvents>, std::vector<std::string>> fetchEventsOfPeers(PeerState &state, Instant since, const std::string &key)
{
    std::vector<ProcessEvents> answers;
    std::vector<std::string> missing;
    const auto view = state.m_view.get();
    for (const auto &call : askPeers(state, *view, since, key)) {
        auto events = eventsOf(state, *call);
        if (events) {
            answers.push_back(std::move(*events));
        } else {
            missing.push_back(call->m_peer.m_vm.text());
        }
    }
    for (const auto &[vm, peer] : view->m_peers) {
        // A removed peer is missing only if it was there during the time in question.
        if (peer.m_status == PeerStatus::Removed && peer.m_heardAt >= since) {
            missing.push_back(vm.text());
        }
    }
    return {std::move(answers), std::move(missing)};
}

} // namespace PrimroseBridge
