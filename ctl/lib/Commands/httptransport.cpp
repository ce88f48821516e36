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

/// Twice the largest document with its encoding; a longer answer does not come from a primrosebridge server.
constexpr std::size_t maxAnswerBytes = 16 * 1024 * 1024;
/// A server on the same network accepts a connection within milliseconds; a dead one must not delay the next for long.
constexpr Duration connectTimeout = std::chrono::seconds(2);

static Error notReached(const std::string &server, const std::string &reason)
{
    return {ErrorKind::Unavailable, "server " + server + " cannot be reached: " + reason, "check --server, or name a further server", std::chrono::seconds(1)};
}

static Error answerLost(const std::string &server, const std::string &reason)
{
    return {ErrorKind::DeadlineExceeded,
            "server " + server + " gave no complete answer: " + reason,
            "the call may have taken effect; ask for the state before repeating it"};
}

static Poco::Timespan toTimespan(Duration duration)
{
    return {static_cast<Poco::Timespan::TimeDiff>(duration.count()) * Poco::Timespan::MILLISECONDS};
}

static Poco::Net::HTTPRequest buildRequest(const ServerCall &call, const std::string &token)
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

/// Reads the body. A body shorter than its Content-Length is not complete.
static Result<ServerResponse> readAnswer(const std::string &server, const Poco::Net::HTTPResponse &response, std::istream &stream)
{
    std::string body;
    std::array<char, 16384> buffer = {};
    while (stream.read(buffer.data(), buffer.size()) || stream.gcount() > 0) {
        body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > maxAnswerBytes) {
            return Error(ErrorKind::TooLarge, "the answer of server " + server + " is longer than 16 MiB", "check that --server names a primrosebridge server");
        }
    }
    const auto expected = response.getContentLength64();
    if (expected != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH && static_cast<Poco::Int64>(body.size()) != expected) {
        return answerLost(server, std::to_string(body.size()) + " of " + std::to_string(expected) + " bytes arrived");
    }
    return ServerResponse{static_cast<int>(response.getStatus()), body};
}

static Result<ServerResponse> sendOnce(const std::string &server, const ServerCall &call, Duration timeout, const std::string &token)
{
    bool sent = false;
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(server)};
        session.setKeepAlive(false);
        session.setTimeout(toTimespan(std::min(connectTimeout, timeout)), toTimespan(timeout), toTimespan(timeout));
        auto request = buildRequest(call, token);
        auto &body = session.sendRequest(request);
        sent = true; // The head is on the way, so the server may act on it.
        body << call.m_body << std::flush;
        Poco::Net::HTTPResponse response;
        auto &stream = session.receiveResponse(response);
        return readAnswer(server, response, stream);
    } catch (const Poco::Exception &exception) {
        return sent ? answerLost(server, exception.displayText()) : notReached(server, exception.displayText());
    }
}

SendCall makeHttpSender(const std::string &token)
{
    return [token](const std::string &server, const ServerCall &call, Duration timeout) { return sendOnce(server, call, timeout, token); };
}

} // namespace PrimroseBridge
