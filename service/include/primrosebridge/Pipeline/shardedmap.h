#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace PrimroseBridge {

/// A map from keys to immutable values, which is divided into shards with a lock each.
///
/// Thread-safe. A value that was read stays valid and unchanged after the entry is replaced.
template<class Key, class Value, std::size_t shardCount = 16>
class ShardedMap
{
public:
    using Pointer = std::shared_ptr<const Value>;

    /// Returns the value of @p key, or null if the key is absent.
    [[nodiscard]] Pointer find(const Key &key) const
    {
        const auto &shard = shardOf(key);
        const std::lock_guard lock(shard.m_mutex);
        const auto found = shard.m_values.find(key);
        return found == shard.m_values.end() ? nullptr : found->second;
    }

    /// Inserts @p value if the key is absent. Returns the value that the map then holds, and whether it was inserted.
    std::pair<Pointer, bool> insert(const Key &key, Pointer value)
    {
        auto &shard = shardOf(key);
        const std::lock_guard lock(shard.m_mutex);
        const auto [entry, inserted] = shard.m_values.emplace(key, std::move(value));
        return {entry->second, inserted};
    }

    /// Replaces the value of @p key by the result of @p change, which is called with the present value, or with null if the key is absent.
    /// If the result is null, the entry is removed. Returns the new value. @p change is called while the shard is locked.
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

    /// Returns all values. Each shard is read under its own lock, so the result is not a consistent snapshot of the whole map.
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

    /// Returns the number of entries. Each shard is counted under its own lock, so the result may match no single moment.
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
