#include "jsonerrors.h"

#include "primrosebridge/Model/error.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

std::string translateJsonErrors(const std::string &what, const std::function<std::string()> &parse)
{
    try {
        return parse();
    } catch (const nlohmann::json::exception &) {
        throw Error(ErrorKind::Internal, "the server's " + what + " is malformed", "use a primrosectl of the server's version, and check --server");
    }
}

} // namespace PrimroseBridge
