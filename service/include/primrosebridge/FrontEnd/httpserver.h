#pragma once

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Model/result.h"
#include "primrosebridge/Model/time.h"

#include <functional>
#include <memory>
#include <string>

namespace PrimroseBridge {

/// Listening address and limits of an HTTP server.
struct HttpServerSettings {
    const std::string m_address; ///< IP address and port, for example `127.0.0.1:8080`.
    const int m_maxThreads; ///< Maximum number of connections that are served at once.
    const std::size_t m_maxBodyBytes; ///< A call with a longer body is answered with status 413.
    const int m_maxQueuedConnections; ///< Maximum number of accepted connections that wait for a thread; also the listen backlog.
    const Duration m_keepAliveTimeout = Duration(2000); ///< An idle connection is closed after this time, because it occupies a thread.

    bool operator==(const HttpServerSettings &) const = default;
};

/// HTTP server based on POCO. It decodes each call, passes it to the handler function and encodes the reply.
///
/// Thread-safe.
class HttpServer
{
public:
    /// Starts a server. Returns Unavailable if the address cannot be bound. @p handler is called on several threads and must not throw.
    static Result<std::unique_ptr<HttpServer>> create(const HttpServerSettings &settings, std::function<HttpReply(const HttpCall &)> handler);
    /// Aborts the open connections and waits for the threads of the server to end.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Stops accepting connections, waits up to @p timeout for the calls in progress to be answered, and closes the open connections.
    ///
    /// Closing the connections takes up to 200 ms in addition to @p timeout. Returns true if all calls have been answered and all connections
    /// have been closed; the server reads no further call then. Must be called at most once. Thread-safe.
    bool drain(Duration timeout);

private:
    struct Private;
    explicit HttpServer(std::shared_ptr<Private> state);
    std::shared_ptr<Private> m_private; // Shared with the thread that drain() starts to close the connections.
};

} // namespace PrimroseBridge
