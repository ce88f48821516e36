#pragma once

#include "consoleedit.h"
#include "consolesessions.h"

#include "primrosebridge/FrontEnd/http.h"

#include <cstdint>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// What a form shows and where it came from.
struct FormState {
    const ConsoleEdit m_edit;
    const std::int64_t m_version; ///< Version of the configuration that the form was made from.
    const std::vector<FieldFault> m_faults;

    bool operator==(const FormState &) const = default;
};

/// The sign-in form; @p problem is shown beside the field if it is not empty. Thread-safe.
HttpReply signInPage(int status, const std::string &forgeryToken, const std::string &problem);

/// The elements of a section with links to their forms. @p published names a version that has just been published, 0 for none. Thread-safe.
HttpReply sectionPage(const Configuration &configuration, const ConsoleSection &section, const ConsoleSession &session, std::int64_t published);

/// The limits of organisations, job classes and guarantees with links to their forms. Thread-safe.
HttpReply limitsPage(const Configuration &configuration, const ConsoleSession &session);

/// The form for an edit, with its faults beside their fields. Thread-safe.
HttpReply editFormPage(int status, const ConsoleSection &section, const FormState &state, const ConsoleSession &session);

/// The changed fields with old and new values, and the form that applies them. Thread-safe.
HttpReply previewPage(const ConsoleSection &section, const FormState &state, const std::vector<FieldChange> &changes, const ConsoleSession &session);

/// Says that another operator was first, with @p message naming the version in force. Thread-safe.
HttpReply conflictPage(const ConsoleSection &section, const std::string &message, const ConsoleSession &session);

/// An error with its remedy. Thread-safe.
HttpReply consoleErrorPage(int status, const std::string &message, const std::string &remedy, const std::string &forgeryToken);

} // namespace PrimroseBridge
