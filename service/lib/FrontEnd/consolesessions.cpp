#include "consolesessions.h"

#include "primrosebridge/FrontEnd/api.h"

#include <algorithm>
#include <functional>
#include <random>

namespace PrimroseBridge {

std::string randomToken()
{
    constexpr int wordCount = 8;
    constexpr char digits[] = "0123456789abcdef";
    std::random_device device; // Uses the generator of the operating system or the processor.
    std::string token;
    for (int word = 0; word < wordCount; ++word) {
        auto randomBits = device();
        for (int digit = 0; digit < 8; ++digit) {
            token += digits[randomBits & 0xF];
            randomBits >>= 4;
        }
    }
    return token;
}

static std::size_t shardIndex(const std::string &digest)
{
    return std::hash<std::string>()(digest) % ConsoleSessions::shardCount;
}

// Removes the expired sessions. If the shard is still full, also removes the session that expires first.
static void evictForNewSession(std::map<std::string, ConsoleSession> &sessions, Instant now)
{
    std::erase_if(sessions, [now](const auto &entry) { return entry.second.m_expiresAt <= now; });
    if (sessions.size() < ConsoleSessions::maxSessionsPerShard) {
        return;
    }
    sessions.erase(std::min_element(
        sessions.begin(), sessions.end(), [](const auto &left, const auto &right) { return left.second.m_expiresAt < right.second.m_expiresAt; }));
}

std::string ConsoleSessions::start(const std::string &operatorTokenSha256, Instant now)
{
    auto cookie = randomToken();
    const auto digest = sha256Hex(cookie);
    const ConsoleSession session{.m_forgeryToken = randomToken(), .m_operatorTokenSha256 = operatorTokenSha256, .m_expiresAt = now + sessionLifetime};
    auto &shard = m_shards[shardIndex(digest)];
    const std::lock_guard lock(shard.m_mutex);
    evictForNewSession(shard.m_sessions, now);
    shard.m_sessions.emplace(digest, session);
    return cookie;
}

std::optional<ConsoleSession> ConsoleSessions::find(const std::string &cookie, const std::string &operatorTokenSha256, Instant now) const
{
    const auto digest = sha256Hex(cookie);
    const auto &shard = m_shards[shardIndex(digest)];
    const std::lock_guard lock(shard.m_mutex);
    const auto found = shard.m_sessions.find(digest);
    if (found == shard.m_sessions.end() || found->second.m_expiresAt <= now || found->second.m_operatorTokenSha256 != operatorTokenSha256) {
        return std::nullopt;
    }
    return found->second;
}

void ConsoleSessions::end(const std::string &cookie)
{
    const auto digest = sha256Hex(cookie);
    auto &shard = m_shards[shardIndex(digest)];
    const std::lock_guard lock(shard.m_mutex);
    shard.m_sessions.erase(digest);
}

std::size_t ConsoleSessions::size() const
{
    std::size_t total = 0;
    for (const auto &shard : m_shards) {
        const std::lock_guard lock(shard.m_mutex);
        total += shard.m_sessions.size();
    }
    return total;
}

} // namespace PrimroseBridge
