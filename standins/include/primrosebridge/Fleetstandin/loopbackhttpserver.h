#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace PrimroseBridge {

/// A decoded HTTP request.
struct StandinCall {
    const std::string m_method;
    const std::string m_path;
    const std::map<std::string, std::string> m_query;
    const std::map<std::string, std::string> m_headers; ///< Names in lower case.
    const std::string m_body;
};

/// An HTTP response. Status 0 closes the connection without sending a response.
struct StandinAnswer {
    const int m_status;
    const std::string m_body;
};

/// An HTTP server on a free port of 127.0.0.1, which calls the handler on several threads at once. For tests and demos only. Thread-safe.
class LoopbackHttpServer
{
public:
    explicit LoopbackHttpServer(std::function<StandinAnswer(const StandinCall &)> handler);
    ~LoopbackHttpServer();
    LoopbackHttpServer(const LoopbackHttpServer &) = delete;
    LoopbackHttpServer &operator=(const LoopbackHttpServer &) = delete;

    /// The IP address and port, separated by a colon.
    [[nodiscard]] std::string address() const;
    /// Closes every connection, as the end of a server process does, and accepts new ones at the same address. Must not be called from the handler.
    void closeConnections();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
