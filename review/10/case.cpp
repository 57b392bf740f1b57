// Heartbeats of another writer under the ids of executors, with a service that is not named.

#include "../support-2/fleet.h"

using namespace review;

namespace {

constexpr size_t executorCount = 8;
constexpr int64_t calmMs = 20'000; ///< Longer than the 4 s and 3 s of the rule.

int run(Fleet& fleet)
{
    fleet.startSystem({ { "/stand/", 1, 4 } });
    for (size_t i = 0; i < executorCount; ++i)
        fleet.startExecutor(i);
    sleepMs(2500);
    std::map<std::string, int64_t> born;
    for (const ExecutorRow& row : fleet.executorRows())
        born[row.executor] = row.born;
    for (size_t i = 0; i < executorCount && fleet.hasTrouble(); ++i) {
        const std::string id = Fleet::executorId(i);
        const Json beat { { "service", "no-such-service" }, { "addr", fleet.executorAddress(i).text() }, { "zone", Fleet::zoneOf(i) }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" },
            { "coldLeftMs", 0 }, { "capacity", { { "cpu", 16000 }, { "memMb", 32768 }, { "gpu", 0 } } }, { "labels", { "a", "r1-0" } }, { "machine", "m-" + id.substr(2) }, { "clockMs", 1 }, { "born", born[id] }, { "seq", 1000 } };
        const Address to = fleet.controlAddress(i % Fleet::controlCount);
        const HttpReply reply = httpCall(to, "PUT", "/eelgrassloft/instances/" + id, to.text(), beat.dump(), 1000, {}, fleet.ip(4));
        fleet.note("trouble", "another writer: PUT instances/" + id + " " + beat.dump() + " -> " + std::to_string(reply.status));
    }
    sleepMs(4000);
    const std::string path = "/stand/00000000000000e1";
    const Json job { { "spec", "lasts" }, { "phases", { { { "count", 2 }, { "cpu", 1000 }, { "memMb", 512 }, { "estMs", 1000 }, { "longRunning", true } } } } };
    if (!fleet.submit(path, job))
        throw NotRun { "the job is not accepted" };
    sleepMs(calmMs);
    size_t missing = 0;
    for (const char* task : { "00000000000000e1.0.0.0", "00000000000000e1.0.0.1" })
        missing += !fleet.runnerOf(task);
    return fleet.verdict(missing > 0, std::to_string(missing) + " of 2 tasks have no run " + std::to_string(calmMs / 1000) + " s after the job was accepted; all executors have sent a heartbeat every 1.5 s, and nothing else runs");
}

} // namespace

int main(int argc, char** argv) { return runCase(argc, argv, run); }
