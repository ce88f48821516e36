#include "schedulercore.h"

#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Ownership/ownership.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;

static const bool logging = (startLogging("test", LogLevel::Error), true);
static const auto zone = ZoneId::create("deventer").value();
static const auto silent = WorkerId::create("w1").value();
static const auto answering = WorkerId::create("w2").value();
static const auto request = RequestKey::create("pallet-1").value();
static const Instant leaseEnd = fromMilliseconds(3000);
static const Instant heardAt = fromMilliseconds(1000);
static const Instant lostAt = heardAt + lostAfter + Duration(1);

static OwnershipState owner(OwnershipRole role)
{
    return {.m_role = role, .m_fence = Fence{7}, .m_leaseId = 1, .m_leaseEnd = leaseEnd, .m_stopping = false};
}

static std::vector<MemberStatus> memberOn(const WorkerId &worker)
{
    return {MemberStatus{
        .m_member = GangMember{.m_worker = worker, .m_accelerators = 1, .m_cores = 1, .m_memoryMb = 64},
        .m_incarnation = "a",
        .m_state = MemberState::NotKnown,
        .m_heldAt = 0,
        .m_result = {},
    }};
}

static Job runningJob(bool idempotent)
{
    const JobClass jobClass{
        .m_id = JobClassId::create("scan").value(),
        .m_tier = Tier::Batch,
        .m_shape = Shape{.m_accelerators = 1, .m_adjacency = Adjacency::SameWorker, .m_cores = 1, .m_memoryMb = 64},
        .m_idempotent = idempotent,
        .m_durable = true,
        .m_checkpointable = false,
        .m_restartable = idempotent,
        .m_expectedRunTime = Duration(100),
        .m_maxRunTime = Duration(100000),
        .m_maxAttempts = 3,
    };
    const Request submitted{
        .m_key = request,
        .m_organisation = OrganisationId::create("bakery").value(),
        .m_jobClass = jobClass.m_id,
        .m_zone = zone,
        .m_payload = "{}",
        .m_declaredRunTime = Duration(100),
        .m_submittedAt = fromMilliseconds(0),
    };
    const auto accepted = stepJob(newJob(submitted, jobClass), JobEvent{.m_kind = JobEventKind::Accepted}, heardAt).m_job;
    const auto placed = stepJob(accepted, JobEvent{.m_kind = JobEventKind::Placed, .m_members = memberOn(silent), .m_fence = 7}, heardAt).m_job;
    const auto held = stepJob(placed, JobEvent{.m_kind = JobEventKind::IntentRecorded}, heardAt).m_job;
    return stepJob(held, JobEvent{.m_kind = JobEventKind::MemberReported, .m_index = 0, .m_state = MemberState::Running, .m_sequence = 2}, heardAt).m_job;
}

// The owner of a zone whose store lease has ended, with a request that runs on a worker which it heard last before that.
class LapsedOwner
{
public:
    LapsedOwner(OwnershipRole role, bool idempotent)
        : m_core(SchedulerSettings{.m_vm = VmId::create("vm-1").value(), .m_zone = zone, .m_incarnation = 1, .m_pass = defaultPassSettings()},
                 nullptr,
                 m_events,
                 m_metrics,
                 SchedulerCallbacks{
                     .m_storeReachable = [] { return false; },
                     .m_mayCommand = [role](Instant now) { return mayCommandWorkers(owner(role), now); },
                     .m_higherFence = [](std::int64_t) {},
                     .m_fenceLost = [] {},
                 })
    {
        m_core.m_shard.m_fence.emplace(Fence{7});
        addWorker(silent, heardAt);
        addWorker(answering, lostAt);
        const Job job = runningJob(idempotent);
        m_core.m_shard.m_jobs.emplace(request, std::make_shared<const Job>(job));
        m_core.m_outcomes.publish(request, knownOutcomeOf(job, heardAt));
    }

    void apply(const JobEvent &event)
    {
        applyEvent(m_core, m_outgoing, AddressedEvent{.m_key = request, .m_event = event}, lostAt);
    }

    // Does what a pass and the record stage do for a queued request while the store is unreachable.
    void placeOnAnsweringWorker()
    {
        apply(JobEvent{.m_kind = JobEventKind::Placed, .m_members = memberOn(answering), .m_fence = 7});
        apply(JobEvent{.m_kind = JobEventKind::IntentRecorded});
        flushWorkers(m_core, m_outgoing, lostAt);
    }

    [[nodiscard]] JobPhase phase() const
    {
        return m_core.m_shard.m_jobs.at(request)->m_phase;
    }

    [[nodiscard]] OutcomeKind answer() const
    {
        return m_core.m_outcomes.find(request)->m_outcome.m_kind;
    }

private:
    void addWorker(const WorkerId &id, Instant lastHeard)
    {
        WorkerEntry entry;
        entry.m_worker = std::make_shared<const Worker>(Worker{
            .m_id = id,
            .m_zone = zone,
            .m_rack = RackId::create("r1").value(),
            .m_cores = 8,
            .m_memoryMb = 1024,
            .m_accelerators = 8,
            .m_address = "127.0.0.1:1",
        });
        entry.m_fenced = true;
        entry.m_answering = true;
        entry.m_heardAt = lastHeard;
        m_core.m_shard.m_workers.emplace(id, entry);
    }

    EventLog m_events = EventLog("vm-1", 100);
    Metrics m_metrics;

public:
    SchedulerCore m_core;
    Outgoing m_outgoing;
};

// Guards against a second run of a request that must not run twice: a successor may have reached the worker and renewed its lease.
TEST_CASE("an owner without its store lease starts no non-idempotent request of a silent worker again")
{
    const auto role = GENERATE(OwnershipRole::Owner, OwnershipRole::Degraded);
    LapsedOwner lapsed(role, false);
    expireWorkers(lapsed.m_core, lapsed.m_outgoing, lostAt);
    REQUIRE(lapsed.m_core.m_shard.m_workers.at(silent).m_lost);
    CHECK(lapsed.phase() == JobPhase::Unknown);
    CHECK(lapsed.answer() == OutcomeKind::Unknown);
    lapsed.placeOnAnsweringWorker();
    CHECK(lapsed.phase() == JobPhase::Unknown);
    CHECK(lapsed.m_outgoing.m_executes.empty());
    CHECK(lapsed.m_outgoing.m_records.empty());
}

// Idempotent requests may run twice (docs/design.md, section 2), which keeps them going while the store is down. Guards against an owner
// that starts them although its lease has ended and it has not found the store unreachable.
TEST_CASE("only a degraded owner starts the idempotent requests of a silent worker again without its store lease")
{
    const auto role = GENERATE(OwnershipRole::Owner, OwnershipRole::Degraded);
    LapsedOwner lapsed(role, true);
    expireWorkers(lapsed.m_core, lapsed.m_outgoing, lostAt);
    CHECK(lapsed.phase() == JobPhase::Queued);
    lapsed.placeOnAnsweringWorker();
    CHECK(lapsed.m_outgoing.m_executes.size() == (role == OwnershipRole::Degraded ? 1U : 0U));
    CHECK(lapsed.answer() == OutcomeKind::Pending);
}
