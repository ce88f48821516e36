#include "session.h"

#include <catch2/catch.hpp>

#include <bit>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace PrimroseBridge;

static AcceleratorSet parseSet(const std::string &text)
{
    return static_cast<AcceleratorSet>(std::stoul(text, nullptr, 2));
}

static void submit(Session &session, std::istringstream &line)
{
    std::string key;
    std::string organisation;
    std::string tier;
    std::string adjacency;
    std::string release;
    int accelerators = 0;
    int runMinutes = 0;
    line >> key >> organisation >> tier >> accelerators >> adjacency >> runMinutes >> release;
    const Shape shape = gpus(accelerators, adjacencyFromName(adjacency).value());
    const JobTraits traits{tierFromName(tier).value(), release == "checkpoint", release == "restart", std::chrono::minutes(runMinutes), session.m_now};
    session.m_queue.emplace(key, job(key, organisation, shape, traits));
}

static void declare(Session &session, const std::string &what, std::istringstream &line)
{
    std::string name;
    std::string text;
    int count = 0;
    int accelerators = 0;
    line >> name;
    if (what == "worker") {
        line >> text >> accelerators;
        session.m_workers.emplace(name, worker(name, text, accelerators));
    } else if (what == "organisation") {
        line >> count;
        session.m_organisations.push_back(organisation(name, count));
    } else {
        int priority = 0;
        line >> count >> accelerators >> text >> priority;
        session.m_guarantees.push_back(guarantee(name, gpus(accelerators, adjacencyFromName(text).value()), count, priority));
    }
}

static void change(Session &session, const std::string &what, std::istringstream &line)
{
    std::string name;
    std::string text;
    line >> name >> text;
    if (what == "minute") {
        session.m_now = start + std::chrono::minutes(std::stoi(name));
    } else if (what == "end") {
        INFO(name);
        CHECK(session.m_running.erase(name) == 1);
    } else if (what == "released") {
        finishReleases(session);
    } else if (what == "leaving") {
        changeWorker(session, name, session.m_workers.at(name).m_usable, BackendServerStatus::Draining);
    } else {
        REQUIRE(what == "usable");
        changeWorker(session, name, parseSet(text), BackendServerStatus::Live);
    }
}

static std::string describeResult(const PassResult &result)
{
    std::ostringstream out;
    for (const auto &placement : result.m_placements) {
        out << "> start " << placement.m_key.text() << " attempt " << placement.m_attempt;
        for (const auto &member : placement.m_members) {
            const int first = std::countr_zero(member.m_accelerators);
            out << " " << member.m_worker.text() << ":" << first << "-" << first + std::popcount(member.m_accelerators) - 1;
        }
        out << "\n";
    }
    for (const auto &release : result.m_releases) {
        out << "> " << (release.m_mode == ReleaseMode::Checkpoint ? "checkpoint " : "stop ") << release.m_key.text() << ": " << release.m_reason << "\n";
    }
    for (const auto &explanation : result.m_explanations) {
        out << "> " << explanation.m_key.text() << " " << decisionRuleName(explanation.m_rule) << ": " << explanation.m_text << "\n";
    }
    for (const auto &status : result.m_guarantees) {
        out << "> guarantee " << status.m_guarantee.m_organisation.text() << " held " << status.m_held << " free " << status.m_free << " reclaimable "
            << status.m_reclaimable << " short " << status.m_short << "\n";
    }
    out << "> fragmentation " << static_cast<int>(result.m_fragmentation * 100) << "%\n";
    return out.str();
}

/// The session file with the decisions that the code makes now.
static std::string replay(std::istream &file)
{
    Session session;
    std::ostringstream out;
    for (std::string text; std::getline(file, text);) {
        if (text.starts_with('>')) {
            continue;
        }
        out << text << "\n";
        std::istringstream line(text);
        std::string what;
        if (!(line >> what) || what == "#") {
            continue;
        }
        if (what == "pass") {
            out << describeResult(step(session));
        } else if (what == "submit") {
            submit(session, line);
        } else if (what == "worker" || what == "organisation" || what == "guarantee") {
            declare(session, what, line);
        } else {
            change(session, what, line);
        }
    }
    return out.str();
}

// Guards against decisions that change unnoticed. PRIMROSEBRIDGE_WRITE_GOLDEN=1 writes the files anew; read the difference.
TEST_CASE("whole sessions give the recorded decisions")
{
    for (const char *name : {"lending", "large-jobs", "shrinking", "gangs"}) {
        const std::string path = std::string(PRIMROSEBRIDGE_TEST_DATA) + "/" + name + ".session";
        std::ifstream input(path);
        REQUIRE(input);
        std::stringstream recorded;
        recorded << input.rdbuf();
        const std::string decided = replay(recorded);
        if (std::getenv("PRIMROSEBRIDGE_WRITE_GOLDEN") != nullptr) {
            std::ofstream(path) << decided;
            continue;
        }
        INFO(path);
        CHECK(decided == recorded.str());
    }
}
