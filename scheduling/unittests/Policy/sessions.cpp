#include "naive.h"
#include "session.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace PrimroseBridge;
using std::chrono::minutes;
using std::chrono::seconds;

static void submitRandomJob(Session &session, int number)
{
    const auto tier = *rc::gen::element(Tier::Urgent, Tier::Standard, Tier::Batch);
    const auto adjacency = *rc::gen::element(Adjacency::SameWorker, Adjacency::SameRack, Adjacency::Nearest);
    const int accelerators = *rc::gen::inRange(0, adjacency == Adjacency::SameWorker ? 5 : 10);
    const std::string key = "j" + std::to_string(number);
    session.m_queue.emplace(key,
                            job(key,
                                *rc::gen::element<std::string>("a", "b", "c"),
                                gpus(accelerators, adjacency),
                                {tier, *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(), minutes(*rc::gen::inRange(1, 100)), session.m_now}));
}

static void endRandomJob(Session &session)
{
    if (!session.m_running.empty()) {
        session.m_running.erase(std::next(session.m_running.begin(), *rc::gen::inRange<int>(0, static_cast<int>(session.m_running.size()))));
    }
}

static void changeRandomWorker(Session &session)
{
    const auto name = *rc::gen::element<std::string>("w1", "w2", "w3", "w4");
    const auto status = *rc::gen::element(BackendServerStatus::Live, BackendServerStatus::Live, BackendServerStatus::Draining, BackendServerStatus::Gone);
    changeWorker(session, name, *rc::gen::element<AcceleratorSet>(0xf, 0xf, 0xb, 0x3), status);
}

static Session randomSession()
{
    Session session;
    for (const char *name : {"w1", "w2", "w3", "w4"}) {
        session.m_workers.emplace(name, worker(name, name[1] < '3' ? "r1" : "r2", 4));
    }
    session.m_organisations = std::vector{organisation("a", 12), organisation("b"), organisation("c")};
    session.m_guarantees = std::vector{guarantee("a", gpus(*rc::gen::inRange(1, 5)), 1, 2), guarantee("b", gpus(*rc::gen::inRange(1, 5)), 1, 1)};
    return session;
}

static void randomEvent(Session &session, int number, bool shrinks)
{
    session.m_now += seconds(*rc::gen::inRange(0, 1200));
    switch (*rc::gen::inRange(0, shrinks ? 5 : 4)) {
    case 0:
    case 1:
        submitRandomJob(session, number);
        break;
    case 2:
        endRandomJob(session);
        break;
    case 3:
        finishReleases(session);
        break;
    default:
        changeRandomWorker(session);
    }
}

// Guards against split gangs, accelerators given away twice, exceeded quotas and releases of work that cannot be released, in a
// fleet that shrinks at any time; step() asserts them after each pass.
TEST_CASE("each pass of a random session keeps the invariants while the fleet shrinks")
{
    CHECK(rc::check([] {
        Session session = randomSession();
        for (int number = 0; number < 40; ++number) {
            randomEvent(session, number, true);
            step(session);
        }
    }));
}

// Guards against a guarantee that a placement makes impossible, checked against an exhaustive search.
TEST_CASE("no pass breaks a guarantee that an exhaustive search can meet")
{
    CHECK(rc::check([] {
        Session session = randomSession();
        for (int number = 0; number < 40; ++number) {
            randomEvent(session, number, true);
            const bool before = canMeetAllGuarantees(stateOf(session));
            step(session);
            RC_ASSERT(!before || canMeetAllGuarantees(stateOf(session)));
        }
    }));
}

// Guards against a guaranteed shape that its organisation cannot get back within the release of the work that borrows it.
TEST_CASE("a claimed guarantee starts once the released work has ended")
{
    CHECK(rc::check([] {
        Session session = randomSession();
        for (int number = 0; number < 30; ++number) {
            randomEvent(session, number, false);
            step(session);
        }
        // The owner is idle, so that its whole guarantee is lent or free.
        std::erase_if(session.m_running, [](const auto &entry) { return entry.second.m_organisation.text() == "b"; });
        std::erase_if(session.m_queue, [](const auto &entry) { return entry.second.m_organisation.text() == "b"; });
        session.m_queue.emplace("claim", job("claim", "b", session.m_guarantees[1].m_shape, {.m_submittedAt = session.m_now}));
        for (int pass = 0; pass < 3 && session.m_queue.contains("claim"); ++pass) {
            step(session);
            finishReleases(session);
        }
        RC_ASSERT(session.m_running.contains("claim"));
    }));
}

// Guards against a large job that newer work overtakes for ever, with estimates that are wrong in both directions.
TEST_CASE("a large job starts within the stated bound")
{
    CHECK(rc::check([] {
        Session session = randomSession();
        session.m_guarantees.clear();
        const auto longest = minutes(60);
        session.m_queue.emplace("large", job("large", "c", gpus(8, Adjacency::SameRack)));
        // The bound is stated for the oldest waiting job; one submitted at the same instant could count as older by its key.
        session.m_now += Duration(1);
        std::map<std::string, Instant> ends;
        const Duration period = minutes(1);
        const Instant bound = start + session.m_settings.m_longestWait + longest + 2 * period;
        for (int number = 0; session.m_queue.contains("large"); ++number) {
            RC_ASSERT(session.m_now <= bound);
            for (int i = 0; i < 2; ++i) {
                submitRandomJob(session, 2 * number + i);
            }
            step(session);
            for (const auto &[key, allocation] : session.m_running) {
                ends.emplace(key + "/" + std::to_string(allocation.m_attempt), session.m_now + minutes(*rc::gen::inRange(1, 60)));
            }
            session.m_now += period;
            finishReleases(session);
            std::erase_if(session.m_running,
                          [&](const auto &entry) { return ends.at(entry.first + "/" + std::to_string(entry.second.m_attempt)) <= session.m_now; });
        }
    }));
}
