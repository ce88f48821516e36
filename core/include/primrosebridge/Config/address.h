#pragma once

#include <string_view>

namespace PrimroseBridge {

/// True if @p text is an IPv4 address or an IPv6 address without brackets. Thread-safe.
bool isIpAddress(std::string_view text);

/// True for `IP:port` with a port from 1 to 65535; an IPv6 address is in brackets. Thread-safe.
bool isSocketAddress(std::string_view text);

} // namespace PrimroseBridge
