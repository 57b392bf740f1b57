// Benchmarks placement without I/O: decisions per second, time of a decision and packing of the
// scheduler's policies, against first fit by linear scan and random fit, which model the same concept.

#include "placement.h"
#include "samples.h"

#include <cstdio>
#include <cstdlib>

using namespace eelgrassloft;

namespace {

const Time start(std::chrono::hours(1));
constexpr uint32_t workersPerRack = 8;
constexpr int runsPerSize = 5;

struct SampleTask {
    Resources size;
    bool isService = false;
};

/// Draws a task of a mixed load: small services, batch tasks of several shapes, some with accelerators.
SampleTask randomTask(Random& random)
{
    const uint64_t draw = random.below(100);
    if (draw < 20)
        return { { static_cast<uint32_t>(250 + random.below(4) * 250), static_cast<uint32_t>(256 << random.below(3)), 0 }, true };
    if (draw < 70)
        return { { 500, 1024, 0 }, false };
    if (draw < 90)
        return { { static_cast<uint32_t>(1000 * (1 + random.below(4))), static_cast<uint32_t>(1024 * (1 + random.below(8))), 0 }, false };
    return { { 1000, 2048, 1 }, false };
}

struct PlacementFixture {
    explicit PlacementFixture(uint32_t workers)
    {
        for (uint32_t i = 0; i < workers; ++i) {
            // Two of five workers have four or five accelerators: 4,500 for 2,500 workers.
            const uint32_t accelerators = i % 5 < 2 ? 4 + (i % 5 == 0) : 0;
            tasks.apply(start, SetWorker { "w" + std::to_string(i), 1, "r" + std::to_string(i / workersPerRack), { 16000, i % 2 ? 65536U : 32768U, accelerators }, false });
            total += { 16000, i % 2 ? 65536U : 32768U, accelerators };
        }
        index.rebuild(tasks, start);
    }

    TaskTable tasks;
    CapacityIndex index;
    Resources total;
};

struct Result {
    double decisionsPerSecond = 0;
    double medianMicros = 0;
    double p99Micros = 0;
    double packing = 0; ///< Fraction of the scarcest dimension in use when the first task does not fit.
    uint32_t placed = 0;
};

double usedFraction(const Resources& used, const Resources& total)
{
    double fraction = 0;
    forEachValue<Dimension>([&](Dimension dimension) {
        if (total.amount(dimension))
            fraction = std::max(fraction, static_cast<double>(used.amount(dimension)) / total.amount(dimension));
    });
    return fraction;
}

template <PlacementPolicy Pack, PlacementPolicy Spread>
Result placeUntilFull(uint32_t workers, uint64_t seed)
{
    PlacementFixture fixture(workers);
    Random random(seed);
    Random choices(seed + 1);
    Pack pack;
    Spread spread;
    Result result;
    Resources used;
    std::vector<double> micros;
    std::map<uint32_t, PlacementRequest> services; // Ten tasks each.
    uint32_t serviceTasks = 0;
    for (;;) {
        const SampleTask task = randomTask(random);
        PlacementRequest& request = task.isService ? services[serviceTasks / 10] : services[UINT32_MAX];
        request.size = task.size;
        const auto before = std::chrono::steady_clock::now();
        const WorkerSlot slot = task.isService ? spread.choose(fixture.index, request, choices) : pack.choose(fixture.index, request, choices);
        if (slot.isValid())
            fixture.index.allocate(slot, task.size);
        micros.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - before).count());
        if (!slot.isValid())
            break;
        if (task.isService) {
            ++request.tasksPerRack[fixture.index.at(slot).rack];
            ++request.tasksPerWorker[slot];
            ++serviceTasks;
        }
        used += task.size;
        ++result.placed;
    }
    double sum = 0;
    for (const double value : micros)
        sum += value;
    result.decisionsPerSecond = 1e6 * static_cast<double>(micros.size()) / sum;
    result.medianMicros = bench::quantile(micros, 0.5);
    result.p99Micros = bench::quantile(micros, 0.99);
    result.packing = usedFraction(used, fixture.total);
    return result;
}

template <PlacementPolicy Pack, PlacementPolicy Spread>
void report(const char* policyName, uint32_t workers)
{
    std::vector<double> rate;
    std::vector<double> median;
    std::vector<double> p99;
    std::vector<double> packing;
    std::vector<uint32_t> placed;
    for (int run = 0; run < runsPerSize; ++run) {
        const Result result = placeUntilFull<Pack, Spread>(workers, static_cast<uint64_t>(run) + 1);
        rate.push_back(result.decisionsPerSecond);
        median.push_back(result.medianMicros);
        p99.push_back(result.p99Micros);
        packing.push_back(result.packing);
        placed.push_back(result.placed);
    }
    std::printf("%-22s %7u %9u %12.0f %10.2f %10.2f %9.3f %9.3f\n", policyName, workers, bench::quantile(placed, 0.5), bench::quantile(rate, 0.5),
        bench::quantile(median, 0.5), bench::quantile(p99, 0.5), bench::quantile(packing, 0.5), bench::quantile(packing, 0.0));
}

} // namespace

int main()
{
    std::printf("%-22s %7s %9s %12s %10s %10s %9s %9s\n", "policy", "workers", "placed", "decisions/s", "median us", "p99 us", "packing", "worst");
    for (const uint32_t workers : { 50U, 500U, 2500U }) {
        report<BestFit, SpreadOverRacks>("best fit, spread", workers);
        report<BestFit, BestFit>("best fit, no spread", workers);
        report<FirstFit, SpreadOverRacks>("first fit, spread", workers);
        report<RandomFit, SpreadOverRacks>("random fit, spread", workers);
        report<FirstFit, FirstFit>("first fit scan", workers);
        report<RandomFit, RandomFit>("random fit", workers);
    }
    return EXIT_SUCCESS;
}
