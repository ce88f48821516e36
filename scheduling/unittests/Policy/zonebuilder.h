#pragma once

#include "primrosebridge/Policy/pass.h"

#include <string>

namespace PrimroseBridge {

/// Shorthand for tests; identifiers in tests are well-formed.
inline Shape gpus(int accelerators, Adjacency adjacency = Adjacency::SameWorker)
{
    return {accelerators, adjacency, accelerators, accelerators * 100};
}

inline WorkerState worker(const std::string &name, const std::string &rack, int accelerators = 8)
{
    return {{WorkerId::create(name).value(), ZoneId::create("z").value(), RackId::create(rack).value(), 32, 128'000, accelerators, "10.0.0.1:1"},
            BackendServerStatus::Live,
            firstAccelerators(accelerators),
            false};
}

inline Organisation organisation(const std::string &name, int quota = 1000)
{
    return {OrganisationId::create(name).value(), 1, quota, 1000, ""};
}

inline Guarantee guarantee(const std::string &organisation, const Shape &shape, int count, int priority = 1)
{
    return {OrganisationId::create(organisation).value(), ZoneId::create("z").value(), shape, count, std::chrono::seconds(30), priority};
}

inline constexpr Instant start = fromMilliseconds(1'000'000'000);

struct JobTraits {
    const Tier m_tier = Tier::Standard;
    const bool m_checkpointable = false;
    const bool m_restartable = false;
    const Duration m_runTime = std::chrono::minutes(10);
    const Instant m_submittedAt = start;
};

inline QueuedJob job(const std::string &key, const std::string &organisation, const Shape &shape, const JobTraits &traits = {})
{
    return {RequestKey::create(key).value(),
            1,
            OrganisationId::create(organisation).value(),
            JobClassId::create("class").value(),
            traits.m_tier,
            shape,
            traits.m_runTime,
            traits.m_checkpointable,
            traits.m_restartable,
            traits.m_submittedAt};
}

/// The allocation that results from placing @p job at @p members.
inline Allocation running(const QueuedJob &job, std::vector<GangMember> members, Instant startedAt = start, bool releasing = false)
{
    return {job.m_key,
            job.m_attempt,
            job.m_organisation,
            job.m_jobClass,
            job.m_tier,
            job.m_shape,
            std::move(members),
            startedAt,
            job.m_expectedRunTime,
            job.m_checkpointable,
            job.m_restartable,
            releasing};
}

inline GangMember member(const std::string &worker, AcceleratorSet set, int cores)
{
    return {WorkerId::create(worker).value(), set, cores, cores * 100};
}

inline ZoneState zone(std::vector<WorkerState> workers,
                      std::vector<Allocation> allocations,
                      std::vector<QueuedJob> queue,
                      std::vector<Guarantee> guarantees = {},
                      std::vector<Organisation> organisations = {organisation("a"), organisation("b")})
{
    return {
        ZoneId::create("z").value(), std::move(workers), std::move(allocations), std::move(queue), std::move(guarantees), std::move(organisations), {0.5, 0.5}};
}

} // namespace PrimroseBridge
