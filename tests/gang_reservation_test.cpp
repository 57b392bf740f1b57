#include "work_planner.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t gangPriority = 1;
constexpr uint32_t laterPriority = 2;

/// Four workers of 16 processors, each filled with checkpointed runs of a queue with a lower
/// priority.
struct FullFleet {
    FullFleet()
    {
        FleetConfig config;
        config.version = 1;
        config.queues.push_back({ "gangs", "host", "/g/", "pool", gangPriority, 3, 2, 1200ms, {} });
        config.queues.push_back({ "later", "host", "/l/", "pool", laterPriority, 4, 4, 3s, {} });
        config.queues.push_back({ "urgent", "host", "/u/", "pool", 0, 4, 2, 400ms, {} });
        config.pools.push_back({ "pool" });
        table.apply(now, SetFleetConfig { config });
        for (uint32_t i = 0; i < 4; ++i)
            addWorker(i);
    }

    void addWorker(uint32_t index)
    {
        WorkerInfo info;
        info.id = "worker-" + std::to_string(index);
        info.address = "10.0.0." + std::to_string(index) + ":1";
        info.pool = "pool";
        info.capacity = { 16000, 64000, 0 };
        table.apply(now, SetFleetWorker { info });
        const WorkerNumber number = table.findWorker(info.id);
        WorkerView& workerView = workerViews[number];
        workerView.number = number;
        workerView.info = info;
        workerView.isSynced = true;
        for (uint32_t task = 0; task < 8; ++task) {
            RunView runView;
            runView.size = { 2000, 4000, 0 };
            runView.canCheckpoint = true;
            runView.priority = laterPriority;
            runView.phase = RunPhase::Running;
            workerView.addRun({ { JobKey { 1000 + index }, 0, 0, task }, 1 }, runView);
        }
    }

    void submit(uint64_t key, const std::string& queue, uint32_t tasks, uint32_t processors, bool isGang)
    {
        StepSpec step;
        step.count = tasks;
        step.size = { processors, 4000, 0 };
        step.estimate = 5s;
        step.isGang = isGang;
        table.apply(now, SubmitWork { JobKey { key }, queue, { "text", { step }, 0, {}, {} } });
    }

    WorkPlan plan() { return planner.plan(table, workerViews, advice, {}, now); }

    /// Removes the runs that a plan preempts, as if the workers had stopped them.
    void execute(const WorkPlan& plan)
    {
        for (const RunPlacement& victim : plan.preemptions)
            workerViews.at(victim.worker).removeRun(victim.run);
    }

    Time now { 1h };
    WorkTable table;
    std::map<WorkerNumber, WorkerView> workerViews;
    AdviceClient advice;
    WorkPlanner<DeadlinePolicy> planner { 1 };
};

/// A gang that takes 4 s and 36 processors, against ten checkpointed runs of two processors. Its objective is in
/// `slack` from now, in addition to what it needs.
struct Preemption {
    explicit Preemption(Duration slack, uint32_t victimPriority = laterPriority)
        : gang { gangPriority, false, 36.0 * static_cast<double>(Duration(4s).count()), 1, 4s, now + 4s + slack, now + 4s + slack + 20s }
        , victims(10, PreemptionVictim { victimPriority, false, 2, 1100ms })
    {
    }

    bool isWorthwhile(Duration wait) const { return ValuePreemption().isWorthwhile({ gang, now + config::preemptionTime, now + wait, victims }); }

    Time now { 1h };
    PreemptingGang gang;
    std::vector<PreemptionVictim> victims;
};

size_t runsOf(const WorkPlan& plan, uint64_t key)
{
    return static_cast<size_t>(std::count_if(plan.runs.begin(), plan.runs.end(), [&](const PlannedRun& run) { return run.placement.run.task.job == JobKey { key }; }));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(GangReservationTests, FullFleet)

BOOST_AUTO_TEST_CASE(checkpointedRunsOfLowerPriorityArePreempted)
{
    submit(1, "gangs", 8, 4500, true);
    const WorkPlan first = plan();
    BOOST_TEST(first.runs.empty());
    BOOST_TEST(!first.preemptions.empty());
    execute(first);
    BOOST_TEST(runsOf(plan(), 1) == 8U);
}

BOOST_AUTO_TEST_CASE(onlyAsManyRunsAsNeededArePreempted)
{
    submit(1, "gangs", 2, 4500, true);
    // Two tasks of 4.5 processors need five runs of two processors out of the way on one worker.
    BOOST_TEST(plan().preemptions.size() == 5U);
}

BOOST_AUTO_TEST_CASE(nearlyDoneRunsAreNotPreempted)
{
    for (auto& [number, workerView] : workerViews) {
        for (auto& [run, runView] : workerView.runs)
            runView.percent = 95;
    }
    submit(1, "gangs", 8, 4500, true);
    BOOST_TEST(plan().preemptions.empty());
}

BOOST_AUTO_TEST_CASE(runsWithoutCheckpointsAreNotPreempted)
{
    for (auto& [number, workerView] : workerViews) {
        for (auto& [run, runView] : workerView.runs)
            runView.canCheckpoint = false;
    }
    submit(1, "gangs", 8, 4500, true);
    BOOST_TEST(plan().preemptions.empty());
}

/// Guards against starvation of a gang: capacity becomes free one task at a time, and waiting small
/// tasks of a lower priority would take it each time.
BOOST_AUTO_TEST_CASE(freedCapacityIsReservedForTheGang)
{
    for (auto& [number, workerView] : workerViews) {
        for (auto& [run, runView] : workerView.runs)
            runView.canCheckpoint = false;
    }
    submit(1, "gangs", 12, 4500, true);
    submit(2, "later", 200, 2000, false);
    plan();
    for (int round = 0; round < 8; ++round) {
        for (auto& [number, workerView] : workerViews)
            workerView.removeRun(TaskRun(workerView.runs.begin()->first));
        const WorkPlan next = plan();
        if (runsOf(next, 1)) {
            BOOST_TEST(runsOf(next, 1) == 12U);
            return;
        }
        BOOST_TEST(runsOf(next, 2) == 0U); // All four workers are needed for twelve tasks.
    }
    BOOST_ERROR("the gang was not placed");
}

BOOST_AUTO_TEST_CASE(urgentTasksAreStillPlacedBesideReservations)
{
    workerViews.begin()->second.removeRun(TaskRun(workerViews.begin()->second.runs.begin()->first));
    submit(3, "urgent", 1, 2000, false);
    submit(1, "gangs", 8, 4500, true);
    BOOST_TEST(runsOf(plan(), 3) == 1U);
}

/// By arrival, an old batch past its late limit goes before jobs of the same priority that can still
/// meet their objective.
BOOST_AUTO_TEST_CASE(jobsInTimeGoBeforeJobsPastTheirLateLimit)
{
    for (auto& [number, workerView] : workerViews) {
        while (!workerView.runs.empty())
            workerView.removeRun(TaskRun(workerView.runs.begin()->first));
    }
    submit(1, "later", 64, 2000, false);
    now += 10min;
    submit(2, "later", 32, 2000, false);
    const WorkPlan byDeadline = plan();
    WorkPlanner<ArrivalPolicy> arrival(1);
    const WorkPlan byArrival = arrival.plan(table, workerViews, advice, {}, now);
    BOOST_TEST(runsOf(byDeadline, 2) == 32U);
    BOOST_TEST(runsOf(byArrival, 2) == 0U);
}

/// Runs were stopped for every gang that had to wait for more than half a second, whether its caller gained by it
/// or not.
BOOST_AUTO_TEST_CASE(runsAreStoppedOnlyForAGain)
{
    BOOST_TEST(!Preemption(10s).isWorthwhile(3s)); // In time anyway.
    BOOST_TEST(Preemption(3s).isWorthwhile(6s)); // Late otherwise.
    BOOST_TEST(!Preemption(-10s).isWorthwhile(3s)); // Late anyway.
    BOOST_TEST(Preemption(-18s).isWorthwhile(10s)); // Of no value otherwise.
    BOOST_TEST(!Preemption(-40s).isWorthwhile(10s)); // Of no value anyway.
    BOOST_TEST(Preemption(-40s).isWorthwhile(never - Time { 1h })); // Would never end.
    Preemption unknown(10s);
    unknown.gang.work = 0;
    BOOST_TEST(unknown.isWorthwhile(3s)); // Without estimates.
    BOOST_TEST(AlwaysPreempt().isWorthwhile({}));
}

/// More work was thrown away than the gang was worth.
BOOST_AUTO_TEST_CASE(lostWorkCountsByPriorityAndTime)
{
    Preemption preemption(3s);
    for (PreemptionVictim& victim : preemption.victims)
        victim.lostTime = 20s;
    BOOST_TEST(!preemption.isWorthwhile(6s));
    preemption.gang.work *= 10;
    BOOST_TEST(preemption.isWorthwhile(6s));
    BOOST_TEST(ValuePreemption::loss(Preemption(3s, laterPriority).victims) > ValuePreemption::loss(Preemption(3s, laterPriority + 1).victims));
    RunView run;
    run.confirmedAt = now - 10s;
    BOOST_TEST((victimOf(run, false, now).lostTime > 10s));
    run.checkpoint = "saved";
    BOOST_TEST((victimOf(run, false, now).lostTime < 2s));
}

/// Gangs beyond the share of their workspace kept stopping the owed work of others.
BOOST_AUTO_TEST_CASE(gangBeyondItsShareStopsNoOwedRuns)
{
    Preemption preemption(3s);
    preemption.gang.isBeyondShare = true;
    BOOST_TEST(!preemption.isWorthwhile(6s));
    BOOST_TEST(!SharePreemption().isWorthwhile({ preemption.gang, preemption.now, preemption.now + 6s, preemption.victims }));
    for (PreemptionVictim& victim : preemption.victims)
        victim.isBeyondShare = true;
    BOOST_TEST(preemption.isWorthwhile(6s));
}

BOOST_AUTO_TEST_SUITE_END()
