#include "primrosebridge/Ownership/succession.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

static const Duration settled(60000);

// Guards against a fleet of 350 workers that is owned by a VM with an eighth of a core: every decision is then late.
TEST_CASE("the larger VMs try first to become the owner")
{
    CHECK(successionDelay({.m_processor = 0.5, .m_peers = {0.12, 0.5, 0.12}, .m_age = settled}) == Duration(0));
    CHECK(successionDelay({.m_processor = 0.12, .m_peers = {0.12, 0.5, 0.12}, .m_age = settled}) > Duration(0));
}

// Guards against a fleet without an owner for longer than needed once the larger VMs are gone, and on fleets of equal VMs.
TEST_CASE("a VM waits for nobody that is not there")
{
    CHECK(successionDelay({.m_processor = 0.12, .m_peers = {0.12, 0.12}, .m_age = settled}) == Duration(0));
    CHECK(successionDelay({.m_processor = 0.12, .m_peers = {}, .m_age = settled}) == Duration(0));
}

// Guards against a first owner that is small because the list of VMs was still empty: pattern of a whole deployment that starts at once.
TEST_CASE("after the start the smaller VMs wait longer, all within half a second")
{
    const auto large = successionDelay({.m_processor = 0.5, .m_peers = {}, .m_age = Duration(50)});
    const auto small = successionDelay({.m_processor = 0.12, .m_peers = {}, .m_age = Duration(50)});
    CHECK(large < small);
    CHECK(small <= Duration(500));
    CHECK(successionDelay({.m_processor = 0.0, .m_peers = {}, .m_age = Duration(50)}) <= Duration(500));
}

} // namespace PrimroseBridge
