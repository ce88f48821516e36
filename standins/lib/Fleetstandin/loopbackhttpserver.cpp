#include "primrosebridge/Fleetstandin/loopbackhttpserver.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

namespace PrimroseBridge {

static constexpr int maxConnections = 64;

using Handler = std::function<StandinAnswer(const StandinCall &)>;

static StandinCall decodeCall(Poco::Net::HTTPServerRequest &request)
{
    const Poco::URI uri(request.getURI());
    std::map<std::string, std::string> query;
    for (const auto &[name, value] : uri.getQueryParameters()) {
        query[name] = value;
    }
    std::map<std::string, std::string> headers;
    for (const auto &[name, value] : request) {
        headers[Poco::toLower(name)] = value;
    }
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return StandinCall{.m_method = request.getMethod(), .m_path = uri.getPath(), .m_query = query, .m_headers = headers, .m_body = body};
}

namespace {

class CallHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit CallHandler(Handler handler)
        : m_handler(std::move(handler))
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        const auto answer = m_handler(decodeCall(request));
        if (answer.m_status == 0) {
            dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().shutdown();
            return;
        }
        response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.m_status));
        response.setContentType("application/json");
        try {
            response.sendBuffer(answer.m_body.data(), answer.m_body.size());
        } catch (const Poco::Exception &) {
            return; // The client has closed the connection.
        }
    }

private:
    const Handler m_handler;
};

class CallHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit CallHandlerFactory(Handler handler)
        : m_handler(std::move(handler))
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new CallHandler(m_handler); // The POCO server takes ownership.
    }

private:
    const Handler m_handler;
};

} // namespace

struct LoopbackHttpServer::Private {
    Poco::ThreadPool m_pool{"standin", 2, maxConnections, 10};
    Poco::Net::ServerSocket m_socket;
    Handler m_handler;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;

    void startServer();
};

void LoopbackHttpServer::Private::startServer()
{
    Poco::Net::HTTPServerParams::Ptr parameters(new Poco::Net::HTTPServerParams);
    parameters->setMaxThreads(maxConnections);
    parameters->setKeepAlive(true);
    parameters->setTimeout(Poco::Timespan(5, 0));
    m_server = std::make_unique<Poco::Net::HTTPServer>(new CallHandlerFactory(m_handler), m_pool, m_socket, parameters);
    m_server->start();
}

LoopbackHttpServer::LoopbackHttpServer(std::function<StandinAnswer(const StandinCall &)> handler)
    : m_private(std::make_unique<Private>())
{
    m_private->m_socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    m_private->m_socket.listen(maxConnections);
    m_private->m_handler = std::move(handler);
    m_private->startServer();
}

void LoopbackHttpServer::closeConnections()
{
    m_private->m_server->stopAll(true);
    m_private->startServer();
}

LoopbackHttpServer::~LoopbackHttpServer()
{
    m_private->m_server->stopAll(true);
    m_private->m_pool.joinAll();
}

std::string LoopbackHttpServer::address() const
{
    return m_private->m_socket.address().toString();
}

} // namespace PrimroseBridge
