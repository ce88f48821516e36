#include "console.h"

#include "consolestatuspages.h"
#include "formdecoding.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace PrimroseBridge;

// A console whose callbacks use a configuration in memory. At first, version 7 is in force.
struct TestConsole {
    std::shared_ptr<const VersionedConfiguration> m_current;
    int m_published = 0;
    std::int64_t m_storedVersion = 7; // Version in the store; higher than the version on this VM if another operator has published.
    Instant m_now = fromMilliseconds(1'000'000);
    ConsoleSessions m_sessions;

    TestConsole()
    {
        std::ifstream file(std::string(PRIMROSEBRIDGE_EXAMPLES) + "/zwolle.json");
        std::stringstream text;
        text << file.rdbuf();
        const auto configuration = withVersion(std::get<Configuration>(readConfiguration(text.str())), 7);
        m_current = std::make_shared<const VersionedConfiguration>(VersionedConfiguration{configuration, writeConfiguration(configuration)});
    }

    Result<std::int64_t> publish(const std::string &document, std::int64_t expected)
    {
        if (expected != m_storedVersion) {
            return Error(ErrorKind::Conflict, "version " + std::to_string(m_storedVersion) + " is in force", "read it");
        }
        ++m_published;
        const auto next = withVersion(std::get<Configuration>(readConfiguration(document)), ++m_storedVersion);
        m_current = std::make_shared<const VersionedConfiguration>(VersionedConfiguration{next, document});
        return m_storedVersion;
    }

    HttpReply call(const std::string &method, const std::vector<std::string> &path, const std::string &cookie, const std::string &body = "")
    {
        const ConsoleCallbacks callbacks{
            .m_now = [this] { return m_now; },
            .m_configuration = [this] { return m_current; },
            .m_publish = [this](const std::string &document, std::int64_t version) { return publish(document, version); },
            .m_zoneReport =
                [] {
                    return ZoneReport{true, 3, {}, {}, 0, 1, 2};
                },
            .m_membership = [] { return initialMembership(VmId::create("vm1").value(), ZoneId::create("kampen").value()); },
            .m_zoneOwner = [] { return std::string("vm1"); },
            .m_timeline = [](Instant) { return MergedTimeline{}; },
        };
        auto fullPath = path;
        fullPath.insert(fullPath.begin(), "console");
        return answerConsoleCallWith(callbacks, m_sessions, HttpCall{method, fullPath, {}, {{"cookie", cookie}}, body});
    }

    std::string signIn()
    {
        const auto digest = m_current->m_configuration.m_operatorTokenSha256;
        return "primrosebridge_session=" + m_sessions.start(digest, m_now);
    }
};

static std::string replyHeader(const HttpReply &reply, const std::string &name)
{
    const auto found = std::find_if(reply.m_headers.begin(), reply.m_headers.end(), [&name](const auto &header) { return header.first == name; });
    return found == reply.m_headers.end() ? std::string() : found->second;
}

static bool bodyContains(const HttpReply &reply, const std::string &text)
{
    return reply.m_body.find(text) != std::string::npos;
}

static std::string forgeryTokenIn(const HttpReply &reply)
{
    const std::string before = R"(name="forgery" value=")";
    return reply.m_body.substr(reply.m_body.find(before) + before.size(), 64);
}

static std::string encodeGuaranteeForm(const std::string &forgery, const std::string &priority)
{
    return "forgery=" + forgery
           + "&version=7&action=change&index=0&/organisation=gemeente&/zone=zwolle-noord&/count=1&/shape/accelerators=8"
             "&/shape/adjacency=SameWorker&/shape/cores=8&/shape/memoryMb=1024&/reclaimWithinMs=60000&/priority="
           + priority;
}

// Guards against a session that is created without the operator token, and against a sign-in through a form of another site.
TEST_CASE("a sign-in needs the operator token and the cookie that was set with the form")
{
    TestConsole console;
    const auto form = console.call("GET", {"sign-in"}, "");
    const auto cookie = replyHeader(form, "Set-Cookie").substr(0, replyHeader(form, "Set-Cookie").find(';'));
    const auto body = "forgery=" + forgeryTokenIn(form) + "&token=";
    CHECK(console.call("POST", {"sign-in"}, "", body + "demo-operator").m_status == 403);
    CHECK(console.call("POST", {"sign-in"}, cookie, body + "wrong").m_status == 403);
    CHECK(console.m_sessions.size() == 0);
    const auto done = console.call("POST", {"sign-in"}, cookie, body + "demo-operator");
    CHECK(done.m_status == 303);
    const auto session = replyHeader(done, "Set-Cookie");
    CHECK(session.find("HttpOnly; SameSite=Strict") != std::string::npos);
    CHECK(console.call("GET", {"fleet"}, session.substr(0, session.find(';'))).m_status == 200);
    console.m_now += sessionLifetime;
    CHECK(replyHeader(console.call("GET", {"fleet"}, session.substr(0, session.find(';'))), "Location") == "/console/sign-in");
}

// Guards against a page that lacks the Content-Security-Policy, contains a script, or is shown without a session.
TEST_CASE("every page needs a session and forbids scripts")
{
    TestConsole console;
    const auto cookie = console.signIn();
    const std::vector<std::vector<std::string>> pages = {{"fleet"},
                                                         {"queues"},
                                                         {"held"},
                                                         {"events"},
                                                         {"limits"},
                                                         {"organisations"},
                                                         {"guarantees"},
                                                         {"classes"},
                                                         {"deployment"},
                                                         {"guarantees", "add"},
                                                         {"guarantees", "0", "change"},
                                                         {"guarantees", "0", "remove"},
                                                         {"deployment", "0", "change"}};
    for (const auto &page : pages) {
        INFO(page.front());
        CHECK(console.call("GET", page, "").m_status == 303);
        const auto reply = console.call("GET", page, cookie);
        CHECK(reply.m_status == 200);
        CHECK(replyHeader(reply, "Content-Security-Policy").starts_with("default-src 'none'"));
        CHECK(!bodyContains(reply, "<script"));
    }
    for (const auto &page :
         std::vector<std::vector<std::string>>{{"none"}, {"guarantees", "99", "change"}, {"guarantees", "x", "change"}, {"guarantees", "0"}}) {
        CHECK(console.call("GET", page, cookie).m_status == 404);
    }
    CHECK(console.call("PUT", {"guarantees"}, cookie).m_status == 405);
    // The position distinguishes two guarantees of the same organisation.
    CHECK(bodyContains(console.call("GET", {"limits"}, cookie), "/console/guarantees/1/change\" aria-label=\"Change Guarantees gemeente (2)\""));
}

// Guards against cross-site request forgery: a change through a form of another site or of another session.
TEST_CASE("a form without the session's forgery token changes nothing")
{
    TestConsole console;
    const auto cookie = console.signIn();
    const auto other = forgeryTokenIn(console.call("GET", {"fleet"}, console.signIn()));
    for (const auto &token : {std::string(), std::string(64, 'a'), other}) {
        CHECK(console.call("POST", {"guarantees", "apply"}, cookie, encodeGuaranteeForm(token, "5")).m_status == 403);
        CHECK(console.call("POST", {"sign-out"}, cookie, "forgery=" + token).m_status == 403);
    }
    CHECK(console.m_published == 0);
    CHECK(console.call("GET", {"fleet"}, cookie).m_status == 200);
}

// Guards against a preview that publishes a version, and against a published change that differs from its preview.
TEST_CASE("a preview publishes nothing, and apply publishes the change")
{
    TestConsole console;
    const auto cookie = console.signIn();
    const auto forgery = forgeryTokenIn(console.call("GET", {"guarantees"}, cookie));
    const auto preview = console.call("POST", {"guarantees", "preview"}, cookie, encodeGuaranteeForm(forgery, "5"));
    CHECK(preview.m_status == 200);
    CHECK(bodyContains(preview, "<td>/guarantees/0/priority</td>"));
    CHECK(console.m_published == 0);
    const auto applied = console.call("POST", {"guarantees", "apply"}, cookie, encodeGuaranteeForm(forgery, "5"));
    CHECK(replyHeader(applied, "Location") == "/console/guarantees?published=8");
    CHECK(console.m_current->m_configuration.m_guarantees.front().m_priority == 5);
}

// Guards against a removal that removes the wrong element.
TEST_CASE("a guarantee can be added and removed with forms")
{
    TestConsole console;
    const auto cookie = console.signIn();
    const auto forgery = forgeryTokenIn(console.call("GET", {"guarantees"}, cookie));
    const auto before = console.m_current->m_configuration.m_guarantees;
    auto add = encodeGuaranteeForm(forgery, "300");
    add.replace(add.find("change"), 6, "add");
    CHECK(console.call("POST", {"guarantees", "apply"}, cookie, add).m_status == 303);
    REQUIRE(console.m_current->m_configuration.m_guarantees.size() == before.size() + 1);
    const auto remove = "forgery=" + forgery + "&version=8&action=remove&index=" + std::to_string(before.size());
    const auto preview = console.call("POST", {"guarantees", "preview"}, cookie, remove);
    CHECK(bodyContains(preview, "<td>300</td><td>(none)</td>"));
    CHECK(console.call("POST", {"guarantees", "apply"}, cookie, remove).m_status == 303);
    CHECK(console.m_current->m_configuration.m_guarantees == before);
}

// Guards against a standby VM that shows its empty report as the state of the zone.
TEST_CASE("guarantees in force are shown as held, free, lent, reclaimable and short")
{
    TestConsole console;
    const auto &guarantee = console.m_current->m_configuration.m_guarantees.front();
    const Guarantee ten{guarantee.m_organisation, guarantee.m_zone, guarantee.m_shape, 10, guarantee.m_reclaimWithin, guarantee.m_priority};
    const auto membership = initialMembership(VmId::create("vm1").value(), guarantee.m_zone);
    const ConsoleSession session{"forgery", "digest", console.m_now};
    const auto report = [&ten](bool owned) { return ZoneReport{owned, 3, {}, {GuaranteeStatus{ten, 4, 1, 2, 2}}, 0, 0, 0}; };
    const std::string row = "<td>10</td><td>4</td><td>1</td><td>3</td><td>2</td><td>2</td>";
    CHECK(bodyContains(guaranteeStatusPage(report(true), membership, "vm1", session), row));
    const auto standby = guaranteeStatusPage(report(false), membership, "vm2", session);
    CHECK(!bodyContains(standby, row));
    CHECK(bodyContains(standby, "The owner is vm2."));
}

// Guards against a change that silently overwrites the change of another operator.
TEST_CASE("a conflict page contains the number of the version in force")
{
    TestConsole console;
    const auto cookie = console.signIn();
    const auto form = encodeGuaranteeForm(forgeryTokenIn(console.call("GET", {"guarantees"}, cookie)), "5");
    console.m_storedVersion = 9; // This VM has not received version 9 yet.
    const auto late = console.call("POST", {"guarantees", "apply"}, cookie, form);
    CHECK(late.m_status == 409);
    CHECK(bodyContains(late, "version 9 is in force"));
    console.m_current = std::make_shared<const VersionedConfiguration>(VersionedConfiguration{withVersion(console.m_current->m_configuration, 9), ""});
    const auto stale = console.call("POST", {"guarantees", "preview"}, cookie, form);
    CHECK(stale.m_status == 409);
    CHECK(bodyContains(stale, "version 9 is in force"));
    CHECK(console.m_published == 0);
}

// Guards against script injection through a rejected value that the form shows again.
TEST_CASE("hostile values are shown escaped next to their field and change nothing")
{
    TestConsole console;
    const auto cookie = console.signIn();
    const auto forgery = forgeryTokenIn(console.call("GET", {"guarantees"}, cookie));
    const auto reply = console.call("POST", {"guarantees", "apply"}, cookie, encodeGuaranteeForm(forgery, "%22%3E%3Cscript%3E"));
    CHECK(reply.m_status == 422);
    CHECK(!bodyContains(reply, "<script"));
    CHECK(bodyContains(reply, R"(aria-describedby="/priority-hint /priority-error")"));
    CHECK(bodyContains(reply, R"(id="/priority-error">is &#39;&quot;&gt;&lt;script&gt;&#39;)"));
    CHECK(console.call("POST", {"guarantees", "apply"}, cookie, std::string(maxFormBytes + 1, 'a')).m_status == 413);
    CHECK(console.m_published == 0);
}

// Guards against a line to a cause that is not in the diagram, and against markup in process names.
TEST_CASE("the diagram has a dot for each event and a line to its cause, and escapes process names")
{
    const auto event = [](const std::string &process, std::int64_t id, const EventReference &cause) {
        return MergedEvent{process, TimelineEvent{id, fromMilliseconds(id * 10), "placed", "k", cause, ""}};
    };
    const auto svg = timelineSvg({event("vm1", 1, {"", 0}), event("<vm2>", 2, {"vm1", 1}), event("vm1", 3, {"lost", 8})});
    const auto count = [&svg](const std::string &text) {
        int found = 0;
        for (auto at = svg.find(text); at != std::string::npos; at = svg.find(text, at + 1)) {
            ++found;
        }
        return found;
    };
    CHECK(count("<circle") == 3);
    CHECK(count("#767676") == 1);
    CHECK(count("<vm2>") == 0);
    CHECK(timelineSvg({}).empty());
}
