#include "support/fleet_cluster.h"
#include "support/fleet_config.h"
#include "support/worker_dispatcher_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

/// Number of the starts in flight.
size_t startsOf(const WorkerDispatcherFixture& fixture) { return fixture.ordersOf(OrderKind::Start).size(); }

/// A fleet with a leader, a configuration and one worker.
struct Fleet : FleetCluster {
    Fleet()
        : FleetCluster(Options { 1 })
    {
        BOOST_REQUIRE(callUntilOk(PutConfig { configWithOneQueue() }));
        BOOST_REQUIRE(runUntil(5s, [&] { return !table().workers().empty(); }));
    }

    const FleetWorker& record() const { return table().workers().begin()->second; }

    ControlStatus report(const WorkerInfo& info, uint64_t sequence)
    {
        const CallId id = call(ReportWorker { info, sequence });
        BOOST_REQUIRE(runUntil(2s, [&] { return reply(id).has_value(); }));
        return reply(id)->status;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerCapacityTests)

/// The capacity shrank between the proposal of the placements and their commit.
BOOST_AUTO_TEST_CASE(placementsThatNoLongerFitAreNotStarted)
{
    WorkerDispatcherFixture fixture(3);
    std::vector<TaskRun> runs;
    for (uint64_t key = 1; key <= 3; ++key)
        runs.push_back(fixture.place(key));
    fixture.setCapacity({ 4000, 32000, 0 }); // Two of the three tasks.
    fixture.commit();
    BOOST_TEST(startsOf(fixture) == 2U);
    BOOST_TEST(fixture.isRequeued(runs[2]));
    fixture.advance(1ms);
    BOOST_TEST(startsOf(fixture) == 2U);
}

/// The order without a response may not have reached the worker, so the next one may start the run.
BOOST_AUTO_TEST_CASE(startIsNotSentAgainOnceTheCapacityShrank)
{
    WorkerDispatcherFixture fixture(2);
    const TaskRun first = fixture.place(1);
    const TaskRun second = fixture.place(2);
    fixture.commit();
    BOOST_REQUIRE(startsOf(fixture) == 2U);
    fixture.respond(OrderKind::Start, OrderOutcome::Accepted);
    fixture.respond(OrderKind::Start, OrderOutcome::NoResponse);
    fixture.setCapacity({ 3000, 32000, 0 });
    fixture.advance(config::orderRetryInterval);
    BOOST_TEST(startsOf(fixture) == 0U);
    fixture.advance(1ms);
    BOOST_REQUIRE(fixture.ordersOf(OrderKind::Stop).size() == 1U);
    BOOST_TEST((fixture.ordersOf(OrderKind::Stop).front().order.run == second));
    BOOST_TEST(fixture.workerView().runs.count(first) == 1U);
}

/// What is being stopped takes its room until its end is listed.
BOOST_AUTO_TEST_CASE(stoppingRunsCountAgainstAShrunkCapacity)
{
    WorkerDispatcherFixture fixture(2);
    fixture.start(1);
    fixture.cancel(1);
    fixture.advance(1ms);
    fixture.respond(OrderKind::Stop, OrderOutcome::Accepted);
    const TaskRun next = fixture.place(2);
    fixture.setCapacity({ 2000, 32000, 0 });
    fixture.commit();
    BOOST_TEST(startsOf(fixture) == 0U);
    BOOST_TEST(fixture.isRequeued(next));
}

BOOST_AUTO_TEST_CASE(activeRunsGoOnWhenTheCapacityShrinksBelowThem)
{
    WorkerDispatcherFixture fixture(2);
    const TaskRun first = fixture.place(1);
    const TaskRun second = fixture.place(2);
    fixture.commit();
    fixture.respond(OrderKind::Start, OrderOutcome::Accepted);
    fixture.respond(OrderKind::Start, OrderOutcome::Accepted);
    fixture.setCapacity({ 1000, 1000, 0 });
    BOOST_TEST((fixture.workerView().freeCapacity() == Resources {}));
    fixture.advance(1ms);
    BOOST_TEST(fixture.ordersOf(OrderKind::Stop).empty());
    BOOST_TEST(fixture.workerView().runs.count(first) + fixture.workerView().runs.count(second) == 2U);
    fixture.setCapacity({ 16000, 32000, 0 });
    BOOST_TEST((fixture.workerView().freeCapacity() == Resources { 12000, 30000, 0 }));
}

BOOST_AUTO_TEST_CASE(overtakenReportDoesNotRestoreTheCapacity)
{
    Fleet fleet;
    const WorkerInfo former = fleet.record().info;
    fleet.setCapacity(0, { 4000, 8000, 0 });
    BOOST_REQUIRE(fleet.runUntil(2s, [&] { return fleet.record().info.capacity == Resources { 4000, 8000, 0 }; }));
    BOOST_TEST((fleet.report(former, 1) == ControlStatus::Ok));
    BOOST_TEST(fleet.record().info.capacity.processorMillis == 4000U);
    BOOST_TEST(fleet.control(*fleet.leader()).counters().events[FleetCounter::ReportsOutdated] == 1U);
}

BOOST_AUTO_TEST_CASE(overtakenReportDoesNotEndADrain)
{
    Fleet fleet;
    WorkerInfo leaving = fleet.record().info;
    leaving.isLeaving = true;
    fleet.report(leaving, 1'000'000);
    BOOST_TEST(fleet.record().info.isLeaving);
    fleet.run(1s); // The simulated worker goes on to report as before, with lower numbers.
    BOOST_TEST(fleet.record().info.isLeaving);
}

/// A new leader knows the number of the last change from the log.
BOOST_AUTO_TEST_CASE(overtakenReportDoesNotRestoreTheCapacityAtANewLeader)
{
    Fleet fleet;
    const WorkerInfo former = fleet.record().info;
    fleet.run(1s);
    fleet.setCapacity(0, { 4000, 8000, 0 });
    BOOST_REQUIRE(fleet.runUntil(2s, [&] { return fleet.record().info.capacity == Resources { 4000, 8000, 0 }; }));
    fleet.setUnresponsive(0);
    const uint32_t leader = *fleet.leader();
    fleet.kill(leader);
    BOOST_REQUIRE(fleet.runUntil(5s, [&] { return fleet.leader().has_value(); }));
    fleet.report(former, 1);
    BOOST_TEST(fleet.record().info.capacity.processorMillis == 4000U);
}

/// Another writer may give any number: it must not silence the worker for good.
BOOST_AUTO_TEST_CASE(reportsCountAgainAfterOneWithAHugeNumber)
{
    Fleet fleet;
    fleet.report(fleet.record().info, uint64_t { 1 } << 52);
    fleet.setCapacity(0, { 4000, 8000, 0 });
    BOOST_TEST(fleet.runUntil(config::maxReportDelay + 2s, [&] { return fleet.record().info.capacity == Resources { 4000, 8000, 0 }; }));
}

/// Its runs would be placed again while they go on.
BOOST_AUTO_TEST_CASE(entryOfAnUnknownServiceDisplacesNoWorker)
{
    Fleet fleet;
    const WorkerInfo healthy = fleet.record().info;
    WorkerInfo odd = healthy;
    odd.pool = "other";
    odd.startedAtMs += 1000;
    BOOST_TEST((fleet.report(odd, 1) == ControlStatus::UnknownQueue));
    odd.id = "odd";
    BOOST_TEST((fleet.report(odd, 1) == ControlStatus::UnknownQueue));
    BOOST_TEST((fleet.record().info == healthy));
    odd.address = "10.0.0.200:1";
    BOOST_TEST((fleet.report(odd, 1) == ControlStatus::Ok)); // The next configuration may name the service.
    BOOST_TEST((fleet.table().worker(fleet.table().findWorker(healthy.id))->info == healthy));
}

/// With the worker's own start time it took the worker out of use, and its high number made the worker's own
/// reports count as outdated.
BOOST_AUTO_TEST_CASE(entryOfAnUnknownServiceTakesNoWorkerOutOfUse)
{
    Fleet fleet;
    const WorkerInfo healthy = fleet.record().info;
    WorkerInfo odd = healthy;
    odd.pool = "other";
    BOOST_TEST((fleet.report(odd, 1'000'000) == ControlStatus::UnknownQueue));
    BOOST_TEST((fleet.record().info == healthy));
    fleet.setCapacity(0, { 4000, 8000, 0 });
    BOOST_TEST(fleet.runUntil(2s, [&] { return fleet.record().info.capacity == Resources { 4000, 8000, 0 }; }));
}

/// One that comes before the worker's first own report delayed the worker's registration by `maxReportDelay`.
BOOST_AUTO_TEST_CASE(firstReportCountsAfterAnEntryOfAnUnknownService)
{
    Fleet fleet;
    WorkerInfo odd = fleet.record().info;
    odd.id = "next";
    odd.address = "10.0.0.200:1";
    odd.machine = "";
    odd.pool = "other";
    BOOST_TEST((fleet.report(odd, 1'000'000) == ControlStatus::Ok));
    WorkerInfo genuine = odd;
    genuine.pool = fleet.record().info.pool;
    BOOST_TEST((fleet.report(genuine, 1) == ControlStatus::Ok));
    const auto found = [&] { return fleet.table().worker(fleet.table().findWorker("next")); };
    BOOST_REQUIRE(found());
    BOOST_TEST((found()->info == genuine));
    genuine.capacity = { 4000, 8000, 0 };
    BOOST_TEST((fleet.report(genuine, 2) == ControlStatus::Ok));
    BOOST_TEST((found()->info == genuine));
}

BOOST_AUTO_TEST_SUITE_END()
