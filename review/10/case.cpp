// A client that gets no answer to its job, cancels it, is told that there is no such job, and has it
// run all the same.

#include "../support-2/fleet.h"

using namespace review;

namespace {

constexpr size_t executorCount = 8;
constexpr int64_t freezeMs = 7500; ///< The site has freezes of up to 7.8 s.
constexpr int64_t cancelMs = 3000;
constexpr const char* path = "/batch/00000000000000d1";
constexpr const char* task = "00000000000000d1.0.0.0";

int run(Fleet& fleet)
{
    fleet.startSystem({ { "/batch/", 1, 4 } });
    for (size_t i = 0; i < executorCount; ++i)
        fleet.startExecutor(i);
    sleepMs(2500);
    const int64_t beganAt = steadyMs();
    if (fleet.hasTrouble()) {
        fleet.note("trouble", "entry-0 freezes");
        fleet.process("entry", 0).signal(SIGSTOP);
    }
    const Json job { { "spec", "work=20000" }, { "phases", { { { "count", 1 }, { "cpu", 1000 }, { "memMb", 512 }, { "estMs", 20'000 } } } } };
    fleet.call("POST", path, job.dump(), 0);
    const HttpReply cancelled = fleet.call("DELETE", path, {}, 1);
    if (cancelled.status / 100 != 2 && cancelled.status != 410)
        throw NotRun { "the cancelling is not acknowledged" };
    const int64_t acknowledgedAt = unixMs();
    sleepMs(std::max<int64_t>(0, beganAt + freezeMs - steadyMs()));
    if (fleet.hasTrouble()) {
        fleet.note("trouble", "entry-0 goes on");
        fleet.process("entry", 0).signal(SIGCONT);
    }
    sleepMs(10'000);
    bool isLate = false;
    for (const ExecutorRow& row : fleet.executorRows())
        isLate = isLate || (row.task == task && row.event == "start" && row.at > acknowledgedAt + cancelMs);
    const std::string state = fleet.stateOf(path);
    return fleet.verdict(isLate, "the cancelling was acknowledged with " + std::to_string(cancelled.status) + (isLate ? "; a task was started over " : "; no task was started over ") + std::to_string(cancelMs) + " ms later, and the job is shown as " + state);
}

} // namespace

int main(int argc, char** argv) { return runCase(argc, argv, run); }
