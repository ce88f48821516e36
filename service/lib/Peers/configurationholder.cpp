#include "primrosebridge/Peers/configurationholder.h"

namespace PrimroseBridge {

static Result<VersionedConfiguration> checkDocument(const std::string &document)
{
    if (document.size() > maxConfigurationBytes) {
        return Error(ErrorKind::TooLarge,
                     "the configuration has " + std::to_string(document.size()) + " bytes",
                     "keep it below " + std::to_string(maxConfigurationBytes) + " bytes");
    }
    const auto read = readConfiguration(document);
    if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&read)) {
        return Error(ErrorKind::InvalidArgument, "the configuration has faults: " + describeFaults(*faults), "correct every fault and send it again");
    }
    const auto &configuration = std::get<Configuration>(read);
    if (configuration.m_version <= 0) {
        return Error(ErrorKind::InvalidArgument,
                     "the configuration has version " + std::to_string(configuration.m_version),
                     "publish it, which gives it the next version");
    }
    return VersionedConfiguration{configuration, document};
}

std::shared_ptr<const VersionedConfiguration> ConfigurationHolder::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

std::int64_t ConfigurationHolder::version() const
{
    const auto configuration = current();
    return configuration ? configuration->m_configuration.m_version : 0;
}

Result<bool> ConfigurationHolder::offer(const std::string &document)
{
    auto checked = checkDocument(document);
    if (!checked.ok()) {
        return checked.error();
    }
    const auto offered = std::make_shared<const VersionedConfiguration>(checked.value());
    const std::lock_guard notifyLock(m_notifyMutex);
    {
        const std::lock_guard lock(m_mutex);
        if (m_current && m_current->m_configuration.m_version >= offered->m_configuration.m_version) {
            return false;
        }
        m_current = offered;
    }
    for (const auto &subscriber : m_subscribers) {
        subscriber(*offered);
    }
    return true;
}

void ConfigurationHolder::subscribe(std::function<void(const VersionedConfiguration &)> callback)
{
    const std::lock_guard lock(m_notifyMutex);
    m_subscribers.push_back(std::move(callback));
}

} // namespace PrimroseBridge
