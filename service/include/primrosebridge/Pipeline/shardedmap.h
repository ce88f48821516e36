#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace PrimroseBridge {

/// A map from keys to immutable values, divided into shards that each have their own lock.
///
/// Thread-safe. A value that was read stays valid and unchanged after the entry is replaced.
template<class Key, class Value, std::size_t shardCount = 16>
class ShardedMap
{
public:
    using Pointer = std::shared_ptr<const Value>;

    /// The value of @p key, or null.
    [[nodiscard]] Pointer find(const Key &key) const
    {
        const auto &shard = shardOf(key);
        const std::lock_guard lock(shard.m_mutex);
        const auto found = shard.m_values.find(key);
        return found == shard.m_values.end() ? nullptr : found->second;
    }

    /// Inserts the value if the key is absent. Returns the value that is then in the map and whether it was inserted.
    std::pair<Pointer, bool> insert(const Key &key, Pointer value)
    {
        auto &shard = shardOf(key);
        const std::lock_guard lock(shard.m_mutex);
        const auto [entry, inserted] = shard.m_values.emplace(key, std::move(value));
        return {entry->second, inserted};
    }

    /// Replaces the value of @p key by change(old), where old and the result may be null for an absent entry. Returns the new value.
    /// Precondition: @p change does not use this map.
    Pointer update(const Key &key, const std::function<Pointer(const Pointer &)> &change)
    {
        auto &shard = shardOf(key);
        const std::lock_guard lock(shard.m_mutex);
        const auto found = shard.m_values.find(key);
        Pointer next = change(found == shard.m_values.end() ? nullptr : found->second);
        if (!next) {
            shard.m_values.erase(key);
            return nullptr;
        }
        shard.m_values[key] = next;
        return next;
    }

    /// Every value, shard by shard; not one consistent state of all shards.
    [[nodiscard]] std::vector<Pointer> values() const
    {
        std::vector<Pointer> all;
        for (const auto &shard : m_shards) {
            const std::lock_guard lock(shard.m_mutex);
            for (const auto &[key, value] : shard.m_values) {
                all.push_back(value);
            }
        }
        return all;
    }

    /// Number of entries, counted shard by shard.
    [[nodiscard]] std::size_t size() const
    {
        std::size_t total = 0;
        for (const auto &shard : m_shards) {
            const std::lock_guard lock(shard.m_mutex);
            total += shard.m_values.size();
        }
        return total;
    }

private:
    struct Shard {
        mutable std::mutex m_mutex;
        std::map<Key, Pointer> m_values;
    };

    const Shard &shardOf(const Key &key) const
    {
        return m_shards[std::hash<Key>()(key) % shardCount];
    }
    Shard &shardOf(const Key &key)
    {
        return m_shards[std::hash<Key>()(key) % shardCount];
    }

    std::array<Shard, shardCount> m_shards;
};

} // namespace PrimroseBridge
