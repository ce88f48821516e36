#include "console.h"

#include "consoleformpages.h"
#include "consolehtml.h"
#include "consolestatuspages.h"

#include "primrosebridge/FrontEnd/api.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Pipeline/timerservice.h"

#include <cassert>

namespace PrimroseBridge {

constexpr std::string_view sessionCookieName = "primrosebridge_session";
constexpr std::string_view signInCookieName = "primrosebridge_sign_in";
constexpr Duration shownEventPeriod = std::chrono::minutes(10);

// State of one call from a signed-in operator.
struct ConsoleContext {
    const ConsoleCallbacks &m_callbacks;
    const VersionedConfiguration &m_currentConfiguration;
    const ConsoleSession &m_session;
};

static std::string formatSetCookie(std::string_view name, const std::string &value, Duration lifetime)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(lifetime).count();
    return std::string(name) + "=" + value + "; Path=/console; HttpOnly; SameSite=Strict; Max-Age=" + std::to_string(seconds);
}

static HttpReply errorPage(const Error &error, const std::string &forgeryToken)
{
    return consoleErrorPage(errorReply(error).m_status, error.message(), error.remedy(), forgeryToken);
}

// There is no session before the sign-in, so a cookie with the same random value as the form protects against cross-site request forgery.
static HttpReply newSignInPage(int status, const std::string &problem)
{
    const auto token = randomToken();
    return withHeader(signInPage(status, token, problem), "Set-Cookie", formatSetCookie(signInCookieName, token, std::chrono::hours(1)));
}

static HttpReply invalidForgeryTokenPage(const std::string &forgeryToken)
{
    return consoleErrorPage(403, "the form does not belong to this session", "open the page again and repeat the change", forgeryToken);
}

static HttpReply answerSignIn(const ConsoleCallbacks &callbacks, ConsoleSessions &sessions, const Configuration &configuration, const HttpCall &call)
{
    const auto form = decodeForm(call.m_body);
    if (!form.ok()) {
        return errorPage(form.error(), "");
    }
    const auto signInToken = cookieValue(call, signInCookieName);
    if (signInToken.empty() || !constantTimeEqual(signInToken, formValue(form.value(), "forgery"))) {
        return invalidForgeryTokenPage("");
    }
    if (form.value().size() != 2 || !form.value().contains("token")) {
        return newSignInPage(400, "The form has missing or unknown fields. Enter the token again.");
    }
    if (!constantTimeEqual(sha256Hex(formValue(form.value(), "token")), configuration.m_operatorTokenSha256)) {
        logEvent(LogLevel::Warn, "console_sign_in_refused", {});
        return newSignInPage(403, "This is not the operators' token. Enter the token that the deployment's configuration names.");
    }
    const auto session = sessions.start(configuration.m_operatorTokenSha256, callbacks.m_now());
    return consoleRedirect("/console/fleet", formatSetCookie(sessionCookieName, session, sessionLifetime));
}

static HttpReply answerSignOut(ConsoleSessions &sessions, const HttpCall &call)
{
    sessions.end(cookieValue(call, sessionCookieName));
    return consoleRedirect("/console/sign-in", formatSetCookie(sessionCookieName, "", Duration(0)));
}

static HttpReply publishEdit(const ConsoleContext &context, const ConsoleSection &section, const FormState &formState, const EditedDocument &document)
{
    if (document.m_changes.empty()) {
        return previewPage(section, formState, document.m_changes, context.m_session);
    }
    const auto publishedVersion = context.m_callbacks.m_publish(document.m_document, formState.m_version);
    if (!publishedVersion.ok() && publishedVersion.error().kind() == ErrorKind::Conflict) {
        return conflictPage(section, publishedVersion.error().message() + "; " + publishedVersion.error().remedy(), context.m_session);
    }
    if (!publishedVersion.ok()) {
        return errorPage(publishedVersion.error(), context.m_session.m_forgeryToken);
    }
    return consoleRedirect("/console/" + section.m_name + "?published=" + std::to_string(publishedVersion.value()));
}

static HttpReply previewOrPublishEdit(const ConsoleContext &context, const ConsoleSection &section, const FormValues &form, bool apply)
{
    const auto version = parseNonNegativeInteger(formValue(form, "version"));
    auto fields = form;
    fields.erase("version");
    fields.erase("forgery");
    const auto edit = decodeEdit(fields);
    if (!version || !edit.ok()) {
        const Error missingVersionError(
            ErrorKind::InvalidArgument, "the form does not name the version that it was made from", "open the form again from the list");
        return errorPage(edit.ok() ? missingVersionError : edit.error(), context.m_session.m_forgeryToken);
    }
    const auto &configuration = context.m_currentConfiguration.m_configuration;
    if (*version != configuration.m_version) {
        const auto message
            = "version " + std::to_string(configuration.m_version) + " is in force, and the form was made from version " + std::to_string(*version);
        return conflictPage(section, message, context.m_session);
    }
    const auto editResult = applyEdit(configuration, section, edit.value());
    if (const auto *faults = std::get_if<std::vector<FieldFault>>(&editResult)) {
        return editFormPage(422, section, FormState{edit.value(), *version, *faults}, context.m_session);
    }
    const auto &document = std::get<EditedDocument>(editResult);
    const FormState formState{edit.value(), *version, {}};
    return apply ? publishEdit(context, section, formState, document) : previewPage(section, formState, document.m_changes, context.m_session);
}

static HttpReply notFoundPage(const ConsoleContext &context)
{
    return consoleErrorPage(404, "there is no such page", "use the links of the console", context.m_session.m_forgeryToken);
}

// Answers a call to /console/SECTION/add, /console/SECTION/INDEX/change or /console/SECTION/INDEX/remove.
static HttpReply answerEditFormCall(const ConsoleContext &context, const ConsoleSection &section, const HttpCall &call)
{
    const auto &configuration = context.m_currentConfiguration.m_configuration;
    if (call.m_path.size() == 3 && call.m_path[2] == "add" && !section.m_listName.empty()) {
        return editFormPage(200, section, FormState{ConsoleEdit{EditAction::Add, 0, {}}, configuration.m_version, {}}, context.m_session);
    }
    const auto index = call.m_path.size() == 4 ? parseNonNegativeInteger(call.m_path[2]) : std::nullopt;
    const auto values = index ? elementFormValues(configuration, section, static_cast<std::size_t>(*index)) : std::nullopt;
    if (!values) {
        return notFoundPage(context);
    }
    const auto position = section.m_listName.empty() ? 0 : static_cast<std::size_t>(*index);
    if (call.m_path[3] == "change") {
        return editFormPage(200, section, FormState{ConsoleEdit{EditAction::Change, position, *values}, configuration.m_version, {}}, context.m_session);
    }
    if (call.m_path[3] == "remove" && !section.m_listName.empty()) {
        return editFormPage(200, section, FormState{ConsoleEdit{EditAction::Remove, position, {}}, configuration.m_version, {}}, context.m_session);
    }
    return notFoundPage(context);
}

static HttpReply readOnlyPage(const ConsoleContext &context, const std::string &name)
{
    const auto &callbacks = context.m_callbacks;
    if (name == "fleet") {
        return fleetPage(callbacks.m_zoneReport(), callbacks.m_membership(), callbacks.m_zoneOwner(), context.m_session);
    }
    if (name == "queues") {
        return queuesPage(callbacks.m_zoneReport(), callbacks.m_membership(), callbacks.m_zoneOwner(), context.m_session);
    }
    if (name == "held") {
        return guaranteeStatusPage(callbacks.m_zoneReport(), callbacks.m_membership(), callbacks.m_zoneOwner(), context.m_session);
    }
    if (name == "events") {
        return eventsPage(callbacks.m_timeline(callbacks.m_now() - shownEventPeriod), context.m_session);
    }
    if (name == "limits") {
        return limitsPage(context.m_currentConfiguration.m_configuration, context.m_session);
    }
    return notFoundPage(context);
}

static HttpReply answerPageCall(const ConsoleContext &context, const HttpCall &call)
{
    const auto *section = findConsoleSection(call.m_path[1]);
    if (section != nullptr && call.m_path.size() == 2) {
        const auto publishedVersion = parseNonNegativeInteger(queryValue(call, "published")).value_or(0);
        // The version comes from the URL. The page confirms a version only if it exists, so that a crafted link cannot announce a later one.
        const bool isPublishedVersion = publishedVersion > 0 && publishedVersion <= context.m_currentConfiguration.m_configuration.m_version;
        return sectionPage(context.m_currentConfiguration.m_configuration, *section, context.m_session, isPublishedVersion ? publishedVersion : 0);
    }
    if (section != nullptr) {
        return answerEditFormCall(context, *section, call);
    }
    return call.m_path.size() == 2 ? readOnlyPage(context, call.m_path[1]) : notFoundPage(context);
}

static HttpReply answerFormSubmission(const ConsoleContext &context, ConsoleSessions &sessions, const HttpCall &call)
{
    const auto form = decodeForm(call.m_body);
    if (!form.ok()) {
        return errorPage(form.error(), context.m_session.m_forgeryToken);
    }
    if (!constantTimeEqual(formValue(form.value(), "forgery"), context.m_session.m_forgeryToken)) {
        return invalidForgeryTokenPage(context.m_session.m_forgeryToken);
    }
    if (call.m_path.size() == 2 && call.m_path[1] == "sign-out") {
        return answerSignOut(sessions, call);
    }
    const auto *section = findConsoleSection(call.m_path[1]);
    const bool isKnownAction = section != nullptr && call.m_path.size() == 3 && (call.m_path[2] == "preview" || call.m_path[2] == "apply");
    return isKnownAction ? previewOrPublishEdit(context, *section, form.value(), call.m_path[2] == "apply") : notFoundPage(context);
}

static HttpReply routeConsoleCall(const ConsoleCallbacks &callbacks, ConsoleSessions &sessions, const HttpCall &call)
{
    assert(!call.m_path.empty() && call.m_path.front() == "console" && "the path must begin with /console");
    if (call.m_method != "GET" && call.m_method != "POST") {
        return consoleErrorPage(405, "the method is not allowed here", "use the links and forms of the console", "");
    }
    const auto page = call.m_path.size() < 2 ? std::string() : call.m_path[1];
    if (page == "style.css") {
        return consoleStyleSheet();
    }
    const auto currentConfiguration = callbacks.m_configuration();
    if (!currentConfiguration) {
        return consoleErrorPage(503, "this VM has no configuration yet", "publish the first one with primrosectl config apply, or use another entry VM", "");
    }
    if (page == "sign-in") {
        return call.m_method == "POST" ? answerSignIn(callbacks, sessions, currentConfiguration->m_configuration, call) : newSignInPage(200, "");
    }
    const auto session = sessions.find(cookieValue(call, sessionCookieName), currentConfiguration->m_configuration.m_operatorTokenSha256, callbacks.m_now());
    if (!session) {
        return consoleRedirect("/console/sign-in");
    }
    if (page.empty()) {
        return consoleRedirect("/console/fleet");
    }
    const ConsoleContext context{callbacks, *currentConfiguration, *session};
    return call.m_method == "POST" ? answerFormSubmission(context, sessions, call) : answerPageCall(context, call);
}

HttpReply answerConsoleCallWith(const ConsoleCallbacks &callbacks, ConsoleSessions &sessions, const HttpCall &call)
{
    try {
        return routeConsoleCall(callbacks, sessions, call);
    } catch (const Error &error) {
        return errorPage(error, "");
    } catch (const std::exception &error) {
        return errorPage(Error(ErrorKind::Internal, error.what(), "report this as a fault of primrosebridge"), "");
    }
}

HttpReply answerConsoleCall(Node &node, const HttpCall &call)
{
    static ConsoleSessions sessions; // Shared by all threads of the process; each shard has its own lock.
    const ConsoleCallbacks callbacks{
        .m_now = [] { return TimerService::wallClockNow(); },
        .m_configuration = [&node] { return node.configuration(); },
        .m_publish = [&node](const std::string &document, std::int64_t version) { return node.publish(document, version); },
        .m_zoneReport = [&node] { return node.zoneReport(); },
        .m_membership = [&node] { return node.membership(); },
        .m_zoneOwner = [&node] { return node.zoneOwner(); },
        .m_timeline = [&node](Instant since) { return node.timeline(since, ""); },
    };
    return answerConsoleCallWith(callbacks, sessions, call);
}

} // namespace PrimroseBridge
