#include "workerservice.h"

#include "httpport.h"
#include "workerhost.h"
#include "workerwire.h"

#include "worker.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <iterator>

namespace PrimroseBridge::Standin {

namespace Wire = primrosebridge::wire;

namespace {

const grpc::Status &lostAnswer()
{
    static const grpc::Status status(grpc::StatusCode::UNAVAILABLE, "the answer is lost");
    return status;
}

grpc::Status unknownWorker(const std::string &id)
{
    return {grpc::StatusCode::NOT_FOUND, "worker '" + id + "' is not served here"};
}

// The callback interface of gRPC, so that a pending poll occupies no thread.
class Calls final : public Wire::WorkerService::CallbackService
{
public:
    explicit Calls(WorkerHost &host)
        : m_host(host)
    {
    }

    grpc::ServerUnaryReactor *Execute(grpc::CallbackServerContext *context, const Wire::ExecuteRequest *request, Wire::ExecuteReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        Worker *worker = m_host.find(request->worker());
        if (worker == nullptr) {
            reactor->Finish(unknownWorker(request->worker()));
            return reactor;
        }
        std::vector<TaskCommand> commands;
        std::transform(request->commands().begin(), request->commands().end(), std::back_inserter(commands), [](const Wire::Command &command) {
            return fromWire(command);
        });
        worker->execute(fromWire(request->authority()), commands, steadyNow(), [reactor, reply](const std::optional<ExecuteAnswer> &answer) {
            if (answer) {
                toWire(*answer, *reply);
            }
            reactor->Finish(answer ? grpc::Status::OK : lostAnswer());
        });
        m_host.wake();
        return reactor;
    }

    grpc::ServerUnaryReactor *Poll(grpc::CallbackServerContext *context, const Wire::PollRequest *request, Wire::PollReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        Worker *worker = m_host.find(request->worker());
        if (worker == nullptr) {
            reactor->Finish(unknownWorker(request->worker()));
            return reactor;
        }
        worker->poll(fromWire(*request), steadyNow(), [reactor, reply](const std::optional<PollAnswer> &answer) {
            if (answer) {
                toWire(*answer, *reply);
            }
            reactor->Finish(answer ? grpc::Status::OK : lostAnswer());
        });
        m_host.wake();
        return reactor;
    }

private:
    WorkerHost &m_host;
};

void serveControl(WorkerHost &host, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    if (request.getURI() == "/standin/workers") {
        const int changed = host.change(nlohmann::json::parse(readBody(request)));
        sendJson(response, changed > 0 ? 200 : 404, {{"changed", changed}});
        return;
    }
    if (request.getURI() == "/standin/books") {
        sendJson(response, 200, host.books());
        return;
    }
    sendJson(response, 404, {{"error", "no such control path"}});
}

} // namespace

struct WorkerService::Private {
    explicit Private(const std::vector<WorkerSpec> &specs)
        : m_host(specs)
        , m_calls(m_host)
    {
    }

    WorkerHost m_host;
    Calls m_calls;
    std::unique_ptr<grpc::Server> m_server;
    std::shared_ptr<HttpPort> m_control;
};

WorkerService::WorkerService(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

WorkerService::~WorkerService()
{
    m_private->m_control.reset();
    m_private->m_host.stop();
    if (m_private->m_server) {
        m_private->m_server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
    }
}

Result<std::shared_ptr<WorkerService>>
WorkerService::create(const std::vector<WorkerSpec> &specs, const std::string &address, const std::string &controlHost, std::uint16_t controlPort)
{
    std::shared_ptr<WorkerService> service(new WorkerService(std::make_unique<Private>(specs)));
    WorkerHost &host = service->m_private->m_host;
    const auto control = HttpPort::create(controlHost, controlPort, [&host](auto &request, auto &response) { serveControl(host, request, response); });
    if (!control.ok()) {
        return control.error();
    }
    service->m_private->m_control = control.value();
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0); // A second process on the port must fail instead of sharing the calls.
    builder.RegisterService(&service->m_private->m_calls);
    service->m_private->m_server = builder.BuildAndStart();
    if (!service->m_private->m_server || port == 0) {
        return Error(ErrorKind::Unavailable, address + " cannot listen", "choose another address");
    }
    return service;
}

} // namespace PrimroseBridge::Standin
