#pragma once

#include "consoleedit.h"
#include "consolesessions.h"

#include "primrosebridge/FrontEnd/http.h"

#include <cstdint>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// Content of an edit form: the values, the configuration version that they are based on, and the faults to show.
struct FormState {
    const ConsoleEdit m_edit;
    const std::int64_t m_version; ///< Version of the configuration that the form is based on.
    const std::vector<FieldFault> m_faults;

    bool operator==(const FormState &) const = default;
};

/// Returns the sign-in page. A @p problem that is not empty is shown next to the field. Thread-safe.
HttpReply signInPage(int status, const std::string &forgeryToken, const std::string &problem);

/// Returns the page that lists the elements of a section with links to their forms. @p publishedVersion is the version whose publication the page
/// confirms, or 0 for none. Thread-safe.
HttpReply sectionPage(const Configuration &configuration, const ConsoleSection &section, const ConsoleSession &session, std::int64_t publishedVersion);

/// Returns the page that lists the limits of organisations, job classes and guarantees with links to their forms. Thread-safe.
HttpReply limitsPage(const Configuration &configuration, const ConsoleSession &session);

/// Returns the page with the form for an edit. Each fault is shown next to its field. Thread-safe.
HttpReply editFormPage(int status, const ConsoleSection &section, const FormState &state, const ConsoleSession &session);

/// Returns the page that shows the old and new values of the changed fields, and the form that applies the edit. Thread-safe.
HttpReply previewPage(const ConsoleSection &section, const FormState &state, const std::vector<FieldChange> &changes, const ConsoleSession &session);

/// Returns the page which tells the operator that another operator has published a version in the meantime. @p message names that version.
/// Thread-safe.
HttpReply conflictPage(const ConsoleSection &section, const std::string &message, const ConsoleSession &session);

/// Returns a page with an error message and its remedy. The page has the navigation if @p forgeryToken is not empty. Thread-safe.
HttpReply consoleErrorPage(int status, const std::string &message, const std::string &remedy, const std::string &forgeryToken);

} // namespace PrimroseBridge
