#include "jsonerrors.h"

#include "primrosebridge/Model/error.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

std::string understand(const std::string &what, const std::function<std::string()> &read)
{
    try {
        return read();
    } catch (const nlohmann::json::exception &) {
        throw Error(ErrorKind::Internal, "the server's " + what + " is not understood", "use a primrosectl of the server's version, and check --server");
    }
}

} // namespace PrimroseBridge
