#include "storeservice.h"

#include "keyvaluestore.h"
#include "storefaults.h"
#include "storejson.h"

#include <algorithm>
#include <functional>
#include <map>
#include <ostream>

namespace PrimroseBridge::Standin {

using Json = nlohmann::json;
using Request = Poco::Net::HTTPServerRequest;
using Response = Poco::Net::HTTPServerResponse;

namespace {

// A watch notices a client that has left, and a request to close, within this time.
constexpr std::chrono::milliseconds watchCheckPeriod(250);

struct Backend {
    KeyValueStore m_store;
    StoreControl m_control;
};

/// What a call answers, and whether it wrote, so that its answer can be lost.
struct Reply {
    const int m_status;
    const Json m_body;
    const bool m_wrote;
};

using Call = std::function<Reply(Backend &, const Json &)>;

struct Route {
    const std::string m_kind;
    const Call m_call;
};

Reply errorReply(const Error &error)
{
    return {error.kind() == ErrorKind::NotFound ? 404 : 400, encodeError(error), false};
}

Reply range(Backend &backend, const Json &message)
{
    const auto read = decodeRead(message);
    const auto answer = backend.m_store.commit({{}, {Operation(read)}, {}});
    if (!answer.ok()) {
        return errorReply(answer.error());
    }
    const auto &first = answer.value().m_answers.front();
    return {200, encodeRead(first.m_keys, first.m_count, read.m_limit, answer.value().m_revision), false};
}

Reply transact(Backend &backend, const Json &message)
{
    const auto answer = backend.m_store.commit(decodeTransaction(message));
    if (!answer.ok()) {
        return errorReply(answer.error());
    }
    return {200, encodeTransaction(answer.value()), true};
}

Reply grantLease(Backend &backend, const Json &message)
{
    const auto seconds = integerField(message, "TTL");
    const auto lease = backend.m_store.grantLease(seconds, integerField(message, "ID"));
    if (!lease.ok()) {
        return errorReply(lease.error());
    }
    const auto header = encodeHeader(backend.m_store.revision());
    return {200, {{"header", header}, {"ID", std::to_string(lease.value())}, {"TTL", std::to_string(seconds)}}, true};
}

Reply renewLease(Backend &backend, const Json &message)
{
    const auto lease = integerField(message, "ID");
    const auto seconds = backend.m_store.renewLease(lease);
    Json result = {{"header", encodeHeader(backend.m_store.revision())}, {"ID", std::to_string(lease)}};
    if (seconds > 0) {
        result["TTL"] = std::to_string(seconds);
    }
    return {200, {{"result", result}}, true};
}

Reply revokeLease(Backend &backend, const Json &message)
{
    if (!backend.m_store.revokeLease(integerField(message, "ID"))) {
        return errorReply(Error(ErrorKind::NotFound, "etcdserver: requested lease not found", "grant a new lease"));
    }
    return {200, {{"header", encodeHeader(backend.m_store.revision())}}, true};
}

const std::map<std::string, Route> &routes()
{
    static const std::map<std::string, Route> all = {
        {"/v3/kv/range", {"range", range}},
        {"/v3/kv/txn", {"txn", transact}},
        {"/v3/lease/grant", {"leaseGrant", grantLease}},
        {"/v3/lease/keepalive", {"leaseKeepalive", renewLease}},
        {"/v3/lease/revoke", {"leaseRevoke", revokeLease}},
        {"/v3/kv/lease/revoke", {"leaseRevoke", revokeLease}},
    };
    return all;
}

void sendLine(std::ostream &stream, const Json &message)
{
    stream << message.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n' << std::flush;
}

bool mayStillWatch(Backend &backend, Request &request, std::int64_t generation)
{
    const auto faults = backend.m_control.faults();
    const int port = request.serverAddress().port();
    return backend.m_control.watchGeneration() == generation && refusalOf(*faults, port, request.get("X-Primrosebridge-Vm", "")) == Refusal::None;
}

void watch(Backend &backend, Request &request, Response &response)
{
    const Json create = field(Json::parse(readBody(request)), "create_request");
    const KeyRange keys = decodeKeyRange(create);
    const auto generation = backend.m_control.watchGeneration();
    std::int64_t next = integerField(create, "start_revision");
    if (next <= 0) {
        next = backend.m_store.revision() + 1;
    }
    response.setChunkedTransferEncoding(true);
    response.setContentType("application/json");
    response.setKeepAlive(false);
    std::ostream &stream = response.send();
    sendLine(stream, {{"result", {{"header", encodeHeader(backend.m_store.revision())}, {"watch_id", "0"}, {"created", true}}}});
    while (stream.good() && mayStillWatch(backend, request, generation) && !clientHasLeft(request) && !backend.m_store.stopped()) {
        const auto batch = backend.m_store.waitForEvents(keys, next, watchCheckPeriod);
        if (!mayStillWatch(backend, request, generation)) {
            break; // A client that is cut off must not learn of events that follow the cut.
        }
        if (!batch.m_events.empty() || batch.m_compactedRevision > 0) {
            sendLine(stream, encodeEvents(batch));
        }
        if (batch.m_compactedRevision > 0) {
            return;
        }
        next = std::max(next, batch.m_revision + 1);
    }
    closeWithoutAnswer(request, response);
}

void refuse(Backend &backend, const StoreFaultsPointer &faults, Refusal refusal, Request &request, Response &response)
{
    backend.m_control.count("refused");
    if (refusal == Refusal::Unavailable) {
        sendJson(response, 503, {{"error", "the store is unavailable"}, {"code", 14}, {"message", "the store is unavailable"}});
        return;
    }
    if (refusal == Refusal::Hang) {
        backend.m_control.waitForChange(faults);
    }
    closeWithoutAnswer(request, response);
}

void serveCall(Backend &backend, const Route &route, Request &request, Response &response)
{
    backend.m_control.count(route.m_kind);
    const Reply reply = route.m_call(backend, Json::parse(readBody(request)));
    if (reply.m_wrote && backend.m_control.takeLostAnswer()) {
        closeWithoutAnswer(request, response);
        return;
    }
    sendJson(response, reply.m_status, reply.m_body);
}

void serveControl(Backend &backend, const std::string &path, Request &request, Response &response)
{
    if (path == "/standin/faults") {
        backend.m_control.change(Json::parse(readBody(request)));
        sendJson(response, 200, Json::object());
        return;
    }
    if (path == "/standin/books") {
        sendJson(response, 200, backend.m_control.books());
        return;
    }
    sendJson(response, 404, {{"error", "no such control path"}});
}

void serve(Backend &backend, Request &request, Response &response)
{
    const std::string path = request.getURI().substr(0, request.getURI().find('?'));
    if (path.rfind("/standin/", 0) == 0) {
        serveControl(backend, path, request, response);
        return;
    }
    const auto faults = backend.m_control.faults();
    const auto refusal = refusalOf(*faults, request.serverAddress().port(), request.get("X-Primrosebridge-Vm", ""));
    if (refusal != Refusal::None) {
        refuse(backend, faults, refusal, request, response);
        return;
    }
    if (faults->m_delay.count() > 0) {
        backend.m_control.sleepFor(faults->m_delay);
    }
    if (path == "/v1/vms") {
        backend.m_control.count("vms");
        sendJson(response, 200, backend.m_control.vms());
        return;
    }
    if (path == "/v3/watch") {
        backend.m_control.count("watch");
        watch(backend, request, response);
        return;
    }
    const auto route = routes().find(path);
    if (route == routes().end()) {
        sendJson(response, 404, {{"error", "Not Found"}, {"code", 5}, {"message", "Not Found"}});
        return;
    }
    serveCall(backend, route->second, request, response);
}

} // namespace

struct StoreService::Private {
    Backend m_backend;
    std::vector<std::shared_ptr<HttpPort>> m_ports;
};

StoreService::StoreService(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

StoreService::~StoreService()
{
    // Ends every watch and every hanging call first, because the ports wait for their threads.
    m_private->m_backend.m_store.stop();
    m_private->m_backend.m_control.stop();
    m_private->m_ports.clear();
}

Result<std::shared_ptr<StoreService>> StoreService::create(const std::string &host, const std::vector<std::uint16_t> &ports)
{
    std::shared_ptr<StoreService> service(new StoreService(std::make_unique<Private>()));
    Backend &backend = service->m_private->m_backend;
    for (const auto number : ports) {
        const auto port = HttpPort::create(host, number, [&backend](Request &request, Response &response) { serve(backend, request, response); });
        if (!port.ok()) {
            return port.error();
        }
        service->m_private->m_ports.push_back(port.value());
    }
    return service;
}

} // namespace PrimroseBridge::Standin
