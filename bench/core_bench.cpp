// Microbenchmarks of the core and the codec.

#include "io/record_codec.h"
#include "node.h"

#include <benchmark/benchmark.h>

using namespace eelgrassloft;

namespace {

PeerMessage claimMessage()
{
    return Proposal<DataCentreStateMachine> { HostId { 3 }, 1234, 0, ClaimKey { "order-2026-12-04-000123", 0x1234567890abcdef, { HostId { 3 }, 1764843000000000, RequestId { 99 } }, Time(std::chrono::hours(490000)) } };
}

void encodeClaim(benchmark::State& state)
{
    const PeerMessage message = claimMessage();
    for (auto _ : state)
        benchmark::DoNotOptimize(io::encode(message));
    state.counters["bytes"] = static_cast<double>(encodedSize(message));
}

void decodeClaim(benchmark::State& state)
{
    const std::string bytes = io::encode(claimMessage());
    io::RecordDecoder decoder;
    for (auto _ : state)
        benchmark::DoNotOptimize(decoder.decode<PeerMessage>(bytes));
}

void countClaim(benchmark::State& state)
{
    const PeerMessage message = claimMessage();
    for (auto _ : state)
        benchmark::DoNotOptimize(encodedSize(message));
}

void claimAndSettle(benchmark::State& state)
{
    IdempotencyTable table;
    uint64_t number = 0;
    const Time at(std::chrono::hours(1000));
    for (auto _ : state) {
        const std::string key = "order-" + std::to_string(++number);
        const ClaimOwner owner { HostId { 1 }, 1, RequestId { number } };
        benchmark::DoNotOptimize(table.claim(at, { key, number, owner, at }));
        benchmark::DoNotOptimize(table.settle({ key, owner, Outcome::Answered, {}, {} }));
    }
}

/// A worker's report with `tasks` running tasks; 30 is the planned number on one worker.
PeerMessage reportMessage(int64_t tasks)
{
    WorkerReport report { "worker-1234", 1764843000, 99, "rack-17", { 16000, 65536, 2 }, false, {} };
    for (int64_t i = 0; i < tasks; ++i)
        report.tasks.push_back({ TaskId { 1000000 + static_cast<uint64_t>(i) }, 1, TaskState::Running, { 500, 1000, 0 }, {} });
    return ForwardedReport { CallId { 1 }, std::move(report) };
}

void decodeReport(benchmark::State& state)
{
    const PeerMessage message = reportMessage(state.range(0));
    const std::string bytes = io::encode(message);
    io::RecordDecoder decoder;
    for (auto _ : state)
        benchmark::DoNotOptimize(decoder.decode<PeerMessage>(bytes));
    state.counters["bytes"] = static_cast<double>(bytes.size());
}

/// The leader's handling of a report without changes.
void handleReport(benchmark::State& state)
{
    const Peers peers(NodeSettingsBuilder().cluster("c").self(1).host(1, "d").build());
    Counters counters;
    Random random(1);
    TaskTable tasks;
    const Time at(std::chrono::hours(1));
    tasks.apply(at, SyncJobs { 1, { JobSpecBuilder("j").team("t").tasks(static_cast<uint32_t>(state.range(0))).size({ 100, 10, 0 }).build() }, {}, {}, {} });
    tasks.apply(at, SetWorker { "w", 1, "r", { 16000, 65536, 0 }, false });
    WorkerReport report { "w", 1, 0, "r", { 16000, 65536, 0 }, false, {} };
    for (uint64_t id = 1; id <= static_cast<uint64_t>(state.range(0)); ++id) {
        tasks.apply(at, PlaceTasks { { { TaskId { id }, 1, "w", 1 } }, false });
        tasks.apply(at, ReportTasks { { { TaskId { id }, 1, TaskState::Running, {} } } });
        report.tasks.push_back({ TaskId { id }, 1, TaskState::Running, { 100, 10, 0 }, {} });
    }
    WorkerController controller;
    controller.start(tasks, at);
    controller.setMayRenew(true);
    for (auto _ : state) {
        NodeStep step { at, peers, counters, random };
        ++report.sequence;
        controller.report(step, tasks, report, { HostId { 1 }, CallId { report.sequence } });
        benchmark::DoNotOptimize(step.effects);
    }
}

} // namespace

BENCHMARK(decodeReport)->Arg(1)->Arg(30);
BENCHMARK(handleReport)->Arg(1)->Arg(30);
BENCHMARK(encodeClaim);
BENCHMARK(decodeClaim);
BENCHMARK(countClaim);
BENCHMARK(claimAndSettle);

BENCHMARK_MAIN();
