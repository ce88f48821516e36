#pragma once

#include "consoleschema.h"
#include "formdecoding.h"

#include "primrosebridge/Config/reader.h"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace PrimroseBridge {

/// The operation that a form applies to the configuration document.
enum class EditAction {
    Add,
    Change,
    Remove,
};

/// Returns the name of the action in forms: `add`, `change` or `remove`. Thread-safe.
std::string editActionName(EditAction action);

/// One edit of the configuration, decoded from a form.
struct ConsoleEdit {
    const EditAction m_action;
    const std::size_t m_index; ///< Zero-based position in the list of the section; ignored for Add and for a section without a list.
    const FormValues m_values; ///< Field texts, keyed by JSON pointer within the element; empty for Remove.

    bool operator==(const ConsoleEdit &) const = default;
};

/// A problem for which a form is rejected.
struct FieldFault {
    const std::string m_field; ///< Form field next to which the problem is shown; empty if it belongs to no field.
    const std::string m_text; ///< Describes the problem and the remedy.

    bool operator==(const FieldFault &) const = default;
};

/// A field whose value differs between two documents.
struct FieldChange {
    const std::string m_path; ///< JSON pointer in the document.
    const std::string m_oldValue; ///< Empty if the old document lacks the field.
    const std::string m_newValue; ///< Empty if the new document lacks the field.

    bool operator==(const FieldChange &) const = default;
};

/// A valid configuration document after an edit.
struct EditedDocument {
    const std::string m_document;
    const std::vector<FieldChange> m_changes; ///< Differences from the document before the edit.

    bool operator==(const EditedDocument &) const = default;
};

using EditedDocumentOrFaults = std::variant<EditedDocument, std::vector<FieldFault>>;

/// Returns the form values of every element of the section, or of the document itself for a section without a list. Thread-safe.
std::vector<FormValues> sectionFormValues(const Configuration &configuration, const ConsoleSection &section);

/// Returns the form values of one element; nothing if there is no element at @p index. Thread-safe.
std::optional<FormValues> elementFormValues(const Configuration &configuration, const ConsoleSection &section, std::size_t index);

/// Reads `action`, `index` and the fields of the section from a form. Precondition: the other hidden fields have been removed. Returns
/// InvalidArgument if the action or the index is malformed. Thread-safe.
Result<ConsoleEdit> decodeEdit(const FormValues &form);

/// Applies an edit and returns the new document, or all faults if there are any. Faults are unknown and missing form fields, texts that are not
/// of the type of their field, and everything that readConfiguration() reports. A field with an empty text gets its default value. Thread-safe.
EditedDocumentOrFaults applyEdit(const Configuration &configuration, const ConsoleSection &section, const ConsoleEdit &edit);

/// Assigns the faults of a document to the form fields of the element at @p index. A fault of an object such as `/shape` is assigned to the first
/// field of the object. A fault outside the element is assigned to no field, and its text starts with its path. Thread-safe.
std::vector<FieldFault> assignFaultsToFields(const std::vector<ConfigFault> &faults, const ConsoleSection &section, std::size_t index);

} // namespace PrimroseBridge
