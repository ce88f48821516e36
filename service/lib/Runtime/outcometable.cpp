#include "primrosebridge/Runtime/outcometable.h"

namespace PrimroseBridge {

using Pointer = std::shared_ptr<const KnownOutcome>;

static bool isSettled(const Pointer &known)
{
    return known && (known->m_moved || known->m_otherZone || isFinal(known->m_outcome.m_kind));
}

static Pointer asMoved(const KnownOutcome &known, Instant now)
{
    return std::make_shared<const KnownOutcome>(KnownOutcome{
        .m_organisation = known.m_organisation,
        .m_fingerprint = known.m_fingerprint,
        .m_outcome = known.m_outcome,
        .m_moved = true,
        .m_otherZone = known.m_otherZone,
        .m_at = now,
    });
}

const OutcomeTable::Shard &OutcomeTable::shardOf(const RequestKey &key) const
{
    return m_shards[std::hash<RequestKey>()(key) % shardCount];
}

// Keeps a burst of short requests from filling the memory for the whole retention period.
void OutcomeTable::boundShard(Shard &shard)
{
    if (shard.m_outcomes.size() <= maxOutcomesPerShard) {
        return;
    }
    auto oldest = shard.m_outcomes.end();
    for (auto entry = shard.m_outcomes.begin(); entry != shard.m_outcomes.end(); ++entry) {
        const bool older = oldest == shard.m_outcomes.end() || entry->second->m_at < oldest->second->m_at;
        if (older && isSettled(entry->second)) {
            oldest = entry;
        }
    }
    if (oldest != shard.m_outcomes.end()) {
        shard.m_outcomes.erase(oldest);
    }
}

void OutcomeTable::publish(const RequestKey &key, const KnownOutcome &outcome)
{
    auto &shard = m_shards[std::hash<RequestKey>()(key) % shardCount];
    {
        const std::lock_guard lock(shard.m_mutex);
        shard.m_outcomes[key] = std::make_shared<const KnownOutcome>(outcome);
        boundShard(shard);
    }
    shard.m_changed.notify_all();
}

Pointer OutcomeTable::find(const RequestKey &key) const
{
    const auto &shard = shardOf(key);
    const std::lock_guard lock(shard.m_mutex);
    const auto found = shard.m_outcomes.find(key);
    return found == shard.m_outcomes.end() ? nullptr : found->second;
}

Pointer OutcomeTable::wait(const RequestKey &key, Duration timeout) const
{
    const auto &shard = shardOf(key);
    const auto current = [&shard, &key]() -> Pointer {
        const auto found = shard.m_outcomes.find(key);
        return found == shard.m_outcomes.end() ? nullptr : found->second;
    };
    std::unique_lock lock(shard.m_mutex);
    shard.m_changed.wait_for(lock, timeout, [&current] { return isSettled(current()); });
    return current();
}

// "Not run" ends with the owner's term: the next owner accepts the key if it is submitted again.
static bool outlastsTerm(const Pointer &known)
{
    return isSettled(known) && known->m_outcome.m_kind != OutcomeKind::NotRun;
}

void OutcomeTable::moveAll(Instant now)
{
    for (auto &shard : m_shards) {
        {
            const std::lock_guard lock(shard.m_mutex);
            for (auto &[key, known] : shard.m_outcomes) {
                if (!outlastsTerm(known)) {
                    known = asMoved(*known, now);
                }
            }
        }
        shard.m_changed.notify_all();
    }
}

void OutcomeTable::forget(Instant before)
{
    for (auto &shard : m_shards) {
        const std::lock_guard lock(shard.m_mutex);
        std::erase_if(shard.m_outcomes, [before](const auto &entry) { return isSettled(entry.second) && entry.second->m_at < before; });
    }
}

} // namespace PrimroseBridge
