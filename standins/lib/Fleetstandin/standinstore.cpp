#include "primrosebridge/Fleetstandin/standinstore.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <iterator>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

namespace PrimroseBridge {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

static constexpr auto lateExecutionDelay = std::chrono::milliseconds(300);

namespace {

using AddressPairs = std::vector<std::pair<std::string, std::string>>;

struct ZonePort {
    AddressPairs m_replacements; // (stored address, address in the zone)
    std::unique_ptr<LoopbackHttpServer> m_httpServer;
};

struct StoredValue {
    std::string m_value;
    std::int64_t m_revision = 0;
    std::int64_t m_createRevision = 0;
    std::int64_t m_lease = 0;
};

struct HistoryEvent {
    std::string m_key;
    std::int64_t m_revision = 0;
    std::optional<StoredValue> m_valueAfter; // Empty if the key was removed.
};

struct Lease {
    std::chrono::milliseconds m_lifetime{0};
    Clock::time_point m_endsAt;
};

} // namespace

static std::string encodeBase64(const std::string &bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

static std::string decodeBase64(const std::string &text)
{
    std::istringstream in(text);
    Poco::Base64Decoder decoder(in);
    return {std::istreambuf_iterator<char>(decoder), {}};
}

static Json toJson(const std::string &key, const StoredValue &item)
{
    return Json{{"key", key}, {"value", encodeBase64(item.m_value)}, {"rev", item.m_revision}, {"created", item.m_createRevision}, {"lease", item.m_lease}};
}

static std::string replaceAddresses(std::string text, const AddressPairs &addresses)
{
    for (const auto &[from, to] : addresses) {
        const auto quoted = '"' + from + '"';
        for (auto at = text.find(quoted); at != std::string::npos; at = text.find(quoted, at + 1)) {
            text.replace(at, quoted.size(), '"' + to + '"');
        }
    }
    return text;
}

static void replaceAddressesInValues(Json &json, const AddressPairs &addresses)
{
    if (json.is_object() && json.contains("value")) {
        json["value"] = encodeBase64(replaceAddresses(decodeBase64(json["value"].get<std::string>()), addresses));
    } else if (json.is_structured()) {
        for (auto &element : json) {
            replaceAddressesInValues(element, addresses);
        }
    }
}

static std::string withReplacedAddresses(const std::string &body, const AddressPairs &addresses)
{
    auto json = Json::parse(body, nullptr, false);
    if (addresses.empty() || json.is_discarded()) {
        return body;
    }
    replaceAddressesInValues(json, addresses);
    return json.dump();
}

struct StandinStore::Private {
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, StoredValue> m_items;
    std::vector<HistoryEvent> m_history;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_nextLease = 100;
    bool m_stopping = false;
    std::size_t m_maxValueBytes = std::size_t(1024) * 1024;
    std::function<StoreFault(StoreCall)> m_faults;
    std::vector<std::thread> m_lateCalls;
    std::unique_ptr<LoopbackHttpServer> m_httpServer;
    std::vector<ZonePort> m_zonePorts;

    StandinAnswer answerInZone(const StandinCall &call, std::size_t zone);
    StandinAnswer answerWithFaults(const StandinCall &call);
    StandinAnswer executeCall(const StandinCall &call);
    StandinAnswer get(const std::string &key);
    StandinAnswer range(const std::string &prefix);
    StandinAnswer watch(const std::string &prefix, std::int64_t after, std::chrono::milliseconds wait);
    StandinAnswer commitTransaction(const Json &body);
    StandinAnswer executeLeaseCall(const StandinCall &call);
    void applyWrite(const std::string &key, std::optional<std::string> value, std::int64_t lease);
    void expireLeases();
};

// Sets the key, or removes it if there is no value. The caller holds the lock and has incremented m_revision.
void StandinStore::Private::applyWrite(const std::string &key, std::optional<std::string> value, std::int64_t lease)
{
    if (!value) {
        if (m_items.erase(key) > 0) {
            m_history.push_back(HistoryEvent{.m_key = key, .m_revision = m_revision, .m_valueAfter = std::nullopt});
        }
        return;
    }
    auto &item = m_items[key];
    item.m_createRevision = item.m_createRevision == 0 ? m_revision : item.m_createRevision;
    item.m_revision = m_revision;
    item.m_value = std::move(*value);
    item.m_lease = lease;
    m_history.push_back(HistoryEvent{.m_key = key, .m_revision = m_revision, .m_valueAfter = item});
}

void StandinStore::Private::expireLeases()
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.m_endsAt > Clock::now()) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.m_lease == lease->first) {
                keys.push_back(key);
            }
        }
        for (const auto &key : keys) {
            ++m_revision;
            applyWrite(key, std::nullopt, 0);
        }
        lease = m_leases.erase(lease);
        m_changed.notify_all();
    }
}

StandinAnswer StandinStore::Private::get(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    expireLeases();
    const auto found = m_items.find(key);
    return found == m_items.end() ? StandinAnswer{.m_status = 404, .m_body = "{}"}
                                  : StandinAnswer{.m_status = 200, .m_body = toJson(key, found->second).dump()};
}

StandinAnswer StandinStore::Private::range(const std::string &prefix)
{
    const std::lock_guard lock(m_mutex);
    expireLeases();
    Json items = Json::array();
    for (auto item = m_items.lower_bound(prefix); item != m_items.end() && item->first.starts_with(prefix); ++item) {
        items.push_back(toJson(item->first, item->second));
    }
    return StandinAnswer{.m_status = 200, .m_body = Json{{"items", items}, {"truncated", false}, {"atRev", m_revision}}.dump()};
}

StandinAnswer StandinStore::Private::watch(const std::string &prefix, std::int64_t after, std::chrono::milliseconds wait)
{
    const auto until = Clock::now() + wait;
    std::unique_lock lock(m_mutex);
    while (true) {
        expireLeases();
        Json events = Json::array();
        for (const auto &change : m_history) {
            if (change.m_revision > after && change.m_key.starts_with(prefix)) {
                events.push_back(change.m_valueAfter ? toJson(change.m_key, *change.m_valueAfter)
                                                     : Json{{"key", change.m_key}, {"rev", change.m_revision}, {"deleted", true}});
            }
        }
        if (!events.empty() || Clock::now() >= until || m_stopping) {
            return StandinAnswer{.m_status = 200, .m_body = Json{{"events", events}, {"atRev", m_revision}}.dump()};
        }
        // Nothing notifies m_changed at the time when a lease ends, so the loop checks the leases every 50 ms.
        m_changed.wait_until(lock, std::min(until, Clock::now() + std::chrono::milliseconds(50)));
    }
}

StandinAnswer StandinStore::Private::commitTransaction(const Json &body)
{
    const std::lock_guard lock(m_mutex);
    expireLeases();
    bool conditionsHold = true;
    Json current = Json::array();
    for (const auto &row : body.value("expected", Json::array())) {
        const auto key = row.at("key").get<std::string>();
        const auto found = m_items.find(key);
        conditionsHold = conditionsHold && (found == m_items.end() ? 0 : found->second.m_revision) == row.at("rev").get<std::int64_t>();
        if (found != m_items.end()) {
            current.push_back(toJson(key, found->second));
        }
    }
    if (!conditionsHold) {
        return StandinAnswer{.m_status = 412, .m_body = Json{{"items", current}}.dump()};
    }
    for (const auto &row : body.value("setKeys", Json::array())) {
        const auto wanted = row.value("lease", std::int64_t(0));
        if (wanted != 0 && !m_leases.contains(wanted)) {
            return StandinAnswer{.m_status = 404, .m_body = "{}"};
        }
        if (decodeBase64(row.at("value").get<std::string>()).size() > m_maxValueBytes) {
            return StandinAnswer{.m_status = 400, .m_body = "{}"};
        }
    }
    ++m_revision;
    for (const auto &row : body.value("setKeys", Json::array())) {
        applyWrite(row.at("key").get<std::string>(), decodeBase64(row.at("value").get<std::string>()), row.value("lease", std::int64_t(0)));
    }
    for (const auto &key : body.value("remove", Json::array())) {
        applyWrite(key.get<std::string>(), std::nullopt, 0);
    }
    m_changed.notify_all();
    return StandinAnswer{.m_status = 200, .m_body = Json{{"rev", m_revision}}.dump()};
}

StandinAnswer StandinStore::Private::executeLeaseCall(const StandinCall &call)
{
    const std::lock_guard lock(m_mutex);
    expireLeases();
    if (call.m_path == "/kv-lease") {
        const std::chrono::milliseconds lifetime(Json::parse(call.m_body).at("ttlMs").get<std::int64_t>());
        const auto identifier = m_nextLease++;
        m_leases[identifier] = Lease{.m_lifetime = lifetime, .m_endsAt = Clock::now() + lifetime};
        return StandinAnswer{.m_status = 200, .m_body = Json{{"lease", identifier}, {"ttlMs", lifetime.count()}}.dump()};
    }
    const auto found = m_leases.find(std::stoll(call.m_path.substr(call.m_path.rfind('/') + 1)));
    if (found == m_leases.end()) {
        return StandinAnswer{.m_status = 404, .m_body = "{}"};
    }
    if (call.m_method == "DELETE") {
        found->second.m_endsAt = Clock::now();
        expireLeases();
    } else {
        found->second.m_endsAt = Clock::now() + found->second.m_lifetime;
    }
    return StandinAnswer{.m_status = 200, .m_body = "{}"};
}

static std::string queryParameter(const StandinCall &call, const std::string &name)
{
    const auto found = call.m_query.find(name);
    return found == call.m_query.end() ? std::string("0") : found->second;
}

StandinAnswer StandinStore::Private::executeCall(const StandinCall &call)
{
    if (call.m_path == "/kv-key") {
        return get(queryParameter(call, "key"));
    }
    if (call.m_path == "/kv-range") {
        return range(queryParameter(call, "prefix"));
    }
    if (call.m_path == "/kv-watch") {
        return watch(
            queryParameter(call, "prefix"), std::stoll(queryParameter(call, "after")), std::chrono::milliseconds(std::stoll(queryParameter(call, "waitMs"))));
    }
    if (call.m_path == "/kv-txn") {
        return commitTransaction(Json::parse(call.m_body));
    }
    return executeLeaseCall(call);
}

static StoreCall storeCallOf(const StandinCall &call)
{
    if (call.m_path == "/kv-txn") {
        return StoreCall::Commit;
    }
    if (call.m_path == "/kv-watch") {
        return StoreCall::Watch;
    }
    return call.m_method == "GET" ? StoreCall::Read : StoreCall::Lease;
}

StandinAnswer StandinStore::Private::answerWithFaults(const StandinCall &call)
{
    auto fault = StoreFault::None;
    {
        const std::lock_guard lock(m_mutex);
        fault = m_faults ? m_faults(storeCallOf(call)) : StoreFault::None;
    }
    switch (fault) {
    case StoreFault::None:
        return executeCall(call);
    case StoreFault::Refused:
        return StandinAnswer{.m_status = 503, .m_body = "{}"};
    case StoreFault::AnswerLost:
        executeCall(call);
        return StandinAnswer{.m_status = 0, .m_body = {}};
    case StoreFault::ExecutedLate: {
        const std::lock_guard lock(m_mutex);
        m_lateCalls.emplace_back([this, call] {
            std::this_thread::sleep_for(lateExecutionDelay);
            executeCall(call);
        });
        return StandinAnswer{.m_status = 0, .m_body = {}};
    }
    case StoreFault::HistoryLost:
        return StandinAnswer{.m_status = 410, .m_body = "{}"};
    }
    return executeCall(call);
}

StandinAnswer StandinStore::Private::answerInZone(const StandinCall &call, std::size_t zone)
{
    AddressPairs replacements;
    {
        const std::lock_guard lock(m_mutex);
        replacements = m_zonePorts.at(zone).m_replacements;
    }
    // Writes are translated back, so that a roster that the owner of one zone has written has the addresses of the other zone there.
    AddressPairs reversed;
    for (const auto &[stored, inZone] : replacements) {
        reversed.emplace_back(inZone, stored);
    }
    const auto answer = answerWithFaults(StandinCall{.m_method = call.m_method,
                                                     .m_path = call.m_path,
                                                     .m_query = call.m_query,
                                                     .m_headers = call.m_headers,
                                                     .m_body = withReplacedAddresses(call.m_body, reversed)});
    return StandinAnswer{.m_status = answer.m_status, .m_body = withReplacedAddresses(answer.m_body, replacements)};
}

StandinStore::StandinStore()
    : m_private(std::make_unique<Private>())
{
    m_private->m_httpServer = std::make_unique<LoopbackHttpServer>([this](const StandinCall &call) { return m_private->answerWithFaults(call); });
}

StandinStore::~StandinStore()
{
    {
        const std::lock_guard lock(m_private->m_mutex);
        m_private->m_stopping = true;
    }
    m_private->m_changed.notify_all();
    m_private->m_httpServer.reset();
    for (auto &port : m_private->m_zonePorts) {
        port.m_httpServer.reset();
    }
    for (auto &thread : m_private->m_lateCalls) {
        thread.join();
    }
}

std::string StandinStore::address() const
{
    return m_private->m_httpServer->address();
}

std::string StandinStore::addZonePort()
{
    const std::lock_guard lock(m_private->m_mutex);
    const auto zone = m_private->m_zonePorts.size();
    auto server = std::make_unique<LoopbackHttpServer>([this, zone](const StandinCall &call) { return m_private->answerInZone(call, zone); });
    m_private->m_zonePorts.push_back(ZonePort{.m_replacements = {}, .m_httpServer = std::move(server)});
    return m_private->m_zonePorts.back().m_httpServer->address();
}

void StandinStore::replaceAddress(std::size_t zone, const std::string &address, const std::string &addressInZone)
{
    const std::lock_guard lock(m_private->m_mutex);
    m_private->m_zonePorts.at(zone).m_replacements.emplace_back(address, addressInZone);
}

void StandinStore::setMaxValueBytes(std::size_t bytes)
{
    const std::lock_guard lock(m_private->m_mutex);
    m_private->m_maxValueBytes = bytes;
}

StandinAnswer StandinStore::handle(const StandinCall &call)
{
    return m_private->executeCall(call);
}

void StandinStore::setFaults(std::function<StoreFault(StoreCall)> faults)
{
    const std::lock_guard lock(m_private->m_mutex);
    m_private->m_faults = std::move(faults);
}

void StandinStore::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_private->m_mutex);
    ++m_private->m_revision;
    m_private->applyWrite(key, value, 0);
    m_private->m_changed.notify_all();
}

void StandinStore::remove(const std::string &key)
{
    const std::lock_guard lock(m_private->m_mutex);
    ++m_private->m_revision;
    m_private->applyWrite(key, std::nullopt, 0);
    m_private->m_changed.notify_all();
}

std::optional<std::string> StandinStore::value(const std::string &key) const
{
    const std::lock_guard lock(m_private->m_mutex);
    const auto found = m_private->m_items.find(key);
    return found == m_private->m_items.end() ? std::nullopt : std::optional(found->second.m_value);
}

std::int64_t StandinStore::revisionOf(const std::string &key) const
{
    const std::lock_guard lock(m_private->m_mutex);
    const auto found = m_private->m_items.find(key);
    return found == m_private->m_items.end() ? 0 : found->second.m_revision;
}

} // namespace PrimroseBridge
