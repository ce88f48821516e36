#include "primrosebridge/Fleetservice/fleetpeer.h"

#include <primrosebridge/Fleetpeer/fleet.grpc.pb.h>

#include <grpcpp/create_channel.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>

namespace PrimroseBridge {

namespace wire = primrosebridge::fleet;

// The backoff is short, because callers wait until a peer that was unreachable is connected again.
static constexpr int peerReconnectBackoffMs = 300;
// Calls are short, so that more threads would only use memory.
static constexpr int serverThreads = 8;
static constexpr int maxMessageBytes = 1024 * 1024;

// A connection between zones takes about 30 ms. A caller waits for the connection, and another peer is asked if it fails.
static constexpr Duration connectTimeout(300);

namespace {

struct FleetPeerConnection {
    std::shared_ptr<grpc::Channel> m_channel;
    std::unique_ptr<wire::FleetPeer::Stub> m_stub;
};

} // namespace

struct FleetPeerClient::Private {
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<const FleetPeerConnection>> m_connections;

    std::shared_ptr<const FleetPeerConnection> connectionTo(const std::string &address);
    void dropConnection(const std::string &address);
};

std::shared_ptr<const FleetPeerConnection> FleetPeerClient::Private::connectionTo(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    auto &connection = m_connections[address];
    if (!connection) {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, peerReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, peerReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, peerReconnectBackoffMs);
        // Channels share no connection, so that a channel that replaces an unresponsive one opens a new connection.
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        auto channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
        auto stub = wire::FleetPeer::NewStub(channel);
        connection = std::make_shared<const FleetPeerConnection>(FleetPeerConnection{.m_channel = std::move(channel), .m_stub = std::move(stub)});
    }
    return connection;
}

void FleetPeerClient::Private::dropConnection(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    m_connections.erase(address);
}

// Limits how long a peer's call waits for the owner's thread; shorter than the limit of the call, so that the reason reaches the caller.
static constexpr Duration ownerPreviewTimeout(1800);
// Each preview occupies a thread until the owner's thread answers. While that thread is stuck, the others must be left for writes to the store.
static constexpr int maxPreviewsInProgress = 2;

static void setDeadline(grpc::ClientContext &context, Duration timeout)
{
    context.set_deadline(std::chrono::system_clock::now() + timeout);
}

static Error errorOf(const grpc::Status &status)
{
    if (status.error_code() == grpc::StatusCode::UNAVAILABLE) {
        return {ErrorKind::Unavailable, "the peer cannot be reached: " + status.error_message(), "ask another VM", Duration(peerReconnectBackoffMs)};
    }
    return {ErrorKind::DeadlineExceeded, "the peer did not answer: " + status.error_message(), "ask another VM"};
}

FleetPeerClient::FleetPeerClient()
    : m_private(std::make_unique<Private>())
{
}

FleetPeerClient::~FleetPeerClient() = default;

Result<OwnedJobStatus> FleetPeerClient::jobStatus(const std::string &address, const std::string &queue, const std::string &job, Duration timeout)
{
    wire::JobRequest request;
    request.set_queue(queue);
    request.set_job(job);
    wire::JobReply reply;
    grpc::ClientContext context;
    setDeadline(context, timeout);
    const auto status = m_private->connectionTo(address)->m_stub->GetJob(&context, request, &reply);
    if (!status.ok()) {
        m_private->dropConnection(address);
        return errorOf(status);
    }
    return OwnedJobStatus{.m_isOwner = reply.owner(), .m_status = reply.found() ? std::optional(static_cast<JobStatus>(reply.status())) : std::nullopt};
}

Result<std::optional<std::int64_t>> FleetPeerClient::waitingJobCount(const std::string &address, const std::string &queue, Duration timeout)
{
    wire::WaitingRequest request;
    request.set_queue(queue);
    wire::WaitingReply reply;
    grpc::ClientContext context;
    setDeadline(context, timeout);
    const auto status = m_private->connectionTo(address)->m_stub->CountWaiting(&context, request, &reply);
    if (!status.ok()) {
        m_private->dropConnection(address);
        return errorOf(status);
    }
    return reply.owner() ? std::optional(reply.waiting()) : std::nullopt;
}

Result<std::string> FleetPeerClient::previewPlacement(const std::string &address, const std::string &request, Duration timeout)
{
    wire::PreviewRequest call;
    call.set_request(request);
    wire::PreviewReply reply;
    grpc::ClientContext context;
    setDeadline(context, timeout);
    const auto status = m_private->connectionTo(address)->m_stub->PreviewPlacement(&context, call, &reply);
    if (!status.ok()) {
        m_private->dropConnection(address);
        return Error(ErrorKind::Unavailable, "the owner did not answer: " + status.error_message(), "ask again", previewRetryDelay);
    }
    if (!reply.error_kind().empty()) {
        const auto kind = errorKindFromName(reply.error_kind());
        return Error(kind, reply.message(), reply.remedy(), kind == ErrorKind::Unavailable ? std::optional(previewRetryDelay) : std::nullopt);
    }
    return reply.preview();
}

InboxOutcome FleetPeerClient::recordInboxEntry(const std::string &address, const std::string &job, const std::string &submission, Duration timeout)
{
    wire::RecordRequest request;
    request.set_job(job);
    request.set_cancellation(submission.empty());
    request.set_submission(submission);
    wire::RecordReply reply;
    grpc::ClientContext context;
    const auto connection = m_private->connectionTo(address);
    // If no connection is established, nothing has been sent. The status of a failed call does not tell whether it was sent.
    if (!connection->m_channel->WaitForConnected(std::chrono::system_clock::now() + std::min(timeout, connectTimeout))) {
        m_private->dropConnection(address);
        return InboxOutcome::NotRecorded;
    }
    setDeadline(context, timeout);
    const auto status = connection->m_stub->Record(&context, request, &reply);
    if (status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED) {
        return InboxOutcome::NotRecorded; // The peer rejected the call before executing it because all its threads are busy.
    }
    if (!status.ok()) {
        m_private->dropConnection(address);
        return InboxOutcome::Unknown;
    }
    switch (reply.outcome()) {
    case wire::RecordReply::RECORDED:
        return InboxOutcome::Recorded;
    case wire::RecordReply::NOT_RECORDED:
        return InboxOutcome::NotRecorded;
    case wire::RecordReply::NO_SUCH_JOB:
        return InboxOutcome::NoSuchJob;
    default:
        return InboxOutcome::Unknown;
    }
}

namespace {

class PeerService : public wire::FleetPeer::Service
{
public:
    PeerService(FleetOwner &owner, std::shared_ptr<PlatformStore> store, Duration maxStoreSilence)
        : m_owner(owner)
        , m_store(std::move(store))
        , m_maxStoreSilence(maxStoreSilence)
    {
    }

    grpc::Status GetJob(grpc::ServerContext *, const wire::JobRequest *request, wire::JobReply *reply) override // NOLINT(readability-identifier-naming)
    {
        const auto status = m_owner.status(request->queue(), request->job());
        reply->set_owner(status.m_isOwner);
        reply->set_found(status.m_status.has_value());
        reply->set_status(static_cast<int>(status.m_status.value_or(JobStatus::Queued)));
        return grpc::Status::OK;
    }

    grpc::Status
    CountWaiting(grpc::ServerContext *, const wire::WaitingRequest *request, wire::WaitingReply *reply) override // NOLINT(readability-identifier-naming)
    {
        const auto waiting = m_owner.waitingJobCount(request->queue());
        reply->set_owner(waiting.has_value());
        reply->set_waiting(waiting.value_or(0));
        return grpc::Status::OK;
    }

    grpc::Status Record(grpc::ServerContext *, const wire::RecordRequest *request, wire::RecordReply *reply) override // NOLINT(readability-identifier-naming)
    {
        if (!m_store->answeredWithin(m_maxStoreSilence)) {
            reply->set_outcome(wire::RecordReply::NOT_RECORDED);
            return grpc::Status::OK;
        }
        const auto outcome
            = request->cancellation() ? recordCancellation(*m_store, request->job()) : recordSubmission(*m_store, request->job(), request->submission());
        switch (outcome) {
        case InboxOutcome::Recorded:
            reply->set_outcome(wire::RecordReply::RECORDED);
            break;
        case InboxOutcome::NotRecorded:
        case InboxOutcome::Refused: // The VM that sent the request has compared its size with the limit.
            reply->set_outcome(wire::RecordReply::NOT_RECORDED);
            break;
        case InboxOutcome::NoSuchJob:
            reply->set_outcome(wire::RecordReply::NO_SUCH_JOB);
            break;
        case InboxOutcome::Unknown:
            reply->set_outcome(wire::RecordReply::UNKNOWN);
            break;
        }
        return grpc::Status::OK;
    }

    grpc::Status
    PreviewPlacement(grpc::ServerContext *, const wire::PreviewRequest *request, wire::PreviewReply *reply) override // NOLINT(readability-identifier-naming)
    {
        const bool mayWait = ++m_previewsInProgress <= maxPreviewsInProgress;
        const auto preview = mayWait ? m_owner.preview(request->request(), ownerPreviewTimeout)
                                     : Error(ErrorKind::Unavailable, "the owner answers other previews", "ask again", previewRetryDelay);
        --m_previewsInProgress;
        if (preview.ok()) {
            reply->set_preview(preview.value());
        } else {
            reply->set_error_kind(std::string(errorKindName(preview.error().kind())));
            reply->set_message(preview.error().message());
            reply->set_remedy(preview.error().remedy());
        }
        return grpc::Status::OK;
    }

private:
    FleetOwner &m_owner;
    std::atomic<int> m_previewsInProgress = 0;
    const std::shared_ptr<PlatformStore> m_store;
    const Duration m_maxStoreSilence;
};

} // namespace

struct FleetPeerServer::Private {
    Private(FleetOwner &owner, std::shared_ptr<PlatformStore> store, Duration maxStoreSilence)
        : m_service(owner, std::move(store), maxStoreSilence)
    {
    }

    PeerService m_service;
    std::unique_ptr<grpc::Server> m_server;
};

Result<std::unique_ptr<FleetPeerServer>>
FleetPeerServer::create(const std::string &address, FleetOwner &owner, std::shared_ptr<PlatformStore> store, Duration maxStoreSilence)
{
    auto state = std::make_unique<Private>(owner, std::move(store), maxStoreSilence);
    grpc::ResourceQuota quota;
    quota.SetMaxThreads(serverThreads);
    grpc::ServerBuilder builder;
    builder.SetResourceQuota(quota);
    builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, 2);
    builder.SetMaxReceiveMessageSize(maxMessageBytes);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials());
    builder.RegisterService(&state->m_service);
    state->m_server = builder.BuildAndStart();
    if (!state->m_server) {
        return Error(ErrorKind::Unavailable, "cannot listen on " + address, "check 'peerAddress' in the settings and that no other process uses the port");
    }
    return std::unique_ptr<FleetPeerServer>(new FleetPeerServer(std::move(state)));
}

FleetPeerServer::FleetPeerServer(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

FleetPeerServer::~FleetPeerServer()
{
    m_private->m_server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
}

} // namespace PrimroseBridge
