#include "formdecoding.h"

#include "consolehtml.h"
#include "consolesessions.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <thread>

using namespace PrimroseBridge;

// Guards against markup from a configuration document or an event in a page.
TEST_CASE("markup and control characters are escaped")
{
    CHECK(escapeHtml("<a href=\"x\" id='y'>&</a>") == "&lt;a href=&quot;x&quot; id=&#39;y&#39;&gt;&amp;&lt;/a&gt;");
    CHECK(escapeHtml(std::string("a\0b\x1b", 4))
          == "a\xEF\xBF\xBD"
             "b\xEF\xBF\xBD");
    CHECK(escapeHtml("zürich\n") == "zürich\n");
}

// Guards against a field value that the form decoder alters.
TEST_CASE("a form is decoded with its percent escapes")
{
    const auto form = decodeForm("%2Fshape%2Fcores=16&name=a+b%26c%3d&empty=&bare").value();
    CHECK(form == FormValues{{"/shape/cores", "16"}, {"name", "a b&c="}, {"empty", ""}, {"bare", ""}});
    CHECK(decodeForm("").value().empty());
}

// Guards against forms that two parsers could interpret differently, and against text that cannot be stored as JSON.
TEST_CASE("hostile forms are rejected")
{
    for (const auto *body : {"a=%", "a=%4", "a=%zz", "a=%+1", "a=%00", "a=%0a", "a=%c0%af", "a=%ff", "a=%ed%a0%80", "a=%f4%90%80%80", "a=%e2%82", "a=1&a=2"}) {
        INFO(body);
        REQUIRE(!decodeForm(body).ok());
        CHECK(decodeForm(body).error().kind() == ErrorKind::InvalidArgument);
    }
    CHECK(decodeForm(std::string(maxFormBytes + 1, 'a')).error().kind() == ErrorKind::TooLarge);
    std::string many;
    for (std::size_t index = 0; index <= maxFormFields; ++index) {
        many += "f" + std::to_string(index) + "=1&";
    }
    CHECK(decodeForm(many).error().kind() == ErrorKind::InvalidArgument);
}

// Guards against a crash or unescaped text for an arbitrary form body.
TEST_CASE("random form bodies are decoded or rejected")
{
    constexpr std::string_view alphabet = "ab=&%+;0fF<\"'\x80\xc3\xa9\x01";
    std::mt19937 random(20261204); // NOLINT: a fixed seed makes the run repeatable.
    for (int round = 0; round < 20000; ++round) {
        std::string body;
        for (auto length = random() % 40; length > 0; --length) {
            body += alphabet[random() % alphabet.size()];
        }
        const auto form = decodeForm(body);
        if (!form.ok()) {
            continue;
        }
        for (const auto &[name, value] : form.value()) {
            const auto shown = hiddenField(name, value);
            REQUIRE(std::count(shown.begin(), shown.end(), '<') == 1);
            REQUIRE(std::count(shown.begin(), shown.end(), '"') == 6);
        }
    }
}

// Guards against numbers that are truncated or overflow.
TEST_CASE("only a complete number in range is parsed")
{
    CHECK(parseNonNegativeInteger("42") == 42);
    for (const auto *text : {"", "-1", "1x", " 1", "1e3", "99999999999999999999"}) {
        CHECK(!parseNonNegativeInteger(text));
    }
}

// Guards against a match with a cookie whose name ends in the requested name.
TEST_CASE("a cookie is found only by its complete name")
{
    const HttpCall call{.m_method = "GET", .m_path = {}, .m_query = {}, .m_headers = {{"cookie", "xid=1; id=2;other=3"}}, .m_body = ""};
    CHECK(cookieValue(call, "id") == "2");
    CHECK(cookieValue(call, "other") == "3");
    CHECK(cookieValue(call, "absent").empty());
}

// Guards against a cookie that stays valid after the operator token has been replaced.
TEST_CASE("a session ends when it expires, at the sign-out and when the operator token is replaced")
{
    ConsoleSessions sessions;
    const auto start = fromMilliseconds(1000);
    const auto cookie = sessions.start("digest", start);
    CHECK(cookie.size() == 64);
    const auto session = sessions.find(cookie, "digest", start);
    REQUIRE(session);
    CHECK(session->m_forgeryToken != cookie);
    CHECK(!sessions.find(cookie, "other digest", start));
    CHECK(!sessions.find(cookie, "digest", start + sessionLifetime));
    CHECK(!sessions.find("", "digest", start));
    sessions.end(cookie);
    CHECK(!sessions.find(cookie, "digest", start));
}

// Guards against memory use that grows with the number of sign-ins, and against data races between the threads of the server.
TEST_CASE("the number of sessions is bounded")
{
    ConsoleSessions sessions;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int index = 0; index < 4; ++index) {
        threads.emplace_back([&sessions] {
            for (int round = 0; round < 250; ++round) {
                sessions.start("digest", fromMilliseconds(round));
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    constexpr auto limit = ConsoleSessions::shardCount * ConsoleSessions::maxSessionsPerShard;
    CHECK(sessions.size() <= limit);
    const auto latest = sessions.start("digest", fromMilliseconds(1000));
    CHECK(sessions.find(latest, "digest", fromMilliseconds(1000)));
}
