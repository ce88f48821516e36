#pragma once

#include "primrosebridge/Model/time.h"

#include <array>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace PrimroseBridge {

/// A session ends this long after the sign-in: one working day.
constexpr Duration sessionLifetime = std::chrono::hours(8);

/// 256 random bits as lower-case hexadecimal digits. Thread-safe.
std::string randomToken();

/// One operator's session.
struct ConsoleSession {
    const std::string m_forgeryToken; ///< Every form of the session carries it.
    const std::string m_operatorTokenSha256; ///< The digest that it was signed in against; a session ends when the operators' token changes.
    const Instant m_expiresAt;

    bool operator==(const ConsoleSession &) const = default;
};

/// The operators' sessions on this process, in shards that each have their own lock.
///
/// Thread-safe. Holds at most shardCount * maxSessionsPerShard sessions.
class ConsoleSessions
{
public:
    static constexpr std::size_t shardCount = 8;
    static constexpr std::size_t maxSessionsPerShard = 16;

    /// Starts a session and returns its cookie value. The shard's session that expires first ends if the shard is full, so that an operator
    /// is never locked out by forgotten sessions.
    std::string start(const std::string &operatorTokenSha256, Instant now);
    /// The session of this cookie value; empty if it is unknown, has expired, or was signed in against another token.
    [[nodiscard]] std::optional<ConsoleSession> find(const std::string &cookie, const std::string &operatorTokenSha256, Instant now) const;
    /// Ends the session; an unknown cookie value is ignored.
    void end(const std::string &cookie);
    /// Number of sessions, counted shard by shard.
    [[nodiscard]] std::size_t size() const;

private:
    struct Shard {
        mutable std::mutex m_mutex;
        std::map<std::string, ConsoleSession> m_sessions; // By SHA-256 of the cookie, so that look-up times reveal nothing of cookies.
    };

    std::array<Shard, shardCount> m_shards;
};

} // namespace PrimroseBridge
