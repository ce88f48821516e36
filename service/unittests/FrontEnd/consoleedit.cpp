#include "consoleedit.h"

#include <catch2/catch.hpp>

#include <array>
#include <fstream>
#include <random>
#include <sstream>

using namespace PrimroseBridge;

static Configuration exampleConfiguration()
{
    std::ifstream file(std::string(PRIMROSEBRIDGE_EXAMPLES) + "/zwolle.json");
    std::stringstream text;
    text << file.rdbuf();
    return std::get<Configuration>(readConfiguration(text.str()));
}

static const ConsoleSection &consoleSection(const std::string &name)
{
    return *findConsoleSection(name);
}

static FormValues withValue(FormValues values, const std::string &field, const std::string &text)
{
    values[field] = text;
    return values;
}

static EditedDocumentOrFaults changeFirstElement(const std::string &name, const std::string &field, const std::string &text)
{
    const auto configuration = exampleConfiguration();
    const auto values = elementFormValues(configuration, consoleSection(name), 0).value();
    return applyEdit(configuration, consoleSection(name), ConsoleEdit{EditAction::Change, 0, withValue(values, field, text)});
}

static std::vector<FieldFault> faultsOf(const EditedDocumentOrFaults &result)
{
    const auto *faults = std::get_if<std::vector<FieldFault>>(&result);
    return faults == nullptr ? std::vector<FieldFault>{} : *faults;
}

// Guards against a form that loses or rewrites fields that the operator did not touch.
TEST_CASE("a form that changes nothing yields the same document")
{
    const auto configuration = exampleConfiguration();
    for (const auto &formSection : consoleSections()) {
        const auto allValues = sectionFormValues(configuration, formSection);
        REQUIRE(!allValues.empty());
        for (std::size_t index = 0; index < allValues.size(); ++index) {
            CHECK(elementFormValues(configuration, formSection, index) == allValues[index]);
            const ConsoleEdit edit{EditAction::Change, index, allValues[index]};
            const auto result = applyEdit(configuration, formSection, edit);
            REQUIRE(std::holds_alternative<EditedDocument>(result));
            CHECK(std::get<EditedDocument>(result) == EditedDocument{writeConfiguration(configuration), {}});
        }
    }
}

// Guards against a preview that hides a change, and an edit that reaches other parts of the document.
TEST_CASE("a changed field is shown with its old and new value")
{
    const auto result = changeFirstElement("guarantees", "/priority", "77");
    const auto old = std::to_string(exampleConfiguration().m_guarantees.front().m_priority);
    REQUIRE(std::holds_alternative<EditedDocument>(result));
    const auto &edited = std::get<EditedDocument>(result);
    CHECK(edited.m_changes == std::vector<FieldChange>{{"/guarantees/0/priority", old, "77"}});
    const auto read = std::get<Configuration>(readConfiguration(edited.m_document));
    CHECK(read.m_guarantees.front().m_priority == 77);
    CHECK(read.m_workers == exampleConfiguration().m_workers);
}

// Guards against an added element whose empty fields do not get their default values.
TEST_CASE("an organisation is added with default values and removed again")
{
    const auto before = exampleConfiguration();
    FormValues values = {{"/id", "new"}, {"/tokenSha256", std::string(64, 'a')}, {"/weight", ""}, {"/quotaAccelerators", "8"}, {"/queueLimit", ""}};
    const auto added = applyEdit(before, consoleSection("organisations"), ConsoleEdit{EditAction::Add, 0, values});
    REQUIRE(std::holds_alternative<EditedDocument>(added));
    const auto after = std::get<Configuration>(readConfiguration(std::get<EditedDocument>(added).m_document));
    CHECK(after.m_organisations.back().m_queueLimit == 1000);
    CHECK(std::get<EditedDocument>(added).m_changes.size() == 5);
    const auto removed = applyEdit(after, consoleSection("organisations"), ConsoleEdit{EditAction::Remove, before.m_organisations.size(), {}});
    REQUIRE(std::holds_alternative<EditedDocument>(removed));
    CHECK(std::get<EditedDocument>(removed).m_document == writeConfiguration(before));
}

// Guards against a fault that is not assigned to the field that caused it.
TEST_CASE("a fault is assigned to the field that has the invalid value")
{
    const std::vector<std::array<std::string, 3>> cases = {
        {"guarantees", "/organisation", "nobody"},
        {"guarantees", "/count", "1000"},
        {"guarantees", "/count", "99999999999999999999"},
        {"guarantees", "/shape/cores", "-5"},
        {"guarantees", "/shape/accelerators", ""},
        {"guarantees", "/zone", "<script>alert(1)</script>"},
        {"organisations", "/weight", "1e999"},
        {"organisations", "/weight", "nan"},
        {"organisations", "/tokenSha256", "secret"},
        {"classes", "/idempotent", "maybe"},
        {"classes", "/tier", "fast"},
        {"deployment", "/weights/completion", "2"},
    };
    for (const auto &[name, field, text] : cases) {
        INFO(name << " " << field << " " << text);
        const auto faults = faultsOf(changeFirstElement(name, field, text));
        REQUIRE(!faults.empty());
        CHECK(faults.front().m_field == field);
    }
}

// Guards against a fault that is shown next to a field of another element.
TEST_CASE("a fault of an object is assigned to its first field and a fault outside the element keeps its path")
{
    const auto fieldFaults = assignFaultsToFields(
        {{"/guarantees/2/shape", "p", "r"}, {"/guarantees/1/count", "p", "r"}, {"/guarantees", "p", "r"}}, consoleSection("guarantees"), 2);
    CHECK(fieldFaults == std::vector<FieldFault>{{"/shape/accelerators", "p; r"}, {"", "/guarantees/1/count p; r"}, {"", "/guarantees p; r"}});
}

// Guards against reporting only one fault at a time, so that the operator would have to submit the form once for each fault.
TEST_CASE("faults of the form and of the document are reported together")
{
    const auto configuration = exampleConfiguration();
    const auto values = elementFormValues(configuration, consoleSection("guarantees"), 0).value();
    const auto faultyValues = withValue(withValue(withValue(values, "/shape/cores", "x"), "/organisation", "nobody"), "/surprise", "1");
    std::vector<std::string> fields;
    for (const auto &fault : faultsOf(applyEdit(configuration, consoleSection("guarantees"), ConsoleEdit{EditAction::Change, 0, faultyValues}))) {
        fields.push_back(fault.m_field);
    }
    CHECK(fields == std::vector<std::string>{"/shape/cores", "", "/organisation"});
}

// Guards against a truncated or crafted form that is applied in part.
TEST_CASE("unknown fields, missing fields and absent elements are rejected")
{
    CHECK(faultsOf(changeFirstElement("guarantees", "/surprise", "1")).front().m_field.empty());
    const auto configuration = exampleConfiguration();
    auto values = elementFormValues(configuration, consoleSection("guarantees"), 0).value();
    values.erase("/count");
    CHECK(faultsOf(applyEdit(configuration, consoleSection("guarantees"), ConsoleEdit{EditAction::Change, 0, values})).front().m_field == "/count");
    CHECK(!faultsOf(applyEdit(configuration, consoleSection("guarantees"), ConsoleEdit{EditAction::Remove, 999, {}})).empty());
    CHECK(!faultsOf(applyEdit(configuration, consoleSection("guarantees"), ConsoleEdit{EditAction::Remove, 0, {{"/count", "1"}}})).empty());
    CHECK(!faultsOf(applyEdit(configuration, consoleSection("deployment"), ConsoleEdit{EditAction::Remove, 0, {}})).empty());
    // An organisation that has a guarantee cannot be removed.
    CHECK(!faultsOf(applyEdit(configuration, consoleSection("organisations"), ConsoleEdit{EditAction::Remove, 0, {}})).empty());
    CHECK(!decodeEdit({{"action", "destroy"}, {"index", "0"}}).ok());
    CHECK(!decodeEdit({{"action", "change"}, {"index", "-1"}}).ok());
}

// Guards against an edit that returns an invalid document or throws an exception.
TEST_CASE("random values yield a valid document or faults")
{
    const std::vector<std::string> texts
        = {"", "0", "1", "-1", "1.5", "1e9", "true", "SameRack", "\"", "a/b~0", "é", "9223372036854775807", "batch", "null", "{}"};
    std::mt19937 random(20261204); // NOLINT: a fixed seed makes the run repeatable.
    const auto configuration = exampleConfiguration();
    for (int round = 0; round < 400; ++round) {
        const auto &formSection = consoleSections()[random() % consoleSections().size()];
        auto values = elementFormValues(configuration, formSection, 0).value();
        for (int changes = 0; changes < 3; ++changes) {
            values[formSection.m_fields[random() % formSection.m_fields.size()].m_pointer] = texts[random() % texts.size()];
        }
        const auto action = random() % 3 == 0 && !formSection.m_listName.empty() ? EditAction::Add : EditAction::Change;
        const auto result = applyEdit(configuration, formSection, ConsoleEdit{action, 0, values});
        const auto *edited = std::get_if<EditedDocument>(&result);
        REQUIRE((edited != nullptr || !faultsOf(result).empty()));
        REQUIRE((edited == nullptr || std::holds_alternative<Configuration>(readConfiguration(edited->m_document))));
    }
}
