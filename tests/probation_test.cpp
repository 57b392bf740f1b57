#include "support/fleet_cluster.h"
#include "support/fleet_config.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration restartLimit = 9s; ///< From the end of a long-running task's run to its next one.
constexpr JobKey batchKey { 1000 };

enum class Lasting : bool { No,
    Yes };

SubmitJob jobOf(JobKey key, uint32_t tasks, Lasting lasting)
{
    StepSpec step;
    step.count = tasks;
    step.size = { 1000, 500, 0 };
    step.estimate = 300ms;
    step.isLongRunning = lasting == Lasting::Yes;
    step.maxPerWorker = lasting == Lasting::Yes ? 1 : 0;
    return { { key, "queue", { "text", { step }, 0, {}, {} } } };
}

/// A fleet with long-running jobs, each with a task on every worker.
class StandingFleet {
public:
    StandingFleet(uint32_t workers, uint32_t jobs)
        : fleet({ .workers = workers })
        , m_workers(workers)
    {
        BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configWithOneQueue() }));
        for (uint64_t key = 1; key <= jobs; ++key) {
            m_jobs.push_back(JobKey { key });
            BOOST_REQUIRE(fleet.callUntilOk(jobOf(m_jobs.back(), workers, Lasting::Yes)));
        }
        BOOST_REQUIRE(fleet.runUntil(20s, [&] { return isWhole(); }));
        fleet.run(3s);
    }

    bool isWhole() const
    {
        return std::all_of(m_jobs.begin(), m_jobs.end(), [&](JobKey key) { return fleet.runningCount(key) == m_workers; });
    }

    const std::vector<JobKey>& jobs() const { return m_jobs; }

    bool isBatchDone() const { return fleet.leader() && fleet.table().job(batchKey)->state == WorkState::Done; }

    FleetCluster fleet;

private:
    uint32_t m_workers;
    std::vector<JobKey> m_jobs;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ProbationTests)

/// Workers with a long-running task accepted nothing any more once tasks of two other jobs had failed there.
BOOST_AUTO_TEST_CASE(failuresOfLongRunningTasksBlockNoWorker)
{
    for (const uint32_t workers : { 1U, 4U }) {
        for (const uint32_t jobs : { 3U, 4U, 10U }) {
            for (const Duration gap : { Duration { 0ms }, Duration { 300ms }, Duration { 1s }, Duration { 4s } }) {
                BOOST_TEST_CONTEXT(workers << " workers, " << jobs << " jobs, failures " << gap / 1ms << " ms apart")
                {
                    StandingFleet standing(workers, jobs);
                    FleetCluster& fleet = standing.fleet;
                    for (size_t i = 1; i < standing.jobs().size(); ++i) {
                        fleet.failRuns(standing.jobs()[i]);
                        fleet.run(gap);
                    }
                    BOOST_REQUIRE(fleet.callUntilOk(jobOf(batchKey, 2, Lasting::No)));
                    BOOST_TEST(fleet.runUntil(restartLimit, [&] { return standing.isWhole(); }));
                    BOOST_TEST(fleet.runUntil(restartLimit, [&] { return standing.isBatchDone(); }));
                    BOOST_TEST(fleet.violations().empty());
                }
            }
        }
    }
}

/// No run has been missing for longer than allowed while others go on failing.
BOOST_AUTO_TEST_CASE(aJobThatAlwaysFailsBlocksNoOthers)
{
    for (const Duration runTime : { Duration { 20ms }, Duration { 400ms }, Duration { 2s } }) {
        for (const uint32_t workers : { 1U, 4U }) {
            BOOST_TEST_CONTEXT("runs of " << runTime / 1ms << " ms, " << workers << " workers")
            {
                StandingFleet standing(workers, 3);
                FleetCluster& fleet = standing.fleet;
                const JobKey failing { 100 };
                fleet.setFailingJob(failing, runTime);
                BOOST_REQUIRE(fleet.callUntilOk(jobOf(failing, workers, Lasting::Yes)));
                fleet.run(2s);
                for (int round = 0; round < 10; ++round) {
                    fleet.failRuns(standing.jobs()[static_cast<size_t>(round) % 3]);
                    BOOST_TEST(fleet.runUntil(restartLimit, [&] { return standing.isWhole(); }));
                }
                BOOST_REQUIRE(fleet.callUntilOk(jobOf(batchKey, 2, Lasting::No)));
                BOOST_TEST(fleet.runUntil(restartLimit, [&] { return standing.isBatchDone(); }));
            }
        }
    }
}

/// Runs that take long kept their worker closed after two failures until their end.
BOOST_AUTO_TEST_CASE(longRunsDoNotKeepAWorkerOnProbation)
{
    FleetCluster fleet({ .workers = 2 });
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configWithOneQueue() }));
    fleet.setRunLength(300s);
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(JobKey { 1 }, 4, Lasting::No)));
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(JobKey { 2 }, 2, Lasting::No)));
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(JobKey { 3 }, 2, Lasting::No)));
    fleet.run(3s);
    fleet.failRuns(JobKey { 2 });
    fleet.failRuns(JobKey { 3 });
    fleet.run(7s); // The failed tasks run again after a pause, and take as long.
    fleet.setRunLength(300ms);
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(batchKey, 8, Lasting::No)));
    BOOST_TEST(fleet.runUntil(13s, [&] { return fleet.leader() && fleet.table().job(batchKey)->state == WorkState::Done; }));
}

/// A worker that fails everything is still paused, also by long-running tasks, and those run elsewhere.
BOOST_AUTO_TEST_CASE(workerThatFailsLongRunningTasksIsLeftAlone)
{
    FleetCluster fleet({ .workers = 4 });
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configWithOneQueue() }));
    fleet.setFailing(0);
    for (uint64_t key = 1; key <= 6; ++key)
        BOOST_REQUIRE(fleet.callUntilOk(jobOf(JobKey { key }, 3, Lasting::Yes)));
    const auto areRunning = [&] {
        for (uint64_t key = 1; key <= 6; ++key) {
            if (fleet.runningCount(JobKey { key }) < 3)
                return false;
        }
        return fleet.isIdle(0);
    };
    BOOST_TEST(fleet.runUntil(30s, areRunning));
    const size_t starts = fleet.startCount();
    fleet.run(20s);
    BOOST_TEST(fleet.startCount() == starts);
}

BOOST_AUTO_TEST_SUITE_END()
