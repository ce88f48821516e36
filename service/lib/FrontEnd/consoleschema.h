#pragma once

#include <string>
#include <vector>

namespace PrimroseBridge {

/// How the text of a form field becomes a JSON value.
enum class FieldType {
    Text,
    Integer,
    Decimal,
    Boolean, ///< `true` or `false`.
};

/// One field of a form.
struct ConsoleField {
    const std::string m_pointer; ///< JSON pointer within the element, for example `/shape/cores`; also the name of the form field.
    const std::string m_label;
    const std::string m_group; ///< Legend of the fieldset that the field is in.
    const std::string m_hint; ///< Unit and default.
    const FieldType m_type;
    const std::vector<std::string> m_choices; ///< Empty if any text may be entered.

    bool operator==(const ConsoleField &) const = default;
};

/// A part of the configuration document that has a form.
struct ConsoleSection {
    const std::string m_name; ///< In URLs.
    const std::string m_listName; ///< Name of the list in the document; empty for the document itself, which can only be changed.
    const std::string m_title;
    const std::vector<ConsoleField> m_fields;

    bool operator==(const ConsoleSection &) const = default;
};

/// All sections. Thread-safe.
const std::vector<ConsoleSection> &consoleSections();

/// The section with this name, or nullptr. Thread-safe.
const ConsoleSection *findConsoleSection(const std::string &name);

} // namespace PrimroseBridge
