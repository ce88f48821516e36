#pragma once

#include "primrosebridge/FrontEnd/http.h"

#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Escapes a text for element content and quoted attribute values: replaces `& < > " '` by character references, and control characters that
/// HTML does not allow (all but tab, line feed and carriage return) by U+FFFD. Every text in a page of the console must be escaped by this
/// function. Thread-safe.
std::string escapeHtml(std::string_view text);

/// Returns a complete page with the headers of the console, including a Content-Security-Policy that allows no script. @p title is unescaped text,
/// and @p body is HTML. The page has the navigation if @p forgeryToken is not empty; the sign-out form in the navigation contains this token.
/// Thread-safe.
HttpReply consolePage(int status, const std::string &title, const std::string &body, const std::string &forgeryToken);

/// Returns a redirect with status 303 to a path of this server. A @p cookie that is not empty is the value of Set-Cookie. Thread-safe.
HttpReply consoleRedirect(const std::string &path, const std::string &cookie = {});

/// Returns a copy of the reply with an additional header. Thread-safe.
HttpReply withHeader(const HttpReply &reply, const std::string &name, const std::string &value);

/// Returns the style sheet of the console. Thread-safe.
HttpReply consoleStyleSheet();

/// Returns the HTML of a hidden form field. Both arguments are unescaped text. Thread-safe.
std::string hiddenField(const std::string &name, const std::string &value);

/// Returns the HTML of a table with a caption and column headings. All arguments are unescaped text. Thread-safe.
std::string htmlTable(const std::string &caption, const std::vector<std::string> &headings, const std::vector<std::vector<std::string>> &rows);

/// Returns the HTML of a table like htmlTable(), but the last cell of each row is HTML. Thread-safe.
std::string htmlTableWithLinks(const std::string &caption, const std::vector<std::string> &headings, const std::vector<std::vector<std::string>> &rows);

} // namespace PrimroseBridge
