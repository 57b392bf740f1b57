#include "support/fleet_cluster.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

FleetConfig configOf(uint64_t version)
{
    FleetConfig config;
    config.version = version;
    config.text = "version " + std::to_string(version);
    config.queues.push_back({ "queue", "host", "/jobs/", "pool", 0, 4, 2, 400ms, {} });
    config.pools.push_back({ "pool" });
    return config;
}

SubmitJob jobOf(uint64_t key, uint32_t tasks = 3)
{
    StepSpec step;
    step.count = tasks;
    step.size = { 3000, 2000, 0 };
    step.estimate = 300ms;
    return { { JobKey { key }, "queue", { "text", { step }, 0, {}, {} } } };
}

/// A fleet with a leader, workers and a configuration.
struct Fleet : FleetCluster {
    explicit Fleet(Options options = {})
        : FleetCluster(options)
    {
        BOOST_REQUIRE(runUntil(10s, [&] { return leader().has_value(); }));
        BOOST_REQUIRE(callUntilOk(PutConfig { configOf(1) }));
        run(1s);
    }

    ~Fleet()
    {
        for (const std::string& violation : violations())
            BOOST_ERROR(violation);
    }

    WorkState stateOf(uint64_t key) { return table().job(JobKey { key })->state; }

    bool finishes(uint64_t key, Duration limit)
    {
        return runUntil(limit, [&] {
            return leader() && table().job(JobKey { key }) && isEnded(stateOf(key));
        });
    }
};

/// Plans per second while `waiting` jobs that fit nowhere wait and another one arrives every 10 ms.
uint64_t plansPerSecond(Fleet& fleet, uint64_t waiting)
{
    const auto submit = [&](uint64_t key) {
        SubmitJob job = jobOf(key, 1);
        job.work.work.steps.front().size.processorMillis = 20000;
        fleet.call(job);
    };
    for (uint64_t key = 1; key <= waiting; ++key)
        submit(key);
    fleet.run(2s);
    BOOST_TEST(fleet.table().openJobs().size() == waiting);
    const auto plans = [&] { return fleet.control(*fleet.leader()).counters().events[FleetCounter::Plans]; };
    const uint64_t before = plans();
    for (uint64_t i = 1; i <= 100; ++i) {
        submit(waiting + i);
        fleet.run(10ms);
    }
    return plans() - before;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetClusterTests)

BOOST_AUTO_TEST_CASE(submittedJobRunsAndIsReportedAsDone)
{
    Fleet fleet;
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(1)));
    BOOST_REQUIRE(fleet.finishes(1, 5s));
    BOOST_TEST((fleet.stateOf(1) == WorkState::Done));
    BOOST_TEST(fleet.startCount() == 3U);
}

/// Snapshots held all that the runs of ended jobs had needed, and each copy of them held up the leader.
BOOST_AUTO_TEST_CASE(endedJobTakesNoRoomForRunsInSnapshots)
{
    Fleet fleet;
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(1)));
    BOOST_TEST(fleet.table().job(JobKey { 1 })->occurrences.size() == 1U);
    BOOST_REQUIRE(fleet.finishes(1, 5s));
    const WorkJob& job = *fleet.table().job(JobKey { 1 });
    BOOST_TEST((job.state == WorkState::Done));
    BOOST_TEST(job.occurrences.empty());
    BOOST_TEST(job.work.text.empty());
    const auto isEnd = [](const LogEvent& event) { return event.kind == LogEventKind::JobEnded; };
    const auto end = std::find_if(fleet.log().begin(), fleet.log().end(), isEnd);
    BOOST_REQUIRE(end != fleet.log().end());
    const auto valueOf = [&](std::string_view key) {
        const auto field = std::find_if(end->fields.begin(), end->fields.end(), [&](const LogField& candidate) { return candidate.key == key; });
        return field == end->fields.end() ? std::string() : field->value;
    };
    BOOST_TEST(valueOf("attempts") == "1");
    BOOST_TEST(valueOf("failures") == "0");
    BOOST_TEST(valueOf("lastWorker").starts_with("worker-"));
}

BOOST_AUTO_TEST_CASE(jobSubmittedTwiceRunsOnce)
{
    Fleet fleet;
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(1)));
    BOOST_REQUIRE(fleet.finishes(1, 5s));
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(1)));
    fleet.run(2s);
    BOOST_TEST(fleet.startCount() == 3U);
}

BOOST_AUTO_TEST_CASE(pendingCountOfAnUnknownQueueIsRefused)
{
    Fleet fleet;
    const CallId known = fleet.call(CountPendingJobs { "queue" });
    const CallId dropped = fleet.call(CountPendingJobs { "dropped" });
    fleet.run(1s);
    BOOST_REQUIRE(fleet.reply(known).has_value());
    BOOST_REQUIRE(fleet.reply(dropped).has_value());
    BOOST_TEST((fleet.reply(known)->status == ControlStatus::Ok));
    BOOST_TEST((fleet.reply(dropped)->status == ControlStatus::UnknownQueue));
}

/// A placement alone doesn't start a job, as its order may go to an unresponsive worker.
BOOST_AUTO_TEST_CASE(jobIsPendingUntilAWorkerConfirmsItsStart)
{
    Fleet fleet;
    for (size_t worker = 0; worker < 4; ++worker)
        fleet.setUnresponsive(worker);
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(1)));
    BOOST_REQUIRE(fleet.runUntil(1s, [&] { return fleet.stateOf(1) == WorkState::Running; }));
    const CallId whileUnresponsive = fleet.call(CountPendingJobs { "queue" });
    fleet.run(100ms);
    BOOST_REQUIRE(fleet.reply(whileUnresponsive).has_value());
    BOOST_TEST(fleet.reply(whileUnresponsive)->count == 1U);
    for (size_t worker = 0; worker < 4; ++worker)
        fleet.setUnresponsive(worker, false);
    fleet.run(5s);
    const CallId later = fleet.call(CountPendingJobs { "queue" });
    fleet.run(100ms);
    BOOST_REQUIRE(fleet.reply(later).has_value());
    BOOST_TEST(fleet.reply(later)->count == 0U);
}

/// Whether a log line of this kind names the job.
bool isLogged(const FleetCluster& fleet, LogEventKind kind, uint64_t key)
{
    return std::any_of(fleet.log().begin(), fleet.log().end(), [&](const LogEvent& event) {
        const auto namesJob = [&](const LogField& field) { return field.key == "job" && field.value == hexText(key); };
        return event.kind == kind && std::any_of(event.fields.begin(), event.fields.end(), namesJob);
    });
}

BOOST_AUTO_TEST_CASE(everyOutcomeVisibleToCallersIsLoggedWithTheJob)
{
    Fleet fleet;
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(1)));
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(2)));
    BOOST_REQUIRE(fleet.callUntilOk(CancelJob { JobKey { 2 } }));
    BOOST_REQUIRE(fleet.finishes(1, 5s));
    for (const uint64_t key : { 1, 2 }) {
        BOOST_TEST(isLogged(fleet, LogEventKind::JobAccepted, key));
        BOOST_TEST(isLogged(fleet, LogEventKind::JobEnded, key));
    }
    for (size_t worker = 0; worker < 4; ++worker)
        fleet.setFailing(worker);
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(3, 1)));
    BOOST_REQUIRE(fleet.finishes(3, 60s));
    BOOST_TEST(isLogged(fleet, LogEventKind::RunFailed, 3));
    for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
        fleet.kill(id);
    fleet.call(jobOf(4));
    fleet.run(4s);
    BOOST_TEST(isLogged(fleet, LogEventKind::CallUnanswered, 4));
}

BOOST_AUTO_TEST_CASE(submissionToAnUnknownQueueIsRefused)
{
    Fleet fleet;
    SubmitJob job = jobOf(1);
    job.work.queue = "other";
    const CallId call = fleet.call(job);
    fleet.run(1s);
    BOOST_REQUIRE(fleet.reply(call).has_value());
    BOOST_TEST((fleet.reply(call)->status == ControlStatus::UnknownQueue));
}

BOOST_AUTO_TEST_CASE(acceptedJobSurvivesTheLossOfTheLeader)
{
    Fleet fleet;
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(1)));
    const uint32_t old = *fleet.leader();
    fleet.kill(old);
    BOOST_REQUIRE(fleet.runUntil(5s, [&] { return fleet.leader().has_value(); }));
    BOOST_REQUIRE(fleet.finishes(1, 10s));
    BOOST_TEST((fleet.stateOf(1) == WorkState::Done));
}

/// Guards against data loss over two disk failures in a row. A leader that loses its disk right
/// after an acknowledgement rejoins as a new member; by the time of the next failure, the other
/// hosts must hold everything.
BOOST_AUTO_TEST_CASE(consecutiveDiskFailuresLoseNoAcceptedJob)
{
    Fleet fleet;
    for (uint64_t key = 1; key <= 2; ++key) {
        BOOST_REQUIRE(fleet.callUntilOk(jobOf(key)));
        const uint32_t lost = *fleet.leader();
        fleet.kill(lost);
        fleet.run(1s);
        fleet.restart(lost, false);
        fleet.run(4s);
    }
    BOOST_REQUIRE(fleet.leader().has_value());
    BOOST_REQUIRE(fleet.finishes(1, 10s));
    BOOST_REQUIRE(fleet.finishes(2, 10s));
}

/// The disks of all control hosts were full one after another; later, changes were refused for good.
BOOST_AUTO_TEST_CASE(hostsWithFullDisksInTurnWriteAndVoteAgain)
{
    Fleet fleet;
    uint64_t version = 1;
    uint64_t key = 0;
    for (uint32_t full = 1; full <= 3; ++full) {
        const uint32_t leader = *fleet.leader();
        fleet.fillDisk(full);
        for (int i = 0; i < 5; ++i) {
            BOOST_TEST(fleet.callUntilOk(PutConfig { configOf(++version) }, 1s));
            BOOST_TEST(fleet.callUntilOk(jobOf(++key), 1s));
            fleet.run(500ms);
        }
        BOOST_TEST(fleet.leader().value_or(0) == leader);
        fleet.freeDisk(full);
        fleet.run(1s);
    }
    // Each pair of hosts elects a leader and commits, so each host votes and writes.
    for (uint32_t lost = 1; lost <= 3; ++lost) {
        fleet.kill(lost);
        BOOST_TEST(fleet.callUntilOk(PutConfig { configOf(++version) }, 5s));
        fleet.restart(lost);
        fleet.run(3s);
    }
    for (uint64_t i = 1; i <= key; ++i)
        BOOST_TEST(fleet.finishes(i, 20s));
    BOOST_TEST(fleet.table().config().version == version);
    const auto countLines = [&](LogEventKind kind) {
        return std::count_if(fleet.log().begin(), fleet.log().end(), [&](const LogEvent& line) { return line.kind == kind; });
    };
    BOOST_TEST(countLines(LogEventKind::StorageRefused) == 3);
    BOOST_TEST(countLines(LogEventKind::StorageRestored) == 3);
}

BOOST_AUTO_TEST_CASE(stateSurvivesTheRestartOfAllControlHosts)
{
    Fleet fleet;
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configOf(5) }));
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(1)));
    for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
        fleet.kill(id);
    fleet.run(500ms);
    for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
        fleet.restart(id);
    BOOST_REQUIRE(fleet.runUntil(5s, [&] { return fleet.leader().has_value(); }));
    BOOST_TEST(fleet.table().config().version == 5U);
    BOOST_REQUIRE(fleet.finishes(1, 15s));
}

BOOST_AUTO_TEST_CASE(tasksOfAnUnresponsiveWorkerRunElsewhereAfterItsLease)
{
    Fleet fleet;
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(1, 8)));
    fleet.setUnresponsive(0);
    BOOST_REQUIRE(fleet.finishes(1, 20s));
    BOOST_TEST((fleet.stateOf(1) == WorkState::Done));
}

BOOST_AUTO_TEST_CASE(ordersWithoutResponsesRunNoTaskTwice)
{
    FleetCluster::Options options;
    options.noResponsePercent = 10;
    options.seed = 3;
    Fleet fleet(options);
    for (uint64_t key = 1; key <= 20; ++key)
        BOOST_REQUIRE(fleet.callUntilOk(jobOf(key)));
    for (uint64_t key = 1; key <= 20; ++key)
        BOOST_REQUIRE(fleet.finishes(key, 30s));
}

BOOST_AUTO_TEST_CASE(olderConfigurationIsAcknowledgedWithoutEffect)
{
    Fleet fleet;
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configOf(7) }));
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configOf(3) }));
    const CallId call = fleet.call(GetConfig {});
    fleet.run(1s);
    BOOST_REQUIRE(fleet.reply(call).has_value());
    BOOST_TEST(fleet.reply(call)->text == "version 7");
}

/// Without a leader no call takes effect, and the reply must say so instead of `Unavailable`.
BOOST_AUTO_TEST_CASE(callWithoutAMajorityIsNotAccepted)
{
    Fleet fleet;
    const uint32_t leader = *fleet.leader();
    for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id) {
        if (id != leader % FleetCluster::controlCount + 1)
            fleet.kill(id);
    }
    fleet.run(2s);
    const CallId call = fleet.call(jobOf(1), 3s);
    fleet.run(4s);
    BOOST_REQUIRE(fleet.reply(call).has_value());
    BOOST_TEST((fleet.reply(call)->status == ControlStatus::NotAccepted));
}

/// A fleet whose entry host knows of version 2 and still holds version 1.
struct FleetWithConfigOnItsWay : Fleet {
    explicit FleetWithConfigOnItsWay(const FleetConfig& next)
    {
        BOOST_REQUIRE(callUntilOk(jobOf(1)));
        loseConfigUpdates();
        BOOST_REQUIRE(callUntilOk(PutConfig { next }));
        run(1s);
        BOOST_REQUIRE(entry().isStale());
    }

    /// Reply to a call within 500 ms; `Unavailable` if there is none.
    ControlReply replyTo(ControlRequest request)
    {
        const CallId id = call(std::move(request));
        runUntil(500ms, [&] { return reply(id).has_value(); });
        return reply(id).value_or(ControlReply { ControlStatus::Unavailable, {}, 0, {} });
    }

    ControlReply find(const std::string& path) { return replyTo(FindQueueInForce { { "host", path } }); }
};

/// Hosts that knew of a newer configuration refused every call until it arrived, also questions about
/// accepted jobs.
BOOST_AUTO_TEST_CASE(questionAboutAJobIsAnsweredWhileAConfigurationIsOnItsWay)
{
    FleetWithConfigOnItsWay fleet(configOf(2));
    const ControlReply found = fleet.find("/jobs/0000000000000001");
    BOOST_TEST((found.status == ControlStatus::Ok));
    BOOST_REQUIRE(found.queue.has_value());
    BOOST_TEST(found.queue->name == "queue");
    BOOST_TEST((fleet.replyTo(GetJobState { JobKey { 1 } }).status == ControlStatus::Ok));
}

BOOST_AUTO_TEST_CASE(droppedQueueIsNotUsedWhileTheNewConfigurationIsOnItsWay)
{
    FleetConfig next = configOf(2);
    next.queues.front().pathPrefix = "/other/";
    FleetWithConfigOnItsWay fleet(next);
    BOOST_TEST((fleet.find("/jobs/").status == ControlStatus::UnknownQueue));
}

BOOST_AUTO_TEST_CASE(queueAddedByANewerConfigurationIsFoundWhileItIsOnItsWay)
{
    FleetConfig next = configOf(2);
    next.queues.push_back(next.queues.front());
    next.queues.back().name = "added";
    next.queues.back().pathPrefix = "/added/";
    FleetWithConfigOnItsWay fleet(next);
    const ControlReply found = fleet.find("/added/");
    BOOST_REQUIRE(found.queue.has_value());
    BOOST_TEST(found.queue->name == "added");
}

/// The leader took jobs by the queue's name alone, though the name served another path by then.
BOOST_AUTO_TEST_CASE(jobIsAcceptedByItsAddressInTheNewerConfiguration)
{
    FleetConfig next = configOf(2);
    next.queues.front().pathPrefix = "/moved/";
    next.queues.push_back(next.queues.front());
    next.queues.back().name = "other";
    next.queues.back().pathPrefix = "/jobs/b/";
    FleetWithConfigOnItsWay fleet(next);
    SubmitJob job = jobOf(2);
    job.address = QueueAddress { "host", "/jobs/0000000000000002" };
    BOOST_TEST((fleet.replyTo(job).status == ControlStatus::UnknownQueue));
    BOOST_TEST(!fleet.table().job(JobKey { 2 }));
    BOOST_TEST((fleet.replyTo(CountPendingJobs { "queue", job.address }).status == ControlStatus::UnknownQueue));
    job.address->path = "/jobs/b/0000000000000002";
    BOOST_TEST((fleet.replyTo(job).status == ControlStatus::Ok));
    BOOST_REQUIRE(fleet.table().job(JobKey { 2 }));
    BOOST_TEST(fleet.table().job(JobKey { 2 })->queue.name == "other");
}

/// Without the leader nobody knows whether the queue was dropped meanwhile.
BOOST_AUTO_TEST_CASE(queueIsNotLookedUpInAnOldConfigurationWithoutALeader)
{
    Fleet fleet;
    const uint32_t leader = *fleet.leader();
    for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id) {
        if (id != leader % FleetCluster::controlCount + 1)
            fleet.kill(id);
    }
    fleet.run(config::leaderContactTimeout);
    const CallId call = fleet.call(FindQueueInForce { { "host", "/jobs/" } });
    fleet.run(1500ms);
    BOOST_REQUIRE(fleet.reply(call).has_value());
    BOOST_TEST((fleet.reply(call)->status == ControlStatus::NotAccepted));
}

/// A fleet with more workers than the leader calls directly.
struct LargeFleet : Fleet {
    LargeFleet()
        : Fleet({ .workers = config::directWorkers + 20, .dataCentres = 3 })
    {
    }

    /// A control host that does not lead.
    uint32_t follower() const { return *leader() == 1 ? 2 : 1; }
};

BOOST_AUTO_TEST_CASE(leaderOfASmallFleetCallsWorkersDirectly)
{
    Fleet fleet;
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(1)));
    BOOST_REQUIRE(fleet.finishes(1, 5s));
    for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
        BOOST_TEST((fleet.workerCalls(id) > 0) == (id == *fleet.leader()));
}

BOOST_AUTO_TEST_CASE(controlHostsRelayCallsToTheirDataCentreInALargeFleet)
{
    LargeFleet fleet;
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(1, 300)));
    BOOST_REQUIRE(fleet.finishes(1, 10s));
    BOOST_TEST(fleet.startCount() == 300U);
    size_t all = 0;
    for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
        all += fleet.workerCalls(id);
    BOOST_TEST(fleet.workerCalls(*fleet.leader()) < all / 2);
}

BOOST_AUTO_TEST_CASE(jobFinishesAfterTheLossOfARelay)
{
    LargeFleet fleet;
    BOOST_REQUIRE(fleet.callUntilOk(jobOf(1, 300)));
    fleet.run(50ms);
    fleet.kill(fleet.follower());
    BOOST_REQUIRE(fleet.finishes(1, 10s));
    BOOST_TEST((fleet.stateOf(1) == WorkState::Done));
}

BOOST_AUTO_TEST_CASE(controlHostCountsTheRepliesToCallsThatItForwarded)
{
    Fleet fleet; // Its workers report to host 1.
    if (fleet.leader() == 1U) {
        fleet.kill(1);
        BOOST_REQUIRE(fleet.runUntil(10s, [&] { return fleet.leader().has_value(); }));
        fleet.restart(1);
    }
    fleet.run(3s);
    BOOST_REQUIRE(fleet.leader() != 1U);
    BOOST_TEST(fleet.control(1).counters().replies[ControlStatus::Ok] > 0U);
}

/// The more work waited the fewer plans were made, though most of it cost a plan hardly any time, so
/// that a backlog reduced the rate at which it was served.
BOOST_AUTO_TEST_CASE(backlogMakesPlansRareThoughTheyTakeNoTime)
{
    Fleet::Options options;
    options.workers = 120;
    Fleet fleet(options);
    BOOST_TEST(plansPerSecond(fleet, 1500) >= 60U);
}

/// Calls waited in the leader's mailbox for seconds, as plans took nearly all of its time.
BOOST_AUTO_TEST_CASE(callsWaitWhilePlansTakeAllOfTheLeadersTime)
{
    Fleet::Options options;
    options.stepDuration = 40ms;
    Fleet fleet(options);
    BOOST_TEST(plansPerSecond(fleet, 10) <= 1s / (options.stepDuration * config::planIntervalFactor) + 1);
}

BOOST_AUTO_TEST_SUITE_END()
