#include "addressfield.h"

#include "primrosebridge/Config/address.h"

namespace PrimroseBridge {

std::string readSocketAddress(ObjectReader &fields, std::string_view name, const std::optional<std::string> &defaultValue)
{
    auto text = fields.readString(name, defaultValue);
    const auto path = fields.pathOf(name);
    if (!isSocketAddress(text) && !fields.faults().hasRelatedFault(path)) {
        fields.faults().add(path,
                            "is " + quoteTruncated(text) + ", not an IP address and port",
                            "use a form such as 10.0.1.7:7101 or [fd00::7]:7101; host names are not resolved");
    }
    return text;
}

} // namespace PrimroseBridge
