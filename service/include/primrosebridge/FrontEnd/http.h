#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace PrimroseBridge {

/// One HTTP request, decoded.
struct HttpCall {
    const std::string m_method;
    const std::vector<std::string> m_path; ///< Decoded segments, for example {"v1", "requests", "kiln-7"}.
    const std::map<std::string, std::string> m_query;
    const std::map<std::string, std::string> m_headers; ///< Names in lower case.
    const std::string m_body;
    const std::string m_rawPath = {}; ///< As it was sent, without the query.

    bool operator==(const HttpCall &) const = default;
};

/// One HTTP answer, before it is encoded.
struct HttpReply {
    const int m_status;
    const std::string m_contentType;
    const std::string m_body;
    const std::vector<std::pair<std::string, std::string>> m_headers = {};

    bool operator==(const HttpReply &) const = default;
};

/// The header's value, or an empty string. @p name is in lower case. Thread-safe.
std::string headerValue(const HttpCall &call, const std::string &name);

/// The query parameter's value, or an empty string. Thread-safe.
std::string queryValue(const HttpCall &call, const std::string &name);

} // namespace PrimroseBridge
