#include "primrosebridge/Commands/transport.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>

namespace PrimroseBridge {

/// Twice the encoded size of the largest configuration document; no primrosebridge server sends a larger response.
constexpr std::size_t maxResponseBytes = 16 * 1024 * 1024;
/// A server on the same network accepts a connection within milliseconds; the limit keeps failover from a dead server fast.
constexpr Duration connectTimeout = std::chrono::seconds(2);

static Error unreachableError(const std::string &server, const std::string &reason)
{
    return {ErrorKind::Unavailable, "server " + server + " cannot be reached: " + reason, "check --server, or add another server", std::chrono::seconds(1)};
}

static Error lostResponseError(const std::string &server, const std::string &reason)
{
    return {ErrorKind::DeadlineExceeded,
            "server " + server + " sent no complete response: " + reason,
            "the call may have taken effect; check the state before repeating it"};
}

static Poco::Timespan toTimespan(Duration duration)
{
    return {static_cast<Poco::Timespan::TimeDiff>(duration.count()) * Poco::Timespan::MILLISECONDS};
}

static Poco::Net::HTTPRequest buildHttpRequest(const ServerCall &call, const std::string &token)
{
    Poco::Net::HTTPRequest request(call.m_method, call.m_path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.set("Authorization", "Bearer " + token);
    if (call.m_ifMatch) {
        request.set("If-Match", std::to_string(*call.m_ifMatch));
    }
    if (!call.m_body.empty()) {
        request.setContentType("application/json");
    }
    request.setContentLength64(static_cast<Poco::Int64>(call.m_body.size()));
    return request;
}

/// Reads the response body. Returns DeadlineExceeded if the body is shorter than its Content-Length.
static Result<ServerResponse> readResponse(const std::string &server, const Poco::Net::HTTPResponse &response, std::istream &stream)
{
    std::string body;
    std::array<char, 16384> buffer = {};
    while (stream.read(buffer.data(), buffer.size()) || stream.gcount() > 0) {
        body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > maxResponseBytes) {
            return Error(
                ErrorKind::TooLarge, "the response of server " + server + " is longer than 16 MiB", "check that --server names a primrosebridge server");
        }
    }
    const auto expected = response.getContentLength64();
    if (expected != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH && static_cast<Poco::Int64>(body.size()) != expected) {
        return lostResponseError(server, std::to_string(body.size()) + " of " + std::to_string(expected) + " bytes arrived");
    }
    return ServerResponse{static_cast<int>(response.getStatus()), body};
}

static Result<ServerResponse> sendOnce(const std::string &server, const ServerCall &call, Duration timeout, const std::string &token)
{
    bool requestSent = false;
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(server)};
        session.setKeepAlive(false);
        session.setTimeout(toTimespan(std::min(connectTimeout, timeout)), toTimespan(timeout), toTimespan(timeout));
        auto request = buildHttpRequest(call, token);
        auto &body = session.sendRequest(request);
        requestSent = true; // The request header may have been sent, so the server may execute the call.
        body << call.m_body << std::flush;
        Poco::Net::HTTPResponse response;
        auto &stream = session.receiveResponse(response);
        return readResponse(server, response, stream);
    } catch (const Poco::Exception &exception) {
        return requestSent ? lostResponseError(server, exception.displayText()) : unreachableError(server, exception.displayText());
    }
}

SendCall makeHttpSender(const std::string &token)
{
    return [token](const std::string &server, const ServerCall &call, Duration timeout) { return sendOnce(server, call, timeout, token); };
}

} // namespace PrimroseBridge
