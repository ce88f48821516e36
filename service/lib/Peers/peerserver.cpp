#include "peerserver.h"

#include "forwardcodec.h"
#include "limits.h"

#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Peers/configurationholder.h"
#include "primrosebridge/Pipeline/timerservice.h"
#include "primrosebridge/Wire/address.h"
#include "primrosebridge/Wire/error.h"
#include "primrosebridge/Wire/range.h"

#include <grpcpp/resource_quota.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <grpcpp/server_context.h>

#include <algorithm>

namespace PrimroseBridge {

namespace wire = primrosebridge::wire;

static grpc::Status serveHeartbeat(PeerState &state, const wire::HeartbeatMessage &request, wire::HeartbeatMessage *reply)
{
    const auto accepted = acceptHeartbeat(state, request, TimerService::wallClockNow());
    if (!accepted.ok()) {
        logEvent(LogLevel::Warn, "heartbeat_refused", {{"reason", accepted.error().what()}});
        return statusOf(accepted.error());
    }
    encodeHeartbeat(ownHeartbeat(state, accepted.value().m_heartbeat.m_zone, true), reply);
    state.m_heartbeatBytes += reply->ByteSizeLong();
    return grpc::Status::OK;
}

static void serveConfiguration(const PeerState &state, const wire::FetchConfigurationRequest &request, wire::FetchConfigurationReply *reply)
{
    const auto current = state.m_configuration.current();
    if (!current || current->m_configuration.m_version < request.at_least_version()) {
        return;
    }
    reply->set_version(current->m_configuration.m_version);
    reply->set_document(current->m_document);
}

static void serveEvents(const PeerState &state, const wire::FetchEventsRequest &request, wire::FetchEventsReply *reply)
{
    const Instant since = checkInstant("start of the events", request.since_ms()).value();
    const auto events = state.m_events.since(since, request.key());
    std::size_t bytes = 0;
    auto first = events.size();
    wire::Event message;
    for (; first > 0; --first) {
        message.Clear();
        encodeEvent(events[first - 1], &message);
        bytes += message.ByteSizeLong();
        if (bytes > maxEventBytes) {
            break;
        }
    }
    for (auto index = first; index < events.size(); ++index) {
        encodeEvent(events[index], reply->add_events());
    }
    reply->set_vm(state.m_settings.m_vm.text());
    reply->set_now_ms(toMilliseconds(TimerService::wallClockNow()));
    reply->set_truncated(first > 0 || state.m_events.truncatedSince(since));
}

// One forwarded call among those in progress.
class ForwardSlot
{
public:
    explicit ForwardSlot(std::atomic<int> &used)
        : m_used(used)
        , m_number(++used)
    {
    }
    ~ForwardSlot()
    {
        --m_used;
    }
    ForwardSlot(const ForwardSlot &) = delete;
    ForwardSlot &operator=(const ForwardSlot &) = delete;

    [[nodiscard]] bool exists() const
    {
        return m_number <= maxForwards;
    }
    [[nodiscard]] bool mayWait() const
    {
        return m_number <= maxWaitingForwards;
    }

private:
    std::atomic<int> &m_used;
    const int m_number;
};

static ForwardCall withoutWait(const ForwardCall &call)
{
    return ForwardCall{
        call.m_kind,
        call.m_zone,
        call.m_key,
        call.m_organisation,
        Duration(0),
        call.m_jobClass,
        call.m_payload,
        call.m_declaredRunTime,
    };
}

static Result<ForwardAnswer> answerForward(const PeerState &state, const wire::ForwardRequest &request, std::atomic<int> &used)
{
    const ForwardSlot slot(used);
    if (!slot.exists()) {
        return Error(ErrorKind::Unavailable, "too many forwarded calls are in progress on this VM", "retry after the given time", forwardRetryAfter);
    }
    const auto call = decodeForwardCall(request);
    if (!call.ok()) {
        return call.error();
    }
    try {
        return state.m_callbacks.m_answerForward(slot.mayWait() ? call.value() : withoutWait(call.value()));
    } catch (const Error &error) {
        return error;
    } catch (const std::exception &exception) {
        logEvent(LogLevel::Error, "forward_failed", {{"key", request.key()}, {"reason", exception.what()}});
        return Error(ErrorKind::Internal, std::string("the owner failed: ") + exception.what(), "report this fault");
    }
}

// gRPC's generated base class makes virtual functions necessary here.
class PeerServiceImplementation final : public wire::PeerService::Service
{
public:
    void start(PeerState *state)
    {
        m_state = state;
    }

    grpc::Status Heartbeat(grpc::ServerContext *, const wire::HeartbeatMessage *request, wire::HeartbeatMessage *reply) override
    {
        return guarded([&](PeerState &state) { return serveHeartbeat(state, *request, reply); });
    }

    grpc::Status FetchConfiguration(grpc::ServerContext *, const wire::FetchConfigurationRequest *request, wire::FetchConfigurationReply *reply) override
    {
        return guarded([&](PeerState &state) {
            serveConfiguration(state, *request, reply);
            return grpc::Status::OK;
        });
    }

    grpc::Status Forward(grpc::ServerContext *context, const wire::ForwardRequest *request, wire::ForwardReply *reply) override
    {
        return guarded([&](PeerState &state) {
            // The sender has given up, so the call must not take effect any more.
            if (context->IsCancelled() || context->deadline() <= std::chrono::system_clock::now()) {
                return grpc::Status(grpc::StatusCode::CANCELLED, "the call arrived after its deadline");
            }
            encodeForwardAnswer(answerForward(state, *request, m_forwards), reply);
            return grpc::Status::OK;
        });
    }

    grpc::Status FetchEvents(grpc::ServerContext *, const wire::FetchEventsRequest *request, wire::FetchEventsReply *reply) override
    {
        return guarded([&](PeerState &state) {
            serveEvents(state, *request, reply);
            return grpc::Status::OK;
        });
    }

private:
    template<class Serve>
    grpc::Status guarded(const Serve &serve)
    {
        PeerState *state = m_state;
        if (!state) {
            return statusOf(Error(ErrorKind::Unavailable, "this process is starting", "retry"));
        }
        try {
            return serve(*state);
        } catch (const Error &error) {
            return statusOf(error);
        } catch (const std::exception &exception) {
            return statusOf(Error(ErrorKind::Internal, exception.what(), "report this fault"));
        }
    }

    std::atomic<PeerState *> m_state = nullptr;
    std::atomic<int> m_forwards = 0;
};

struct PeerServer::Private {
    PeerServiceImplementation m_service;
    std::unique_ptr<grpc::Server> m_server;
    std::string m_address;
};

PeerServer::PeerServer(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

static std::unique_ptr<grpc::Server> startServer(const std::string &listenAddress, grpc::Service &service, int *port)
{
    constexpr std::size_t bufferBytes = 16 * 1024 * 1024; // Half of the 32 MB that a process may occupy.
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota("peers");
    quota.Resize(bufferBytes).SetMaxThreads(serverThreads);
    builder.SetResourceQuota(quota);
    builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, 2);
    builder.SetMaxReceiveMessageSize(maxMessageBytes);
    // With port sharing, two processes on one address would each receive some of the calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    builder.AddListeningPort(listenAddress, grpc::InsecureServerCredentials(), port);
    builder.RegisterService(&service);
    return builder.BuildAndStart();
}

static bool hasPortZero(const std::string &address)
{
    return address.ends_with(":0");
}

Result<std::shared_ptr<PeerServer>> PeerServer::create(const std::string &listenAddress)
{
    const std::string host = listenAddress.substr(0, listenAddress.rfind(':') + 1);
    const auto checked = checkAddress("listen address", hasPortZero(listenAddress) ? host + "1" : listenAddress);
    if (!checked.ok()) {
        return checked.error();
    }
    auto state = std::make_unique<Private>();
    int port = 0;
    state->m_server = startServer(listenAddress, state->m_service, &port);
    if (!state->m_server || port <= 0) {
        return Error(ErrorKind::Unavailable, "the peer address " + listenAddress + " cannot be bound", "choose a free port of this VM's address");
    }
    state->m_address = host + std::to_string(port);
    return std::shared_ptr<PeerServer>(new PeerServer(std::move(state)));
}

PeerServer::~PeerServer()
{
    m_private->m_server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
    m_private->m_server->Wait();
}

const std::string &PeerServer::address() const
{
    return m_private->m_address;
}

void PeerServer::serve(PeerState &state)
{
    m_private->m_service.start(&state);
}

} // namespace PrimroseBridge
