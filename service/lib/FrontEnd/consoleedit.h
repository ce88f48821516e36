#pragma once

#include "formdecoding.h"
#include "consoleschema.h"

#include "primrosebridge/Config/reader.h"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace PrimroseBridge {

/// What a form does to the document.
enum class EditAction {
    Add,
    Change,
    Remove,
};

/// The name in forms: `add`, `change` or `remove`. Thread-safe.
std::string editActionName(EditAction action);

/// One change as a form describes it.
struct ConsoleEdit {
    const EditAction m_action;
    const std::size_t m_index; ///< Position in the section's list; of no meaning for Add and for a section without list.
    const FormValues m_values; ///< By JSON pointer within the element; empty for Remove.

    bool operator==(const ConsoleEdit &) const = default;
};

/// A fault of a form.
struct FieldFault {
    const std::string m_field; ///< The form field that it is shown beside; empty if there is none.
    const std::string m_text; ///< Problem and remedy.

    bool operator==(const FieldFault &) const = default;
};

/// One field that differs.
struct FieldChange {
    const std::string m_path; ///< JSON pointer in the document.
    const std::string m_oldValue; ///< Empty if absent.
    const std::string m_newValue; ///< Empty if absent.

    bool operator==(const FieldChange &) const = default;
};

/// A checked document and how it differs from the one before.
struct EditedDocument {
    const std::string m_document;
    const std::vector<FieldChange> m_changes;

    bool operator==(const EditedDocument &) const = default;
};

using EditedDocumentOrFaults = std::variant<EditedDocument, std::vector<FieldFault>>;

/// The values of every element of the section as forms show them; one element for a section without list. Thread-safe.
std::vector<FormValues> sectionFormValues(const Configuration &configuration, const ConsoleSection &section);

/// The element's values as a form shows them; empty if there is no such element. Thread-safe.
std::optional<FormValues> elementFormValues(const Configuration &configuration, const ConsoleSection &section, std::size_t index);

/// Reads `action`, `index` and the fields of the section from a form whose other hidden fields have been removed. InvalidArgument if the
/// action or the index is malformed. Thread-safe.
Result<ConsoleEdit> decodeEdit(const FormValues &form);

/// The document after the edit, or every fault. Unknown and missing form fields, texts that are not numbers, and all faults that
/// readConfiguration() finds are reported; an empty field takes the default. Thread-safe.
EditedDocumentOrFaults applyEdit(const Configuration &configuration, const ConsoleSection &section, const ConsoleEdit &edit);

/// Assigns the faults of a document to the form fields of the element at @p index. A fault of an object such as `/shape` goes to its first
/// field; a fault elsewhere in the document goes to no field and keeps its path. Thread-safe.
std::vector<FieldFault> assignFaultsToFields(const std::vector<ConfigFault> &faults, const ConsoleSection &section, std::size_t index);

} // namespace PrimroseBridge
