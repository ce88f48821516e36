#pragma once

#include <cassert>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace PrimroseBridge {

/// A bounded queue that connects two stages of the pipeline.
///
/// Thread-safe: any number of producers and consumers.
template<class T>
class BoundedQueue
{
public:
    /// Precondition: capacity > 0.
    explicit BoundedQueue(std::size_t capacity)
        : m_capacity(capacity)
    {
        assert(capacity > 0 && "the capacity of a queue must be positive");
    }

    /// Appends @p item. Returns false if the queue is full or closed. Never blocks.
    bool tryPush(T item)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || m_items.size() >= m_capacity) {
                return false;
            }
            m_items.push_back(std::move(item));
        }
        m_notEmpty.notify_one();
        return true;
    }

    /// Appends @p item, and blocks while the queue is full. Returns false if the queue is closed.
    bool push(T item)
    {
        {
            std::unique_lock lock(m_mutex);
            m_notFull.wait(lock, [this] { return m_closed || m_items.size() < m_capacity; });
            if (m_closed) {
                return false;
            }
            m_items.push_back(std::move(item));
        }
        m_notEmpty.notify_one();
        return true;
    }

    /// Removes and returns the oldest item, and blocks until there is one. Returns nothing once the queue is closed and drained.
    std::optional<T> pop()
    {
        std::unique_lock lock(m_mutex);
        m_notEmpty.wait(lock, [this] { return m_closed || !m_items.empty(); });
        return popAndUnlock(lock);
    }

    /// Removes and returns up to @p limit items, oldest first, and blocks until there is one. Returns an empty batch once the queue is
    /// closed and drained.
    std::vector<T> popBatch(std::size_t limit)
    {
        std::unique_lock lock(m_mutex);
        m_notEmpty.wait(lock, [this] { return m_closed || !m_items.empty(); });
        return popBatchAndUnlock(lock, limit);
    }

    /// Like popBatch(), but returns an empty batch after @p timeout without an item.
    std::vector<T> popBatchFor(std::size_t limit, std::chrono::milliseconds timeout)
    {
        std::unique_lock lock(m_mutex);
        m_notEmpty.wait_for(lock, timeout, [this] { return m_closed || !m_items.empty(); });
        return popBatchAndUnlock(lock, limit);
    }

    /// Returns true once close() was called.
    [[nodiscard]] bool closed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

    /// Refuses further items and wakes every waiting thread. Items that are already queued can still be removed.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_notEmpty.notify_all();
        m_notFull.notify_all();
    }

    /// Returns the number of queued items.
    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_items.size();
    }

private:
    std::optional<T> popAndUnlock(std::unique_lock<std::mutex> &lock)
    {
        if (m_items.empty()) {
            return std::nullopt;
        }
        std::optional<T> item(std::move(m_items.front()));
        m_items.pop_front();
        lock.unlock();
        m_notFull.notify_one();
        return item;
    }

    std::vector<T> popBatchAndUnlock(std::unique_lock<std::mutex> &lock, std::size_t limit)
    {
        std::vector<T> batch;
        while (!m_items.empty() && batch.size() < limit) {
            batch.push_back(std::move(m_items.front()));
            m_items.pop_front();
        }
        lock.unlock();
        m_notFull.notify_all();
        return batch;
    }

    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_notEmpty;
    std::condition_variable m_notFull;
    std::deque<T> m_items;
    bool m_closed = false;
};

} // namespace PrimroseBridge
