#pragma once

#include <string_view>

namespace PrimroseBridge {

/// Returns true if @p text is an IPv4 address or an IPv6 address without brackets. Thread-safe.
bool isIpAddress(std::string_view text);

/// Returns true if @p text has the form `IP:port`, with a port from 1 to 65535 and an IPv6 address in brackets. Thread-safe.
bool isSocketAddress(std::string_view text);

} // namespace PrimroseBridge
