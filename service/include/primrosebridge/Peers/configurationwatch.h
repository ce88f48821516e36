#pragma once

#include "primrosebridge/Model/id.h"
#include "primrosebridge/Model/result.h"
#include "primrosebridge/Store/storeclient.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace PrimroseBridge {

class ConfigurationHolder;
class PeerNetwork;
class TimerService;

/// Called when the ownership key of a zone has changed or may have changed. Runs on the watch's thread and must not block on it.
using OwnerChanged = std::function<void(const ZoneId &)>;

/// Keeps the configuration in step with the store, on a thread of its own.
///
/// At the start it reads the store; if the store does not answer and no configuration is known, it asks the peers, again and again with a backoff
/// of 200 ms to 2 s. While this process is one of the store watchers of its zone it holds one watch on the control keys; otherwise it relies on
/// heartbeats. After a watch has ended it reads again, with the same backoff.
///
/// Thread-safe.
class ConfigurationWatch
{
public:
    /// Starts the thread. @p store is used for reads; each watch has a client of its own with @p settings, because stopping the watches of a client
    /// is final. InvalidArgument if the settings are out of range, Unavailable if the system refuses a thread. Precondition: @p peers and
    /// @p configuration outlive this object.
    static Result<std::unique_ptr<ConfigurationWatch>> create(const StoreSettings &settings,
                                                              std::shared_ptr<StoreClient> store,
                                                              const std::shared_ptr<TimerService> &timers,
                                                              PeerNetwork &peers,
                                                              ConfigurationHolder &configuration,
                                                              OwnerChanged ownerChanged);
    /// Ends the watch and waits for the thread: for at most a second, but for a read or a question to peers that is in progress at the start.
    ~ConfigurationWatch();
    ConfigurationWatch(const ConfigurationWatch &) = delete;
    ConfigurationWatch &operator=(const ConfigurationWatch &) = delete;

    /// True while a watch on the store is open.
    [[nodiscard]] bool watching() const;
    /// Watches opened since the start, for metrics; StoreClient::calls() of the client for reads does not contain them.
    [[nodiscard]] std::uint64_t watchesOpened() const;

private:
    struct Private;
    explicit ConfigurationWatch(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
