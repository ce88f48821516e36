#pragma once

#include "primrosebridge/Model/time.h"

#include <array>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace PrimroseBridge {

/// Time from the sign-in to the end of a session: one working day.
constexpr Duration sessionLifetime = std::chrono::hours(8);

/// Returns 256 random bits as 64 lower-case hexadecimal digits. Throws if the platform has no random device. Thread-safe.
std::string randomToken();

/// The session of a signed-in operator.
struct ConsoleSession {
    const std::string m_forgeryToken; ///< Token against cross-site request forgery; part of every form of the session.
    const std::string m_operatorTokenSha256; ///< Digest of the operator token at the sign-in; the session ends when that token is replaced.
    const Instant m_expiresAt;

    bool operator==(const ConsoleSession &) const = default;
};

/// The sessions of all operators that are signed in to this process. They are divided into shards, each with its own lock.
///
/// Thread-safe. Holds at most shardCount * maxSessionsPerShard sessions.
class ConsoleSessions
{
public:
    static constexpr std::size_t shardCount = 8;
    static constexpr std::size_t maxSessionsPerShard = 16;

    /// Starts a session and returns its cookie value. If the shard is full, evicts the session that expires first, so that abandoned sessions
    /// cannot prevent a sign-in.
    std::string start(const std::string &operatorTokenSha256, Instant now);
    /// Returns the session with this cookie value; nothing if there is none, it has expired, or its operator token has been replaced.
    [[nodiscard]] std::optional<ConsoleSession> find(const std::string &cookie, const std::string &operatorTokenSha256, Instant now) const;
    /// Ends the session with this cookie value; ignores an unknown value.
    void end(const std::string &cookie);
    /// Returns the number of sessions, including expired ones. It is not a snapshot, because the shards are locked one after the other.
    [[nodiscard]] std::size_t size() const;

private:
    struct Shard {
        mutable std::mutex m_mutex;
        std::map<std::string, ConsoleSession> m_sessions; // Keyed by SHA-256 of the cookie, so that lookup times reveal nothing about valid cookies.
    };

    std::array<Shard, shardCount> m_shards;
};

} // namespace PrimroseBridge
