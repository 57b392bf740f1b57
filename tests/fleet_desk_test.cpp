#include "drain_watch.h"
#include "support/desk_bench.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(FleetDeskTests)

BOOST_AUTO_TEST_CASE(aRunIsStartedOnceItsPlacementIsDurable)
{
    DeskBench bench;
    const TaskRun run = bench.place(1);
    BOOST_TEST(bench.ordersOf(OrderKind::Start).empty());
    bench.commit();
    BOOST_REQUIRE(bench.ordersOf(OrderKind::Start).size() == 1U);
    BOOST_TEST((bench.ordersOf(OrderKind::Start).front().order.run == run));
}

/// A worker that went dark with its lease renewed at every attempt to reach it would keep its
/// tasks for ever.
BOOST_AUTO_TEST_CASE(theRunsOfASilentWorkerAreGivenUpAfterItsLease)
{
    DeskBench bench;
    const TaskRun run = bench.place(1);
    bench.commit();
    bench.answer(OrderKind::Start, OrderOutcome::Accepted);
    const Time silentSince = bench.now();
    while (bench.now() < silentSince + 20s && !bench.isLost(run)) {
        bench.advance(100ms);
        bench.answerAll(OrderOutcome::Silent);
    }
    BOOST_TEST(bench.isLost(run));
    BOOST_TEST((bench.now() > silentSince + bench.settings().maxLease));
    BOOST_TEST((bench.now() < silentSince + bench.settings().maxLease + 3s));
}

BOOST_AUTO_TEST_CASE(anUnansweredStartIsSentAgainUnchanged)
{
    DeskBench bench;
    const TaskRun run = bench.place(1);
    bench.commit();
    bench.answer(OrderKind::Start, OrderOutcome::Silent);
    bench.advance(config::orderRetryInterval);
    BOOST_REQUIRE(bench.ordersOf(OrderKind::Start).size() == 1U);
    BOOST_TEST((bench.ordersOf(OrderKind::Start).front().order.run == run));
}

/// The silent order may still be carried out, so the refusal of the second does not say that the
/// task will not run.
BOOST_AUTO_TEST_CASE(aStartRefusedAfterASilentOneIsStoppedFirst)
{
    DeskBench bench;
    const TaskRun run = bench.place(1);
    bench.commit();
    bench.answer(OrderKind::Start, OrderOutcome::Silent);
    bench.advance(config::orderRetryInterval);
    bench.answer(OrderKind::Start, OrderOutcome::BadTicket);
    BOOST_TEST(!bench.isLost(run));
    bench.advance(1ms);
    BOOST_REQUIRE(bench.ordersOf(OrderKind::Stop).size() == 1U);
    bench.answer(OrderKind::Stop, OrderOutcome::Accepted);
    bench.advance(200ms);
    bench.answerAll(OrderOutcome::Accepted); // A look that lists nothing.
    bench.advance(200ms);
    bench.answerAll(OrderOutcome::Accepted);
    BOOST_TEST(bench.isLost(run));
}

BOOST_AUTO_TEST_CASE(aStartRefusedAtOnceFreesItsTaskAndRoom)
{
    DeskBench bench;
    const TaskRun run = bench.place(1);
    bench.commit();
    bench.answer(OrderKind::Start, OrderOutcome::InsufficientCapacity);
    BOOST_TEST(bench.isLost(run));
    BOOST_TEST((bench.link().used == Resources {}));
}

BOOST_AUTO_TEST_CASE(roomIsFreeWhenTheEndIsListed)
{
    DeskBench bench;
    const TaskRun run = bench.place(1);
    bench.commit();
    bench.answer(OrderKind::Start, OrderOutcome::Accepted);
    bench.advance(200ms);
    BOOST_TEST((bench.link().used == DeskBench::taskSize()));
    WorkerAnswer answer = bench.accepted();
    answer.ends.push_back({ 1, run, RunOutcome::Done, {} });
    bench.answer(OrderKind::Look, answer);
    BOOST_TEST((bench.link().used == Resources {}));
    BOOST_TEST((bench.job().state == WorkState::Done));
}

/// Only what is durable may be forgotten by the worker.
BOOST_AUTO_TEST_CASE(anEndIsAcknowledgedOnceItIsRecorded)
{
    DeskBench bench;
    const TaskRun run = bench.place(1);
    bench.commit();
    bench.answer(OrderKind::Start, OrderOutcome::Accepted);
    bench.advance(200ms);
    WorkerAnswer answer = bench.accepted();
    answer.ends.push_back({ 7, run, RunOutcome::Done, {} });
    bench.holdCommits();
    bench.answer(OrderKind::Look, answer);
    bench.advance(200ms);
    BOOST_TEST(bench.lastLook().endsRecorded == 0U);
    bench.releaseCommits();
    bench.answerAll(OrderOutcome::Accepted);
    bench.advance(200ms);
    BOOST_TEST(bench.lastLook().endsRecorded == 7U);
}

BOOST_AUTO_TEST_CASE(aWorkerThatFailsDistinctJobsIsSetAside)
{
    DeskBench bench(config::failuresToQuarantine);
    for (uint64_t i = 0; i < config::failuresToQuarantine; ++i) {
        const TaskRun run = bench.place(i + 1);
        bench.commit();
        bench.answer(OrderKind::Start, OrderOutcome::Accepted);
        bench.advance(200ms);
        WorkerAnswer answer = bench.accepted();
        answer.ends.push_back({ i + 1, run, RunOutcome::Failed, {} });
        bench.answer(OrderKind::Look, answer);
        bench.advance(200ms);
        bench.answerAll(OrderOutcome::Accepted);
    }
    BOOST_TEST(!bench.link().mayPlace(bench.now()));
    BOOST_TEST(bench.link().mayPlace(bench.now() + config::quarantineDuration));
}

/// Tasks of a worker that stands still would wait for ever; its lease is renewed all the while.
BOOST_AUTO_TEST_CASE(aRunWithoutProgressIsStoppedAndItsWorkerSetAside)
{
    DeskBench bench;
    const TaskRun run = bench.place(1);
    bench.commit();
    bench.answer(OrderKind::Start, OrderOutcome::Accepted);
    for (int look = 0; look < 4 && bench.ordersOf(OrderKind::Stop).empty(); ++look) {
        bench.advance(1s);
        WorkerAnswer answer = bench.accepted();
        answer.running.push_back({ run, {}, 40 });
        bench.answer(OrderKind::Look, answer);
        bench.advance(1ms);
    }
    BOOST_REQUIRE(bench.ordersOf(OrderKind::Stop).size() == 1U);
    BOOST_TEST(!bench.link().mayPlace(bench.now()));
}

BOOST_AUTO_TEST_CASE(aRunThatGoesOnIsLeftAlone)
{
    DeskBench bench;
    const TaskRun run = bench.place(1);
    bench.commit();
    bench.answer(OrderKind::Start, OrderOutcome::Accepted);
    for (uint32_t percent = 10; percent < 60; percent += 10) {
        bench.advance(1s);
        WorkerAnswer answer = bench.accepted();
        answer.running.push_back({ run, {}, percent });
        bench.answer(OrderKind::Look, answer);
    }
    BOOST_TEST(bench.ordersOf(OrderKind::Stop).empty());
    BOOST_TEST(bench.link().mayPlace(bench.now()));
}

BOOST_AUTO_TEST_CASE(aWorkerThatLeavesAStartUnansweredGetsNoMore)
{
    DeskBench bench;
    bench.place(1);
    bench.commit();
    bench.answer(OrderKind::Start, OrderOutcome::Silent);
    BOOST_TEST(!bench.link().mayPlace(bench.now()));
    bench.advance(config::orderRetryInterval);
    bench.answer(OrderKind::Start, OrderOutcome::Accepted);
    BOOST_TEST(bench.link().mayPlace(bench.now()));
}

/// Another life at the address proves that nothing of the one meant runs any more.
BOOST_AUTO_TEST_CASE(anotherLifeEndsTheRunsAtOnce)
{
    DeskBench bench;
    const TaskRun run = bench.place(1);
    bench.commit();
    bench.answer(OrderKind::Start, OrderOutcome::Accepted);
    bench.advance(200ms);
    bench.answer(OrderKind::Look, OrderOutcome::OtherLife);
    BOOST_TEST(bench.isLost(run));
    BOOST_TEST(bench.table().workers().empty());
}

BOOST_AUTO_TEST_CASE(aCancelledJobIsStopped)
{
    DeskBench bench;
    const TaskRun run = bench.place(1);
    bench.commit();
    bench.answer(OrderKind::Start, OrderOutcome::Accepted);
    bench.cancel(1);
    bench.advance(1ms);
    BOOST_REQUIRE(bench.ordersOf(OrderKind::Stop).size() == 1U);
    BOOST_TEST((bench.ordersOf(OrderKind::Stop).front().order.run == run));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(DrainWatchTests)

/// A request that arrived just before the host stopped accepting is read a moment later.
BOOST_AUTO_TEST_CASE(aRequestReadAfterAQuietMomentIsStillAnswered)
{
    const Time start { 1h };
    DrainWatch watch(start, 800ms, start + 3s);
    BOOST_TEST(!watch.mayStop(start, 0));
    BOOST_TEST(!watch.mayStop(start + 100ms, 1));
    BOOST_TEST(!watch.mayStop(start + 850ms, 0));
    BOOST_TEST(watch.mayStop(start + 900ms, 0));
}

BOOST_AUTO_TEST_CASE(theEndOfTheGraceTimeStopsEverything)
{
    const Time start { 1h };
    DrainWatch watch(start, 800ms, start + 3s);
    BOOST_TEST(!watch.mayStop(start + 2900ms, 1));
    BOOST_TEST(watch.mayStop(start + 3s, 1));
}

BOOST_AUTO_TEST_SUITE_END()
