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
        config.queues.push_back({ "advised", "host", "/advised/", "pool", 1, 4, 2, 400ms, AdviceTiming { 1200ms, 7ms, 2500ms } });
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

    JobKey submit(const StepSpec& step, const std::string& queue = "queue")
    {
        const JobKey key { m_nextJob++ };
        table.apply(now, SubmitWork { key, queue, { "text", { step }, 0, {}, {} } });
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

    void endOneRun(uint32_t worker)
    {
        WorkerView& view = *views.find(WorkerNumber { worker });
        if (!view.runs.empty())
            end(view, view.runs.begin()->first);
    }

    /// Ends the run of a job of one task, if it has one.
    void end(JobKey job)
    {
        for (auto& [number, view] : views.all()) {
            const auto run = view.runs.lower_bound({ { job, 0, 0, 0 }, 0 });
            if (run != view.runs.end() && run->first.task.job == job)
                end(view, TaskRun { run->first });
        }
    }

    void end(WorkerView& view, const TaskRun run)
    {
        view.removeRun(run);
        table.apply(now, RecordRunOutcomes { view.number, { { ++m_lastEnd, run, RunOutcome::Done, {} } } });
    }

    /// Submits a task that may have crashed a worker, as it had just started there when it was lost.
    JobKey submitSuspect(const StepSpec& step, const std::string& queue = "queue")
    {
        const JobKey key = submit(step, queue);
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
        for (const AdviceClient::Query& query : plan.queries)
            ask(query);
        now += planPeriod;
        while (!replies.empty() && replies.begin()->first <= now) {
            advice.handleReply(now, table, replies.begin()->second);
            replies.erase(replies.begin());
        }
    }

    /// Sends the query, which allows every worker once the delay of the service has passed.
    void ask(const AdviceClient::Query& query)
    {
        FleetStep step;
        step.now = now;
        advice.sendQuery(step, table, HostId { 1 }, query);
        const auto* own = std::get_if<CallAdvice>(&step.effects.front());
        const AdviceRequest request = own ? own->request : std::get<AdviceRequest>(std::get<SendFleetMessage>(step.effects.front()).message);
        AdviceReply reply { request.number, true, {}, 2500ms };
        for (const std::string& worker : request.workers)
            reply.allowed.push_back({ worker, "ticket" });
        replies.emplace(now + adviceDelay, std::move(reply));
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
    Duration adviceDelay {};
    std::multimap<Time, AdviceReply> replies; ///< Not yet delivered.

private:
    uint64_t m_nextJob = 1;
    uint64_t m_lastEnd = 0;
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

/// A suspect waited for a worker with room whose last start was never answered, so that it could not run beside that.
BOOST_AUTO_TEST_CASE(suspectWaitsForAWorkerWithAnUnansweredStart)
{
    forEachCount([](uint32_t workers, uint32_t suspects) {
        Fixture fixture;
        fixture.addWorkers(workers);
        fixture.run(1, 3, taskOf(1000));
        RunView& unanswered = fixture.views.find(WorkerNumber { 1 })->runs.begin()->second;
        unanswered.phase = RunPhase::Starting;
        unanswered.confirmedAt = {};
        unanswered.mayStartLate = true;
        for (uint32_t worker = 2; worker <= workers; ++worker)
            fixture.run(worker, 4, taskOf(1000));
        std::vector<JobKey> jobs;
        for (uint32_t i = 0; i < suspects; ++i)
            jobs.push_back(fixture.submitSuspect(taskOf(4000)));
        fixture.planFor(10s);
        for (const JobKey job : jobs)
            BOOST_TEST(fixture.isPlaced(job));
    });
}

/// Guards against giving a worker back each time before the ticket for it comes.
BOOST_AUTO_TEST_CASE(suspectWaitsBesideLastingTasksForSlowAdvice)
{
    for (Duration delay = 100ms; delay <= 3s; delay += 100ms) {
        BOOST_TEST_CONTEXT(delay / 1ms << " ms")
        {
            Fixture fixture;
            fixture.adviceDelay = delay;
            fixture.advice.setHosts({ HostId { 1 }, HostId { 2 }, HostId { 3 }, HostId { 4 }, HostId { 5 }, HostId { 6 } });
            fixture.addWorkers(3);
            for (uint32_t worker = 1; worker <= 3; ++worker)
                fixture.run(worker, 4, taskOf(1000));
            const JobKey job = fixture.submitSuspect(taskOf(4000), "advised");
            fixture.planFor(20s);
            BOOST_TEST(fixture.isPlaced(job));
        }
    }
}

/// Suspects that fitted nowhere kept workers withheld, so that a small task was not placed in their free room.
BOOST_AUTO_TEST_CASE(smallTaskWaitsBesideSuspectsThatNeverFit)
{
    for (const bool isLongRunning : { true, false }) {
        forEachCount([&](uint32_t workers, uint32_t suspects) {
            Fixture fixture;
            fixture.addWorkers(workers);
            const uint32_t withRoom = std::min(workers, 2U);
            for (uint32_t worker = 1; worker <= workers; ++worker)
                worker <= withRoom ? fixture.run(worker, 3, taskOf(2000), isLongRunning) : fixture.run(worker, 4, taskOf(4000), isLongRunning);
            std::vector<JobKey> jobs;
            for (uint32_t i = 0; i < suspects; ++i)
                jobs.push_back(fixture.submitSuspect(taskOf(12000)));
            fixture.planOnce();
            for (int i = 0; i < 3; ++i) {
                const JobKey small = fixture.submit(taskOf(1000));
                fixture.planFor(3s);
                BOOST_TEST(fixture.isPlaced(small));
            }
            for (const JobKey job : jobs)
                BOOST_TEST(!fixture.isPlaced(job));
        });
    }
}

/// Guards against runs that come and go on one withheld worker, so that another is never given back.
BOOST_AUTO_TEST_CASE(workerIsWithheldForAsLongAsRunsEndOnOthers)
{
    Fixture fixture;
    fixture.addWorkers(2);
    fixture.run(1, 3, taskOf(2000));
    CrashIsolation isolation;
    bool wasGivenBack = false;
    for (int i = 0; i < 150; ++i) {
        if (i % 10 == 0)
            fixture.run(2, 1, taskOf(1000), false);
        if (i % 10 == 5)
            fixture.endOneRun(2);
        CapacityView capacityView(fixture.views.all(), fixture.now);
        isolation.begin(fixture.views.all(), capacityView, false, fixture.now);
        wasGivenBack |= i > 0 && capacityView.find(WorkerNumber { 1 })->freeCapacity != Resources {};
        isolation.takeTurn();
        isolation.withhold({ capacityView.find(WorkerNumber { 1 }), capacityView.find(WorkerNumber { 2 }) }, taskOf(12000), 2);
        fixture.now += planPeriod;
    }
    BOOST_TEST(wasGivenBack);
}

/// Guards against giving a worker back while its runs end one by one, so that others take the room each time.
BOOST_AUTO_TEST_CASE(largeSuspectIsPlacedInABusyFleet)
{
    forEachCount([](uint32_t workers, uint32_t suspects) {
        Fixture fixture;
        fixture.addWorkers(workers);
        for (uint32_t worker = 1; worker <= workers; ++worker)
            fixture.run(worker, 4, taskOf(4000), false);
        std::vector<JobKey> jobs;
        for (uint32_t i = 0; i < suspects; ++i)
            jobs.push_back(fixture.submitSuspect(taskOf(16000)));
        for (int round = 0; round < 40; ++round) {
            for (uint32_t worker = 1; worker <= workers; ++worker) {
                fixture.endOneRun(worker);
                fixture.submit(taskOf(4000));
            }
            fixture.planFor(1s);
        }
        for (const JobKey job : jobs)
            BOOST_TEST(fixture.isPlaced(job));
    });
}

BOOST_AUTO_TEST_SUITE_END()
