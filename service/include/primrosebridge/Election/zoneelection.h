#pragma once

#include "primrosebridge/Model/fleet.h"
#include "primrosebridge/Model/id.h"
#include "primrosebridge/Model/result.h"
#include "primrosebridge/Ownership/ownership.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace PrimroseBridge {

class EventLog;
class StoreClient;
class TimerService;

/// Who takes part in the election of one availability zone's owner.
struct ElectionSettings {
    const VmId m_vm;
    const ZoneId m_zone;
    const std::int64_t m_incarnation; ///< Start time of the process in milliseconds.
    const std::string m_peerAddress; ///< Where other entry VMs reach this one.

    bool operator==(const ElectionSettings &) const = default;
};

/// What the ownership key says.
struct OwnerRecord {
    const std::string m_vm;
    const std::int64_t m_incarnation;
    const std::string m_peerAddress;
    const Fence m_fence;

    bool operator==(const OwnerRecord &) const = default;
};

/// Called on the election's thread, which sends no renewal meanwhile; must not block on it. state() already shows the new role.
struct ElectionCallbacks {
    const std::function<void(Fence)> m_started; ///< This process now owns the zone.
    const std::function<void()> m_stopped; ///< It no longer does.
};

/// Runs the ownership protocol of one availability zone against the store, on a thread of its own.
///
/// Thread-safe. Store calls are made on the election's thread only. The store's timeout should be at most 1 s, because a longer call
/// delays the next renewal.
class ZoneElection
{
public:
    /// Starts the thread; it tries to become owner at once.
    static Result<std::unique_ptr<ZoneElection>> create(const ElectionSettings &settings,
                                                        std::shared_ptr<StoreClient> store,
                                                        const std::shared_ptr<TimerService> &timers,
                                                        EventLog &events,
                                                        ElectionCallbacks callbacks);
    /// Stops without giving the zone up; call resign() first for a planned stop.
    ~ZoneElection();
    ZoneElection(const ZoneElection &) = delete;
    ZoneElection &operator=(const ZoneElection &) = delete;

    /// Role, fence and lease as of now.
    [[nodiscard]] OwnershipState state() const;
    /// The owner that this process last read from the store, itself included; empty if none is known.
    [[nodiscard]] std::optional<OwnerRecord> owner() const;
    /// True if the last store call succeeded and is younger than 3 s.
    [[nodiscard]] bool storeReachable() const;
    /// Tells the protocol of an event that another part observed, such as PeerReachesStore or WorkerSawHigherFence. Returns at once; the
    /// event is dropped if 256 others wait, so one that still holds is to be reported again.
    void notify(const OwnershipEvent &event);
    /// The ownership key changed or vanished, as a watch or a refused record write showed. Has it read again; returns at once.
    void ownershipKeyChanged();
    /// Gives the zone up: deletes the ownership key and does not acquire again. Waits at most @p timeout. Afterwards owner() still follows
    /// the key, so that callers can be forwarded until the process ends. Precondition: not called from a callback.
    void resign(Duration timeout);

private:
    struct Private;
    explicit ZoneElection(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

/// Store key of the ownership record of @p zone. Thread-safe.
std::string ownershipKey(const ZoneId &zone);

} // namespace PrimroseBridge
