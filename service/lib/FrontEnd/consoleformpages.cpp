#include "consoleformpages.h"

#include "consolehtml.h"

namespace PrimroseBridge {

static std::string paragraphHtml(const std::string &text)
{
    return "<p>" + escapeHtml(text) + "</p>";
}

HttpReply signInPage(int status, const std::string &forgeryToken, const std::string &problem)
{
    const auto invalid = problem.empty() ? std::string() : std::string(R"( aria-invalid="true")");
    const auto error = problem.empty() ? std::string() : R"(<span class="error" id="token-error">)" + escapeHtml(problem) + "</span>";
    const auto body = R"(<form method="post" action="/console/sign-in">)" + hiddenField("forgery", forgeryToken)
                      + R"(<label for="token">Operators' token</label><input id="token" name="token" type="password" autocomplete="current-password" required)"
                      + R"( aria-describedby="token-error")" + invalid + ">" + error + "<p><button>Sign in</button></p></form>";
    return consolePage(status, "Sign in", body, "");
}

static std::string linkHtml(const std::string &path, const std::string &label, const std::string &target)
{
    // The aria-label names the target, so that screen readers can distinguish links with the same text.
    return "<a href=\"/console/" + escapeHtml(path) + "\" aria-label=\"" + escapeHtml(label + " " + target) + "\">" + escapeHtml(label) + "</a>";
}

static std::vector<std::string> columnLabels(const ConsoleSection &section)
{
    std::vector<std::string> labels;
    for (const auto &field : section.m_fields) {
        labels.push_back(field.m_label);
    }
    labels.emplace_back("Actions");
    return labels;
}

static std::vector<std::string> elementRow(const ConsoleSection &section, const FormValues &values, std::size_t index)
{
    std::vector<std::string> row;
    for (const auto &field : section.m_fields) {
        row.push_back(truncateForDisplay(formValue(values, field.m_pointer)));
    }
    const auto base = section.m_name + "/" + std::to_string(index);
    const auto target = section.m_title + " " + std::to_string(index + 1) + " " + row.front();
    const auto remove = section.m_listName.empty() ? std::string() : " " + linkHtml(base + "/remove", "Remove", target);
    row.push_back(linkHtml(base + "/change", "Change", target) + remove);
    return row;
}

HttpReply sectionPage(const Configuration &configuration, const ConsoleSection &section, const ConsoleSession &session, std::int64_t publishedVersion)
{
    std::vector<std::vector<std::string>> rows;
    for (const auto &values : sectionFormValues(configuration, section)) {
        rows.push_back(elementRow(section, values, rows.size()));
    }
    auto body = publishedVersion == 0 ? std::string() : R"(<p role="status">Version )" + std::to_string(publishedVersion) + " has been published.</p>";
    body += paragraphHtml("Version in force on this VM: " + std::to_string(configuration.m_version));
    if (!section.m_listName.empty()) {
        body += "<p><a href=\"/console/" + section.m_name + "/add\">Add</a></p>";
    }
    return consolePage(200, section.m_title, body + htmlTableWithLinks(section.m_title, columnLabels(section), rows), session.m_forgeryToken);
}

static std::string limitsTableHtml(const Configuration &configuration, const ConsoleSection &section)
{
    std::vector<std::vector<std::string>> rows;
    std::size_t index = 0;
    for (const auto &values : sectionFormValues(configuration, section)) {
        const auto path = section.m_name + "/" + std::to_string(index) + "/change";
        // An organisation can have several guarantees, so the label needs the position as well as the name.
        const auto name = formValue(values, section.m_fields.front().m_pointer) + " (" + std::to_string(++index) + ")";
        const auto change = linkHtml(path, "Change", section.m_title + " " + name);
        for (const auto &field : section.m_fields) {
            if (field.m_group == "Limits") {
                rows.push_back({name, field.m_label, formValue(values, field.m_pointer), field.m_hint, change});
            }
        }
    }
    return htmlTableWithLinks("Limits: " + section.m_title, {section.m_title, "Limit", "Value", "Meaning", "Actions"}, rows);
}

HttpReply limitsPage(const Configuration &configuration, const ConsoleSession &session)
{
    auto body = paragraphHtml("Version in force on this VM: " + std::to_string(configuration.m_version));
    for (const auto &section : consoleSections()) {
        if (!section.m_listName.empty()) {
            body += limitsTableHtml(configuration, section);
        }
    }
    body += R"(<p><a href="/console/deployment/0/change">Change the name and the weights of the deployment</a></p>)";
    return consolePage(200, "Limits", body, session.m_forgeryToken);
}

static std::string inputHtml(const ConsoleField &field, const std::string &value, const std::string &attributes)
{
    const auto name = escapeHtml(field.m_pointer);
    const auto common = "id=\"" + name + "\" name=\"" + name + "\"" + attributes;
    if (field.m_choices.empty()) {
        // The type is not "number", because a browser does not send an invalid number, and the operator would not see the rejected text.
        return "<input " + common + " autocomplete=\"off\" value=\"" + escapeHtml(value) + "\">";
    }
    auto html = "<select " + common + "><option value=\"\">(default)</option>";
    for (const auto &choice : field.m_choices) {
        html += "<option" + std::string(choice == value ? " selected" : "") + ">" + escapeHtml(choice) + "</option>";
    }
    return html + "</select>";
}

static std::string fieldHtml(const ConsoleField &field, const FormState &state)
{
    const auto id = escapeHtml(field.m_pointer);
    std::string errors;
    for (const auto &fault : state.m_faults) {
        if (fault.m_field == field.m_pointer) {
            errors += (errors.empty() ? "" : " ") + escapeHtml(fault.m_text);
        }
    }
    std::string attributes = " aria-describedby=\"" + id + "-hint" + (errors.empty() ? "\"" : " " + id + "-error\" aria-invalid=\"true\"");
    const auto error = errors.empty() ? std::string() : "<span class=\"error\" id=\"" + id + "-error\">" + errors + "</span>";
    return "<div><label for=\"" + id + "\">" + escapeHtml(field.m_label) + "</label>"
           + inputHtml(field, formValue(state.m_edit.m_values, field.m_pointer), attributes) + "<span class=\"hint\" id=\"" + id + "-hint\">"
           + escapeHtml(field.m_hint) + "</span>" + error + "</div>";
}

static std::string faultSummaryHtml(const FormState &state)
{
    if (state.m_faults.empty()) {
        return {};
    }
    std::string items;
    for (const auto &fault : state.m_faults) {
        if (fault.m_field.empty()) {
            items += "<li>" + escapeHtml(fault.m_text) + "</li>";
        }
    }
    const auto list = items.empty() ? std::string() : "<ul>" + items + "</ul>";
    return R"(<div role="alert" class="error"><p>Nothing has been changed. Faults found: )" + std::to_string(state.m_faults.size()) + "</p>" + list + "</div>";
}

static std::string fieldsetsHtml(const ConsoleSection &section, const FormState &state)
{
    std::string html;
    std::string group;
    for (const auto &field : section.m_fields) {
        if (field.m_group != group) {
            html += (group.empty() ? "" : "</fieldset>") + std::string("<fieldset><legend>") + escapeHtml(field.m_group) + "</legend>";
            group = field.m_group;
        }
        html += fieldHtml(field, state);
    }
    return html + (group.empty() ? "" : "</fieldset>");
}

static std::string editHiddenFieldsHtml(const FormState &state, const ConsoleSession &session)
{
    return hiddenField("forgery", session.m_forgeryToken) + hiddenField("version", std::to_string(state.m_version))
           + hiddenField("action", editActionName(state.m_edit.m_action)) + hiddenField("index", std::to_string(state.m_edit.m_index));
}

static std::string formStartTag(const ConsoleSection &section, const std::string &step)
{
    return "<form method=\"post\" action=\"/console/" + section.m_name + "/" + step + "\">";
}

static std::string editTitle(const ConsoleSection &section, EditAction action)
{
    return section.m_title + ": " + editActionName(action);
}

HttpReply editFormPage(int status, const ConsoleSection &section, const FormState &state, const ConsoleSession &session)
{
    const bool isRemoval = state.m_edit.m_action == EditAction::Remove;
    const auto body
        = faultSummaryHtml(state) + formStartTag(section, "preview") + editHiddenFieldsHtml(state, session)
          + (isRemoval ? paragraphHtml("Remove element " + std::to_string(state.m_edit.m_index + 1) + " of the list?") : fieldsetsHtml(section, state))
          + "<p><button>Preview</button> <a href=\"/console/" + section.m_name + "\">Cancel</a></p></form>";
    return consolePage(status, editTitle(section, state.m_edit.m_action), body, session.m_forgeryToken);
}

HttpReply previewPage(const ConsoleSection &section, const FormState &state, const std::vector<FieldChange> &changes, const ConsoleSession &session)
{
    std::vector<std::vector<std::string>> rows;
    rows.reserve(changes.size());
    for (const auto &change : changes) {
        rows.push_back({change.m_path, change.m_oldValue.empty() ? "(none)" : change.m_oldValue, change.m_newValue.empty() ? "(none)" : change.m_newValue});
    }
    auto form = formStartTag(section, "apply") + editHiddenFieldsHtml(state, session);
    for (const auto &[name, value] : state.m_edit.m_values) {
        form += hiddenField(name, value);
    }
    form += "<p><button>Apply</button> <a href=\"/console/" + section.m_name + "\">Cancel</a></p></form>";
    const auto body = paragraphHtml("The change is made in version " + std::to_string(state.m_version) + ". Nothing has been changed yet.")
                      + htmlTable("Changed fields", {"Field", "Old value", "New value"}, rows)
                      + (changes.empty() ? paragraphHtml("The form changes nothing.") : form);
    return consolePage(200, "Preview", body, session.m_forgeryToken);
}

HttpReply conflictPage(const ConsoleSection &section, const std::string &message, const ConsoleSession &session)
{
    const auto body = R"(<div role="alert" class="error"><p>Nothing has been changed: another operator was first.</p>)" + paragraphHtml(message)
                      + "</div><p><a href=\"/console/" + section.m_name + "\">Start again from the version in force</a></p>";
    return consolePage(409, "Conflict", body, session.m_forgeryToken);
}

HttpReply consoleErrorPage(int status, const std::string &message, const std::string &remedy, const std::string &forgeryToken)
{
    const auto body = R"(<div role="alert" class="error">)" + paragraphHtml(message) + "</div>" + paragraphHtml("Remedy: " + remedy)
                      + R"(<p><a href="/console/fleet">Console</a></p>)";
    return consolePage(status, "Error", body, forgeryToken);
}

} // namespace PrimroseBridge
