#pragma once

#include "primrosebridge/Fleetstandin/loopbackhttpserver.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace PrimroseBridge {

/// What a call asks of the store.
enum class StoreCall {
    Read,
    Watch,
    Commit,
    Lease,
};

/// What happens to one call of the stand-in store.
enum class StoreFault {
    None,
    Refused, ///< Status 503, nothing is done.
    AnswerLost, ///< The call takes effect, the connection ends without an answer.
    ExecutedLate, ///< No answer; the call takes effect 300 ms later if its conditions still hold.
    HistoryLost, ///< A watch is answered with status 410.
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
    /// Decides the fault of each call.
    void setFaults(std::function<StoreFault(StoreCall)> faults);
    /// Answers a call as the store does, without faults. Lets a test put a gate with faults of its own before the store.
    StandinAnswer handle(const StandinCall &call);
    /// Writes a key as the operator or a worker does.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    [[nodiscard]] std::optional<std::string> value(const std::string &key) const;
    [[nodiscard]] std::int64_t revisionOf(const std::string &key) const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
