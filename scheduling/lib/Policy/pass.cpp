#include "primrosebridge/Policy/pass.h"

#include "decide.h"
#include "defragmentation.h"
#include "joborder.h"
#include "passcontext.h"
#include "report.h"
#include "reservation.h"

#include <algorithm>
#include <map>

namespace PrimroseBridge {

std::string_view decisionRuleName(DecisionRule rule)
{
    switch (rule) {
    case DecisionRule::Placed:
        return "placed";
    case DecisionRule::PlacedBackfill:
        return "placed_backfill";
    case DecisionRule::PlacedReclaim:
        return "placed_reclaim";
    case DecisionRule::WaitsForCapacity:
        return "waits_for_capacity";
    case DecisionRule::WaitsForReclaim:
        return "waits_for_reclaim";
    case DecisionRule::WaitsForReservation:
        return "waits_for_reservation";
    case DecisionRule::WaitsForQuota:
        return "waits_for_quota";
    case DecisionRule::WaitsForGuarantee:
        return "waits_for_guarantee";
    case DecisionRule::WaitsBehindOthers:
        return "waits_behind_others";
    case DecisionRule::NeverRunnable:
        return "never_runnable";
    }
    return "never_runnable";
}

PassSettings defaultPassSettings()
{
    return {std::chrono::minutes(10), std::chrono::minutes(60), 64};
}

static std::string largestOffer(const FleetIndex &fleet, const Capacity &declared, const Shape &shape)
{
    int worker = 0;
    int rack = 0;
    int zone = 0;
    for (const auto &workers : fleet.m_racks) {
        int sum = 0;
        for (const int one : workers) {
            const int offered = contribution(declared, one, shape);
            worker = std::max(worker, offered);
            sum += offered;
        }
        rack = std::max(rack, sum);
        zone += sum;
    }
    switch (shape.m_adjacency) {
    case Adjacency::SameWorker:
        return "the largest worker offers " + std::to_string(worker);
    case Adjacency::SameRack:
        return "the largest rack offers " + std::to_string(rack);
    case Adjacency::Nearest:
        return "the zone offers " + std::to_string(zone);
    }
    return {};
}

static std::optional<std::string> neverRunnable(const FleetIndex &fleet, const Capacity &declared, const Shape &shape)
{
    if (fit(fleet, declared, shape)) {
        return std::nullopt;
    }
    if (shape.m_accelerators == 0) {
        return "no worker of the zone has " + std::to_string(shape.m_cores) + " cores and " + std::to_string(shape.m_memoryMb) + " MB";
    }
    return "the zone can never hold " + describeShape(shape) + ": of such accelerators, " + largestOffer(fleet, declared, shape);
}

std::optional<std::string> whyNeverRunnable(const std::vector<WorkerState> &workers, const Shape &shape)
{
    return neverRunnable(indexFleet(workers), declaredCapacity(workers), shape);
}

static void refuseNeverRunnable(const PassContext &context, PassDraft &draft)
{
    std::map<ShapeKey, std::optional<std::string>> known;
    for (std::size_t job = 0; job < context.m_state.m_queue.size(); ++job) {
        const auto &queued = context.m_state.m_queue[job];
        const ShapeKey key = shapeKey(queued.m_shape);
        auto found = known.find(key);
        if (found == known.end()) {
            found = known.emplace(key, neverRunnable(context.m_fleet, context.m_declared, queued.m_shape)).first;
        }
        if (found->second) {
            draft.m_explanations[job].emplace(Explanation{queued.m_key, DecisionRule::NeverRunnable, *found->second});
        }
    }
}

PassResult runPass(const ZoneState &state, const PassSettings &settings, Instant now)
{
    const PassContext context = makeContext(state, settings, now);
    PassDraft draft = makeDraft(context);
    const auto before = draft.m_plan;
    refuseNeverRunnable(context, draft);
    JobOrder order = makeJobOrder(context, draft);
    reserveForOldestLarge(context, draft, order.m_levels);
    FailedSearches failed;
    while (const auto job = popJob(order, context, draft)) {
        if (!draft.m_explanations[*job]) {
            decideJob(context, *job, order.m_levels[*job], draft, failed);
        }
    }
    defragment(context, draft);
    std::vector<Explanation> explanations;
    explanations.reserve(draft.m_explanations.size());
    for (auto &explanation : draft.m_explanations) {
        explanations.push_back(std::move(*explanation));
    }
    return {std::move(draft.m_placements),
            std::move(draft.m_releases),
            std::move(explanations),
            guaranteeStatus(context, *before),
            fragmentationOf(context, *draft.m_free)};
}

} // namespace PrimroseBridge
