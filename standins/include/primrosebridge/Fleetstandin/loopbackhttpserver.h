#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace PrimroseBridge {

/// One call as the host received it.
struct StandinCall {
    const std::string m_method;
    const std::string m_path;
    const std::map<std::string, std::string> m_query;
    const std::map<std::string, std::string> m_headers; ///< Names in lower case.
    const std::string m_body;
};

/// The answer; status 0 closes the connection without one.
struct StandinAnswer {
    const int m_status;
    const std::string m_body;
};

/// Serves HTTP on a free port of the loopback address. For tests and demos only. Thread-safe.
class LoopbackHttpServer
{
public:
    explicit LoopbackHttpServer(std::function<StandinAnswer(const StandinCall &)> handler);
    ~LoopbackHttpServer();
    LoopbackHttpServer(const LoopbackHttpServer &) = delete;
    LoopbackHttpServer &operator=(const LoopbackHttpServer &) = delete;

    /// IP number and port.
    [[nodiscard]] std::string address() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
