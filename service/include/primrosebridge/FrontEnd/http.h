#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace PrimroseBridge {

/// A decoded HTTP request. The type is not named a request, because in this code base a request is a submitted job.
struct HttpCall {
    const std::string m_method;
    const std::vector<std::string> m_path; ///< Percent-decoded segments, for example {"v1", "requests", "kiln-7"}.
    const std::map<std::string, std::string> m_query;
    const std::map<std::string, std::string> m_headers; ///< Names in lower case.
    const std::string m_body;
    const std::string m_rawPath = {}; ///< The path as the client sent it: still percent-encoded and without the query.

    bool operator==(const HttpCall &) const = default;
};

/// An HTTP response before it is encoded.
struct HttpReply {
    const int m_status;
    const std::string m_contentType;
    const std::string m_body;
    const std::vector<std::pair<std::string, std::string>> m_headers = {};

    bool operator==(const HttpReply &) const = default;
};

/// Returns the value of the header, or an empty string if it is absent. @p name must be in lower case. Thread-safe.
std::string headerValue(const HttpCall &call, const std::string &name);

/// Returns the value of the query parameter, or an empty string if it is absent. Thread-safe.
std::string queryValue(const HttpCall &call, const std::string &name);

} // namespace PrimroseBridge
