#include "consoleedit.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;

constexpr auto noElement = std::numeric_limits<std::size_t>::max();

std::string editActionName(EditAction action)
{
    switch (action) {
    case EditAction::Add:
        return "add";
    case EditAction::Change:
        return "change";
    case EditAction::Remove:
        return "remove";
    }
    return "change";
}

static Json documentOf(const Configuration &configuration)
{
    return Json::parse(writeConfiguration(configuration));
}

// The element at this position, or null if there is none.
static const Json *findElement(const Json &document, const ConsoleSection &section, std::size_t index)
{
    if (section.m_listName.empty()) {
        return &document;
    }
    const auto &list = document.at(section.m_listName);
    return index < list.size() ? &list[index] : nullptr;
}

static std::string textAt(const Json *element, const std::string &pointer)
{
    const Json::json_pointer where(pointer);
    if (element == nullptr || !element->contains(where)) {
        return {};
    }
    const auto &value = element->at(where);
    return value.is_string() ? value.get<std::string>() : value.dump();
}

static FormValues valuesOf(const Json &element, const ConsoleSection &section)
{
    FormValues values;
    for (const auto &field : section.m_fields) {
        values.emplace(field.m_pointer, textAt(&element, field.m_pointer));
    }
    return values;
}

std::vector<FormValues> sectionFormValues(const Configuration &configuration, const ConsoleSection &section)
{
    const auto document = documentOf(configuration);
    if (section.m_listName.empty()) {
        return {valuesOf(document, section)};
    }
    std::vector<FormValues> all;
    for (const auto &element : document.at(section.m_listName)) {
        all.push_back(valuesOf(element, section));
    }
    return all;
}

std::optional<FormValues> elementFormValues(const Configuration &configuration, const ConsoleSection &section, std::size_t index)
{
    const auto document = documentOf(configuration);
    const auto *element = findElement(document, section, index);
    return element == nullptr ? std::nullopt : std::optional(valuesOf(*element, section));
}

static std::optional<EditAction> actionFromName(const std::string &name)
{
    for (const auto action : {EditAction::Add, EditAction::Change, EditAction::Remove}) {
        if (editActionName(action) == name) {
            return action;
        }
    }
    return std::nullopt;
}

Result<ConsoleEdit> decodeEdit(const FormValues &form)
{
    const auto action = actionFromName(formValue(form, "action"));
    const auto index = parseNonNegativeInteger(formValue(form, "index"));
    if (!action || !index) {
        return Error(ErrorKind::InvalidArgument,
                     "the form has the action '" + truncateForDisplay(formValue(form, "action")) + "' and the index '" + truncateForDisplay(formValue(form, "index")) + "'",
                     "open the form again from the list");
    }
    auto values = form;
    values.erase("action");
    values.erase("index");
    return ConsoleEdit{.m_action = *action, .m_index = static_cast<std::size_t>(*index), .m_values = values};
}

static FieldFault notA(const ConsoleField &field, const std::string &text, const std::string &kind, const std::string &remedy)
{
    return {field.m_pointer, "is '" + truncateForDisplay(text) + "', which is not " + kind + "; " + remedy};
}

static std::variant<Json, FieldFault> jsonOf(const ConsoleField &field, const std::string &text)
{
    if (field.m_type == FieldType::Integer) {
        const auto number = parseNonNegativeInteger(text);
        return number ? std::variant<Json, FieldFault>(Json(*number)) : notA(field, text, "a whole number in range", "enter digits only");
    }
    if (field.m_type == FieldType::Boolean) {
        const bool known = text == "true" || text == "false";
        return known ? std::variant<Json, FieldFault>(Json(text == "true")) : notA(field, text, "true or false", "select one");
    }
    if (field.m_type == FieldType::Decimal) {
        double number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        const bool valid = error == std::errc() && end == text.data() + text.size() && std::isfinite(number);
        return valid ? std::variant<Json, FieldFault>(Json(number)) : notA(field, text, "a number in range", "enter a number such as 0.5");
    }
    return Json(text);
}

static void setField(Json &element, const ConsoleField &field, const FormValues &values, std::vector<FieldFault> &faults)
{
    const auto found = values.find(field.m_pointer);
    if (found == values.end()) {
        faults.push_back({field.m_pointer, "is missing from the form; open the form again"});
        return;
    }
    const Json::json_pointer where(field.m_pointer);
    const auto &text = found->second;
    if (text.empty()) {
        // The reader takes the default, or reports that the field is required.
        if (element.contains(where)) {
            element.at(where.parent_pointer()).erase(where.back());
        }
        return;
    }
    const auto value = jsonOf(field, text);
    if (const auto *fault = std::get_if<FieldFault>(&value)) {
        faults.push_back(*fault);
        element[where] = text; // Present for the reader, which goes on to find the faults of the other fields.
        return;
    }
    element[where] = std::get<Json>(value);
}

static void setFields(Json &element, const ConsoleSection &section, const FormValues &values, std::vector<FieldFault> &faults)
{
    for (const auto &field : section.m_fields) {
        setField(element, field, values, faults);
    }
    for (const auto &[name, value] : values) {
        bool known = false;
        for (const auto &field : section.m_fields) {
            known = known || field.m_pointer == name;
        }
        if (!known) {
            faults.push_back({"", "the form has the field '" + truncateForDisplay(name) + "', which is not known; open the form again"});
        }
    }
}

static std::optional<FieldFault> checkTarget(const Json &document, const ConsoleSection &section, const ConsoleEdit &edit)
{
    if (section.m_listName.empty() && edit.m_action != EditAction::Change) {
        return FieldFault{"", "the " + section.m_name + " can only be changed; open its form again"};
    }
    if (edit.m_action != EditAction::Add && findElement(document, section, edit.m_index) == nullptr) {
        return FieldFault{"", "there is no element " + std::to_string(edit.m_index) + " in " + section.m_listName + "; open the list again"};
    }
    if (edit.m_action == EditAction::Remove && !edit.m_values.empty()) {
        return FieldFault{"", "the form has the field '" + truncateForDisplay(edit.m_values.begin()->first) + "', which a removal does not have; open it again"};
    }
    return std::nullopt;
}

static std::vector<FieldChange> changesBetween(const Json *before, const Json *after, const ConsoleSection &section, std::size_t index)
{
    const auto prefix = section.m_listName.empty() ? std::string() : "/" + section.m_listName + "/" + std::to_string(index);
    std::vector<FieldChange> changes;
    for (const auto &field : section.m_fields) {
        const auto oldText = textAt(before, field.m_pointer);
        const auto newText = textAt(after, field.m_pointer);
        if (oldText != newText) {
            changes.push_back({prefix + field.m_pointer, oldText, newText});
        }
    }
    return changes;
}

static Json edited(const Json &before, const ConsoleSection &section, const ConsoleEdit &edit, std::size_t index, std::vector<FieldFault> &faults)
{
    auto after = before;
    if (edit.m_action == EditAction::Remove) {
        after[section.m_listName].erase(index);
        return after;
    }
    if (edit.m_action == EditAction::Add) {
        after[section.m_listName].push_back(Json::object());
    }
    auto &element = section.m_listName.empty() ? after : after[section.m_listName][index];
    setFields(element, section, edit.m_values, faults);
    return after;
}

// The form's own faults, and those of the document for all other fields.
static std::vector<FieldFault> withOthers(const std::vector<FieldFault> &ofForm, const std::vector<FieldFault> &ofDocument)
{
    auto all = ofForm;
    for (const auto &fault : ofDocument) {
        const auto sameField = [&fault](const FieldFault &other) { return !fault.m_field.empty() && other.m_field == fault.m_field; };
        if (std::none_of(ofForm.begin(), ofForm.end(), sameField)) {
            all.push_back(fault);
        }
    }
    return all;
}

EditedDocumentOrFaults applyEdit(const Configuration &configuration, const ConsoleSection &section, const ConsoleEdit &edit)
{
    const auto before = documentOf(configuration);
    if (const auto fault = checkTarget(before, section, edit)) {
        return std::vector<FieldFault>{*fault};
    }
    const auto index = edit.m_action == EditAction::Add ? before.at(section.m_listName).size() : edit.m_index;
    std::vector<FieldFault> faults;
    const auto after = edited(before, section, edit, index, faults);
    const auto read = readConfiguration(after.dump());
    if (const auto *found = std::get_if<std::vector<ConfigFault>>(&read)) {
        // After a removal the position names the next element, so no fault belongs to a field of the form.
        return withOthers(faults, assignFaultsToFields(*found, section, edit.m_action == EditAction::Remove ? noElement : index));
    }
    if (!faults.empty()) {
        return faults;
    }
    const auto document = writeConfiguration(std::get<Configuration>(read));
    const auto checked = Json::parse(document);
    const auto *oldElement = edit.m_action == EditAction::Add ? nullptr : findElement(before, section, index);
    const auto *newElement = edit.m_action == EditAction::Remove ? nullptr : findElement(checked, section, index);
    return EditedDocument{.m_document = document, .m_changes = changesBetween(oldElement, newElement, section, index)};
}

static std::string fieldFor(const std::string &path, const ConsoleSection &section, std::size_t index)
{
    const auto prefix = section.m_listName.empty() ? std::string() : "/" + section.m_listName + "/" + std::to_string(index);
    for (const auto &field : section.m_fields) {
        const auto pointer = prefix + field.m_pointer;
        if (pointer == path || (path.size() > prefix.size() && pointer.starts_with(path + "/"))) {
            return field.m_pointer;
        }
    }
    return {};
}

std::vector<FieldFault> assignFaultsToFields(const std::vector<ConfigFault> &faults, const ConsoleSection &section, std::size_t index)
{
    std::vector<FieldFault> placed;
    for (const auto &fault : faults) {
        const auto field = fieldFor(fault.m_path, section, index);
        const auto text = fault.m_problem + "; " + fault.m_remedy;
        placed.push_back({field, field.empty() ? fault.m_path + " " + text : text});
    }
    return placed;
}

} // namespace PrimroseBridge
