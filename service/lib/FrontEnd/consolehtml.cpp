#include "consolehtml.h"

#include <array>

namespace PrimroseBridge {

// Allows no script, no frame and no other origin, so that injected markup cannot run even if the escaping has a gap.
constexpr std::string_view contentSecurityPolicy = "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'";

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    escaped.reserve(text.size());
    for (const char character : text) {
        const auto code = static_cast<unsigned char>(character);
        const bool isControl = (code < 0x20 && character != '\t' && character != '\n' && character != '\r') || code == 0x7f;
        if (character == '&') {
            escaped += "&amp;";
        } else if (character == '<') {
            escaped += "&lt;";
        } else if (character == '>') {
            escaped += "&gt;";
        } else if (character == '"') {
            escaped += "&quot;";
        } else if (character == '\'') {
            escaped += "&#39;";
        } else if (isControl) {
            escaped += "\xEF\xBF\xBD";
        } else {
            escaped += character;
        }
    }
    return escaped;
}

static std::vector<std::pair<std::string, std::string>> commonHeaders()
{
    return {{"Content-Security-Policy", std::string(contentSecurityPolicy)}, {"Cache-Control", "no-store"}, {"Referrer-Policy", "no-referrer"}};
}

static std::string navigationHtml(const std::string &forgeryToken)
{
    struct Entry {
        const char *m_path;
        const char *m_label;
    };
    constexpr std::array<Entry, 8> entries = {{{"fleet", "Fleet"},
                                               {"queues", "Queues"},
                                               {"held", "Guarantees in force"},
                                               {"events", "Events"},
                                               {"organisations", "Organisations"},
                                               {"guarantees", "Guarantees"},
                                               {"classes", "Job classes"},
                                               {"limits", "Limits"}}};
    std::string html = "<nav aria-label=\"Console\"><ul>";
    for (const auto &entry : entries) {
        html += std::string("<li><a href=\"/console/") + entry.m_path + "\">" + entry.m_label + "</a></li>";
    }
    return html + R"(<li><form method="post" action="/console/sign-out">)" + hiddenField("forgery", forgeryToken)
           + "<button>Sign out</button></form></li></ul></nav>";
}

HttpReply consolePage(int status, const std::string &title, const std::string &body, const std::string &forgeryToken)
{
    const auto escapedTitle = escapeHtml(title);
    const auto html = R"(<!DOCTYPE html><html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width">)"
                      "<title>"
                      + escapedTitle + " – primrosebridge</title><link rel=\"stylesheet\" href=\"/console/style.css\"></head><body>"
                      + (forgeryToken.empty() ? std::string() : navigationHtml(forgeryToken)) + "<main><h1>" + escapedTitle + "</h1>" + body
                      + "</main></body></html>\n";
    return HttpReply{.m_status = status, .m_contentType = "text/html; charset=utf-8", .m_body = html, .m_headers = commonHeaders()};
}

HttpReply withHeader(const HttpReply &reply, const std::string &name, const std::string &value)
{
    auto headers = reply.m_headers;
    headers.emplace_back(name, value);
    return HttpReply{.m_status = reply.m_status, .m_contentType = reply.m_contentType, .m_body = reply.m_body, .m_headers = headers};
}

HttpReply consoleRedirect(const std::string &path, const std::string &cookie)
{
    const HttpReply reply{.m_status = 303, .m_contentType = "text/plain", .m_body = "see " + path + "\n", .m_headers = commonHeaders()};
    const auto redirect = withHeader(reply, "Location", path);
    return cookie.empty() ? redirect : withHeader(redirect, "Set-Cookie", cookie);
}

HttpReply consoleStyleSheet()
{
    return HttpReply{
        .m_status = 200,
        .m_contentType = "text/css",
        .m_body
        = "body{font:1rem/1.5 sans-serif;margin:0 auto;max-width:72rem;padding:1rem;color:#1b1b1b;background:#fff}"
          "nav ul{display:flex;flex-wrap:wrap;gap:.5rem 1rem;list-style:none;padding:0;align-items:center}"
          "table{border-collapse:collapse;margin:1rem 0}caption{text-align:left;font-weight:bold}"
          "th,td{border:1px solid #767676;padding:.25rem .5rem;text-align:left;overflow-wrap:anywhere}"
          "fieldset{margin:1rem 0}fieldset>div{margin:.75rem 0}label{display:block;font-weight:bold}input,select{font:inherit;min-width:20rem;max-width:100%}"
          ".hint{color:#4a4a4a;display:block}.error{color:#a40000;display:block;font-weight:bold}"
          "[aria-invalid]{border:2px solid #a40000}svg{max-width:100%;height:auto}\n",
        .m_headers = commonHeaders()};
}

std::string hiddenField(const std::string &name, const std::string &value)
{
    return R"(<input type="hidden" name=")" + escapeHtml(name) + R"(" value=")" + escapeHtml(value) + R"(">)";
}

static std::string
tableHtml(const std::string &caption, const std::vector<std::string> &headings, const std::vector<std::vector<std::string>> &rows, bool lastColumnIsHtml)
{
    std::string html = "<table><caption>" + escapeHtml(caption) + "</caption><thead><tr>";
    for (const auto &heading : headings) {
        html += "<th scope=\"col\">" + escapeHtml(heading) + "</th>";
    }
    html += "</tr></thead><tbody>";
    for (const auto &row : rows) {
        html += "<tr>";
        for (std::size_t column = 0; column < row.size(); ++column) {
            const bool isHtml = lastColumnIsHtml && column + 1 == row.size();
            html += "<td>" + (isHtml ? row[column] : escapeHtml(row[column])) + "</td>";
        }
        html += "</tr>";
    }
    return html + "</tbody></table>" + (rows.empty() ? "<p>There are none.</p>" : "");
}

std::string htmlTable(const std::string &caption, const std::vector<std::string> &headings, const std::vector<std::vector<std::string>> &rows)
{
    return tableHtml(caption, headings, rows, false);
}

std::string htmlTableWithLinks(const std::string &caption, const std::vector<std::string> &headings, const std::vector<std::vector<std::string>> &rows)
{
    return tableHtml(caption, headings, rows, true);
}

} // namespace PrimroseBridge
