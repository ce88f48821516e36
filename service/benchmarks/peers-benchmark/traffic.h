#pragma once

#include <cstdint>

namespace PrimroseBridge {

/// What the TCP connections of this process have sent.
struct Traffic {
    const std::uint64_t m_bytes; ///< Acknowledged payload of TCP, with the framing of HTTP/2.
    const std::uint64_t m_segments; ///< Segments sent, with acknowledgements; each has headers of 52 bytes (IPv4, and TCP with timestamps).

    bool operator==(const Traffic &) const = default;
};

/// The sum over the open connections of this process.
Traffic measureTraffic();

/// Resident memory of this process in bytes.
std::uint64_t residentBytes();

/// Number of threads of this process.
std::uint64_t threadCount();

} // namespace PrimroseBridge
