#include "httpport.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>

#include <exception>

namespace PrimroseBridge::Standin {

namespace {

constexpr int threadsPerPort = 64; // Each pending watch and each kept connection occupies one.
constexpr std::size_t maxBodyBytes = 4 * 1024 * 1024; // Base64 makes a value of 1 MB a third larger.

class Handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit Handler(const HttpHandler &handler)
        : m_handler(handler)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        try {
            m_handler(request, response);
        } catch (const Poco::Net::NetException &) {
            closeWithoutAnswer(request, response); // The client has gone.
        } catch (const std::exception &error) {
            if (!response.sent()) {
                sendJson(response, 400, {{"error", error.what()}, {"code", 3}, {"message", error.what()}});
            }
        }
    }

private:
    const HttpHandler &m_handler;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit Factory(HttpHandler handler)
        : m_handler(std::move(handler))
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/) override
    {
        return new Handler(m_handler); // POCO deletes it.
    }

private:
    const HttpHandler m_handler;
};

Poco::Net::StreamSocket &socketOf(Poco::Net::HTTPServerRequest &request)
{
    return static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
}

} // namespace

struct HttpPort::Private {
    Private(const Poco::Net::SocketAddress &address, const HttpHandler &handler)
        : m_threads(2, threadsPerPort)
        , m_server(new Factory(handler), m_threads, Poco::Net::ServerSocket(address, 128), new Poco::Net::HTTPServerParams)
    {
        m_server.start();
    }

    Poco::ThreadPool m_threads;
    Poco::Net::HTTPServer m_server;
};

HttpPort::HttpPort(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

HttpPort::~HttpPort()
{
    m_private->m_server.stopAll(true);
    m_private->m_threads.joinAll();
}

Result<std::shared_ptr<HttpPort>> HttpPort::create(const std::string &host, std::uint16_t port, const HttpHandler &handler)
{
    try {
        return std::shared_ptr<HttpPort>(new HttpPort(std::make_unique<Private>(Poco::Net::SocketAddress(host, port), handler)));
    } catch (const Poco::Exception &error) {
        return Error(ErrorKind::Unavailable, host + ":" + std::to_string(port) + " cannot listen: " + error.displayText(), "choose another address");
    }
}

std::string readBody(Poco::Net::HTTPServerRequest &request)
{
    if (request.getContentLength64() > static_cast<Poco::Int64>(maxBodyBytes)) {
        throw Poco::DataException("the body exceeds 4 MB");
    }
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

void sendJson(Poco::Net::HTTPServerResponse &response, int status, const nlohmann::json &message)
{
    const std::string body = message.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    response.sendBuffer(body.data(), body.size());
}

void closeWithoutAnswer(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    response.setKeepAlive(false);
    try {
        socketOf(request).shutdown();
    } catch (const Poco::Exception &) { // NOLINT(bugprone-empty-catch): the client has closed the connection already.
    }
}

bool clientHasLeft(Poco::Net::HTTPServerRequest &request)
{
    // A client sends nothing while it watches, so readable input means the end of the stream.
    return socketOf(request).poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ | Poco::Net::Socket::SELECT_ERROR);
}

} // namespace PrimroseBridge::Standin
