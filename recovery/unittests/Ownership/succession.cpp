#include "primrosebridge/Ownership/succession.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

static const Duration longUptime(60000);

// Guards against a VM with an eighth of a core that owns a fleet of 350 workers and makes every scheduling decision late.
TEST_CASE("the larger VMs try first to become the owner")
{
    CHECK(successionDelay({.m_processorCores = 0.5, .m_peerCores = {0.12, 0.5, 0.12}, .m_uptime = longUptime}) == Duration(0));
    CHECK(successionDelay({.m_processorCores = 0.12, .m_peerCores = {0.12, 0.5, 0.12}, .m_uptime = longUptime}) > Duration(0));
}

// Guards against a needless delay of the takeover when no larger VM is left, and when all VMs have the same size.
TEST_CASE("a VM does not wait when it knows no larger VM")
{
    CHECK(successionDelay({.m_processorCores = 0.12, .m_peerCores = {0.12, 0.12}, .m_uptime = longUptime}) == Duration(0));
    CHECK(successionDelay({.m_processorCores = 0.12, .m_peerCores = {}, .m_uptime = longUptime}) == Duration(0));
}

// Guards against a small VM that becomes the first owner because its list of VMs was still empty when the whole deployment started.
TEST_CASE("after the start, smaller VMs wait longer, but at most half a second")
{
    const auto large = successionDelay({.m_processorCores = 0.5, .m_peerCores = {}, .m_uptime = Duration(50)});
    const auto small = successionDelay({.m_processorCores = 0.12, .m_peerCores = {}, .m_uptime = Duration(50)});
    CHECK(large < small);
    CHECK(small <= Duration(500));
    CHECK(successionDelay({.m_processorCores = 0.0, .m_peerCores = {}, .m_uptime = Duration(50)}) <= Duration(500));
}

} // namespace PrimroseBridge
