#pragma once

#include "fields.h"

#include <string>
#include <string_view>

namespace PrimroseBridge {

/// True if @p text is an IPv4 address or an IPv6 address without brackets. Thread-safe.
bool isIpAddress(std::string_view text);

/// True for `IP:port` with a port from 1 to 65535; an IPv6 address is in brackets. Thread-safe.
bool isSocketAddress(std::string_view text);

/// Reads a field of the form `IP:port` and reports any other value.
std::string readSocketAddress(Fields &fields, std::string_view name, const std::optional<std::string> &otherwise = std::nullopt);

} // namespace PrimroseBridge
