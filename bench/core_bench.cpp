// Small parts of the core and the codec, by Google Benchmark.

#include "io/record_codec.h"
#include "node.h"

#include <benchmark/benchmark.h>

using namespace eelgrassloft;

namespace {

PeerMessage claimMessage()
{
    return Proposal<DataCentreMachine> { HostId { 3 }, 1234, 0, ClaimKey { "order-2026-12-04-000123", 0x1234567890abcdef, { HostId { 3 }, 1764843000000000, RequestId { 99 } }, Time(std::chrono::hours(490000)) } };
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
    ClaimTable table;
    uint64_t number = 0;
    const Time at(std::chrono::hours(1000));
    for (auto _ : state) {
        const std::string key = "order-" + std::to_string(++number);
        const ClaimOwner owner { HostId { 1 }, 1, RequestId { number } };
        benchmark::DoNotOptimize(table.claim(at, { key, number, owner, at }));
        benchmark::DoNotOptimize(table.settle({ key, owner, Outcome::Answered, {}, {} }));
    }
}

} // namespace

BENCHMARK(encodeClaim);
BENCHMARK(decodeClaim);
BENCHMARK(countClaim);
BENCHMARK(claimAndSettle);

BENCHMARK_MAIN();
