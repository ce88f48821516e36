#pragma once

#include <functional>
#include <string>

namespace PrimroseBridge {

/// Runs @p parse and translates a JSON syntax or type error into Error(Internal). @p what describes the parsed text in the
/// error message.
std::string translateJsonErrors(const std::string &what, const std::function<std::string()> &parse);

} // namespace PrimroseBridge
