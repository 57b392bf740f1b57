#include "support/node_cluster.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

JobSpecBuilder batch(const std::string& jobName, uint32_t tasks, const std::string& command = "sleep 300")
{
    return JobSpecBuilder(jobName).kind(JobKind::Batch).team("t").tasks(tasks).size({ 1000, 1024, 0 }).dataCentre("dc-0").command(command);
}

struct Fixture {
    explicit Fixture(uint64_t seed = 1)
        : cluster(options(seed))
    {
    }

    static NodeClusterOptions options(uint64_t seed)
    {
        NodeClusterOptions result;
        result.seed = seed;
        return result;
    }

    void addWorkers(uint32_t count, Resources capacity = { 4000, 8192, 0 })
    {
        for (uint32_t i = 0; i < count; ++i) {
            const size_t number = m_workerCount++;
            cluster.addWorker(0, "w" + std::to_string(number), "rack-" + std::to_string(number / 2), capacity);
        }
    }

    /// Submits a manifest as an operator does: sends the same operation to one host after another until
    /// one accepts it.
    void apply(std::vector<JobSpec> jobs, std::vector<TeamQuota> teams = {})
    {
        Manifest manifest;
        manifest.jobs = std::move(jobs);
        manifest.teams = std::move(teams);
        const std::string operation = "op-" + std::to_string(++m_operations);
        for (uint32_t attempt = 0; attempt < 9; ++attempt) {
            const uint32_t host = attempt % 3;
            if (!cluster.isUp(host))
                continue;
            const CallId call = cluster.submitManifest(host, manifest, operation);
            const bool isAnswered = cluster.runUntilTrue([&] { return cluster.operatorReply(call) != nullptr; }, 12s);
            if (isAnswered && std::holds_alternative<ChangeResult>(*cluster.operatorReply(call)))
                return;
        }
        throw std::runtime_error("no host accepted operation " + operation);
    }

    /// The leader's task table, or null where there is no leader.
    const TaskTable* tasks()
    {
        const auto leader = cluster.dataCentreLeader(0);
        return leader ? &cluster.node(*leader).dataCentre().stateMachine().tasks : nullptr;
    }

    uint32_t count(const std::string& jobName, TaskState state)
    {
        const TaskTable* table = tasks();
        const JobRecord* job = table ? table->job(jobName) : nullptr;
        uint32_t result = 0;
        for (size_t i = 0; job && i < job->tasks.size(); ++i)
            result += table->task(job->tasks[i])->state == state;
        return result;
    }

    bool waitFor(const std::string& jobName, TaskState state, uint32_t wanted, Duration limit = 30s)
    {
        return cluster.runUntilTrue([&] { return count(jobName, state) == wanted; }, limit);
    }

    WaitReason waitReason(const std::string& jobName)
    {
        const auto& node = cluster.node(*cluster.dataCentreLeader(0));
        return node.scheduler().waitReason(tasks()->job(jobName)->tasks.front());
    }

    NodeCluster<> cluster;

private:
    size_t m_workerCount = 0;
    int m_operations = 0;
};

struct FixtureWithLeaders : Fixture {
    FixtureWithLeaders()
    {
        BOOST_REQUIRE(cluster.runUntilLeadersElected());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Scheduler, FixtureWithLeaders)

BOOST_AUTO_TEST_CASE(everyTaskOfAManifestRunsOnce)
{
    addWorkers(4);
    apply({ batch("b", 10).build(),
        JobSpecBuilder("g").kind(JobKind::AllAtOnce).team("t").tasks(3).size({ 1000, 1024, 0 }).dataCentre("dc-0").command("sleep 200").build(),
        JobSpecBuilder("s").kind(JobKind::Service).team("t").tasks(2).size({ 500, 512, 0 }).dataCentre("dc-0").command("serve").build() });
    BOOST_TEST(waitFor("b", TaskState::Finished, 10));
    BOOST_TEST(waitFor("g", TaskState::Finished, 3));
    BOOST_TEST(waitFor("s", TaskState::Running, 2));
    BOOST_TEST(cluster.countEvents("started", "b") == 10U);
    BOOST_TEST(cluster.countEvents("started", "g") == 3U);
    BOOST_TEST(cluster.countEvents("started", "s") == 2U);
}

BOOST_AUTO_TEST_CASE(tasksRunOnceThroughALossOfTheLeader)
{
    addWorkers(4);
    apply({ batch("b", 16, "sleep 2000").build() });
    BOOST_REQUIRE(waitFor("b", TaskState::Running, 16));
    cluster.kill(*cluster.dataCentreLeader(0));
    BOOST_TEST(waitFor("b", TaskState::Finished, 16));
    BOOST_TEST(cluster.countEvents("started", "b") == 16U);
}

BOOST_AUTO_TEST_CASE(tasksOfAnUnresponsiveWorkerRunElsewhereAfterItsLease)
{
    addWorkers(2);
    apply({ batch("b", 2, "sleep 60000").build() });
    BOOST_REQUIRE(waitFor("b", TaskState::Running, 2));
    cluster.setWorkerDisconnected(0, true);
    cluster.setWorkerDisconnected(1, true);
    addWorkers(1);
    // The cluster checks that no task runs on two workers at a time.
    BOOST_TEST(cluster.runUntilTrue([&] { return cluster.countEvents("started", "b") == 4; }, 20s));
    BOOST_TEST(cluster.countEvents("lease-ended", "b") == 2U);
    cluster.setWorkerDisconnected(0, false);
    cluster.setWorkerDisconnected(1, false);
    cluster.run(10s);
    BOOST_TEST(cluster.countEvents("started", "b") == 4U);
    BOOST_TEST((tasks()->worker("w0")->state == WorkerState::Ready));
}

BOOST_AUTO_TEST_CASE(aGangIsNotStarvedBySmallJobs)
{
    addWorkers(2);
    std::vector<JobSpec> jobs { batch("small", 400, "sleep 900").build() };
    apply(jobs);
    BOOST_REQUIRE(waitFor("small", TaskState::Running, 8));
    jobs.push_back(JobSpecBuilder("together").kind(JobKind::AllAtOnce).team("t").tasks(2).size({ 4000, 1024, 0 }).dataCentre("dc-0").command("sleep 100").build());
    apply(jobs);
    BOOST_TEST(waitFor("together", TaskState::Finished, 2, 20s));
    BOOST_TEST(count("small", TaskState::Finished) < 400U);
}

BOOST_AUTO_TEST_CASE(urgentTasksPreemptTasksThatCanCheckpoint)
{
    addWorkers(1);
    std::vector<JobSpec> jobs { batch("patient", 4, "sleep 60000").urgency(Urgency::Patient).canCheckpoint(true).build() };
    apply(jobs);
    BOOST_REQUIRE(waitFor("patient", TaskState::Running, 4));
    jobs.push_back(batch("urgent", 1).urgency(Urgency::Urgent).build());
    const Time appliedAt = cluster.now();
    apply(jobs);
    BOOST_TEST(waitFor("urgent", TaskState::Running, 1, 5s));
    BOOST_TEST((cluster.startedAt("urgent") - appliedAt < 1100ms));
    BOOST_TEST(waitFor("urgent", TaskState::Finished, 1));
    BOOST_TEST(waitFor("patient", TaskState::Running, 4)); // The preempted tasks resume.
}

BOOST_AUTO_TEST_CASE(aTeamStaysWithinItsQuota)
{
    addWorkers(4);
    apply({ batch("b", 10, "sleep 500").build() }, { { "t", { 3000, 100000, 0 } } });
    uint32_t most = 0;
    cluster.runUntilTrue([&] {
        most = std::max<uint32_t>(most, count("b", TaskState::Running) + count("b", TaskState::Starting));
        return count("b", TaskState::Finished) == 10;
    },
        60s);
    BOOST_TEST(most == 3U);
    BOOST_TEST(count("b", TaskState::Finished) == 10U);
}

BOOST_AUTO_TEST_CASE(aJobTooLargeForEveryWorkerHasAWaitReason)
{
    addWorkers(2);
    apply({ batch("huge", 1).size({ 64000, 1024, 0 }).build() });
    cluster.run(3s);
    BOOST_TEST(name(waitReason("huge")) == name(WaitReason::NoWorkerFits));
}

BOOST_AUTO_TEST_CASE(aWorkerThatFailsEveryTaskIsQuarantined)
{
    addWorkers(2);
    cluster.run(1s);
    cluster.addWorker(0, "bad", "rack-bad", { 4000, 8192, 0 }).setFailing(true);
    std::vector<JobSpec> jobs;
    for (int i = 0; i < 20; ++i)
        jobs.push_back(batch("b" + std::to_string(i), 1).build());
    apply(jobs);
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(waitFor("b" + std::to_string(i), TaskState::Finished, 1));
    BOOST_TEST((tasks()->worker("bad")->state == WorkerState::Quarantined));
    uint64_t failures = 0;
    for (int i = 0; i < 20; ++i)
        failures += cluster.countEvents("failed", "b" + std::to_string(i));
    BOOST_TEST(failures <= 5U);
}

BOOST_AUTO_TEST_CASE(aTaskThatExceedsItsMemoryIsPlacedAgainWithALearnedSize)
{
    addWorkers(1);
    apply({ JobSpecBuilder("s").kind(JobKind::Service).team("t").size({ 1000, 1024, 0 }).dataCentre("dc-0").command("use 3000").build() });
    BOOST_REQUIRE(cluster.runUntilTrue([&] {
        const TaskTable* table = tasks();
        const JobRecord* job = table ? table->job("s") : nullptr;
        return job && table->task(job->tasks.front())->size.memoryMiB >= 3000 && count("s", TaskState::Running) == 1;
    },
        30s));
}

BOOST_AUTO_TEST_CASE(cancelledJobsStopAndStayStopped)
{
    addWorkers(2);
    apply({ batch("b", 4, "sleep 60000").build() });
    BOOST_REQUIRE(waitFor("b", TaskState::Running, 4));
    const CallId call = cluster.cancel(1, "dc-0", { "b", "unknown" });
    BOOST_TEST(waitFor("b", TaskState::Cancelled, 4));
    const auto& result = std::get<TaskCommandResult>(*cluster.operatorReply(call));
    BOOST_TEST(result.accepted == 1U);
    BOOST_TEST(result.refused == 1U);
    BOOST_TEST(cluster.countEvents("stopped", "b") == 4U);
}

BOOST_AUTO_TEST_CASE(aJobRemovedFromTheManifestIsStopped)
{
    addWorkers(2);
    apply({ batch("b", 4, "sleep 60000").build() });
    BOOST_REQUIRE(waitFor("b", TaskState::Running, 4));
    apply({});
    BOOST_TEST(cluster.runUntilTrue([&] { return tasks() && !tasks()->job("b"); }, 10s));
    BOOST_TEST(cluster.countEvents("stopped", "b") == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SchedulerRandom)

/// Injects random leader crashes and restarts, worker partitions and job cancellations. The
/// invariants of the core and of the cluster are checked on every step.
RC_BOOST_PROP(everyBatchTaskFinishes, ())
{
    Fixture fixture(*rc::gen::arbitrary<uint32_t>());
    NodeCluster<>& cluster = fixture.cluster;
    RC_ASSERT(cluster.runUntilLeadersElected());
    fixture.addWorkers(6);
    std::vector<JobSpec> jobs;
    for (int i = 0; i < 8; ++i)
        jobs.push_back(batch("b" + std::to_string(i), 3, "sleep 3000").urgency(static_cast<Urgency>(i % 3)).canCheckpoint(i % 2).build());
    jobs.push_back(JobSpecBuilder("g").kind(JobKind::AllAtOnce).team("t").tasks(4).size({ 2000, 1024, 0 }).dataCentre("dc-0").command("sleep 500").build());
    fixture.apply(jobs);
    const auto faults = *rc::gen::container<std::vector<std::pair<uint8_t, uint8_t>>>(8, rc::gen::arbitrary<std::pair<uint8_t, uint8_t>>());
    std::optional<uint32_t> crashedHost;
    for (const auto& [kind, value] : faults) {
        switch (kind % 4) {
        case 0:
            if (!crashedHost && cluster.dataCentreLeader(0)) {
                crashedHost = *cluster.dataCentreLeader(0);
                cluster.kill(*crashedHost);
            }
            break;
        case 1:
            if (crashedHost) {
                cluster.restart(*crashedHost);
                crashedHost.reset();
                cluster.run(5s);
            }
            break;
        case 2:
            cluster.setWorkerDisconnected(value % 6, value % 3 != 0);
            break;
        default:
            cluster.cancel(value % 3, "dc-0", { "b0" });
        }
        cluster.run(std::chrono::milliseconds(200 + value * 20));
    }
    if (crashedHost)
        cluster.restart(*crashedHost);
    for (size_t i = 0; i < 6; ++i)
        cluster.setWorkerDisconnected(i, false);
    for (const JobSpec& job : jobs) {
        RC_ASSERT(cluster.runUntilTrue([&] {
            return fixture.count(job.name, TaskState::Finished) + fixture.count(job.name, TaskState::Cancelled) == job.tasks;
        },
            120s));
    }
}

BOOST_AUTO_TEST_SUITE_END()
