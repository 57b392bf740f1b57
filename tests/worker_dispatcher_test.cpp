#include "drain_monitor.h"
#include "support/worker_dispatcher_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(WorkerDispatcherTests)

BOOST_AUTO_TEST_CASE(startIsSentOnceThePlacementIsDurable)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.place(1);
    BOOST_TEST(fixture.ordersOf(OrderKind::Start).empty());
    fixture.commit();
    BOOST_REQUIRE(fixture.ordersOf(OrderKind::Start).size() == 1U);
    BOOST_TEST((fixture.ordersOf(OrderKind::Start).front().order.run == run));
}

/// If every attempt to reach an unresponsive worker extended its lease, the lease would never expire
/// and its runs would never be requeued.
BOOST_AUTO_TEST_CASE(runsOfAnUnresponsiveWorkerAreRequeuedAfterItsLease)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.start(1);
    const Time unresponsiveSince = fixture.now();
    while (fixture.now() < unresponsiveSince + 20s && !fixture.isRequeued(run)) {
        fixture.advance(100ms);
        fixture.respondToAll(OrderOutcome::NoResponse);
    }
    BOOST_TEST(fixture.isRequeued(run));
    BOOST_TEST((fixture.now() > unresponsiveSince + fixture.settings().maxLease));
    BOOST_TEST((fixture.now() < unresponsiveSince + fixture.settings().maxLease + 3s));
}

BOOST_AUTO_TEST_CASE(startWithoutResponseIsRetriedUnchanged)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.start(1, OrderOutcome::NoResponse);
    fixture.advance(config::orderRetryInterval);
    BOOST_REQUIRE(fixture.ordersOf(OrderKind::Start).size() == 1U);
    BOOST_TEST((fixture.ordersOf(OrderKind::Start).front().order.run == run));
}

/// The first order had no response and may still be carried out, so the refusal of the second one
/// doesn't prove that the run won't start.
BOOST_AUTO_TEST_CASE(startRefusedAfterOneWithoutResponseIsStoppedFirst)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.start(1, OrderOutcome::NoResponse);
    fixture.advance(config::orderRetryInterval);
    fixture.respond(OrderKind::Start, OrderOutcome::BadTicket);
    BOOST_TEST(!fixture.isRequeued(run));
    fixture.advance(1ms);
    BOOST_REQUIRE(fixture.ordersOf(OrderKind::Stop).size() == 1U);
    fixture.respond(OrderKind::Stop, OrderOutcome::Accepted);
    fixture.advance(200ms);
    fixture.respondToAll(OrderOutcome::Accepted); // A poll that reports no runs.
    fixture.advance(200ms);
    fixture.respondToAll(OrderOutcome::Accepted);
    BOOST_TEST(fixture.isRequeued(run));
}

BOOST_AUTO_TEST_CASE(refusedStartRequeuesTheTaskAndFreesItsCapacity)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.start(1, OrderOutcome::InsufficientCapacity);
    BOOST_TEST(fixture.isRequeued(run));
    BOOST_TEST((fixture.workerView().used == Resources {}));
}

BOOST_AUTO_TEST_CASE(capacityIsFreedWhenTheEndIsReported)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.start(1);
    fixture.advance(200ms);
    BOOST_TEST((fixture.workerView().used == WorkerDispatcherFixture::taskSize()));
    OrderResponse response = fixture.accepted();
    response.ends.push_back({ 1, run, RunOutcome::Done, {} });
    fixture.respond(OrderKind::Poll, response);
    BOOST_TEST((fixture.workerView().used == Resources {}));
    BOOST_TEST((fixture.job().state == WorkState::Done));
}

/// The worker may only forget ends that are durable in the log.
BOOST_AUTO_TEST_CASE(endIsAcknowledgedOnceItIsDurable)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.start(1);
    fixture.advance(200ms);
    OrderResponse response = fixture.accepted();
    response.ends.push_back({ 7, run, RunOutcome::Done, {} });
    fixture.pauseCommits();
    fixture.respond(OrderKind::Poll, response);
    fixture.advance(200ms);
    BOOST_TEST(fixture.lastPoll().acknowledgedEnd == 0U);
    fixture.resumeCommits();
    fixture.respondToAll(OrderOutcome::Accepted);
    fixture.advance(200ms);
    BOOST_TEST(fixture.lastPoll().acknowledgedEnd == 7U);
}

BOOST_AUTO_TEST_CASE(workerThatFailsDistinctJobsIsQuarantined)
{
    WorkerDispatcherFixture fixture(config::failuresToQuarantine);
    for (uint64_t i = 0; i < config::failuresToQuarantine; ++i) {
        const TaskRun run = fixture.place(i + 1);
        fixture.commit();
        fixture.respond(OrderKind::Start, OrderOutcome::Accepted);
        fixture.advance(200ms);
        OrderResponse response = fixture.accepted();
        response.ends.push_back({ i + 1, run, RunOutcome::Failed, {} });
        fixture.respond(OrderKind::Poll, response);
        fixture.advance(200ms);
        fixture.respondToAll(OrderOutcome::Accepted);
    }
    BOOST_TEST(!fixture.workerView().acceptsPlacements(fixture.now()));
    BOOST_TEST(fixture.workerView().acceptsPlacements(fixture.now() + config::quarantineDuration));
}

/// The lease of a worker that responds but makes no progress is renewed for ever, so only the lack
/// of progress shows that its runs have to go elsewhere.
BOOST_AUTO_TEST_CASE(runWithoutProgressIsStoppedAndItsWorkerQuarantined)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.start(1);
    for (int poll = 0; poll < 4 && fixture.ordersOf(OrderKind::Stop).empty(); ++poll) {
        fixture.advance(1s);
        OrderResponse response = fixture.accepted();
        response.running.push_back({ run, {}, 40 });
        fixture.respond(OrderKind::Poll, response);
        fixture.advance(1ms);
    }
    BOOST_REQUIRE(fixture.ordersOf(OrderKind::Stop).size() == 1U);
    BOOST_TEST(!fixture.workerView().acceptsPlacements(fixture.now()));
}

BOOST_AUTO_TEST_CASE(runThatMakesProgressIsNotStopped)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.start(1);
    for (uint32_t percent = 10; percent < 60; percent += 10) {
        fixture.advance(1s);
        OrderResponse response = fixture.accepted();
        response.running.push_back({ run, {}, percent });
        fixture.respond(OrderKind::Poll, response);
    }
    BOOST_TEST(fixture.ordersOf(OrderKind::Stop).empty());
    BOOST_TEST(fixture.workerView().acceptsPlacements(fixture.now()));
}

BOOST_AUTO_TEST_CASE(workerWithAnUnansweredStartGetsNoPlacements)
{
    WorkerDispatcherFixture fixture;
    fixture.start(1, OrderOutcome::NoResponse);
    BOOST_TEST(!fixture.workerView().acceptsPlacements(fixture.now()));
    fixture.advance(config::orderRetryInterval);
    fixture.respond(OrderKind::Start, OrderOutcome::Accepted);
    BOOST_TEST(fixture.workerView().acceptsPlacements(fixture.now()));
}

/// A response of another incarnation proves that no run of the addressed one is active any more.
BOOST_AUTO_TEST_CASE(responseOfAnotherIncarnationRequeuesTheRuns)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.start(1);
    fixture.advance(200ms);
    fixture.respond(OrderKind::Poll, OrderOutcome::OtherIncarnation);
    BOOST_TEST(fixture.isRequeued(run));
    BOOST_TEST(fixture.table().workers().empty());
}

BOOST_AUTO_TEST_CASE(runsOfACancelledJobAreStopped)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.start(1);
    fixture.cancel(1);
    fixture.advance(1ms);
    BOOST_REQUIRE(fixture.ordersOf(OrderKind::Stop).size() == 1U);
    BOOST_TEST((fixture.ordersOf(OrderKind::Stop).front().order.run == run));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(DrainMonitorTests)

/// A request that arrived just before the host stopped accepting connections may be read only a
/// moment later.
BOOST_AUTO_TEST_CASE(requestReadAfterAPauseKeepsTheHostFromStopping)
{
    const Time start { 1h };
    DrainMonitor drainMonitor(start, 800ms, start + 3s);
    BOOST_TEST(!drainMonitor.isDrained(start, 0));
    BOOST_TEST(!drainMonitor.isDrained(start + 100ms, 1));
    BOOST_TEST(!drainMonitor.isDrained(start + 850ms, 0));
    BOOST_TEST(drainMonitor.isDrained(start + 900ms, 0));
}

BOOST_AUTO_TEST_CASE(drainEndsAtItsLimit)
{
    const Time start { 1h };
    DrainMonitor drainMonitor(start, 800ms, start + 3s);
    BOOST_TEST(!drainMonitor.isDrained(start + 2900ms, 1));
    BOOST_TEST(drainMonitor.isDrained(start + 3s, 1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UndeliveredStartTests)

namespace {

/// Starts that a worker does not answer, in time that passes.
struct UndeliveredStart {
    WorkerDispatcherFixture fixture;
    TaskRun run = fixture.start(1, OrderOutcome::NoResponse);
    size_t stops = 0;
    bool isRequeuedUnstopped = false; ///< Before a stop was answered.

    /// Time passes while the worker answers polls and stops. Each poll of which the number divides by
    /// `failingPolls` fails.
    void advance(Duration duration, OrderOutcome startOutcome, size_t failingPolls = 0)
    {
        const Time end = fixture.now() + duration;
        for (size_t polls = 1; fixture.now() < end; fixture.advance(50ms)) {
            while (!fixture.ordersOf(OrderKind::Start).empty())
                fixture.respond(OrderKind::Start, startOutcome);
            isRequeuedUnstopped = isRequeuedUnstopped || (fixture.isRequeued(run) && !stops);
            while (!fixture.ordersOf(OrderKind::Stop).empty()) {
                ++stops;
                fixture.respond(OrderKind::Stop, OrderOutcome::Accepted);
            }
            while (!fixture.ordersOf(OrderKind::Poll).empty() && fixture.now() < end) {
                const bool isFailing = failingPolls && !(polls++ % failingPolls);
                fixture.respond(OrderKind::Poll, isFailing ? OrderOutcome::NoResponse : OrderOutcome::Accepted);
                fixture.advance(1ms);
            }
        }
    }
};

} // namespace

/// A start without a response was repeated for ever, and its room stayed taken, while the worker answered polls.
BOOST_AUTO_TEST_CASE(startThatIsNeverDeliveredIsGivenUp)
{
    UndeliveredStart start;
    start.advance(config::startDeliveryTimeout + 2s, OrderOutcome::NoResponse);
    BOOST_TEST(start.fixture.isRequeued(start.run));
    BOOST_TEST(start.stops == 1U); // It may be carried out late.
    BOOST_TEST(!start.isRequeuedUnstopped);
    BOOST_TEST((start.fixture.workerView().used == Resources {}));
    BOOST_TEST(!start.fixture.workerView().acceptsPlacements(start.fixture.now()));
}

BOOST_AUTO_TEST_CASE(startThatIsNeverDeliveredIsGivenUpBetweenFailingPolls)
{
    for (const size_t failingPolls : { 2, 3, 5 }) {
        UndeliveredStart start;
        start.advance(20s, OrderOutcome::NoResponse, failingPolls);
        BOOST_TEST(start.fixture.isRequeued(start.run));
        BOOST_TEST(!start.isRequeuedUnstopped);
    }
}

BOOST_AUTO_TEST_CASE(startThatWasNeverSentIsGivenUpWithoutAStop)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.start(1, OrderOutcome::NotSent);
    const Time end = fixture.now() + config::startDeliveryTimeout + 25s;
    while (fixture.now() < end && !fixture.isRequeued(run)) {
        fixture.respond(OrderKind::Start, OrderOutcome::NotSent);
        fixture.respond(OrderKind::Poll, OrderOutcome::Accepted);
        BOOST_TEST(fixture.ordersOf(OrderKind::Stop).empty());
        fixture.advance(50ms);
    }
    BOOST_TEST(fixture.isRequeued(run));
}

/// A worker whose lease had ended answered each start, and was quarantined.
BOOST_AUTO_TEST_CASE(startThatIsAnsweredIsNotGivenUp)
{
    UndeliveredStart start;
    start.advance(config::startDeliveryTimeout * 2, OrderOutcome::LeaseExpired);
    BOOST_TEST(!start.fixture.isRequeued(start.run));
    BOOST_TEST(start.stops == 0U);
    BOOST_TEST(start.fixture.workerView().acceptsPlacements(start.fixture.now()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RestartedDispatcherTests)

/// The placement was committed after the restart, and its task stayed placed without ever being started.
BOOST_AUTO_TEST_CASE(placementInFlightIsStartedAfterARestart)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.place(1);
    fixture.restartDispatcher();
    fixture.commit();
    fixture.respondToAll(OrderOutcome::Accepted);
    fixture.advance(200ms);
    BOOST_REQUIRE(fixture.ordersOf(OrderKind::Start).size() == 1U);
    BOOST_TEST((fixture.ordersOf(OrderKind::Start).front().order.run == run));
    BOOST_TEST((fixture.workerView().used == WorkerDispatcherFixture::taskSize()));
}

BOOST_AUTO_TEST_SUITE_END()
