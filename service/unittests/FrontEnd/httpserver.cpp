#include "primrosebridge/FrontEnd/httpserver.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

namespace PrimroseBridge {

static std::string unusedLoopbackAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

namespace {

// Starts an HTTP server on an unused port and opens one connection to it.
class DrainTestServer
{
public:
    explicit DrainTestServer(Duration handlerTime = Duration(0))
        : m_server(HttpServer::create(HttpServerSettings{.m_address = m_address, .m_maxThreads = 4, .m_maxBodyBytes = 1000, .m_maxQueuedConnections = 8},
                                      [this, handlerTime](const HttpCall &) {
                                          ++m_calls;
                                          std::this_thread::sleep_for(handlerTime);
                                          return HttpReply{.m_status = 200, .m_contentType = "text/plain", .m_body = "answer"};
                                      })
                       .take())
    {
        m_connection.connect(Poco::Net::SocketAddress(m_address));
        m_connection.setReceiveTimeout(Poco::Timespan(2, 0));
    }

    void send(const std::string &text)
    {
        m_connection.sendBytes(text.data(), static_cast<int>(text.size()));
    }

    // Returns whether a reply arrives before the connection is closed or the receive timeout of 2 s expires.
    bool receivesReply()
    {
        std::string received;
        char buffer[1024];
        try {
            for (int count = 1; count > 0 && received.find("answer") == std::string::npos;) {
                count = m_connection.receiveBytes(buffer, sizeof buffer);
                received.append(buffer, static_cast<std::size_t>(std::max(count, 0)));
            }
        } catch (const Poco::Exception &) {
            return false;
        }
        return received.find("answer") != std::string::npos;
    }

    bool sendCallAndReceiveReply()
    {
        try {
            send(requestText);
        } catch (const Poco::Exception &) {
            return false;
        }
        return receivesReply();
    }

    static constexpr const char *requestText = "GET / HTTP/1.1\r\nHost: host\r\nConnection: keep-alive\r\n\r\n";
    const std::string m_address = unusedLoopbackAddress();
    std::atomic<int> m_calls = 0;
    std::unique_ptr<HttpServer> m_server;

private:
    Poco::Net::StreamSocket m_connection;
};

} // namespace

// Guards against a call that the server reads and the end of the process aborts. A client can send a call on an open connection after the
// drain has found no call in progress. Before the drain closed open connections, a request was accepted this way long after SIGTERM.
TEST_CASE("the server reads no call from an open connection after a drain")
{
    DrainTestServer testServer;
    REQUIRE(testServer.sendCallAndReceiveReply());
    CHECK(testServer.m_server->drain(Duration(1000)));
    CHECK_FALSE(testServer.sendCallAndReceiveReply());
    CHECK(testServer.m_calls == 1);
}

// Guards against a reply that is truncated because the drain closes its connection.
TEST_CASE("a call in progress is answered during a drain")
{
    DrainTestServer testServer(Duration(300));
    testServer.send(DrainTestServer::requestText);
    while (testServer.m_calls == 0) {
        std::this_thread::sleep_for(Duration(5));
    }
    CHECK(testServer.m_server->drain(Duration(1000)));
    CHECK(testServer.receivesReply());
}

// Guards against a shutdown that waits for a client which never sends the rest of its request.
TEST_CASE("a partly received request does not delay a drain")
{
    DrainTestServer testServer;
    testServer.send("GET / HTTP/1.1\r\nHost:");
    std::this_thread::sleep_for(Duration(100));
    const auto before = std::chrono::steady_clock::now();
    testServer.m_server->drain(Duration(500));
    CHECK(std::chrono::steady_clock::now() - before < Duration(1000));
}

} // namespace PrimroseBridge
