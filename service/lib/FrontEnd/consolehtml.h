#pragma once

#include "primrosebridge/FrontEnd/http.h"

#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// The text with `& < > " '` as character references, for element content and quoted attribute values. Control characters other than tab
/// and line end, which HTML does not allow, become U+FFFD. Every text that the console shows passes through here. Thread-safe.
std::string escapeHtml(std::string_view text);

/// A complete page with the console's headers, among them a Content-Security-Policy that allows no script. @p body is HTML; @p title is
/// text. The navigation is shown if @p forgeryToken, which its sign-out form carries, is not empty. Thread-safe.
HttpReply consolePage(int status, const std::string &title, const std::string &body, const std::string &forgeryToken);

/// A redirect (303) to a path of this server, optionally with a cookie to set. Thread-safe.
HttpReply consoleRedirect(const std::string &path, const std::string &cookie = {});

/// The reply with one more header. Thread-safe.
HttpReply withHeader(const HttpReply &reply, const std::string &name, const std::string &value);

/// The console's style sheet. Thread-safe.
HttpReply consoleStyleSheet();

/// A hidden form field. Thread-safe.
std::string hiddenField(const std::string &name, const std::string &value);

/// A table with a caption and column headings; all arguments are text. Thread-safe.
std::string htmlTable(const std::string &caption, const std::vector<std::string> &headings, const std::vector<std::vector<std::string>> &rows);

/// The same, but the last cell of each row is HTML. Thread-safe.
std::string htmlTableWithLinks(const std::string &caption, const std::vector<std::string> &headings, const std::vector<std::vector<std::string>> &rows);

} // namespace PrimroseBridge
