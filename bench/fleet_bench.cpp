// Time of one placement plan at growing fleet sizes, with more load than the fleet has capacity for.

#include "random.h"
#include "work_planner.h"

#include <benchmark/benchmark.h>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1h };
constexpr uint32_t taskMillis = 1500;
constexpr uint32_t tasksPerStep = 20;

/// A fleet whose workers are fully used, with waiting jobs in several queues.
struct LoadedFleet {
    WorkTable table;
    std::map<WorkerNumber, WorkerView> workerViews;
    AdviceClient advice;
    std::set<TaskRef> inFlight;

    LoadedFleet(uint32_t workers, uint32_t waitingJobs)
    {
        configure();
        addWorkers(workers);
        for (uint32_t i = 0; i < waitingJobs; ++i)
            submit(i + 1, i % 3);
    }

    void configure()
    {
        FleetConfig config;
        config.version = 1;
        for (uint32_t i = 0; i < 3; ++i) {
            QueueSpec queue;
            queue.name = "queue-" + std::to_string(i);
            queue.service = "pool";
            queue.priority = i;
            queue.maxAttempts = 4;
            queue.stretch = 2;
            queue.targetLatency = 1s;
            queue.advice = AdviceTiming { 20ms, 1ms, 2s };
            config.queues.push_back(queue);
        }
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
            info.labels = { "a", "rack-" + std::to_string(i / 8) };
            table.apply(start, SetFleetWorker { info });
        }
        for (const auto& [number, record] : table.workers())
            workerViews[number] = busyWorkerView(number, record.info);
    }

    static WorkerView busyWorkerView(WorkerNumber number, const WorkerInfo& info)
    {
        WorkerView workerView;
        workerView.number = number;
        workerView.info = info;
        workerView.isSynced = true;
        for (uint32_t i = 0; i < 10; ++i) {
            RunView run;
            run.size = { taskMillis, 2000, 0 };
            run.canCheckpoint = i % 2;
            run.priority = 2;
            run.phase = RunPhase::Running;
            workerView.addRun({ { JobKey { 1000000 + number.value }, 0, 0, i }, 1 }, run);
        }
        return workerView;
    }

    void submit(uint64_t key, uint32_t queue)
    {
        WorkSpec work;
        StepSpec step;
        step.count = queue ? tasksPerStep : 3;
        step.size = { queue == 1 ? 4500U : 1700U, 3000, 0 };
        step.estimate = 3s;
        step.isGang = queue == 1;
        step.canCheckpoint = true;
        work.steps.push_back(step);
        work.steps.push_back(step);
        work.steps.back().deps = { 0 };
        table.apply(start, SubmitWork { JobKey { key }, "queue-" + std::to_string(queue), work });
    }
};

/// Arguments: workers and waiting jobs, as in `plan/350/200`.
void plan(benchmark::State& state)
{
    LoadedFleet fleet(static_cast<uint32_t>(state.range(0)), static_cast<uint32_t>(state.range(1)));
    WorkPlanner<DeadlinePolicy> planner(2);
    for (auto _ : state)
        benchmark::DoNotOptimize(planner.plan(fleet.table, fleet.workerViews, fleet.advice, fleet.inFlight, start + 1s));
}

void readySteps(benchmark::State& state)
{
    LoadedFleet fleet(1, static_cast<uint32_t>(state.range(0)));
    for (auto _ : state) {
        ReadySteps ready;
        ready.update(fleet.table, start + 1s);
        benchmark::DoNotOptimize(ready);
    }
}

void unchangedReadySteps(benchmark::State& state)
{
    LoadedFleet fleet(1, static_cast<uint32_t>(state.range(0)));
    ReadySteps ready;
    for (auto _ : state) {
        ready.update(fleet.table, start + 1s);
        benchmark::DoNotOptimize(ready);
    }
}

BENCHMARK(plan)->ArgsProduct({ { 48, 350, 2500 }, { 20, 200 } })->Unit(benchmark::kMicrosecond);
BENCHMARK(readySteps)->Arg(20)->Arg(200)->Arg(2000)->Unit(benchmark::kMicrosecond);
BENCHMARK(unchangedReadySteps)->Arg(20)->Arg(200)->Arg(2000)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
