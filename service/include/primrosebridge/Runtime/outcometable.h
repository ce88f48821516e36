#pragma once

#include "primrosebridge/Model/request.h"

#include <array>
#include <condition_variable>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace PrimroseBridge {

/// What is known of a request, for whoever waits for it.
struct KnownOutcome {
    const OrganisationId m_organisation;
    const std::uint64_t m_fingerprint; ///< See requestFingerprint().
    const Outcome m_outcome;
    const bool m_moved; ///< This process no longer decides for the request; ask the zone's owner.
    const std::optional<ZoneId> m_otherZone; ///< The zone that accepted the key earlier, if it is not this one.
    const Instant m_at;

    bool operator==(const KnownOutcome &) const = default;
};

/// Outcomes by request key, in shards that each have their own lock; callers wait here for theirs.
///
/// Bounded: beyond 512 entries a shard forgets its oldest settled outcome. A recorded request is then answered from the store, an
/// unrecorded one is unknown and may be submitted again. Thread-safe.
class OutcomeTable
{
public:
    /// Sets what is known and wakes those who wait for the key.
    void publish(const RequestKey &key, const KnownOutcome &outcome);

    /// What is known now, or null.
    [[nodiscard]] std::shared_ptr<const KnownOutcome> find(const RequestKey &key) const;

    /// Waits until the outcome is final or moved, at most @p timeout; returns what is known then, or null.
    [[nodiscard]] std::shared_ptr<const KnownOutcome> wait(const RequestKey &key, Duration timeout) const;

    /// Marks every outcome that is not final, or that is "not run", as moved, because another process owns the zone now.
    void moveAll(Instant now);

    /// Forgets final outcomes published before @p before. Pending ones are kept.
    void forget(Instant before);

private:
    struct Shard {
        mutable std::mutex m_mutex;
        mutable std::condition_variable m_changed;
        std::map<RequestKey, std::shared_ptr<const KnownOutcome>> m_outcomes;
    };
    static constexpr std::size_t shardCount = 16;
    static constexpr std::size_t maxOutcomesPerShard = 512; ///< About 3 MB in all shards with short results.

    static void boundShard(Shard &shard);

    [[nodiscard]] const Shard &shardOf(const RequestKey &key) const;

    std::array<Shard, shardCount> m_shards;
};

} // namespace PrimroseBridge
