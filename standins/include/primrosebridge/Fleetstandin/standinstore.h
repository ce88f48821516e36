#pragma once

#include "primrosebridge/Fleetstandin/loopbackhttpserver.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace PrimroseBridge {

/// The operation that a store call requests.
enum class StoreCall {
    Read,
    Watch,
    Commit,
    Lease,
};

/// The fault that the stand-in store injects into one call.
enum class StoreFault {
    None,
    Refused, ///< The call is not executed and is answered with status 503.
    AnswerLost, ///< The call is executed, but the connection closes without an answer.
    ExecutedLate, ///< The connection closes without an answer; the call is executed 300 ms later, if its conditions still hold then.
    HistoryLost, ///< The call is not executed and is answered with status 410, as a watch whose events are no longer kept.
};

/// A stand-in for the platform's metadata store, over HTTP on the loopback address. For tests and demos only. Thread-safe.
class StandinStore
{
public:
    StandinStore();
    ~StandinStore();
    StandinStore(const StandinStore &) = delete;
    StandinStore &operator=(const StandinStore &) = delete;

    [[nodiscard]] std::string address() const;
    /// Opens another port, for the callers of one zone, and returns its address. Zones are numbered from 0 in the order of these calls.
    std::string addZonePort();
    /// At the port of @p zone, each @p address inside a stored value reads as @p addressInZone, and is stored as @p address when the
    /// callers write it back. @p zone must have a port.
    void replaceAddress(std::size_t zone, const std::string &address, const std::string &addressInZone);
    /// Sets the function that chooses the fault of each HTTP call. It is called under the store's lock.
    void setFaults(std::function<StoreFault(StoreCall)> faults);
    /// Refuses transactions with a longer value from now on, with status 400, as the platform's store does.
    void setMaxValueBytes(std::size_t bytes);
    /// Executes a call without faults. A test can put its own server with its own faults in front of this function.
    StandinAnswer handle(const StandinCall &call);
    /// Writes a key unconditionally and without a lease, as an operator or a worker would.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    [[nodiscard]] std::optional<std::string> value(const std::string &key) const;
    [[nodiscard]] std::int64_t revisionOf(const std::string &key) const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
