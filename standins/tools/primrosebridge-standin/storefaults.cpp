#include "storefaults.h"

#include <stdexcept>

namespace PrimroseBridge::Standin {

using Json = nlohmann::json;

namespace {

constexpr std::chrono::seconds longestHang(60); // Bounds the time for which a refused call occupies a thread.

Refusal refusalFromName(const std::string &name)
{
    if (name == "none") {
        return Refusal::None;
    }
    if (name == "close") {
        return Refusal::Close;
    }
    if (name == "503") {
        return Refusal::Unavailable;
    }
    if (name == "hang") {
        return Refusal::Hang;
    }
    throw std::invalid_argument("refusal '" + name + "' does not exist; use none, close, 503 or hang");
}

Refusal refusalField(const Json &message, const char *name, Refusal fallback)
{
    return message.contains(name) ? refusalFromName(message[name].get<std::string>()) : fallback;
}

} // namespace

StoreFaults changeFaults(const StoreFaults &faults, const Json &message)
{
    return {std::chrono::milliseconds(message.value("delayMs", faults.m_delay.count())),
            refusalField(message, "down", faults.m_down),
            refusalField(message, "refusal", faults.m_refusal),
            message.value("refusePorts", faults.m_refusedPorts),
            message.value("refuseVms", faults.m_refusedVms)};
}

Refusal refusalOf(const StoreFaults &faults, int port, const std::string &vm)
{
    if (faults.m_down != Refusal::None) {
        return faults.m_down;
    }
    const bool refused = faults.m_refusedPorts.count(port) > 0 || (!vm.empty() && faults.m_refusedVms.count(vm) > 0);
    return refused ? faults.m_refusal : Refusal::None;
}

StoreFaultsPointer StoreControl::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

void StoreControl::change(const Json &message)
{
    {
        const std::lock_guard lock(m_mutex);
        m_faults = std::make_shared<const StoreFaults>(changeFaults(*m_faults, message));
        m_lostAnswers = message.value("loseWriteAnswers", m_lostAnswers);
        m_watchGeneration += message.value("closeWatches", false) ? 1 : 0;
        m_vms = message.value("vms", m_vms);
    }
    m_changed.notify_all();
}

bool StoreControl::takeLostAnswer()
{
    const std::lock_guard lock(m_mutex);
    if (m_lostAnswers == 0) {
        return false;
    }
    --m_lostAnswers;
    ++m_counts["lostAnswers"];
    return true;
}

std::int64_t StoreControl::watchGeneration() const
{
    const std::lock_guard lock(m_mutex);
    return m_watchGeneration;
}

Json StoreControl::vms() const
{
    const std::lock_guard lock(m_mutex);
    return {{"vms", m_vms}};
}

void StoreControl::count(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts[kind];
}

Json StoreControl::books() const
{
    const std::lock_guard lock(m_mutex);
    Json books = {{"byKind", m_counts}};
    const auto sum = [this](std::initializer_list<const char *> kinds) {
        std::int64_t total = 0;
        for (const auto *kind : kinds) {
            const auto found = m_counts.find(kind);
            total += found == m_counts.end() ? 0 : found->second;
        }
        return total;
    };
    books["reads"] = sum({"range"});
    books["writes"] = sum({"txn", "leaseGrant", "leaseKeepalive", "leaseRevoke"});
    books["watches"] = sum({"watch"});
    books["vmLists"] = sum({"vms"});
    books["refused"] = sum({"refused"});
    books["total"] = sum({"range", "txn", "leaseGrant", "leaseKeepalive", "leaseRevoke", "watch"});
    return books;
}

void StoreControl::sleepFor(std::chrono::milliseconds time)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, time, [this] { return m_stopping; });
}

void StoreControl::waitForChange(const StoreFaultsPointer &faults)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, longestHang, [this, &faults] { return m_stopping || *m_faults != *faults; });
}

void StoreControl::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
}

} // namespace PrimroseBridge::Standin
