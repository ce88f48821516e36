#include "primrosebridge/Ownership/authority.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

// Guards against a process of a worker that cannot tell the calls to it from those to its earlier process, and against an owner whose calls pass for
// those of its successor, whose key may be older than the entry.
TEST_CASE("a worker process gets the revision of its entry as its fence while the owner is the sole one")
{
    const OwnerAuthority authority{.m_leaseEnd = fromMilliseconds(1000), .m_taskLease = Duration(6000)};
    CHECK(workerProcessFence(authority, fromMilliseconds(999), 10, 57) == 57);
    CHECK(workerProcessFence(authority, fromMilliseconds(1000), 10, 57) == 10);
    // The entry was written before the owner's key: the owner has called no earlier process.
    CHECK(workerProcessFence(authority, fromMilliseconds(999), 10, 7) == 10);
}

} // namespace PrimroseBridge
