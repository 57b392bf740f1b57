#include "work_planner.h"
#include "worker_views.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

constexpr Duration planPeriod = 100ms;

StepSpec taskOf(uint32_t processorMillis)
{
    StepSpec step;
    step.size = { processorMillis, processorMillis, 0 };
    step.estimate = 1s;
    return step;
}

/// Workers of 16 processors, and a planner without an advice service.
struct Fixture {
    Fixture()
    {
        FleetConfig config;
        config.version = 1;
        config.queues.push_back({ "queue", "host", "/jobs/", "pool", 0, 4, 2, 400ms, {} });
        config.pools.push_back({ "pool" });
        table.apply(now, SetFleetConfig { config });
    }

    void addWorkers(uint32_t count)
    {
        for (uint32_t i = 0; i < count; ++i) {
            WorkerInfo info;
            info.id = "worker-" + std::to_string(i);
            info.startedAtMs = 1;
            info.address = "10.0.0." + std::to_string(i) + ":80";
            info.pool = "pool";
            info.capacity = { 16000, 32000, 0 };
            table.apply(now, SetFleetWorker { info });
        }
        views.start(table, now, 3s);
        for (auto& [number, view] : views.all())
            view.isSynced = true;
    }

    JobKey submit(const StepSpec& step)
    {
        const JobKey key { m_nextJob++ };
        table.apply(now, SubmitWork { key, "queue", { "text", { step }, 0, {}, {} } });
        return key;
    }

    void place(const RunPlacement& placement)
    {
        views.reserve(table, placement, {});
        table.apply(now, PlaceRuns { { placement } });
        views.completePlacement(table, now, placement);
    }

    /// Places tasks of one job each on the worker, where they have been at work for a while.
    void run(uint32_t worker, size_t count, StepSpec step, bool isLongRunning = true)
    {
        step.isLongRunning = isLongRunning;
        while (count--) {
            const RunPlacement placement { { { submit(step), 0, 0, 0 }, 1 }, WorkerNumber { worker } };
            place(placement);
            RunView& view = views.find(placement.worker)->runs.at(placement.run);
            view.phase = RunPhase::Running;
            view.confirmedAt = view.progressAt = view.reportedSince = now - 10s;
            view.hasStarted = view.isReported = true;
            view.percent = view.firstPercent = isLongRunning ? 100 : 1;
        }
    }

    /// Submits a task that may have crashed a worker, as it had just started there when it was lost.
    JobKey submitSuspect(const StepSpec& step)
    {
        const JobKey key = submit(step);
        const RunPlacement placement { { { key, 0, 0, 0 }, 1 }, WorkerNumber { 1 } };
        table.apply(now, PlaceRuns { { placement } });
        table.apply(now, RequeueLostRuns { placement.worker, { { placement.run, {}, CrashEvidence::Strong } } });
        table.apply(now, RecordRunOutcomes { placement.worker, {} });
        return key;
    }

    void planOnce()
    {
        for (auto& [number, view] : views.all())
            view.noteAlive(now);
        const WorkPlan plan = planner.plan(table, views.all(), advice, {}, now);
        for (const PlannedRun& run : plan.runs) {
            place(run.placement);
            RunView& view = views.find(run.placement.worker)->runs.at(run.placement.run);
            view.phase = RunPhase::Running;
            view.confirmedAt = now;
            view.hasStarted = true;
            placedAt.try_emplace(run.placement.run.task.job, now);
        }
        now += planPeriod;
    }

    void planFor(Duration duration)
    {
        for (const Time end = now + duration; now < end;)
            planOnce();
    }

    bool isPlaced(JobKey job) const { return placedAt.count(job) > 0; }

    Time now { 1h };
    WorkTable table;
    WorkerViews views;
    AdviceClient advice;
    WorkPlanner<TardinessCostPolicy> planner { 1 };
    std::map<JobKey, Time> placedAt; ///< By the planner.

private:
    uint64_t m_nextJob = 1;
};

/// Calls `test` with 2 to 6 workers and 1 to 3 suspects.
template <typename Test>
void forEachCount(Test test)
{
    for (uint32_t workers = 2; workers <= 6; ++workers) {
        for (uint32_t suspects = 1; suspects <= 3; ++suspects)
            BOOST_TEST_CONTEXT(workers << " workers, " << suspects << " suspects") { test(workers, suspects); }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(SuspectRoomTests)

/// A suspect waited for the worker with the fewest runs, which never had room for it, beside others that had.
BOOST_AUTO_TEST_CASE(suspectWaitsForAWorkerThatLastingTasksFill)
{
    forEachCount([](uint32_t workers, uint32_t suspects) {
        for (const uint32_t firstWithRoom : { 1U, 2U, workers }) {
            Fixture fixture;
            fixture.addWorkers(workers);
            for (uint32_t worker = 1; worker <= workers; ++worker) {
                const bool hasRoom = worker >= firstWithRoom && (firstWithRoom > 1 || worker < workers);
                hasRoom ? fixture.run(worker, 4, taskOf(1000)) : fixture.run(worker, 3, taskOf(4500));
            }
            std::vector<JobKey> jobs;
            for (uint32_t i = 0; i < suspects; ++i)
                jobs.push_back(fixture.submitSuspect(taskOf(4000)));
            fixture.planFor(10s);
            for (const JobKey job : jobs)
                BOOST_TEST(fixture.isPlaced(job));
        }
    });
}

/// The same with a task that ends some day, so that its room counts as room to come.
BOOST_AUTO_TEST_CASE(suspectWaitsForAWorkerWhoseTasksDoNotEnd)
{
    forEachCount([](uint32_t workers, uint32_t suspects) {
        Fixture fixture;
        fixture.addWorkers(workers);
        fixture.run(1, 3, taskOf(4500), false);
        for (uint32_t worker = 2; worker <= workers; ++worker)
            fixture.run(worker, 4, taskOf(1000));
        std::vector<JobKey> jobs;
        for (uint32_t i = 0; i < suspects; ++i)
            jobs.push_back(fixture.submitSuspect(taskOf(4000)));
        fixture.planFor(3s * suspects);
        for (const JobKey job : jobs)
            BOOST_TEST(fixture.isPlaced(job));
    });
}

BOOST_AUTO_TEST_SUITE_END()
