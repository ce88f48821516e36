#include "ownershipvalue.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::json;

std::string encodeOwnershipValue(const OwnershipValue &value)
{
    return Json{
        {"vm", value.m_vm},
        {"incarnation", value.m_incarnation},
        {"address", value.m_peerAddress},
        {"operation", value.m_operation},
    }
        .dump();
}

Result<OwnershipValue> decodeOwnershipValue(std::string_view text)
{
    try {
        const auto parsed = Json::parse(text);
        return OwnershipValue{
            .m_vm = parsed.at("vm").get<std::string>(),
            .m_incarnation = parsed.at("incarnation").get<std::int64_t>(),
            .m_peerAddress = parsed.at("address").get<std::string>(),
            .m_operation = parsed.at("operation").get<std::string>(),
        };
    } catch (const Json::exception &fault) {
        return Error(ErrorKind::Internal, std::string("an ownership key is malformed: ") + fault.what(), "find out which program wrote it and delete the key");
    }
}

} // namespace PrimroseBridge
