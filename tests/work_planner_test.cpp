#include "work_planner.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1h };
constexpr uint32_t tasksPerJob = 3;

/// Idle workers and a queue whose steps need advice, which the test gives.
struct Fixture {
    Fixture()
    {
        FleetConfig config;
        config.version = 1;
        config.queues.push_back({ "queue", "host", "/jobs/", "pool", 0, 4, 2, 400ms, AdviceTiming { 20ms, 1ms, 2500ms } });
        config.queues.push_back({ "later", "host", "/later/", "pool", 1, 4, 2, 400ms, {} });
        config.pools.push_back({ "pool" });
        table.apply(start, SetFleetConfig { config });
    }

    void addWorkers(uint32_t count)
    {
        for (uint32_t i = 0; i < count; ++i) {
            WorkerInfo info;
            info.id = "worker-" + std::to_string(i);
            info.startedAtMs = 1;
            info.address = "10.0.0." + std::to_string(i) + ":80";
            info.pool = "pool";
            info.capacity = { 16000, 32768, 0 };
            table.apply(start, SetFleetWorker { info });
        }
        for (const auto& [number, record] : table.workers()) {
            WorkerView& view = workerViews[number];
            view.number = number;
            view.info = record.info;
            view.isSynced = true;
        }
    }

    void setAdviceHosts(uint32_t count)
    {
        std::set<HostId> hosts;
        for (uint32_t i = 1; i <= count; ++i)
            hosts.insert(HostId { i });
        advice.setHosts(hosts);
    }

    void submit(uint64_t key, bool isGang = false, const std::string& queue = "queue")
    {
        StepSpec step;
        step.count = tasksPerJob;
        step.size = { 2500, 2000, 0 };
        step.estimate = 600ms;
        step.isGang = isGang;
        table.apply(start, SubmitWork { JobKey { key }, queue, { "text", { step }, 0, {}, {} } });
    }

    /// Submits jobs whose tasks may have crashed a worker, as they had just started there when it was lost.
    void submitSuspects(uint64_t firstKey, uint64_t count, const std::string& queue)
    {
        const WorkerNumber worker = table.workers().begin()->first;
        for (uint64_t key = firstKey; key < firstKey + count; ++key) {
            submit(key, false, queue);
            RequeueLostRuns lost { worker, {} };
            PlaceRuns placed;
            for (uint32_t index = 0; index < tasksPerJob; ++index) {
                const TaskRun run { { JobKey { key }, 0, 0, index }, 1 };
                placed.placements.push_back({ run, worker });
                lost.runs.push_back({ run, {}, CrashEvidence::Strong });
            }
            table.apply(start, placed);
            table.apply(start, lost);
        }
    }

    /// Starts the runs of a plan, and crashes their workers.
    void startAndCrash(const WorkPlan& plan)
    {
        PlaceRuns command;
        for (const PlannedRun& run : plan.runs) {
            command.placements.push_back(run.placement);
            RunView view;
            view.size = { 2500, 2000, 0 };
            view.isSuspect = true;
            view.phase = RunPhase::Running;
            WorkerView& worker = workerViews.at(run.placement.worker);
            worker.addRun(run.placement.run, view);
            worker.isUnresponsive = true;
        }
        table.apply(start, command);
    }

    WorkPlan plan() { return planner.plan(table, workerViews, advice, {}, start); }

    /// Sends the plan's queries and allows every worker that they name.
    void allowAll(const WorkPlan& plan)
    {
        for (const AdviceClient::Query& query : plan.queries) {
            FleetStep step;
            step.now = start;
            advice.sendQuery(step, table, HostId { 1 }, query);
            const AdviceRequest request = requestOf(step);
            AdviceReply reply { request.number, true, {}, 2500ms };
            for (const std::string& worker : request.workers)
                reply.allowed.push_back({ worker, "ticket" });
            advice.handleReply(start, table, reply);
        }
    }

    static AdviceRequest requestOf(const FleetStep& step)
    {
        BOOST_REQUIRE(step.effects.size() == 1U);
        if (const auto* own = std::get_if<CallAdvice>(&step.effects.front()))
            return own->request;
        return std::get<AdviceRequest>(std::get<SendFleetMessage>(step.effects.front()).message);
    }

    WorkTable table;
    std::map<WorkerNumber, WorkerView> workerViews;
    AdviceClient advice;
    WorkPlanner<DeadlinePolicy> planner { 1 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkPlannerTests, Fixture)

/// All steps of a plan asked for the same few workers, of which the first steps took all the room.
BOOST_AUTO_TEST_CASE(idleWorkersStayIdleWhileWaitingStepsAllAskForTheSameOnes)
{
    constexpr uint32_t jobs = 20;
    addWorkers(40);
    setAdviceHosts(jobs);
    for (uint64_t key = 1; key <= jobs; ++key)
        submit(key);
    const WorkPlan queries = plan();
    BOOST_TEST(queries.queries.size() == jobs);
    allowAll(queries);
    BOOST_TEST(plan().runs.size() == jobs * tasksPerJob);
}

/// The leader's time went to queries of waiting gangs that no host was free to make.
BOOST_AUTO_TEST_CASE(leaderPlansQueriesOfGangsThatNoHostIsFreeFor)
{
    constexpr uint32_t hosts = 5;
    addWorkers(40);
    setAdviceHosts(hosts);
    for (uint64_t key = 1; key <= 100; ++key)
        submit(key, true);
    BOOST_TEST(plan().queries.size() == hosts);
}

/// Each plan named the same idle workers again for steps that came while the queries of others were
/// under way, and only one of the steps found room there.
BOOST_AUTO_TEST_CASE(queriesOfLaterPlansAskForTheSameIdleWorkers)
{
    constexpr uint32_t jobs = 10;
    addWorkers(20);
    setAdviceHosts(jobs);
    std::map<WorkerNumber, Resources> expectedUse;
    for (uint64_t key = 1; key <= jobs; ++key) {
        submit(key);
        const WorkPlan next = plan();
        BOOST_REQUIRE(next.queries.size() == 1U);
        for (const auto& [worker, use] : next.queries.front().expectedUse)
            expectedUse[worker] += use;
        FleetStep step;
        step.now = start;
        advice.sendQuery(step, table, HostId { 1 }, next.queries.front());
    }
    for (const auto& [worker, use] : expectedUse)
        BOOST_TEST(use.fitsIn(workerViews.at(worker).info.capacity));
}

/// Less urgent tasks that may start at once took what the query of an urgent step had found free.
BOOST_AUTO_TEST_CASE(roomOfAnUrgentStepIsTakenWhileItsQueryIsUnderWay)
{
    addWorkers(1);
    setAdviceHosts(1);
    RunView run;
    run.size = { 8000, 4000, 0 };
    workerViews.begin()->second.addRun({ { JobKey { 100 }, 0, 0, 0 }, 1 }, run);
    submit(1);
    const WorkPlan query = plan();
    BOOST_REQUIRE(query.queries.size() == 1U);
    FleetStep step;
    step.now = start;
    advice.sendQuery(step, table, HostId { 1 }, query.queries.front());
    submit(2, false, "later");
    BOOST_TEST(plan().runs.size() < tasksPerJob); // Without the query, all three would fit.
    const AdviceRequest request = requestOf(step);
    advice.handleReply(start, table, { request.number, true, { { request.workers.front(), "ticket" } }, 2500ms });
    const WorkPlan next = plan();
    BOOST_TEST(next.runs.size() == tasksPerJob);
    BOOST_TEST((next.runs.front().placement.run.task.job == JobKey { 1 }));
}

/// Tasks that may have crashed a worker asked for new tickets all the time, and left no host to ask for others.
BOOST_AUTO_TEST_CASE(suspectsTakeAllCallsForAdvice)
{
    for (const uint32_t hosts : { 2U, 8U, 12U }) {
        BOOST_TEST_CONTEXT(hosts << " hosts")
        {
            Fixture fixture;
            fixture.addWorkers(40);
            fixture.setAdviceHosts(hosts);
            fixture.submitSuspects(1, 40, "queue");
            for (uint64_t key = 101; key <= 140; ++key)
                fixture.submit(key);
            const WorkPlan plan = fixture.plan();
            const auto ofSuspects = std::count_if(plan.queries.begin(), plan.queries.end(), [](const AdviceClient::Query& query) { return query.step.job.value <= 40; });
            BOOST_TEST(plan.queries.size() == hosts);
            BOOST_TEST(ofSuspects == hosts / 2);
        }
    }
}

/// Tasks that crash their worker were given half of the workers left, again and again, while others
/// found no room.
BOOST_AUTO_TEST_CASE(suspectsTakeAllWorkersFromOthers)
{
    for (const uint32_t workers : { 16U, 60U }) {
        BOOST_TEST_CONTEXT(workers << " workers")
        {
            Fixture fixture;
            fixture.addWorkers(workers);
            StepSpec large;
            large.size = { 17000, 2000, 0 }; // More than any worker has.
            for (uint64_t key = 1000; key < 1000 + workers; ++key)
                fixture.table.apply(start, SubmitWork { JobKey { key }, "later", { "text", { large }, 0, {}, {} } });
            fixture.plan();
            fixture.submitSuspects(1, workers * 2, "later");
            for (int round = 0; round < 20; ++round)
                fixture.startAndCrash(fixture.plan());
            const auto crashed = std::count_if(fixture.workerViews.begin(), fixture.workerViews.end(), [](const auto& entry) { return entry.second.isUnresponsive; });
            BOOST_TEST(crashed > 0);
            BOOST_TEST(crashed <= workers / 2);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
