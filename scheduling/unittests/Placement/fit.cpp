#include "primrosebridge/Placement/defragment.h"
#include "primrosebridge/Placement/guaranteeplan.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <bit>
#include <set>

using namespace PrimroseBridge;

static WorkerState worker(int number, int rack, AcceleratorSet usable, int cores)
{
    const std::string name = std::to_string(number);
    return {{WorkerId::create("w" + name).value(), ZoneId::create("z").value(), RackId::create("r" + std::to_string(rack)).value(), cores, 1000, 8, ""},
            BackendServerStatus::Live,
            usable,
            false};
}

static std::vector<WorkerState> randomWorkers()
{
    const int count = *rc::gen::inRange(1, 7);
    std::vector<WorkerState> workers;
    workers.reserve(count);
    for (int i = 0; i < count; ++i) {
        workers.push_back(worker(i, *rc::gen::inRange(0, 3), *rc::gen::inRange<AcceleratorSet>(0, 256), *rc::gen::inRange(0, 9)));
    }
    return workers;
}

/// The longest series that the worker can give, found by trying each position.
static int naiveContribution(const Capacity &capacity, int worker, const Shape &shape)
{
    int most = 0;
    for (int count = 1; count <= shape.m_accelerators; ++count) {
        for (int first = 0; first + count <= 8; ++first) {
            const AcceleratorSet position = firstAccelerators(count) << first;
            const bool present = (position & ~capacity.m_accelerators[worker]) == 0;
            if (present && proportion(shape.m_cores, count, shape.m_accelerators) <= capacity.m_cores[worker]) {
                most = std::max(most, count);
            }
        }
    }
    return most;
}

static int naiveMost(const FleetIndex &fleet, const Capacity &capacity, const Shape &shape)
{
    int best = 0;
    int zone = 0;
    for (const auto &rack : fleet.m_racks) {
        int sum = 0;
        for (const int one : rack) {
            const int given = naiveContribution(capacity, one, shape);
            sum += given;
            best = std::max(best, shape.m_adjacency == Adjacency::SameWorker ? given : 0);
        }
        zone += sum;
        best = std::max(best, shape.m_adjacency == Adjacency::SameRack ? sum : 0);
    }
    return shape.m_adjacency == Adjacency::Nearest ? zone : best;
}

static void checkSlots(const FleetIndex &fleet, const Capacity &capacity, const Shape &shape, const Slots &slots)
{
    std::set<int> racks;
    std::set<int> workers;
    for (const auto &slot : slots) {
        RC_ASSERT((slot.m_accelerators & ~capacity.m_accelerators[slot.m_worker]) == 0U);
        RC_ASSERT(std::countr_one(slot.m_accelerators >> std::countr_zero(slot.m_accelerators)) == std::popcount(slot.m_accelerators));
        RC_ASSERT(slot.m_cores <= capacity.m_cores[slot.m_worker]);
        RC_ASSERT(workers.insert(slot.m_worker).second);
        racks.insert(fleet.m_rackOf[slot.m_worker]);
    }
    RC_ASSERT(countAccelerators(slots) == shape.m_accelerators);
    RC_ASSERT(shape.m_adjacency != Adjacency::SameWorker || slots.size() == 1);
    RC_ASSERT(shape.m_adjacency != Adjacency::SameRack || racks.size() == 1);
}

// Guards against positions that do not exist and against jobs that wait although they fit.
TEST_CASE("fit agrees with trying each position")
{
    CHECK(rc::check([] {
        const auto workers = randomWorkers();
        const auto fleet = indexFleet(workers);
        const auto capacity = usableCapacity(workers);
        const auto adjacency = *rc::gen::element(Adjacency::SameWorker, Adjacency::SameRack, Adjacency::Nearest);
        const Shape shape{*rc::gen::inRange(1, 20), adjacency, *rc::gen::inRange(0, 20), 0};
        const auto rule = *rc::gen::element(FitRule::Best, FitRule::First);
        const auto slots = fit(fleet, capacity, shape, rule);
        RC_ASSERT(slots.has_value() == (naiveMost(fleet, capacity, shape) >= shape.m_accelerators));
        if (slots) {
            checkSlots(fleet, capacity, shape, *slots);
            const auto rest = without(capacity, *slots);
            RC_ASSERT(countAccelerators(rest) + shape.m_accelerators == countAccelerators(capacity));
            RC_ASSERT(with(rest, *slots, capacity) == capacity);
        }
    }));
}

// Guards against plans that count one accelerator for two guarantees or rely on work that cannot be removed.
TEST_CASE("planned units are disjoint and lie on what their organisation can claim")
{
    CHECK(rc::check([] {
        const auto workers = randomWorkers();
        const auto fleet = indexFleet(workers);
        const auto usable = usableCapacity(workers);
        std::vector<Holding> holdings;
        auto free = std::make_shared<const Capacity>(usable);
        for (int i = 0; i < 6; ++i) {
            if (const auto slots = fit(fleet, *free, {*rc::gen::inRange(1, 4), Adjacency::SameWorker, 0, 0})) {
                holdings.push_back({*rc::gen::inRange(0, 3), *rc::gen::arbitrary<bool>(), *slots});
                free = std::make_shared<const Capacity>(without(*free, *slots));
            }
        }
        std::vector<Claim> claims;
        for (int i = 0; i < 3; ++i) {
            const auto adjacency = *rc::gen::element(Adjacency::SameWorker, Adjacency::SameRack, Adjacency::Nearest);
            claims.push_back({i, {*rc::gen::inRange(1, 9), adjacency, 0, 0}, *rc::gen::inRange(1, 4)});
        }
        const auto plan = planGuarantees(fleet, usable, holdings, claims);
        std::vector<AcceleratorSet> taken(workers.size());
        for (const auto &unit : plan.m_units) {
            const Shape &claimed = claims[unit.m_claim].m_shape;
            const bool held = unit.m_source == UnitSource::Held;
            RC_ASSERT(countAccelerators(unit.m_slots) >= claimed.m_accelerators);
            checkSlots(fleet, usable, {held ? countAccelerators(unit.m_slots) : claimed.m_accelerators, claimed.m_adjacency, 0, 0}, unit.m_slots);
            for (const auto &slot : unit.m_slots) {
                RC_ASSERT((taken[slot.m_worker] & slot.m_accelerators) == 0U);
                taken[slot.m_worker] |= slot.m_accelerators;
                for (const auto &holding : holdings) {
                    const bool foreign = !holding.m_reclaimable && holding.m_organisation != claims[unit.m_claim].m_organisation;
                    const bool overlaps = holding.m_slots[0].m_worker == slot.m_worker && (holding.m_slots[0].m_accelerators & slot.m_accelerators) != 0;
                    RC_ASSERT(!(foreign && overlaps));
                }
            }
        }
    }));
}

// Guards against moves that leave work without a place.
TEST_CASE("defragmentation moves the least occupied worker's work, and only if it fits elsewhere")
{
    const std::vector workers = {worker(0, 0, 0xff, 100), worker(1, 0, 0xff, 100), worker(2, 0, 0x0f, 100)};
    const auto fleet = indexFleet(workers);
    const auto usable = usableCapacity(workers);
    const Shape two{2, Adjacency::SameWorker, 0, 0};
    const std::vector<Movable> movables = {{10, {4, Adjacency::SameWorker, 0, 0}, {{0, 0x0f, 0, 0}}}, {11, two, {{1, 0x18, 0, 0}}}};
    const auto free = withoutAll(usable, {movables[0].m_slots, movables[1].m_slots});
    const auto plan = planDefragmentation(fleet, usable, free, movables, {8, Adjacency::SameWorker, 0, 0});
    REQUIRE(plan);
    CHECK(plan->m_moved == std::vector{11});
    CHECK_FALSE(planDefragmentation(fleet, usable, free, movables, {16, Adjacency::SameWorker, 0, 0}));
}
