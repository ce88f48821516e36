#include "consoleedit.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;

constexpr auto noElementIndex = std::numeric_limits<std::size_t>::max();

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

static Json toJsonDocument(const Configuration &configuration)
{
    return Json::parse(writeConfiguration(configuration));
}

// Returns the element at @p index, or null if there is none. A section without a list has the whole document as its element.
static const Json *findElement(const Json &document, const ConsoleSection &section, std::size_t index)
{
    if (section.m_listName.empty()) {
        return &document;
    }
    const auto &list = document.at(section.m_listName);
    return index < list.size() ? &list[index] : nullptr;
}

static std::string valueTextAt(const Json *element, const std::string &pointer)
{
    const Json::json_pointer jsonPointer(pointer);
    if (element == nullptr || !element->contains(jsonPointer)) {
        return {};
    }
    const auto &value = element->at(jsonPointer);
    return value.is_string() ? value.get<std::string>() : value.dump();
}

static FormValues formValuesOf(const Json &element, const ConsoleSection &section)
{
    FormValues values;
    for (const auto &field : section.m_fields) {
        values.emplace(field.m_pointer, valueTextAt(&element, field.m_pointer));
    }
    return values;
}

std::vector<FormValues> sectionFormValues(const Configuration &configuration, const ConsoleSection &section)
{
    const auto document = toJsonDocument(configuration);
    if (section.m_listName.empty()) {
        return {formValuesOf(document, section)};
    }
    std::vector<FormValues> valuesByElement;
    for (const auto &element : document.at(section.m_listName)) {
        valuesByElement.push_back(formValuesOf(element, section));
    }
    return valuesByElement;
}

std::optional<FormValues> elementFormValues(const Configuration &configuration, const ConsoleSection &section, std::size_t index)
{
    const auto document = toJsonDocument(configuration);
    const auto *element = findElement(document, section, index);
    return element == nullptr ? std::nullopt : std::optional(formValuesOf(*element, section));
}

static std::optional<EditAction> editActionFromName(const std::string &name)
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
    const auto action = editActionFromName(formValue(form, "action"));
    const auto index = parseNonNegativeInteger(formValue(form, "index"));
    if (!action || !index) {
        return Error(ErrorKind::InvalidArgument,
                     "the form has the action '" + truncateForDisplay(formValue(form, "action")) + "' and the index '"
                         + truncateForDisplay(formValue(form, "index")) + "'",
                     "open the form again from the list");
    }
    auto values = form;
    values.erase("action");
    values.erase("index");
    return ConsoleEdit{.m_action = *action, .m_index = static_cast<std::size_t>(*index), .m_values = values};
}

static FieldFault invalidValueFault(const ConsoleField &field, const std::string &text, const std::string &expectedType, const std::string &remedy)
{
    return {field.m_pointer, "is '" + truncateForDisplay(text) + "', which is not " + expectedType + "; " + remedy};
}

static std::variant<Json, FieldFault> parseFieldValue(const ConsoleField &field, const std::string &text)
{
    if (field.m_type == FieldType::Integer) {
        const auto number = parseNonNegativeInteger(text);
        return number ? std::variant<Json, FieldFault>(Json(*number)) : invalidValueFault(field, text, "a whole number in range", "enter digits only");
    }
    if (field.m_type == FieldType::Boolean) {
        const bool known = text == "true" || text == "false";
        return known ? std::variant<Json, FieldFault>(Json(text == "true")) : invalidValueFault(field, text, "true or false", "select one");
    }
    if (field.m_type == FieldType::Decimal) {
        double number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        const bool valid = error == std::errc() && end == text.data() + text.size() && std::isfinite(number);
        return valid ? std::variant<Json, FieldFault>(Json(number)) : invalidValueFault(field, text, "a number in range", "enter a number such as 0.5");
    }
    return Json(text);
}

static void setElementField(Json &element, const ConsoleField &field, const FormValues &values, std::vector<FieldFault> &faults)
{
    const auto found = values.find(field.m_pointer);
    if (found == values.end()) {
        faults.push_back({field.m_pointer, "is missing from the form; open the form again"});
        return;
    }
    const Json::json_pointer jsonPointer(field.m_pointer);
    const auto &text = found->second;
    if (text.empty()) {
        // readConfiguration() uses the default value, or reports that the field is required.
        if (element.contains(jsonPointer)) {
            element.at(jsonPointer.parent_pointer()).erase(jsonPointer.back());
        }
        return;
    }
    const auto value = parseFieldValue(field, text);
    if (const auto *fault = std::get_if<FieldFault>(&value)) {
        faults.push_back(*fault);
        element[jsonPointer] = text; // Keeps the field present, so that readConfiguration() also reports the faults of the other fields.
        return;
    }
    element[jsonPointer] = std::get<Json>(value);
}

static void setElementFields(Json &element, const ConsoleSection &section, const FormValues &values, std::vector<FieldFault> &faults)
{
    for (const auto &field : section.m_fields) {
        setElementField(element, field, values, faults);
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

static std::optional<FieldFault> checkEditTarget(const Json &document, const ConsoleSection &section, const ConsoleEdit &edit)
{
    if (section.m_listName.empty() && edit.m_action != EditAction::Change) {
        return FieldFault{"", "the " + section.m_name + " can only be changed; open its form again"};
    }
    if (edit.m_action != EditAction::Add && findElement(document, section, edit.m_index) == nullptr) {
        return FieldFault{"", "there is no element " + std::to_string(edit.m_index) + " in " + section.m_listName + "; open the list again"};
    }
    if (edit.m_action == EditAction::Remove && !edit.m_values.empty()) {
        return FieldFault{"",
                          "the form has the field '" + truncateForDisplay(edit.m_values.begin()->first) + "', which a removal does not have; open it again"};
    }
    return std::nullopt;
}

static std::vector<FieldChange> findFieldChanges(const Json *before, const Json *after, const ConsoleSection &section, std::size_t index)
{
    const auto prefix = section.m_listName.empty() ? std::string() : "/" + section.m_listName + "/" + std::to_string(index);
    std::vector<FieldChange> changes;
    for (const auto &field : section.m_fields) {
        const auto oldText = valueTextAt(before, field.m_pointer);
        const auto newText = valueTextAt(after, field.m_pointer);
        if (oldText != newText) {
            changes.push_back({prefix + field.m_pointer, oldText, newText});
        }
    }
    return changes;
}

static Json documentWithEdit(const Json &before, const ConsoleSection &section, const ConsoleEdit &edit, std::size_t index, std::vector<FieldFault> &faults)
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
    setElementFields(element, section, edit.m_values, faults);
    return after;
}

// Returns all faults of the form, and the faults of the document in fields for which the form has no fault.
static std::vector<FieldFault> mergeFaults(const std::vector<FieldFault> &formFaults, const std::vector<FieldFault> &documentFaults)
{
    auto mergedFaults = formFaults;
    for (const auto &fault : documentFaults) {
        const auto sameField = [&fault](const FieldFault &other) { return !fault.m_field.empty() && other.m_field == fault.m_field; };
        if (std::none_of(formFaults.begin(), formFaults.end(), sameField)) {
            mergedFaults.push_back(fault);
        }
    }
    return mergedFaults;
}

EditedDocumentOrFaults applyEdit(const Configuration &configuration, const ConsoleSection &section, const ConsoleEdit &edit)
{
    const auto before = toJsonDocument(configuration);
    if (const auto fault = checkEditTarget(before, section, edit)) {
        return std::vector<FieldFault>{*fault};
    }
    const auto index = edit.m_action == EditAction::Add ? before.at(section.m_listName).size() : edit.m_index;
    std::vector<FieldFault> faults;
    const auto after = documentWithEdit(before, section, edit, index, faults);
    const auto read = readConfiguration(after.dump());
    if (const auto *found = std::get_if<std::vector<ConfigFault>>(&read)) {
        // After a removal, the index refers to the next element, so no fault belongs to a field of the form.
        return mergeFaults(faults, assignFaultsToFields(*found, section, edit.m_action == EditAction::Remove ? noElementIndex : index));
    }
    if (!faults.empty()) {
        return faults;
    }
    const auto document = writeConfiguration(std::get<Configuration>(read));
    const auto checked = Json::parse(document);
    const auto *oldElement = edit.m_action == EditAction::Add ? nullptr : findElement(before, section, index);
    const auto *newElement = edit.m_action == EditAction::Remove ? nullptr : findElement(checked, section, index);
    return EditedDocument{.m_document = document, .m_changes = findFieldChanges(oldElement, newElement, section, index)};
}

static std::string findFormField(const std::string &path, const ConsoleSection &section, std::size_t index)
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
    std::vector<FieldFault> fieldFaults;
    for (const auto &fault : faults) {
        const auto field = findFormField(fault.m_path, section, index);
        const auto text = fault.m_problem + "; " + fault.m_remedy;
        fieldFaults.push_back({field, field.empty() ? fault.m_path + " " + text : text});
    }
    return fieldFaults;
}

} // namespace PrimroseBridge
