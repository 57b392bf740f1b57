#include "drain_watch.h"
#include "support/desk_bench.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(WorkerDispatcherTests)

BOOST_AUTO_TEST_CASE(aRunIsStartedOnceItsPlacementIsDurable)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.place(1);
    BOOST_TEST(fixture.ordersOf(OrderKind::Start).empty());
    fixture.commit();
    BOOST_REQUIRE(fixture.ordersOf(OrderKind::Start).size() == 1U);
    BOOST_TEST((fixture.ordersOf(OrderKind::Start).front().order.run == run));
}

/// A worker that went dark with its lease renewed at every attempt to reach it would keep its
/// tasks for ever.
BOOST_AUTO_TEST_CASE(theRunsOfASilentWorkerAreGivenUpAfterItsLease)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.place(1);
    fixture.commit();
    fixture.respond(OrderKind::Start, OrderOutcome::Accepted);
    const Time unresponsiveSince = fixture.now();
    while (fixture.now() < unresponsiveSince + 20s && !fixture.isRequeued(run)) {
        fixture.advance(100ms);
        fixture.respondToAll(OrderOutcome::NoResponse);
    }
    BOOST_TEST(fixture.isRequeued(run));
    BOOST_TEST((fixture.now() > unresponsiveSince + fixture.settings().maxLease));
    BOOST_TEST((fixture.now() < unresponsiveSince + fixture.settings().maxLease + 3s));
}

BOOST_AUTO_TEST_CASE(anUnansweredStartIsSentAgainUnchanged)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.place(1);
    fixture.commit();
    fixture.respond(OrderKind::Start, OrderOutcome::NoResponse);
    fixture.advance(config::orderRetryInterval);
    BOOST_REQUIRE(fixture.ordersOf(OrderKind::Start).size() == 1U);
    BOOST_TEST((fixture.ordersOf(OrderKind::Start).front().order.run == run));
}

/// The silent order may still be carried out, so the refusal of the second does not say that the
/// task will not run.
BOOST_AUTO_TEST_CASE(aStartRefusedAfterASilentOneIsStoppedFirst)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.place(1);
    fixture.commit();
    fixture.respond(OrderKind::Start, OrderOutcome::NoResponse);
    fixture.advance(config::orderRetryInterval);
    fixture.respond(OrderKind::Start, OrderOutcome::BadTicket);
    BOOST_TEST(!fixture.isRequeued(run));
    fixture.advance(1ms);
    BOOST_REQUIRE(fixture.ordersOf(OrderKind::Stop).size() == 1U);
    fixture.respond(OrderKind::Stop, OrderOutcome::Accepted);
    fixture.advance(200ms);
    fixture.respondToAll(OrderOutcome::Accepted); // A look that lists nothing.
    fixture.advance(200ms);
    fixture.respondToAll(OrderOutcome::Accepted);
    BOOST_TEST(fixture.isRequeued(run));
}

BOOST_AUTO_TEST_CASE(aStartRefusedAtOnceFreesItsTaskAndRoom)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.place(1);
    fixture.commit();
    fixture.respond(OrderKind::Start, OrderOutcome::InsufficientCapacity);
    BOOST_TEST(fixture.isRequeued(run));
    BOOST_TEST((fixture.workerView().used == Resources {}));
}

BOOST_AUTO_TEST_CASE(roomIsFreeWhenTheEndIsListed)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.place(1);
    fixture.commit();
    fixture.respond(OrderKind::Start, OrderOutcome::Accepted);
    fixture.advance(200ms);
    BOOST_TEST((fixture.workerView().used == WorkerDispatcherFixture::taskSize()));
    OrderResponse respond = fixture.accepted();
    respond.ends.push_back({ 1, run, RunOutcome::Done, {} });
    fixture.respond(OrderKind::Poll, respond);
    BOOST_TEST((fixture.workerView().used == Resources {}));
    BOOST_TEST((fixture.job().state == WorkState::Done));
}

/// Only what is durable may be forgotten by the worker.
BOOST_AUTO_TEST_CASE(anEndIsAcknowledgedOnceItIsRecorded)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.place(1);
    fixture.commit();
    fixture.respond(OrderKind::Start, OrderOutcome::Accepted);
    fixture.advance(200ms);
    OrderResponse respond = fixture.accepted();
    respond.ends.push_back({ 7, run, RunOutcome::Done, {} });
    fixture.pauseCommits();
    fixture.respond(OrderKind::Poll, respond);
    fixture.advance(200ms);
    BOOST_TEST(fixture.lastPoll().acknowledgedEnd == 0U);
    fixture.resumeCommits();
    fixture.respondToAll(OrderOutcome::Accepted);
    fixture.advance(200ms);
    BOOST_TEST(fixture.lastPoll().acknowledgedEnd == 7U);
}

BOOST_AUTO_TEST_CASE(aWorkerThatFailsDistinctJobsIsSetAside)
{
    WorkerDispatcherFixture fixture(config::failuresToQuarantine);
    for (uint64_t i = 0; i < config::failuresToQuarantine; ++i) {
        const TaskRun run = fixture.place(i + 1);
        fixture.commit();
        fixture.respond(OrderKind::Start, OrderOutcome::Accepted);
        fixture.advance(200ms);
        OrderResponse respond = fixture.accepted();
        respond.ends.push_back({ i + 1, run, RunOutcome::Failed, {} });
        fixture.respond(OrderKind::Poll, respond);
        fixture.advance(200ms);
        fixture.respondToAll(OrderOutcome::Accepted);
    }
    BOOST_TEST(!fixture.workerView().acceptsPlacements(fixture.now()));
    BOOST_TEST(fixture.workerView().acceptsPlacements(fixture.now() + config::quarantineDuration));
}

/// Tasks of a worker that stands still would wait for ever; its lease is renewed all the while.
BOOST_AUTO_TEST_CASE(aRunWithoutProgressIsStoppedAndItsWorkerSetAside)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.place(1);
    fixture.commit();
    fixture.respond(OrderKind::Start, OrderOutcome::Accepted);
    for (int poll = 0; poll < 4 && fixture.ordersOf(OrderKind::Stop).empty(); ++poll) {
        fixture.advance(1s);
        OrderResponse respond = fixture.accepted();
        respond.running.push_back({ run, {}, 40 });
        fixture.respond(OrderKind::Poll, respond);
        fixture.advance(1ms);
    }
    BOOST_REQUIRE(fixture.ordersOf(OrderKind::Stop).size() == 1U);
    BOOST_TEST(!fixture.workerView().acceptsPlacements(fixture.now()));
}

BOOST_AUTO_TEST_CASE(aRunThatGoesOnIsLeftAlone)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.place(1);
    fixture.commit();
    fixture.respond(OrderKind::Start, OrderOutcome::Accepted);
    for (uint32_t percent = 10; percent < 60; percent += 10) {
        fixture.advance(1s);
        OrderResponse respond = fixture.accepted();
        respond.running.push_back({ run, {}, percent });
        fixture.respond(OrderKind::Poll, respond);
    }
    BOOST_TEST(fixture.ordersOf(OrderKind::Stop).empty());
    BOOST_TEST(fixture.workerView().acceptsPlacements(fixture.now()));
}

BOOST_AUTO_TEST_CASE(aWorkerThatLeavesAStartUnansweredGetsNoMore)
{
    WorkerDispatcherFixture fixture;
    fixture.place(1);
    fixture.commit();
    fixture.respond(OrderKind::Start, OrderOutcome::NoResponse);
    BOOST_TEST(!fixture.workerView().acceptsPlacements(fixture.now()));
    fixture.advance(config::orderRetryInterval);
    fixture.respond(OrderKind::Start, OrderOutcome::Accepted);
    BOOST_TEST(fixture.workerView().acceptsPlacements(fixture.now()));
}

/// Another life at the address proves that nothing of the one meant runs any more.
BOOST_AUTO_TEST_CASE(anotherLifeEndsTheRunsAtOnce)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.place(1);
    fixture.commit();
    fixture.respond(OrderKind::Start, OrderOutcome::Accepted);
    fixture.advance(200ms);
    fixture.respond(OrderKind::Poll, OrderOutcome::OtherIncarnation);
    BOOST_TEST(fixture.isRequeued(run));
    BOOST_TEST(fixture.table().workers().empty());
}

BOOST_AUTO_TEST_CASE(aCancelledJobIsStopped)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.place(1);
    fixture.commit();
    fixture.respond(OrderKind::Start, OrderOutcome::Accepted);
    fixture.cancel(1);
    fixture.advance(1ms);
    BOOST_REQUIRE(fixture.ordersOf(OrderKind::Stop).size() == 1U);
    BOOST_TEST((fixture.ordersOf(OrderKind::Stop).front().order.run == run));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(DrainMonitorTests)

/// A request that arrived just before the host stopped accepting is read a moment later.
BOOST_AUTO_TEST_CASE(aRequestReadAfterAQuietMomentIsStillAnswered)
{
    const Time start { 1h };
    DrainMonitor watch(start, 800ms, start + 3s);
    BOOST_TEST(!watch.isDrained(start, 0));
    BOOST_TEST(!watch.isDrained(start + 100ms, 1));
    BOOST_TEST(!watch.isDrained(start + 850ms, 0));
    BOOST_TEST(watch.isDrained(start + 900ms, 0));
}

BOOST_AUTO_TEST_CASE(theEndOfTheGraceTimeStopsEverything)
{
    const Time start { 1h };
    DrainMonitor watch(start, 800ms, start + 3s);
    BOOST_TEST(!watch.isDrained(start + 2900ms, 1));
    BOOST_TEST(watch.isDrained(start + 3s, 1));
}

BOOST_AUTO_TEST_SUITE_END()
