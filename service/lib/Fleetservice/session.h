#pragma once

#include "primrosebridge/Fleetservice/peerdirectory.h"
#include "primrosebridge/Kv/platformstore.h"
#include "primrosebridge/Model/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace PrimroseBridge {

/// Callbacks of the session, which run on its threads. m_onOwnershipLost also runs on the thread that calls setKnownOwner() or close().
/// m_electionDelay must not call the session, whose lock may be held.
struct SessionCallbacks {
    std::function<bool()> m_mayTakeOwnership; ///< False while this VM must not become the owner, for example without a configuration.
    std::function<Duration()> m_electionDelay; ///< The time for which this VM waits for a preferred VM to become the owner.
    std::function<void(std::int64_t fence)> m_onOwnershipGained; ///< May block.
    std::function<void(std::int64_t fence, const std::string &reason)> m_onOwnershipLost;
    /// Returns a number that rises while the thread that decides as the owner makes progress. While it stands still, this VM gives the ownership up
    /// and does not take it again. Null if that thread is not supervised.
    std::function<std::uint64_t()> m_ownerIterations = nullptr;
};

/// Holds this VM's lease at the store and its registration, and takes part in the election of the owner.
///
/// Thread-safe.
class Session
{
public:
    /// Creates the session without its threads, so that @p callbacks may refer to objects that are created later.
    Session(PeerVm self, Duration leaseTime, std::shared_ptr<PlatformStore> store, SessionCallbacks callbacks);
    ~Session();
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /// Starts the session's threads. Call once, after everything that the callbacks use has been created. Throws std::system_error if the
    /// system cannot start a thread.
    void start();
    /// Tells the session which owner the store names, if any. Starts an election if there is none, and ends the ownership of this VM if
    /// the store names an owner with a higher fence.
    void setKnownOwner(const std::optional<FleetOwnerRecord> &owner);
    /// Asks the session's thread to give up the ownership under @p fence. Does nothing if this VM does not own the fleet under it. Never
    /// blocks.
    void requestOwnershipRelease(std::int64_t fence, const std::string &reason);
    /// Returns the time, on the boot clock, from which on another VM may have become the owner in place of this one under @p fence.
    ///
    /// While this VM owns the fleet under that fence, it is the end of the lease, counted from just before the last successful renewal was
    /// sent, so it is never later than the end that the store counts. Once the ownership has ended, the time stays as it was, or is the time
    /// at which the ownership was given up if that is earlier; the lease of the next session doesn't move it. Returns the start of the clock
    /// for other fences.
    [[nodiscard]] Instant leaseEnd(std::int64_t fence) const;
    /// Ends the lease, which removes this VM's keys at once, and takes part in no further election.
    void close();
    /// Does the same and waits until the session's threads have ended, so that no callback runs afterwards. Must not be called by a callback.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
