#include "consoleedit.h"

#include <catch2/catch.hpp>

#include <array>
#include <fstream>
#include <random>
#include <sstream>

using namespace PrimroseBridge;

static Configuration example()
{
    std::ifstream file(std::string(PRIMROSEBRIDGE_EXAMPLES) + "/zwolle.json");
    std::stringstream text;
    text << file.rdbuf();
    return std::get<Configuration>(readConfiguration(text.str()));
}

static const ConsoleSection &section(const std::string &name)
{
    return *findConsoleSection(name);
}

static FormValues with(FormValues values, const std::string &field, const std::string &text)
{
    values[field] = text;
    return values;
}

static EditedDocumentOrFaults change(const std::string &name, const std::string &field, const std::string &text)
{
    const auto configuration = example();
    const auto values = elementFormValues(configuration, section(name), 0).value();
    return applyEdit(configuration, section(name), ConsoleEdit{EditAction::Change, 0, with(values, field, text)});
}

static std::vector<FieldFault> faultsOf(const EditedDocumentOrFaults &result)
{
    const auto *faults = std::get_if<std::vector<FieldFault>>(&result);
    return faults == nullptr ? std::vector<FieldFault>{} : *faults;
}

// Guards against a form that loses or rewrites fields that the operator did not touch.
TEST_CASE("a form that changes nothing gives the same document")
{
    const auto configuration = example();
    for (const auto &each : consoleSections()) {
        const auto all = sectionFormValues(configuration, each);
        REQUIRE(!all.empty());
        for (std::size_t index = 0; index < all.size(); ++index) {
            CHECK(elementFormValues(configuration, each, index) == all[index]);
            const ConsoleEdit edit{EditAction::Change, index, all[index]};
            const auto result = applyEdit(configuration, each, edit);
            REQUIRE(std::holds_alternative<EditedDocument>(result));
            CHECK(std::get<EditedDocument>(result) == EditedDocument{writeConfiguration(configuration), {}});
        }
    }
}

// Guards against a preview that hides a change, and an edit that reaches other parts of the document.
TEST_CASE("a changed field is shown with its old and new value")
{
    const auto result = change("guarantees", "/priority", "77");
    const auto old = std::to_string(example().m_guarantees.front().m_priority);
    REQUIRE(std::holds_alternative<EditedDocument>(result));
    const auto &edited = std::get<EditedDocument>(result);
    CHECK(edited.m_changes == std::vector<FieldChange>{{"/guarantees/0/priority", old, "77"}});
    const auto read = std::get<Configuration>(readConfiguration(edited.m_document));
    CHECK(read.m_guarantees.front().m_priority == 77);
    CHECK(read.m_workers == example().m_workers);
}

// Guards against an added element without its defaults.
TEST_CASE("an organisation is added with defaults and removed again")
{
    const auto before = example();
    FormValues values = {{"/id", "new"}, {"/tokenSha256", std::string(64, 'a')}, {"/weight", ""}, {"/quotaAccelerators", "8"}, {"/queueLimit", ""}};
    const auto added = applyEdit(before, section("organisations"), ConsoleEdit{EditAction::Add, 0, values});
    REQUIRE(std::holds_alternative<EditedDocument>(added));
    const auto after = std::get<Configuration>(readConfiguration(std::get<EditedDocument>(added).m_document));
    CHECK(after.m_organisations.back().m_queueLimit == 1000);
    CHECK(std::get<EditedDocument>(added).m_changes.size() == 5);
    const auto removed = applyEdit(after, section("organisations"), ConsoleEdit{EditAction::Remove, before.m_organisations.size(), {}});
    REQUIRE(std::holds_alternative<EditedDocument>(removed));
    CHECK(std::get<EditedDocument>(removed).m_document == writeConfiguration(before));
}

// Guards against a fault that the operator cannot relate to an input.
TEST_CASE("faults stand beside the fields that they name")
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
        const auto faults = faultsOf(change(name, field, text));
        REQUIRE(!faults.empty());
        CHECK(faults.front().m_field == field);
    }
}

// Guards against a fault that is shown beside a field of another element.
TEST_CASE("faults of objects go to their first field and faults elsewhere keep their path")
{
    const auto placed
        = assignFaultsToFields({{"/guarantees/2/shape", "p", "r"}, {"/guarantees/1/count", "p", "r"}, {"/guarantees", "p", "r"}}, section("guarantees"), 2);
    CHECK(placed == std::vector<FieldFault>{{"/shape/accelerators", "p; r"}, {"", "/guarantees/1/count p; r"}, {"", "/guarantees p; r"}});
}

// Guards against an operator who has to send a form once for each fault.
TEST_CASE("faults of the form and of the document are reported together")
{
    const auto configuration = example();
    const auto values = elementFormValues(configuration, section("guarantees"), 0).value();
    const auto bad = with(with(with(values, "/shape/cores", "x"), "/organisation", "nobody"), "/surprise", "1");
    std::vector<std::string> fields;
    for (const auto &fault : faultsOf(applyEdit(configuration, section("guarantees"), ConsoleEdit{EditAction::Change, 0, bad}))) {
        fields.push_back(fault.m_field);
    }
    CHECK(fields == std::vector<std::string>{"/shape/cores", "", "/organisation"});
}

// Guards against a truncated or crafted form that takes effect in part.
TEST_CASE("unknown and missing fields and absent elements are refused")
{
    CHECK(faultsOf(change("guarantees", "/surprise", "1")).front().m_field.empty());
    const auto configuration = example();
    auto values = elementFormValues(configuration, section("guarantees"), 0).value();
    values.erase("/count");
    CHECK(faultsOf(applyEdit(configuration, section("guarantees"), ConsoleEdit{EditAction::Change, 0, values})).front().m_field == "/count");
    CHECK(!faultsOf(applyEdit(configuration, section("guarantees"), ConsoleEdit{EditAction::Remove, 999, {}})).empty());
    CHECK(!faultsOf(applyEdit(configuration, section("guarantees"), ConsoleEdit{EditAction::Remove, 0, {{"/count", "1"}}})).empty());
    CHECK(!faultsOf(applyEdit(configuration, section("deployment"), ConsoleEdit{EditAction::Remove, 0, {}})).empty());
    // An organisation that a guarantee names cannot be removed.
    CHECK(!faultsOf(applyEdit(configuration, section("organisations"), ConsoleEdit{EditAction::Remove, 0, {}})).empty());
    CHECK(!decodeEdit({{"action", "destroy"}, {"index", "0"}}).ok());
    CHECK(!decodeEdit({{"action", "change"}, {"index", "-1"}}).ok());
}

// Guards against a form that publishes a document with faults, or ends in an exception.
TEST_CASE("random values give a valid document or faults")
{
    const std::vector<std::string> texts
        = {"", "0", "1", "-1", "1.5", "1e9", "true", "SameRack", "\"", "a/b~0", "é", "9223372036854775807", "batch", "null", "{}"};
    std::mt19937 random(20261204); // NOLINT: a fixed seed makes the run repeatable.
    const auto configuration = example();
    for (int round = 0; round < 400; ++round) {
        const auto &each = consoleSections()[random() % consoleSections().size()];
        auto values = elementFormValues(configuration, each, 0).value();
        for (int changes = 0; changes < 3; ++changes) {
            values[each.m_fields[random() % each.m_fields.size()].m_pointer] = texts[random() % texts.size()];
        }
        const auto action = random() % 3 == 0 && !each.m_listName.empty() ? EditAction::Add : EditAction::Change;
        const auto result = applyEdit(configuration, each, ConsoleEdit{action, 0, values});
        const auto *edited = std::get_if<EditedDocument>(&result);
        REQUIRE((edited != nullptr || !faultsOf(result).empty()));
        REQUIRE((edited == nullptr || std::holds_alternative<Configuration>(readConfiguration(edited->m_document))));
    }
}
