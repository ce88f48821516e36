#pragma once

#include <functional>
#include <string>

namespace PrimroseBridge {

/// Runs @p read and throws Error(Internal) if it meets JSON of another form than expected. @p what names the text.
std::string understand(const std::string &what, const std::function<std::string()> &read);

} // namespace PrimroseBridge
