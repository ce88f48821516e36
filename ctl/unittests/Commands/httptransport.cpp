#include "primrosebridge/Commands/transport.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>

#include <istream>
#include <ostream>
#include <string>
#include <thread>

using namespace PrimroseBridge;

/// Responds with the method, headers and body of the request. The paths /slow, /cut and /absent cause a late response, a
/// truncated response and status 404.
class EchoHandler : public Poco::Net::HTTPRequestHandler
{
public:
    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        const std::string body((std::istreambuf_iterator<char>(request.stream())), std::istreambuf_iterator<char>());
        if (request.getURI() == "/slow") {
            std::this_thread::sleep_for(std::chrono::milliseconds(600));
        }
        const auto text = request.getMethod() + " " + request.get("Authorization", "") + " " + request.get("If-Match", "") + " " + body;
        response.setStatus(request.getURI() == "/absent" ? Poco::Net::HTTPResponse::HTTP_NOT_FOUND : Poco::Net::HTTPResponse::HTTP_OK);
        response.setContentLength64(static_cast<Poco::Int64>(text.size()) + (request.getURI() == "/cut" ? 10 : 0));
        response.setKeepAlive(false);
        response.send() << text << std::flush;
    }
};

class EchoHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new EchoHandler; // HTTPServer takes ownership of the handler.
    }
};

/// A server on a free port of the loopback interface.
class EchoServer
{
public:
    EchoServer()
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_server(new EchoHandlerFactory, m_socket, new Poco::Net::HTTPServerParams)
    {
        m_server.start();
    }
    ~EchoServer()
    {
        m_server.stopAll(true);
    }
    [[nodiscard]] std::string address() const
    {
        return m_socket.address().toString();
    }

private:
    Poco::Net::ServerSocket m_socket;
    Poco::Net::HTTPServer m_server;
};

TEST_CASE("method, token, version and body are sent, and the response status is returned")
{
    const EchoServer server;
    const auto send = makeHttpSender("secret");
    const auto echoed = send(server.address(), {"PUT", "/", "text", 41, false}, Duration(5000)).value();
    CHECK(echoed == ServerResponse{200, "PUT Bearer secret 41 text"});
    CHECK(send(server.address(), {"GET", "/absent", "", std::nullopt, true}, Duration(5000)).value().m_status == 404);
}

// If a lost or truncated response were classified as "not sent", a change would be sent again.
TEST_CASE("late and truncated responses are distinguished from unreachable servers")
{
    const EchoServer server;
    const auto send = makeHttpSender("secret");
    CHECK(send(server.address(), {"GET", "/slow", "", std::nullopt, true}, Duration(100)).error().kind() == ErrorKind::DeadlineExceeded);
    CHECK(send(server.address(), {"GET", "/cut", "", std::nullopt, true}, Duration(2000)).error().kind() == ErrorKind::DeadlineExceeded);
    std::string closedAddress;
    {
        const EchoServer stoppedServer;
        closedAddress = stoppedServer.address();
    }
    CHECK(send(closedAddress, {"GET", "/", "", std::nullopt, true}, Duration(2000)).error().kind() == ErrorKind::Unavailable);
}
