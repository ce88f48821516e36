#pragma once

#include "primrosebridge/Model/result.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace PrimroseBridge::Standin {

using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)>;

/// One listening port with its own bounded pool of threads.
class HttpPort
{
public:
    /// Listens on @p host and @p port and calls @p handler for each request, from several threads. Errors: Unavailable, InvalidArgument.
    static Result<std::shared_ptr<HttpPort>> create(const std::string &host, std::uint16_t port, const HttpHandler &handler);
    ~HttpPort();
    HttpPort(const HttpPort &) = delete;
    HttpPort &operator=(const HttpPort &) = delete;

private:
    struct Private;
    explicit HttpPort(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

/// The whole body. Throws Poco::DataException if it exceeds 4 MB. Thread-safe.
std::string readBody(Poco::Net::HTTPServerRequest &request);
/// Sends @p message as a JSON body. Thread-safe.
void sendJson(Poco::Net::HTTPServerResponse &response, int status, const nlohmann::json &message);
/// Closes the connection without an answer. Thread-safe.
void closeWithoutAnswer(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
/// True if the client has closed its end. Does not block. Thread-safe.
bool clientHasLeft(Poco::Net::HTTPServerRequest &request);

} // namespace PrimroseBridge::Standin
