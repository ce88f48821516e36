// Compares three worker scores on the same stream of tasks: a moving average of the run time, the same divided by the success rate
// (as in pull request 9882 of kubernetes/ingress-nginx), and ejection after consecutive failures as in workerscore.h.

#include "primrosebridge/Policy/workerscore.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <random>
#include <vector>

using namespace PrimroseBridge;

/// How one simulated worker behaves.
struct Behaviour {
    const double m_meanMs;
    const double m_failureRate;
    const double m_failsFromSecond; ///< The failure rate holds from here,
    const double m_failsToSecond; ///< to here; otherwise every task succeeds.
    const double m_failureMs; ///< Run time of a failed task.
};

struct Case {
    const char *m_name;
    const std::vector<Behaviour> m_workers;
};

using ScorePtr = std::shared_ptr<const WorkerScore>;
using CostFunction = double (*)(const WorkerScore &, Instant);

static double movingAverage(const WorkerScore &score, Instant /*now*/)
{
    return score.m_latencyMs;
}

static double dividedBySuccess(const WorkerScore &score, Instant /*now*/)
{
    return score.m_latencyMs / std::max(score.m_successRate, 0.01);
}

static double withEjection(const WorkerScore &score, Instant now)
{
    return isEjected(score, now) ? 1e12 : score.m_latencyMs;
}

/// The plain average learns the run time of failed tasks too, which is what makes a failing worker look fast.
static WorkerScore observeAny(const WorkerScore &score, bool succeeded, Duration runTime, Instant now)
{
    const auto next = observeTask(score, succeeded, runTime, now);
    if (succeeded) {
        return next;
    }
    const double latency = score.m_latencyMs == 0 ? static_cast<double>(runTime.count()) : score.m_latencyMs * 0.8 + static_cast<double>(runTime.count()) * 0.2;
    return {latency, next.m_successRate, next.m_consecutiveFailures, next.m_ejections, next.m_ejectedUntil};
}

struct Tally {
    int m_attempts = 0;
    int m_failed = 0;
    int m_lost = 0; ///< Tasks that failed on all of their attempts.
    double m_latencyMs = 0;
};

/// Of two workers drawn at random, the one with the lower cost.
static std::size_t choose(std::mt19937 &random, const std::vector<ScorePtr> &scores, CostFunction cost, Instant now)
{
    std::uniform_int_distribution<std::size_t> any(0, scores.size() - 1);
    const std::size_t one = any(random);
    const std::size_t other = any(random);
    return cost(*scores[one], now) <= cost(*scores[other], now) ? one : other;
}

static void runTask(std::mt19937 &random, const Case &one, std::vector<ScorePtr> &scores, CostFunction cost, bool latencyOfFailures, Instant now, Tally &tally)
{
    constexpr int attempts = 3;
    const double second = static_cast<double>(toMilliseconds(now)) / 1000;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const std::size_t worker = choose(random, scores, cost, now);
        const Behaviour &behaviour = one.m_workers[worker];
        const bool bad = second >= behaviour.m_failsFromSecond && second < behaviour.m_failsToSecond;
        const bool succeeded = !bad || std::bernoulli_distribution(1 - behaviour.m_failureRate)(random);
        const double spread = std::uniform_real_distribution<double>(0.7, 1.3)(random);
        const Duration runTime(static_cast<Duration::rep>((succeeded ? behaviour.m_meanMs : behaviour.m_failureMs) * spread));
        const WorkerScore &before = *scores[worker];
        const auto after = latencyOfFailures ? observeAny(before, succeeded, runTime, now) : observeTask(before, succeeded, runTime, now);
        scores[worker] = std::make_shared<const WorkerScore>(after);
        ++tally.m_attempts;
        tally.m_latencyMs += static_cast<double>(runTime.count());
        if (succeeded) {
            return;
        }
        ++tally.m_failed;
    }
    ++tally.m_lost;
}

static Tally run(const Case &one, CostFunction cost, bool latencyOfFailures, unsigned seed)
{
    std::mt19937 random(seed);
    std::vector<ScorePtr> scores(one.m_workers.size(), std::make_shared<const WorkerScore>(initialScore()));
    Tally tally;
    constexpr int tasks = 36'000;
    for (int task = 0; task < tasks; ++task) {
        runTask(random, one, scores, cost, latencyOfFailures, fromMilliseconds(task * 100LL), tally);
    }
    return tally;
}

static std::vector<Behaviour> workersWith(int bad, const Behaviour &behaviour)
{
    std::vector<Behaviour> workers;
    workers.reserve(12);
    for (int i = 0; i < 12; ++i) {
        workers.push_back(i < bad ? behaviour : Behaviour{400.0 + 20 * i, 0, 0, 0, 0});
    }
    return workers;
}

int main()
{
    const std::vector<Case> cases = {{"two workers fail every task fast", workersWith(2, {500, 1, 0, 1e9, 5})},
                                     {"two workers fail every task slowly", workersWith(2, {500, 1, 0, 1e9, 5000})},
                                     {"two workers fail for 10 of 60 minutes", workersWith(2, {500, 1, 600, 1200, 5})},
                                     {"two workers fail 30% of their tasks", workersWith(2, {500, 0.3, 0, 1e9, 50})},
                                     {"one fast worker fails 10% of its tasks", workersWith(1, {100, 0.1, 0, 1e9, 50})},
                                     {"every worker works", workersWith(0, {500, 0, 0, 0, 0})}};
    struct Choice {
        const char *m_name;
        const CostFunction m_cost;
        const bool m_latencyOfFailures;
    };
    const std::vector<Choice> choices
        = {{"moving average", movingAverage, true}, {"divided by success rate", dividedBySuccess, true}, {"ejection", withEjection, false}};
    std::printf("| case | score | failed attempts in %% | lost tasks in %% | time per task in ms |\n| --- | --- | --- | --- | --- |\n");
    constexpr unsigned seeds = 5;
    for (const auto &one : cases) {
        for (const auto &choice : choices) {
            Tally sum;
            for (unsigned seed = 1; seed <= seeds; ++seed) {
                const Tally tally = run(one, choice.m_cost, choice.m_latencyOfFailures, seed);
                sum.m_attempts += tally.m_attempts;
                sum.m_failed += tally.m_failed;
                sum.m_lost += tally.m_lost;
                sum.m_latencyMs += tally.m_latencyMs;
            }
            const double tasks = 36'000.0 * seeds;
            std::printf("| %s | %s | %.2f | %.3f | %.0f |\n",
                        one.m_name,
                        choice.m_name,
                        100.0 * sum.m_failed / sum.m_attempts,
                        100.0 * sum.m_lost / tasks,
                        sum.m_latencyMs / tasks);
        }
    }
}
