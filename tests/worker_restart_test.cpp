#include "support/fleet_cluster.h"
#include "support/fleet_config.h"
#include "support/worker_dispatcher_fixture.h"
#include "worker_fence.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

/// How the leader learns that an idle worker has started again.
enum class RestartSign : uint8_t {
    Poll,
    Report,
    NextLeader,
    Count
};

/// How the start that was on its way to the worker was answered.
enum class StartAnswer : uint8_t {
    Accepted,
    Lost,
    Pending,
    Count
};

void showRestart(WorkerDispatcherFixture& fixture, RestartSign sign)
{
    if (sign == RestartSign::Report) {
        fixture.reportWorker();
        return;
    }
    if (sign == RestartSign::NextLeader)
        fixture.changeLeader();
    fixture.advance(300ms);
    fixture.respond(OrderKind::Poll, fixture.accepted());
}

/// Responds to all polls with `running`, and to stops, for a second.
void respondWith(WorkerDispatcherFixture& fixture, const std::vector<ReportedRun>& running, bool stopsAnswered)
{
    for (int i = 0; i < 10; ++i) {
        fixture.advance(100ms);
        OrderResponse response = fixture.accepted();
        response.running = running;
        fixture.respond(OrderKind::Poll, response);
        if (stopsAnswered)
            fixture.respond(OrderKind::Stop, OrderOutcome::Accepted);
    }
}

/// Whether a task that the worker's next incarnation has or may get stays placed until that has stopped it.
void checkStartOnNextIncarnation(RestartSign sign, StartAnswer answer, bool clockGoesOn)
{
    WorkerDispatcherFixture fixture;
    fixture.advance(500ms);
    if (clockGoesOn)
        fixture.restartWorkerWithItsClock();
    else
        fixture.restartWorker();
    const TaskRun run = fixture.place(1);
    fixture.commit();
    if (answer != StartAnswer::Pending)
        fixture.respond(OrderKind::Start, answer == StartAnswer::Accepted ? OrderOutcome::Accepted : OrderOutcome::NoResponse);
    showRestart(fixture, sign);
    BOOST_TEST(!fixture.isRequeued(run));
    if (sign != RestartSign::Report)
        fixture.reportWorker();
    BOOST_TEST(!fixture.isRequeued(run));
    respondWith(fixture, { { run, {}, 10 } }, false);
    BOOST_TEST(!fixture.isRequeued(run));
    respondWith(fixture, {}, true);
    BOOST_TEST(fixture.isRequeued(run));
}

constexpr Duration restartTime = 150ms;

FleetConfig configWith(bool hasAdvice)
{
    FleetConfig config = configWithOneQueue();
    if (hasAdvice)
        config.queues.back().advice = AdviceTiming { 10ms, 1ms, 2500ms };
    return config;
}

/// Submits jobs, and every now and then starts an idle worker again.
void submitWhileWorkersRestart(FleetCluster& fleet, uint64_t seed)
{
    fleet.setCrashLength(restartTime);
    fleet.setFirstReportDelay(750ms);
    Random random(seed);
    SubmitJob job;
    job.work.queue = "queue";
    job.work.work.steps.emplace_back().size = { 1000, 1000, 0 };
    constexpr uint64_t jobs = 200;
    constexpr uint64_t jobsPerRestart = 5;
    for (uint64_t key = 1; key <= jobs; ++key) {
        job.work.key = JobKey { key };
        fleet.call(job);
        fleet.run(std::chrono::milliseconds(50 + random.below(100)));
        const size_t worker = random.below(fleet.workerCount());
        if (key % jobsPerRestart == 0 && fleet.isIdle(worker))
            fleet.crashWorker(worker);
    }
    fleet.run(20s);
}

/// The worker crashes after it has acknowledged the stop of a run that it never started: the first order to
/// start it had no response and the next one was refused.
void crashAfterRefusedStart(WorkerDispatcherFixture& fixture, OrderOutcome refusal)
{
    fixture.advance(500ms);
    fixture.start(1, OrderOutcome::NoResponse);
    fixture.advance(config::orderRetryInterval);
    fixture.respond(OrderKind::Start, refusal);
    fixture.respond(OrderKind::Stop, OrderOutcome::Accepted);
    fixture.restartWorker();
    fixture.reportWorker();
    respondWith(fixture, {}, true);
}

/// Whether all jobs end once while workers start again and some orders get no response and are carried out late.
void checkRestarts(uint64_t seed, uint32_t noResponsePercent, Duration maxOrderDelay)
{
    FleetCluster::Options options;
    options.seed = seed;
    options.hasAdvice = seed % 2;
    options.noResponsePercent = noResponsePercent;
    options.maxOrderDelay = maxOrderDelay;
    FleetCluster fleet(options);
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configWith(options.hasAdvice) }));
    BOOST_REQUIRE(fleet.runUntil(10s, [&] { return fleet.table().workers().size() == options.workers; }));
    submitWhileWorkersRestart(fleet, seed);
    BOOST_TEST_CONTEXT("seed " << seed << ", unanswered " << noResponsePercent)
    {
        BOOST_TEST((fleet.violations().empty() ? "" : fleet.violations().front()) == "");
        BOOST_TEST(fleet.table().openJobs().empty());
        for (const auto& [key, record] : fleet.table().jobs())
            BOOST_TEST((record.state == WorkState::Done));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerRestartTests)

/// A start that the next incarnation of an idle worker had carried out was taken for lost with the
/// former one, and the task ran twice.
BOOST_AUTO_TEST_CASE(startOnTheNextIncarnationOfAWorkerIsNotTakenForLost)
{
    forEachValue<RestartSign>([](RestartSign sign) {
        forEachValue<StartAnswer>([&](StartAnswer answer) {
            for (const bool clockGoesOn : { false, true }) {
                BOOST_TEST_CONTEXT("sign " << static_cast<int>(sign) << ", answer " << static_cast<int>(answer) << ", same clock " << clockGoesOn)
                checkStartOnNextIncarnation(sign, answer, clockGoesOn);
            }
        });
    });
}

BOOST_AUTO_TEST_CASE(runsThatTheFormerIncarnationListedAreRequeuedAtOnce)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.start(1);
    fixture.advance(200ms);
    OrderResponse response = fixture.accepted();
    response.running = { { run, {}, 10 } };
    fixture.respond(OrderKind::Poll, response);
    fixture.restartWorker();
    fixture.advance(200ms);
    fixture.respond(OrderKind::Poll, fixture.accepted());
    BOOST_TEST(fixture.isRequeued(run));
}

/// Orders name the id of the incarnation that they are for, and one with another id refuses them.
BOOST_AUTO_TEST_CASE(runsAreRequeuedAtOnceIfTheNextIncarnationHasAnotherId)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.start(1);
    fixture.restartWorker();
    fixture.reportWorker("successor");
    BOOST_TEST(fixture.isRequeued(run));
}

BOOST_AUTO_TEST_CASE(runsOfAWorkerWhoseNextIncarnationNeverReportsAreRequeuedAfterItsLease)
{
    WorkerDispatcherFixture fixture;
    fixture.advance(500ms);
    fixture.restartWorker();
    const TaskRun run = fixture.start(1);
    fixture.advance(200ms);
    fixture.respond(OrderKind::Poll, fixture.accepted());
    fixture.advance(fixture.settings().maxLease);
    BOOST_TEST(!fixture.isRequeued(run));
    fixture.advance(fixture.settings().maxLease / 10);
    BOOST_TEST((fixture.job().task(run.task)->phase == TaskPhase::Waiting));
    BOOST_TEST(fixture.table().workers().empty());
}

/// A run whose start was refused counted as at work from the acknowledgement of its stop on, so that a
/// crash right after that counted against it, and its job was given up after two.
BOOST_AUTO_TEST_CASE(jobIsNotGivenUpBecauseOfRunsThatNeverStarted)
{
    for (const OrderOutcome refusal : { OrderOutcome::BadTicket, OrderOutcome::Refused, OrderOutcome::InsufficientCapacity }) {
        BOOST_TEST_CONTEXT("start answered with " << name(refusal))
        {
            WorkerDispatcherFixture fixture;
            for (uint32_t crash = 0; crash < config::crashesToGiveUp; ++crash)
                crashAfterRefusedStart(fixture, refusal);
            BOOST_REQUIRE((fixture.job().state == WorkState::Running));
            BOOST_TEST(fixture.job().task({ JobKey { 1 }, 0, 0, 0 })->crashes == 0U);
        }
    }
}

/// Idle workers that start again between two reports, with and without advice, under a stream of jobs.
BOOST_AUTO_TEST_CASE(noTaskRunsTwiceWhileIdleWorkersStartAgain)
{
    for (uint64_t seed = 1; seed <= 6; ++seed) {
        for (const uint32_t noResponsePercent : { 0U, 15U })
            checkRestarts(seed, noResponsePercent, restartTime / 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FenceTests)

/// All incarnations of a worker were sent one fence, so that the next one carried out late orders to the former.
BOOST_AUTO_TEST_CASE(fenceRisesWithTheIncarnationAndTheTerm)
{
    WorkerDispatcherFixture fixture;
    uint64_t highest = 0;
    const auto checkRise = [&](const WorkerOrder& order) {
        BOOST_TEST(order.fencingToken > highest);
        highest = order.fencingToken;
    };
    fixture.place(1);
    fixture.commit();
    BOOST_REQUIRE(fixture.ordersOf(OrderKind::Start).size() == 1U);
    checkRise(fixture.ordersOf(OrderKind::Start).front().order);
    for (int i = 0; i < 3; ++i) {
        fixture.restartWorker();
        fixture.reportWorker();
        checkRise(fixture.lastPoll());
        fixture.changeLeader();
        checkRise(fixture.lastPoll());
    }
}

/// The first call to a new incarnation is what makes it refuse the orders to the former one.
BOOST_AUTO_TEST_CASE(newIncarnationIsPolledAtOnce)
{
    WorkerDispatcherFixture fixture;
    fixture.advance(1s);
    const size_t polls = fixture.ordersOf(OrderKind::Poll).size();
    fixture.restartWorker();
    fixture.reportWorker();
    BOOST_TEST(fixture.ordersOf(OrderKind::Poll).size() == polls + 1);
}

/// Workers that hold numbers as floating-point ones would take different fences for the same.
BOOST_AUTO_TEST_CASE(fencesAreExactAndOrderedByTermThenWorker)
{
    constexpr uint64_t exactBits = 53;
    const auto fence = [](uint64_t term, uint32_t number) { return workerFence(term, WorkerNumber { number }); };
    BOOST_TEST(fence(1, 2) > fence(1, 1));
    BOOST_TEST(fence(2, 1) > fence(1, 50'000'000));
    BOOST_TEST(fence(3, 2) > fence(2, 2));
    BOOST_TEST(fence(100'000'000, std::numeric_limits<uint32_t>::max()) < uint64_t { 1 } << exactBits);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LateStartTests)

/// A copy of a start that was sent again is carried out by the next incarnation, after the run has ended.
BOOST_AUTO_TEST_CASE(lateCopyOfAStartDoesNotRunOnTheNextIncarnation)
{
    for (uint64_t seed = 1; seed <= 6; ++seed)
        checkRestarts(seed, 15, 2s);
}

BOOST_AUTO_TEST_SUITE_END()
