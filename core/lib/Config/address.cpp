#include "primrosebridge/Config/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <string>

namespace PrimroseBridge {

bool isIpAddress(std::string_view text)
{
    const std::string terminated(text);
    if (terminated.find('\0') != std::string::npos) {
        return false;
    }
    in6_addr parsed = {};
    return inet_pton(AF_INET, terminated.c_str(), &parsed) == 1 || inet_pton(AF_INET6, terminated.c_str(), &parsed) == 1;
}

static bool isPort(std::string_view text)
{
    int port = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    return parsed.ec == std::errc() && parsed.ptr == end && text.front() != '0' && port >= 1 && port <= 65535;
}

bool isSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon + 1 == text.size() || !isPort(text.substr(colon + 1))) {
        return false;
    }
    const auto host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        const auto inner = host.substr(1, host.size() - 2);
        return inner.find(':') != std::string_view::npos && isIpAddress(inner);
    }
    return host.find(':') == std::string_view::npos && isIpAddress(host);
}

} // namespace PrimroseBridge
