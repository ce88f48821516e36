#include "model.h"

#include <catch2/catch.hpp>

#include <unordered_set>

using namespace OwnershipModel;

struct SearchResult {
    const std::size_t m_states;
    const int m_depth;
    const std::optional<std::string> m_violation;
};

// Searches every sequence of transitions breadth first, so that it finds a violation at its smallest depth.
static SearchResult explore(const Model &initial, const Rules &rules, int depth, const Bounds &bounds)
{
    std::unordered_set<std::string> seen = {fingerprint(initial)};
    std::vector<Model> frontier = {initial};
    for (int level = 1; level <= depth; ++level) {
        std::vector<Model> next;
        for (const auto &model : frontier) {
            for (auto &transition : transitions(model, rules, bounds)) {
                if (!seen.insert(fingerprint(transition.m_model)).second) {
                    continue;
                }
                if (const auto found = violation(transition.m_model, rules)) {
                    return {seen.size(), level, found};
                }
                next.push_back(std::move(transition.m_model));
            }
        }
        frontier.swap(next);
    }
    return {seen.size(), depth, std::nullopt};
}

static constexpr Bounds bounds{.m_lastSecond = 5, .m_delayedCalls = 1};

// Guards against any sequence of expired leases, lost and late answers, suspensions, takeovers and delayed commands in which a former
// owner can still act.
TEST_CASE("no sequence of transitions lets a former owner command a worker or write a record")
{
    const auto check = [](const Model &initial, int depth) {
        const auto search = explore(initial, {}, depth, bounds);
        CAPTURE(search.m_states, search.m_depth);
        CHECK(search.m_violation.value_or("none") == "none");
    };
    check(firstVmOwns(), 20);
    check(noVmOwns(), 15);
    check(earlierAttemptDelayed(), 13);
}

// Each rule is necessary: if it is disabled, the same search finds the violation that the rule prevents.
TEST_CASE("the check finds a worker that does not compare fences")
{
    const auto search = explore(firstVmOwns(), {.m_workerComparesFence = false}, 13, bounds);
    CHECK(search.m_violation.value_or("none") == "a worker accepted a lower fence after a higher one");
}

TEST_CASE("the check finds a store that does not compare the ownership key")
{
    const auto search = explore(firstVmOwns(), {.m_storeComparesKey = false}, 13, bounds);
    CHECK(search.m_violation.value_or("none") == "a record write succeeds for a VM whose key no longer exists");
}

TEST_CASE("the check finds a lease whose duration counts from the arrival of the answer")
{
    const auto search = explore(firstVmOwns(), {.m_leaseCountsFromSending = false}, 13, bounds);
    CHECK(search.m_violation.value_or("none") == "a VM relies on a key that it does not hold");
}

TEST_CASE("the check finds a read-back that does not compare the attempt")
{
    const auto search = explore(earlierAttemptDelayed(), {.m_readBackComparesAttempt = false}, 13, bounds);
    CHECK(search.m_violation.value_or("none") == "a VM relies on a key that it does not hold");
}

TEST_CASE("the check finds a lost answer that is treated as a success")
{
    const auto search = explore(earlierAttemptDelayed(), {.m_lostAnswerIsReadBack = false}, 13, bounds);
    CHECK(search.m_violation.value_or("none") == "a VM relies on a key that it does not hold");
}
