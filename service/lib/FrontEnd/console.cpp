#include "console.h"

#include "consoleformpages.h"
#include "consolehtml.h"
#include "consolestatuspages.h"

#include "primrosebridge/FrontEnd/api.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Pipeline/timerservice.h"

#include <cassert>

namespace PrimroseBridge {

constexpr std::string_view sessionCookie = "primrosebridge_session";
constexpr std::string_view signInCookie = "primrosebridge_sign_in";
constexpr Duration shownPeriod = std::chrono::minutes(10);

// What the pages of a signed-in operator need.
struct ConsoleContext {
    const ConsoleCallbacks &m_source;
    const VersionedConfiguration &m_current;
    const ConsoleSession &m_session;
};

static std::string cookieText(std::string_view name, const std::string &value, Duration lifetime)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(lifetime).count();
    return std::string(name) + "=" + value + "; Path=/console; HttpOnly; SameSite=Strict; Max-Age=" + std::to_string(seconds);
}

static HttpReply showError(const Error &error, const std::string &forgeryToken)
{
    return consoleErrorPage(errorReply(error).m_status, error.message(), error.remedy(), forgeryToken);
}

// The form is bound to the browser by a cookie with the same random value, because there is no session yet.
static HttpReply showSignIn(int status, const std::string &problem)
{
    const auto token = randomToken();
    return withHeader(signInPage(status, token, problem), "Set-Cookie", cookieText(signInCookie, token, std::chrono::hours(1)));
}

static HttpReply forged(const std::string &forgeryToken)
{
    return consoleErrorPage(403, "the form does not belong to this session", "open the page again and repeat the change", forgeryToken);
}

static HttpReply signIn(const ConsoleCallbacks &source, ConsoleSessions &sessions, const Configuration &configuration, const HttpCall &call)
{
    const auto form = decodeForm(call.m_body);
    if (!form.ok()) {
        return showError(form.error(), "");
    }
    const auto cookie = cookieValue(call, signInCookie);
    if (cookie.empty() || !constantTimeEqual(cookie, formValue(form.value(), "forgery"))) {
        return forged("");
    }
    if (form.value().size() != 2 || !form.value().contains("token")) {
        return showSignIn(400, "The form has missing or unknown fields. Enter the token again.");
    }
    if (!constantTimeEqual(sha256Hex(formValue(form.value(), "token")), configuration.m_operatorTokenSha256)) {
        logEvent(LogLevel::Warn, "console_sign_in_refused", {});
        return showSignIn(403, "This is not the operators' token. Enter the token that the deployment's configuration names.");
    }
    const auto session = sessions.start(configuration.m_operatorTokenSha256, source.m_now());
    return consoleRedirect("/console/fleet", cookieText(sessionCookie, session, sessionLifetime));
}

static HttpReply signOut(ConsoleSessions &sessions, const HttpCall &call)
{
    sessions.end(cookieValue(call, sessionCookie));
    return consoleRedirect("/console/sign-in", cookieText(sessionCookie, "", Duration(0)));
}

static HttpReply publishEdit(const ConsoleContext &context, const ConsoleSection &section, const FormState &state, const EditedDocument &document)
{
    if (document.m_changes.empty()) {
        return previewPage(section, state, document.m_changes, context.m_session);
    }
    const auto published = context.m_source.m_publish(document.m_document, state.m_version);
    if (!published.ok() && published.error().kind() == ErrorKind::Conflict) {
        return conflictPage(section, published.error().message() + "; " + published.error().remedy(), context.m_session);
    }
    if (!published.ok()) {
        return showError(published.error(), context.m_session.m_forgeryToken);
    }
    return consoleRedirect("/console/" + section.m_name + "?published=" + std::to_string(published.value()));
}

static HttpReply submitEdit(const ConsoleContext &context, const ConsoleSection &section, const FormValues &form, bool apply)
{
    const auto version = parseNonNegativeInteger(formValue(form, "version"));
    auto fields = form;
    fields.erase("version");
    fields.erase("forgery");
    const auto edit = decodeEdit(fields);
    if (!version || !edit.ok()) {
        const Error noVersion(ErrorKind::InvalidArgument, "the form does not name the version that it was made from", "open the form again from the list");
        return showError(edit.ok() ? noVersion : edit.error(), context.m_session.m_forgeryToken);
    }
    const auto &configuration = context.m_current.m_configuration;
    if (*version != configuration.m_version) {
        const auto message
            = "version " + std::to_string(configuration.m_version) + " is in force, and the form was made from version " + std::to_string(*version);
        return conflictPage(section, message, context.m_session);
    }
    const auto result = applyEdit(configuration, section, edit.value());
    if (const auto *faults = std::get_if<std::vector<FieldFault>>(&result)) {
        return editFormPage(422, section, FormState{edit.value(), *version, *faults}, context.m_session);
    }
    const auto &document = std::get<EditedDocument>(result);
    const FormState state{edit.value(), *version, {}};
    return apply ? publishEdit(context, section, state, document) : previewPage(section, state, document.m_changes, context.m_session);
}

static HttpReply notFound(const ConsoleContext &context)
{
    return consoleErrorPage(404, "there is no such page", "use the links of the console", context.m_session.m_forgeryToken);
}

// /console/SECTION/add, /console/SECTION/INDEX/change and /console/SECTION/INDEX/remove.
static HttpReply showForm(const ConsoleContext &context, const ConsoleSection &section, const HttpCall &call)
{
    const auto &configuration = context.m_current.m_configuration;
    if (call.m_path.size() == 3 && call.m_path[2] == "add" && !section.m_listName.empty()) {
        return editFormPage(200, section, FormState{ConsoleEdit{EditAction::Add, 0, {}}, configuration.m_version, {}}, context.m_session);
    }
    const auto index = call.m_path.size() == 4 ? parseNonNegativeInteger(call.m_path[2]) : std::nullopt;
    const auto values = index ? elementFormValues(configuration, section, static_cast<std::size_t>(*index)) : std::nullopt;
    if (!values) {
        return notFound(context);
    }
    const auto position = section.m_listName.empty() ? 0 : static_cast<std::size_t>(*index);
    if (call.m_path[3] == "change") {
        return editFormPage(200, section, FormState{ConsoleEdit{EditAction::Change, position, *values}, configuration.m_version, {}}, context.m_session);
    }
    if (call.m_path[3] == "remove" && !section.m_listName.empty()) {
        return editFormPage(200, section, FormState{ConsoleEdit{EditAction::Remove, position, {}}, configuration.m_version, {}}, context.m_session);
    }
    return notFound(context);
}

static HttpReply showView(const ConsoleContext &context, const std::string &name)
{
    const auto &source = context.m_source;
    if (name == "fleet") {
        return fleetPage(source.m_zoneReport(), source.m_membership(), source.m_zoneOwner(), context.m_session);
    }
    if (name == "queues") {
        return queuesPage(source.m_zoneReport(), source.m_membership(), source.m_zoneOwner(), context.m_session);
    }
    if (name == "held") {
        return guaranteeStatusPage(source.m_zoneReport(), source.m_membership(), source.m_zoneOwner(), context.m_session);
    }
    if (name == "events") {
        return eventsPage(source.m_timeline(source.m_now() - shownPeriod), context.m_session);
    }
    if (name == "limits") {
        return limitsPage(context.m_current.m_configuration, context.m_session);
    }
    return notFound(context);
}

static HttpReply showPage(const ConsoleContext &context, const HttpCall &call)
{
    const auto *section = findConsoleSection(call.m_path[1]);
    if (section != nullptr && call.m_path.size() == 2) {
        const auto published = parseNonNegativeInteger(queryValue(call, "published")).value_or(0);
        // Only a version that is in force is confirmed, so that a crafted link cannot claim a publication.
        const bool inForce = published > 0 && published <= context.m_current.m_configuration.m_version;
        return sectionPage(context.m_current.m_configuration, *section, context.m_session, inForce ? published : 0);
    }
    if (section != nullptr) {
        return showForm(context, *section, call);
    }
    return call.m_path.size() == 2 ? showView(context, call.m_path[1]) : notFound(context);
}

static HttpReply post(const ConsoleContext &context, ConsoleSessions &sessions, const HttpCall &call)
{
    const auto form = decodeForm(call.m_body);
    if (!form.ok()) {
        return showError(form.error(), context.m_session.m_forgeryToken);
    }
    if (!constantTimeEqual(formValue(form.value(), "forgery"), context.m_session.m_forgeryToken)) {
        return forged(context.m_session.m_forgeryToken);
    }
    if (call.m_path.size() == 2 && call.m_path[1] == "sign-out") {
        return signOut(sessions, call);
    }
    const auto *section = findConsoleSection(call.m_path[1]);
    const bool known = section != nullptr && call.m_path.size() == 3 && (call.m_path[2] == "preview" || call.m_path[2] == "apply");
    return known ? submitEdit(context, *section, form.value(), call.m_path[2] == "apply") : notFound(context);
}

static HttpReply routeConsole(const ConsoleCallbacks &source, ConsoleSessions &sessions, const HttpCall &call)
{
    assert(!call.m_path.empty() && call.m_path.front() == "console" && "only calls under /console come here");
    if (call.m_method != "GET" && call.m_method != "POST") {
        return consoleErrorPage(405, "the method is not allowed here", "use the links and forms of the console", "");
    }
    const auto page = call.m_path.size() < 2 ? std::string() : call.m_path[1];
    if (page == "style.css") {
        return consoleStyleSheet();
    }
    const auto current = source.m_configuration();
    if (!current) {
        return consoleErrorPage(503, "this VM has no configuration yet", "publish the first one with primrosectl config apply, or use another entry VM", "");
    }
    if (page == "sign-in") {
        return call.m_method == "POST" ? signIn(source, sessions, current->m_configuration, call) : showSignIn(200, "");
    }
    const auto session = sessions.find(cookieValue(call, sessionCookie), current->m_configuration.m_operatorTokenSha256, source.m_now());
    if (!session) {
        return consoleRedirect("/console/sign-in");
    }
    if (page.empty()) {
        return consoleRedirect("/console/fleet");
    }
    const ConsoleContext context{source, *current, *session};
    return call.m_method == "POST" ? post(context, sessions, call) : showPage(context, call);
}

HttpReply answerConsoleCallWith(const ConsoleCallbacks &source, ConsoleSessions &sessions, const HttpCall &call)
{
    try {
        return routeConsole(source, sessions, call);
    } catch (const Error &error) {
        return showError(error, "");
    } catch (const std::exception &error) {
        return showError(Error(ErrorKind::Internal, error.what(), "report this as a fault of primrosebridge"), "");
    }
}

HttpReply answerConsoleCall(Node &node, const HttpCall &call)
{
    static ConsoleSessions sessions; // One for the process; its shards carry their own locks.
    const ConsoleCallbacks source{
        .m_now = [] { return TimerService::now(); },
        .m_configuration = [&node] { return node.configuration(); },
        .m_publish = [&node](const std::string &document, std::int64_t version) { return node.publish(document, version); },
        .m_zoneReport = [&node] { return node.zoneReport(); },
        .m_membership = [&node] { return node.membership(); },
        .m_zoneOwner = [&node] { return node.zoneOwner(); },
        .m_timeline = [&node](Instant since) { return node.timeline(since, ""); },
    };
    return answerConsoleCallWith(source, sessions, call);
}

} // namespace PrimroseBridge
