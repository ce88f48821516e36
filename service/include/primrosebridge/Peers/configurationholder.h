#pragma once

#include "primrosebridge/Config/reader.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// A configuration together with the document it was read from.
struct VersionedConfiguration {
    const Configuration m_configuration;
    const std::string m_document;

    bool operator==(const VersionedConfiguration &) const = default;
};

/// The configuration in force on this process. Its version never goes backwards.
///
/// Thread-safe.
class ConfigurationHolder
{
public:
    /// The configuration in force, or null before the first one arrived.
    [[nodiscard]] std::shared_ptr<const VersionedConfiguration> current() const;
    /// Version in force, 0 before the first one arrived.
    [[nodiscard]] std::int64_t version() const;
    /// Puts @p document in force if it is valid and newer; returns whether it did. Subscribers are called before it returns.
    /// InvalidArgument if it has faults or a version below 1, TooLarge if it exceeds maxConfigurationBytes.
    Result<bool> offer(const std::string &document);
    /// Calls @p callback after each change, on the thread that offered it. Call before other threads offer.
    /// The callback must be short, must not block on the network and must not call offer() or subscribe().
    void subscribe(std::function<void(const VersionedConfiguration &)> callback);

private:
    mutable std::mutex m_mutex;
    std::mutex m_notifyMutex; // Held while subscribers are called, so that they see versions in order.
    std::shared_ptr<const VersionedConfiguration> m_current;
    std::vector<std::function<void(const VersionedConfiguration &)>> m_subscribers;
};

} // namespace PrimroseBridge
