// Tasks of standing jobs that fail now and then, on executors that all serve other standing jobs too.

#include "../support-2/fleet.h"

using namespace review;

namespace {

constexpr size_t executorCount = 4;
constexpr int64_t failAfterMs = 4000;
constexpr int64_t allowedGapMs = 9000; ///< 6 s from the last run and the 3 s of the rule.
constexpr int64_t calmMs = 20'000; ///< After the failures: longer than the 6 s and 3 s of the rule, and than any pause of an executor.

Json standing(const std::string& spec)
{
    return { { "spec", spec }, { "phases", { { { "count", executorCount }, { "cpu", 1000 }, { "memMb", 512 }, { "estMs", 1000 }, { "longRunning", true }, { "antiAffinity", 1 } } } } };
}

int run(Fleet& fleet)
{
    fleet.startSystem({ { "/stand/", 1, 4 }, { "/batch/", 2, 4 } });
    for (size_t i = 0; i < executorCount; ++i)
        fleet.startExecutor(i);
    sleepMs(2500);
    // Three standing jobs, each with one task on each executor. In two of them each task fails once.
    const std::string failing = fleet.hasTrouble() ? "lasts fails=1@" : "lasts";
    const auto failingAt = [&](int64_t ms) { return fleet.hasTrouble() ? failing + std::to_string(ms) : failing; };
    const std::map<std::string, std::string> specs { { "00000000000000b1", "lasts" }, { "00000000000000b2", failingAt(failAfterMs) }, { "00000000000000b3", failingAt(failAfterMs * 2) } };
    for (const auto& [id, spec] : specs) {
        if (!fleet.submit("/stand/" + id, standing(spec)))
            throw NotRun { "a job is not accepted" };
    }
    sleepMs(failAfterMs * 2 + 1000);
    const std::string batch = "/batch/00000000000000b4";
    const Json batchJob { { "spec", "work=1000" }, { "phases", { { { "count", 2 }, { "cpu", 1000 }, { "memMb", 512 }, { "estMs", 1000 } } } } };
    if (!fleet.submit(batch, batchJob))
        throw NotRun { "the batch is not accepted" };
    sleepMs(calmMs);
    const int64_t now = unixMs();
    std::map<std::string, int64_t> lastEnd;
    size_t batchStarts = 0;
    for (const ExecutorRow& row : fleet.executorRows()) {
        if (row.event == "end")
            lastEnd[row.task] = row.at;
        batchStarts += row.event == "start" && row.task.starts_with("00000000000000b4");
    }
    size_t missing = 0;
    for (const auto& [id, spec] : specs) {
        for (size_t index = 0; index < executorCount; ++index) {
            const std::string task = id + ".0.0." + std::to_string(index);
            missing += !fleet.runnerOf(task) && now > lastEnd[task] + allowedGapMs;
        }
    }
    const std::string state = fleet.stateOf(batch);
    return fleet.verdict(missing > 0, std::to_string(missing) + " of " + std::to_string(specs.size() * executorCount) + " tasks that last have had no run for over " + std::to_string(allowedGapMs / 1000) + " s; of a batch of two 1 s tasks, accepted " + std::to_string(calmMs / 1000) + " s ago, " + std::to_string(batchStarts) + " were started and it is shown as " + state);
}

} // namespace

int main(int argc, char** argv) { return runCase(argc, argv, run); }
