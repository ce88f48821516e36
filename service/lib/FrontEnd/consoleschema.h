#pragma once

#include <string>
#include <vector>

namespace PrimroseBridge {

/// The type of a form field, which determines the JSON value that its text is converted to.
enum class FieldType {
    Text, ///< Any text; becomes a JSON string.
    Integer, ///< Decimal digits only.
    Decimal, ///< A finite number, for example `0.5`.
    Boolean, ///< `true` or `false`.
};

/// One field of a form.
struct ConsoleField {
    const std::string m_pointer; ///< JSON pointer within the element, for example `/shape/cores`; also the name of the form field.
    const std::string m_label;
    const std::string m_group; ///< Legend of the fieldset that contains the field.
    const std::string m_hint; ///< Explains the unit, the default value or the meaning.
    const FieldType m_type;
    const std::vector<std::string> m_choices; ///< Values to select from; empty for a free text field.

    bool operator==(const ConsoleField &) const = default;
};

/// A part of the configuration document that can be edited with a form.
struct ConsoleSection {
    const std::string m_name; ///< Path segment of the section in URLs.
    const std::string m_listName; ///< Name of the list in the document; empty for the document itself, which cannot be added or removed.
    const std::string m_title;
    const std::vector<ConsoleField> m_fields;

    bool operator==(const ConsoleSection &) const = default;
};

/// Returns all sections. Thread-safe.
const std::vector<ConsoleSection> &consoleSections();

/// Returns the section with this name, or nullptr if there is none. Thread-safe.
const ConsoleSection *findConsoleSection(const std::string &name);

} // namespace PrimroseBridge
