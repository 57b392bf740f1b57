#include "support/fleet_cluster.h"
#include "support/fleet_config.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

struct LongTask {
    Duration length {};
    Duration estimate {};
    bool isGang = false;
    size_t mostStarts = 0; ///< Of each task.
};

/// Whether a job with tasks of the given length is done, after no more starts than allowed.
void checkEnds(const LongTask& task)
{
    constexpr uint32_t count = 2;
    FleetCluster fleet({});
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configWithOneQueue() }));
    fleet.setRunLength(task.length);
    SubmitJob job;
    job.work.key = JobKey { 1 };
    job.work.queue = "queue";
    StepSpec& step = job.work.work.steps.emplace_back();
    step.count = count;
    step.size = { 1000, 1000, 0 };
    step.estimate = task.estimate;
    step.isGang = task.isGang;
    BOOST_REQUIRE(fleet.callUntilOk(job));
    BOOST_TEST(fleet.runUntil(task.length * 2 + 60s, [&] { return fleet.leader() && fleet.table().job(JobKey { 1 })->state == WorkState::Done; }));
    BOOST_TEST(fleet.startCount() <= task.mostStarts * count);
    BOOST_TEST(fleet.violations().empty());
}

} // namespace

BOOST_AUTO_TEST_SUITE(LongTaskTests)

/// Runs that gain a percent in more than the shortest time were taken for stuck, stopped and begun anew for ever.
BOOST_AUTO_TEST_CASE(taskOfAnyLengthEnds)
{
    const LongTask tasks[] {
        { 119s, 1s, false, 2 },
        { 121s, 121s, false, 1 },
        { 306s, 306s, false, 1 },
        { 306s, 1s, false, 4 },
        { 306s, {}, true, 4 },
        { 600s, {}, false, 5 },
    };
    for (const LongTask& task : tasks) {
        BOOST_TEST_CONTEXT("length " << task.length / 1s << " s, estimate " << task.estimate / 1s << " s, gang " << task.isGang)
        checkEnds(task);
    }
}

BOOST_AUTO_TEST_SUITE_END()
