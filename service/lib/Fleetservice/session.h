#pragma once

#include "primrosebridge/Fleetservice/peerdirectory.h"
#include "primrosebridge/Kv/platformstore.h"
#include "primrosebridge/Model/time.h"

#include <functional>
#include <memory>
#include <string>

namespace PrimroseBridge {

/// What the session reports. Called on its thread.
struct SessionCallbacks {
    std::function<bool()> m_mayTakeOwnership; ///< False while this VM should not take ownership, for example without a configuration.
    std::function<Duration()> m_electionDelay; ///< How long this VM leaves the ownership to others that should have it.
    std::function<void(std::int64_t fence)> m_onOwnershipGained; ///< Reads the snapshot; may block.
    std::function<void(std::int64_t fence, const std::string &reason)> m_onOwnershipLost;
};

/// This VM's lease at the store, its registration, and its part in the election of the owner.
///
/// Thread-safe.
class Session
{
public:
    Session(PeerVm self, Duration leaseTime, std::shared_ptr<PlatformStore> store, SessionCallbacks callbacks);
    ~Session();
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /// Tells whether the store names an owner. Wakes the session if there is none.
    void setKnownOwner(const std::optional<FleetOwnerRecord> &owner);
    /// The ownership under @p fence has ended according to someone else. Never blocks: the session's thread gives it up.
    void requestOwnershipRelease(std::int64_t fence, const std::string &reason);
    /// Boot clock from which on the lease may have lapsed, so that another VM may have become the owner.
    ///
    /// Counted from before the last successful renewal was sent, which is never later than the store's count.
    [[nodiscard]] Instant leaseEnd() const;
    /// Ends the lease, so that the keys go at once, and takes part in no election any more.
    void close();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
