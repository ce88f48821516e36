#include "primrosebridge/FrontEnd/httpserver.h"

#include "primrosebridge/Observe/log.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

namespace PrimroseBridge {

constexpr int maxCallsPerConnection = 1000;
constexpr int requestTimeoutSeconds = 10; // POCO applies this timeout to each read of a request, because a client that stops sending occupies a thread.
// Time that a drain waits for the open connections to close. Only a connection with a partly received request takes longer.
constexpr Duration closeTimeout(200);

// State that is shared by all CallHandler objects; POCO creates one for each call.
struct ServerState {
    std::function<HttpReply(const HttpCall &)> m_handler;
    std::function<int()> m_waitingConnections; // Returns how many connections wait for a thread.
    std::size_t m_maxBodyBytes = 0;
    std::atomic<int> m_inProgress = 0;
    std::atomic<bool> m_draining = false;
};

std::string headerValue(const HttpCall &call, const std::string &name)
{
    const auto found = call.m_headers.find(name);
    return found == call.m_headers.end() ? std::string() : found->second;
}

std::string queryValue(const HttpCall &call, const std::string &name)
{
    const auto found = call.m_query.find(name);
    return found == call.m_query.end() ? std::string() : found->second;
}

// Returns the body, or nothing if it is longer than @p limit. Reads and discards up to maxReadFactor times the limit, because closing a
// connection with unread input resets the connection before the client has read the error reply.
static std::optional<std::string> readBody(std::istream &stream, std::size_t limit)
{
    constexpr std::size_t maxReadFactor = 4;
    std::string body;
    std::size_t totalBytes = 0;
    char buffer[8192];
    while (stream.good() && totalBytes <= limit * maxReadFactor) {
        stream.read(buffer, sizeof buffer);
        const auto count = static_cast<std::size_t>(stream.gcount());
        totalBytes += count;
        if (totalBytes <= limit) {
            body.append(buffer, count);
        }
    }
    return totalBytes <= limit ? std::optional(body) : std::nullopt;
}

static std::map<std::string, std::string> lowerCaseHeaders(const Poco::Net::HTTPServerRequest &request)
{
    std::map<std::string, std::string> headers;
    for (const auto &[name, value] : request) {
        headers[Poco::toLower(name)] = value;
    }
    return headers;
}

static HttpCall decodeCall(const Poco::Net::HTTPServerRequest &request, const std::string &body)
{
    const Poco::URI uri(request.getURI());
    std::vector<std::string> path;
    uri.getPathSegments(path);
    std::map<std::string, std::string> query;
    for (const auto &[name, value] : uri.getQueryParameters()) {
        query[name] = value;
    }
    return HttpCall{.m_method = request.getMethod(),
                    .m_path = path,
                    .m_query = query,
                    .m_headers = lowerCaseHeaders(request),
                    .m_body = body,
                    .m_rawPath = request.getURI().substr(0, request.getURI().find('?'))};
}

static void sendReply(const HttpReply &reply, Poco::Net::HTTPServerResponse &response)
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.m_status));
    response.setContentType(reply.m_contentType);
    response.set("X-Content-Type-Options", "nosniff");
    for (const auto &[name, value] : reply.m_headers) {
        response.add(name, value);
    }
    response.sendBuffer(reply.m_body.data(), reply.m_body.size());
}

// The arguments must not need JSON escaping.
static HttpReply protocolErrorReply(int status, const std::string &kind, const std::string &message, const std::string &remedy)
{
    return HttpReply{
        .m_status = status,
        .m_contentType = "application/json",
        .m_body = R"({"error":{"kind":")" + kind + R"(","message":")" + message + R"(","remedy":")" + remedy + R"("}})",
    };
}

static HttpReply readAndHandleCall(const ServerState &state, Poco::Net::HTTPServerRequest &request)
{
    const auto body = readBody(request.stream(), state.m_maxBodyBytes);
    if (!body) {
        return protocolErrorReply(413, "too_large", "the body exceeds " + std::to_string(state.m_maxBodyBytes) + " bytes", "send a smaller body");
    }
    try {
        return state.m_handler(decodeCall(request, *body));
    } catch (const Poco::SyntaxException &) {
        return protocolErrorReply(400, "invalid_argument", "the URI is malformed", "percent-encode the path and the query");
    }
}

class CallHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit CallHandler(std::shared_ptr<ServerState> state)
        : m_state(std::move(state))
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        ++m_state->m_inProgress;
        try {
            const auto reply = readAndHandleCall(*m_state, request);
            // A connection keeps its thread between calls, so that waiting connections would never be served while all others are in use.
            if (reply.m_status == 413 || m_state->m_draining || m_state->m_waitingConnections() > 0) {
                response.setKeepAlive(false);
            }
            sendReply(reply, response);
        } catch (const Poco::Exception &error) {
            logEvent(LogLevel::Debug, "connection_lost", {{"error", error.displayText()}});
        } catch (const std::exception &error) {
            logEvent(LogLevel::Error, "call_failed", {{"error", error.what()}});
        }
        --m_state->m_inProgress;
    }

private:
    std::shared_ptr<ServerState> m_state;
};

class CallHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit CallHandlerFactory(std::shared_ptr<ServerState> state)
        : m_state(std::move(state))
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new CallHandler(m_state); // POCO takes ownership of the handler.
    }

private:
    std::shared_ptr<ServerState> m_state;
};

struct HttpServer::Private {
    explicit Private(int maxThreads)
        : m_pool("http", 2, maxThreads, 60)
    {
    }

    std::shared_ptr<ServerState> m_state = std::make_shared<ServerState>();
    Poco::ThreadPool m_pool;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

static Poco::Net::HTTPServerParams::Ptr makeServerParameters(const HttpServerSettings &settings)
{
    Poco::Net::HTTPServerParams::Ptr parameters(new Poco::Net::HTTPServerParams);
    parameters->setMaxThreads(settings.m_maxThreads);
    parameters->setMaxQueued(settings.m_maxQueuedConnections);
    parameters->setKeepAlive(true);
    parameters->setKeepAliveTimeout(Poco::Timespan(settings.m_keepAliveTimeout.count() * 1000));
    parameters->setMaxKeepAliveRequests(maxCallsPerConnection);
    parameters->setTimeout(Poco::Timespan(requestTimeoutSeconds, 0));
    return parameters;
}

Result<std::unique_ptr<HttpServer>> HttpServer::create(const HttpServerSettings &settings, std::function<HttpReply(const HttpCall &)> handler)
{
    auto state = std::make_shared<Private>(settings.m_maxThreads);
    state->m_state->m_handler = std::move(handler);
    state->m_state->m_maxBodyBytes = settings.m_maxBodyBytes;
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(settings.m_address), true);
        socket.listen(settings.m_maxQueuedConnections);
        state->m_server
            = std::make_unique<Poco::Net::HTTPServer>(new CallHandlerFactory(state->m_state), state->m_pool, socket, makeServerParameters(settings));
        // The server outlives its handlers; see ~HttpServer().
        state->m_state->m_waitingConnections = [server = state->m_server.get()] { return server->queuedConnections(); };
        state->m_server->start();
    } catch (const Poco::Exception &error) {
        return Error(ErrorKind::Unavailable,
                     "cannot listen on " + settings.m_address + ": " + error.displayText(),
                     "check 'httpAddress' in the settings, and check that no other process uses the port");
    }
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::shared_ptr<Private> state)
    : m_private(std::move(state))
{
}

HttpServer::~HttpServer()
{
    m_private->m_server->stopAll(true);
    m_private->m_pool.joinAll();
}

static bool waitForCallsInProgress(const ServerState &state, const Poco::Net::HTTPServer &server, Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (state.m_inProgress == 0 && server.queuedConnections() == 0) {
            return true;
        }
        std::this_thread::sleep_for(Duration(20));
    }
    return state.m_inProgress == 0;
}

bool HttpServer::drain(Duration timeout)
{
    m_private->m_state->m_draining = true;
    m_private->m_server->stop();
    const bool answered = waitForCallsInProgress(*m_private->m_state, *m_private->m_server, timeout);
    // A client keeps using an open connection until it is closed. If the server read another call, the end of the process would abort that call.
    std::promise<void> closed;
    auto isClosed = closed.get_future();
    std::thread([self = m_private, done = std::move(closed)]() mutable {
        self->m_server->stopAll(false); // The argument false lets each connection answer the call that it has already read.
        done.set_value();
    }).detach();
    return isClosed.wait_for(closeTimeout) == std::future_status::ready && answered;
}

} // namespace PrimroseBridge
