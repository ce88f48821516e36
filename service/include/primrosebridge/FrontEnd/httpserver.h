#pragma once

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Model/result.h"
#include "primrosebridge/Model/time.h"

#include <functional>
#include <memory>
#include <string>

namespace PrimroseBridge {

/// Limits of the HTTP server.
struct HttpServerSettings {
    const std::string m_address; ///< IP number and port.
    const int m_maxThreads; ///< Connections served at once.
    const std::size_t m_maxBodyBytes;
    const int m_maxQueuedConnections;
    const Duration m_keepAliveTimeout = Duration(2000); ///< An idle connection holds a thread, so it is closed after this time.

    bool operator==(const HttpServerSettings &) const = default;
};

/// HTTP server over POCO that decodes calls, passes them to one function and encodes its replies.
///
/// Thread-safe.
class HttpServer
{
public:
    /// Starts listening. Unavailable if the address cannot be bound. @p handler is called on several threads and must not throw.
    static Result<std::unique_ptr<HttpServer>> create(const HttpServerSettings &settings, std::function<HttpReply(const HttpCall &)> handler);
    /// Stops at once.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Takes no new connections, waits until calls in progress are answered, at most @p timeout, and closes the open connections.
    ///
    /// Returns whether all calls were answered and all connections closed; takes up to 200 ms longer. No call is read after it has
    /// returned true. Call once. Thread-safe.
    bool drain(Duration timeout);

private:
    struct Private;
    explicit HttpServer(std::shared_ptr<Private> state);
    std::shared_ptr<Private> m_private; // Shared with the thread that closes connections.
};

} // namespace PrimroseBridge
