#include "baselines.h"
#include "replay.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <numeric>

using namespace PrimroseBridge;

struct Policy {
    const char *m_name;
    const PassFunction m_pass;
    const bool m_scores;
};

static double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

static double mean(const std::vector<double> &values)
{
    return values.empty() ? 0 : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

static void append(std::vector<double> &all, const std::vector<double> &more)
{
    all.insert(all.end(), more.begin(), more.end());
}

/// Joins the samples of several seeds and averages the shares.
static ReplayResult replayAll(Deployment deployment, Scenario scenario, const Policy &policy, unsigned seeds)
{
    ReplayResult sum;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const ReplayResult one = replay(makeWorkload(deployment, scenario, seed), policy.m_pass, policy.m_scores);
        for (const auto &[name, times] : one.m_completion) {
            append(sum.m_completion[name], times);
        }
        append(sum.m_largestWaits, one.m_largestWaits);
        append(sum.m_reclaims, one.m_reclaims);
        sum.m_fragmentation += one.m_fragmentation / seeds;
        sum.m_unavoidable += one.m_unavoidable / seeds;
        sum.m_utilisation += one.m_utilisation / seeds;
        sum.m_unfinished += one.m_unfinished;
        sum.m_lapsed += one.m_lapsed;
        sum.m_releases += one.m_releases;
    }
    return sum;
}

static void print(const char *policy, const ReplayResult &result)
{
    for (const auto &[name, times] : result.m_completion) {
        std::printf("| %s | %s | %.0f | %.0f | %.0f | %.0f |\n",
                    policy,
                    name.c_str(),
                    mean(times),
                    percentile(times, 0.5),
                    percentile(times, 0.95),
                    percentile(times, 0.99));
    }
}

static void printZone(const char *policy, const ReplayResult &result)
{
    std::printf("| %s | %.0f | %.0f | %.3f | %.3f | %.0f | %.0f | %zu | %d | %.3f | %d | %d |\n",
                policy,
                mean(result.m_largestWaits),
                percentile(result.m_largestWaits, 1),
                result.m_fragmentation,
                result.m_unavoidable,
                mean(result.m_reclaims),
                percentile(result.m_reclaims, 1),
                result.m_reclaims.size(),
                result.m_lapsed,
                result.m_utilisation,
                result.m_releases,
                result.m_unfinished);
}

int main(int argc, char **argv)
{
    const unsigned seeds = argc > 1 ? static_cast<unsigned>(std::strtoul(argv[1], nullptr, 10)) : 3;
    const std::vector<Policy> policies = {{"primrosebridge", runPass, true}, {"first come", firstComeFirstServed, false}, {"best fit", bestFitOnly, false}};
    for (const auto deployment : {Deployment::Zwolle, Deployment::StaraZagora}) {
        for (const auto scenario :
             {Scenario::NormalDay, Scenario::SmallBursts, Scenario::LargeBursts, Scenario::WrongSizes, Scenario::ShrinkingFleet, Scenario::FailingWorkers}) {
            std::printf("\n#### %s, %s\n\n", deploymentName(deployment), scenarioName(scenario));
            std::vector<ReplayResult> results;
            std::printf("Completion time in seconds:\n\n| policy | job class | mean | p50 | p95 | p99 |\n| --- | --- | --- | --- | --- | --- |\n");
            for (const auto &policy : policies) {
                results.push_back(replayAll(deployment, scenario, policy, seeds));
                print(policy.m_name, results.back());
            }
            std::printf("\n| policy | wait of largest, mean s | max s | fragmentation | unavoidable | reclaim mean s | max s | reclaims | lapsed | utilisation "
                        "| releases | "
                        "unfinished |\n"
                        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
            for (std::size_t i = 0; i < policies.size(); ++i) {
                printZone(policies[i].m_name, results[i]);
            }
            std::fflush(stdout);
        }
    }
}
