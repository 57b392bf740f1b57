// Benchmarks the replicated log: throughput and latency of commits with synced files, bytes and
// processor time for each commit, memory for each record of the state, and the time to catch up.

#include "data_centre_state_machine.h"
#include "io/file_log.h"
#include "io/record_codec.h"
#include "replica.h"
#include "samples.h"

#include <cstdio>
#include <deque>
#include <malloc.h>
#include <unistd.h>

using namespace eelgrassloft;
using BenchStateMachine = DataCentreStateMachine;
using Clock = std::chrono::steady_clock;

namespace {

Time coreNow() { return Time(std::chrono::duration_cast<Duration>(Clock::now().time_since_epoch())); }

/// Three voters in one process. Messages are encoded and decoded; writes go to files if a folder is given.
class VoterGroup {
public:
    explicit VoterGroup(const std::string& folder)
    {
        Membership membership;
        for (uint32_t i = 0; i < 3; ++i)
            membership.voters.push_back({ HostId { i }, 1 });
        for (uint32_t i = 0; i < 3; ++i) {
            ReplicaOptions options;
            options.seed = i;
            replicas.emplace_back(membership.voters[i], options, coreNow());
            replicas.back().form(coreNow(), membership);
            files.push_back(folder.empty() ? nullptr : std::make_unique<io::FileLog<BenchStateMachine>>(folder + "/" + std::to_string(i)));
            if (files.back())
                files.back()->restore();
        }
    }

    /// Delivers messages and runs timers until no voter has anything to do.
    void runUntilIdle()
    {
        bool isActive = true;
        while (isActive) {
            isActive = false;
            for (uint32_t i = 0; i < 3; ++i)
                isActive = runVoter(i) || isActive;
        }
    }

    uint32_t waitForLeader()
    {
        for (;;) {
            runUntilIdle();
            for (uint32_t i = 0; i < 3; ++i) {
                if (replicas[i].hasLease(coreNow()))
                    return i;
            }
        }
    }

    std::vector<Replica<BenchStateMachine>> replicas;
    std::vector<std::unique_ptr<io::FileLog<BenchStateMachine>>> files;
    std::deque<std::pair<uint32_t, std::string>> network;
    uint64_t bytes = 0;
    uint64_t frames = 0;
    uint64_t applied = 0;
    uint32_t isolated = 3; ///< Host that neither receives nor sends messages; 3 for none.

private:
    bool runVoter(uint32_t i)
    {
        Replica<BenchStateMachine>& replica = replicas[i];
        const Time now = coreNow();
        if (now >= replica.nextDeadline())
            replica.tick(now);
        io::RecordDecoder decoder;
        std::deque<std::pair<uint32_t, std::string>> received;
        for (size_t count = network.size(); count; --count) {
            auto frame = std::move(network.front());
            network.pop_front();
            if (frame.first == i)
                received.push_back(std::move(frame));
            else
                network.push_back(std::move(frame));
        }
        for (const auto& [to, frame] : received)
            replica.receive(now, *decoder.decode<ReplicaMessage<BenchStateMachine>>(frame));
        auto output = replica.takeOutput(now);
        if (output.write) {
            if (files[i])
                files[i]->write(1, { *output.write });
            replica.completeWrites(now, output.write->sequence);
            auto more = replica.takeOutput(now);
            output.applied.insert(output.applied.end(), std::make_move_iterator(more.applied.begin()), std::make_move_iterator(more.applied.end()));
            output.messages.insert(output.messages.end(), std::make_move_iterator(more.messages.begin()), std::make_move_iterator(more.messages.end()));
        }
        for (const auto& outgoing : output.messages) {
            const uint32_t to = outgoing.message.to.host.value;
            std::string frame = io::encode(outgoing.message);
            if (to == isolated || i == isolated)
                continue;
            bytes += frame.size();
            ++frames;
            network.emplace_back(to, std::move(frame));
        }
        if (i == leader)
            applied += output.applied.size();
        return !output.messages.empty() || output.write.has_value();
    }

public:
    uint32_t leader = 3; ///< Voter whose applied entries are counted; 3 for none.
};

BenchStateMachine::Command claimOf(uint64_t number)
{
    return ClaimKey { "order-" + std::to_string(100000000 + number), number, { HostId { 1 }, 1, RequestId { number } }, Time(std::chrono::hours(48)) };
}

void measureCommits(const char* label, const std::string& folder, uint32_t batch, uint32_t commits)
{
    VoterGroup group(folder);
    group.leader = group.waitForLeader();
    group.runUntilIdle();
    const uint64_t bytesBefore = group.bytes;
    const auto processorBefore = bench::processorTime();
    const auto start = Clock::now();
    std::vector<double> latency;
    const uint64_t appliedBefore = group.applied;
    uint64_t number = 0;
    while (number < commits) {
        const auto before = Clock::now();
        for (uint32_t i = 0; i < batch; ++i)
            group.replicas[group.leader].propose(coreNow(), claimOf(++number));
        while (group.applied - appliedBefore < number)
            group.runUntilIdle();
        latency.push_back(std::chrono::duration<double, std::micro>(Clock::now() - before).count());
    }
    const double seconds = std::chrono::duration<double>(Clock::now() - start).count();
    const double processor = std::chrono::duration<double, std::micro>(bench::processorTime() - processorBefore).count();
    std::printf("%-28s %6u %12.0f %12.0f %12.0f %12.1f %12.1f\n", label, batch, commits / seconds, bench::quantile(latency, 0.5), bench::quantile(latency, 0.99),
        static_cast<double>(group.bytes - bytesBefore) / commits, processor / commits);
}

void measureIdle()
{
    VoterGroup group("");
    group.leader = group.waitForLeader();
    const uint64_t bytes = group.bytes;
    const uint64_t frames = group.frames;
    const auto start = Clock::now();
    while (Clock::now() - start < std::chrono::seconds(2)) {
        group.runUntilIdle();
        ::usleep(1000);
    }
    std::printf("idle, three voters: %.0f bytes and %.0f frames a second in all\n", static_cast<double>(group.bytes - bytes) / 2, static_cast<double>(group.frames - frames) / 2);
}

void measureCatchUp(uint32_t changes)
{
    VoterGroup group("");
    group.leader = group.waitForLeader();
    const uint32_t lagging = (group.leader + 1) % 3;
    group.isolated = lagging;
    for (uint64_t i = 1; i <= changes; ++i) {
        group.replicas[group.leader].propose(coreNow(), claimOf(i));
        group.runUntilIdle();
    }
    group.isolated = 3;
    const auto start = Clock::now();
    const uint64_t bytes = group.bytes;
    while (group.replicas[lagging].commitIndex() < group.replicas[group.leader].commitIndex())
        group.runUntilIdle();
    std::printf("catching up after %u changes: %.1f ms, %lu bytes (heartbeat period %ld ms)\n", changes, std::chrono::duration<double, std::milli>(Clock::now() - start).count(),
        static_cast<unsigned long>(group.bytes - bytes), static_cast<long>(config::heartbeatPeriod / std::chrono::milliseconds(1)));
}

uint64_t heapBytes() { return ::mallinfo2().uordblks; }

void measureState(const char* label, uint32_t records, void (*fill)(BenchStateMachine&, uint32_t))
{
    const uint64_t before = heapBytes();
    BenchStateMachine stateMachine;
    fill(stateMachine, records);
    const uint64_t after = heapBytes();
    const auto start = Clock::now();
    const BenchStateMachine copy = stateMachine;
    const double copyMillis = std::chrono::duration<double, std::milli>(Clock::now() - start).count();
    const std::string snapshot = io::encode(copy);
    std::printf("%-28s %8u %12.0f %14.0f %12.1f\n", label, records, static_cast<double>(after - before) / records, static_cast<double>(snapshot.size()) / records, copyMillis);
}

void fillClaims(BenchStateMachine& stateMachine, uint32_t records)
{
    const Time at(std::chrono::hours(48));
    for (uint32_t i = 0; i < records; ++i) {
        stateMachine.apply(at, claimOf(i));
        stateMachine.apply(at, SettleKey { "order-" + std::to_string(100000000 + i), { HostId { 1 }, 1, RequestId { i } }, Outcome::Answered, {}, { 200, "text/plain", makeBlob("lot confirmed") } });
    }
}

void fillTasks(BenchStateMachine& stateMachine, uint32_t records)
{
    const Time at(std::chrono::hours(48));
    SyncJobs sync;
    sync.cellRevision = 1;
    for (uint32_t i = 0; i < records / 10; ++i)
        sync.setJobs.push_back(JobSpecBuilder("renewal-batch-" + std::to_string(i)).team("licences").tasks(10).size({ 500, 1024, 0 }).command("run").build());
    stateMachine.apply(at, TaskCommand(std::move(sync)));
    const uint32_t workers = records / 30 + 1;
    for (uint32_t i = 0; i < workers; ++i)
        stateMachine.apply(at, TaskCommand(SetWorker { "worker-" + std::to_string(i), 1, "rack", { 16000, 65536, 0 }, false }));
    for (uint32_t i = 0; i < records; ++i)
        stateMachine.apply(at, TaskCommand(PlaceTasks { { { TaskId { i + 1 }, 1, "worker-" + std::to_string(i / 30), 1 } }, false }));
}

} // namespace

int main()
{
    const std::string folder = "/tmp/eelgrassloft-log-bench-" + std::to_string(::getpid());
    std::printf("%-28s %6s %12s %12s %12s %12s %12s\n", "three voters, one process", "batch", "commits/s", "median us", "p99 us", "bytes/commit", "cpu us/commit");
    for (const uint32_t batch : { 1U, 16U, 128U }) {
        measureCommits("memory", "", batch, 20000 / (batch == 1 ? 4 : 1));
        measureCommits("synced files, in turn", folder + "-" + std::to_string(batch), batch, batch == 1 ? 500 : 4000);
        std::filesystem::remove_all(folder + "-" + std::to_string(batch));
    }
    measureIdle();
    measureCatchUp(500);
    measureCatchUp(2000);
    std::printf("\n%-28s %8s %12s %14s %12s\n", "state", "records", "bytes each", "snapshot each", "copy ms");
    for (const uint32_t records : { 10000U, 80000U }) {
        measureState("key records with answers", records, fillClaims);
        measureState("tasks placed", records, fillTasks);
    }
    return 0;
}
