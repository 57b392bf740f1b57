#include "support/replica_test_cluster.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ReplicaTests)

BOOST_AUTO_TEST_CASE(aLaggingHostCatchesUpFromASnapshot)
{
    ReplicaCluster cluster(threeHosts({ 0, 1, 2 }));
    cluster.run(3s);
    const uint32_t leader = requireLeader(cluster);
    const uint32_t other = (leader + 1) % 3;
    cluster.apply({ FaultKind::Isolate, other, 0, 0 });
    proposeMany(cluster, 1, 500);
    BOOST_TEST(cluster.replica(leader).snapshotIndex() > 400U);
    cluster.heal();
    const Time healedAt = cluster.now();
    while (cluster.replica(other).stateMachine().ids.size() < 500U && cluster.now() < healedAt + 30s)
        cluster.run(1ms);
    BOOST_TEST(cluster.replica(other).stateMachine().ids.size() == 500U);
    BOOST_TEST(cluster.replica(leader).snapshotsSent() > 0U);
}

BOOST_AUTO_TEST_CASE(aMemberWithoutStorageCompactsItsLogWithoutSnapshots)
{
    const Member self { HostId { 0 }, 1 };
    ReplicaOptions options;
    options.snapshotThreshold = 8;
    options.hasStorage = false;
    Time now(1h);
    Replica<ListMachine> replica(self, options, now);
    replica.form(now, { { self }, {} });
    replica.tick(now);
    for (uint64_t id = 1; id <= 100; ++id) {
        replica.propose(now, { id });
        const auto output = replica.takeOutput(now);
        BOOST_TEST((!output.write || !output.write->snapshot));
        if (output.write)
            replica.completeWrites(now, output.write->sequence);
    }
    BOOST_TEST(replica.snapshotIndex() > 80U);
    BOOST_TEST(replica.entryAt(replica.snapshotIndex() - 8) == nullptr);
}

/// A late snapshot took entries away that the member had acknowledged.
BOOST_AUTO_TEST_CASE(lateSnapshotTakesNoAcknowledgedEntriesAway)
{
    const Member self { HostId { 0 }, 1 };
    const Member leader { HostId { 1 }, 1 };
    const Member other { HostId { 2 }, 1 };
    const Membership members { { self, leader, other }, {} };
    const Time now(1h);
    Replica<ListMachine> replica(self, {}, now);
    replica.form(now, members);
    AppendRequest<ListMachine> request;
    request.term = 1;
    request.sentAt = now;
    for (uint64_t index = 1; index <= 10; ++index)
        request.entries.push_back({ index, 1, now, ListMachine::Append { index } });
    replica.receive(now, { leader, self, request });
    auto output = replica.takeOutput(now);
    BOOST_REQUIRE(output.write);
    replica.completeWrites(now, output.write->sequence);
    BOOST_TEST(std::get<AppendReply>(output.messages.back().message.body).index == 10U);

    Snapshot<ListMachine> snapshot;
    snapshot.index = 5;
    snapshot.term = 1;
    snapshot.at = now;
    snapshot.membership = members;
    for (uint64_t id = 1; id <= snapshot.index; ++id)
        snapshot.stateMachine.ids.push_back(id);
    replica.receive(now, { leader, self, SnapshotRequest<ListMachine> { 1, now, snapshot } });
    output = replica.takeOutput(now);
    BOOST_TEST(replica.lastIndex() == 10U);
    BOOST_TEST(replica.commitIndex() == 5U);
    BOOST_TEST(replica.stateMachine().ids.size() == 5U);
    BOOST_TEST((!output.write || !output.write->truncateFrom));
}

/// A leader copied its whole state for a member that is gone at every election timeout.
BOOST_AUTO_TEST_CASE(leaderCopiesNoStateForAMemberThatIsGone)
{
    ReplicaCluster cluster(threeHosts({ 0, 1, 2 }));
    cluster.run(3s);
    const uint32_t leader = requireLeader(cluster);
    const uint32_t gone = (leader + 1) % 3;
    cluster.apply({ FaultKind::Isolate, gone, 0, 0 });
    const uint64_t count = config::maxInFlightEntries + 500;
    proposeMany(cluster, 1, count);
    cluster.run(20s);
    BOOST_TEST(cluster.replica(leader).snapshotsSent() == 0U);
    cluster.heal();
    cluster.run(3s);
    BOOST_TEST(cluster.replica(gone).stateMachine().ids.size() == count);
}

/// Further snapshots followed one that was still on its way, and held up all that came after them.
BOOST_AUTO_TEST_CASE(snapshotIsNotSentAgainWhileItIsOnItsWay)
{
    ClusterOptions options = threeHosts({ 0, 1 });
    options.maxDelay = options.maxSync = 1ms;
    options.farHosts = { 2 };
    ReplicaCluster cluster(options);
    cluster.run(3s);
    const uint32_t leader = requireLeader(cluster);
    const uint32_t returned = 2;
    BOOST_REQUIRE(leader != returned);
    proposeMany(cluster, 1, 500);
    cluster.setFarDelay(cluster.replica(leader).electionTimeout() * 3);
    BOOST_REQUIRE(cluster.crash(returned));
    cluster.run(10s);
    BOOST_TEST(cluster.replica(returned).stateMachine().ids.size() == 500U);
    BOOST_TEST(cluster.replica(leader).snapshotsSent() == 1U);
}

namespace {

struct LargeLoad {
    uint64_t entries = 0;
    size_t bytes = 0; ///< Of each entry.
    size_t snapshotThreshold = 0;
};

/// Proposes the load's entries, a few at a time.
void proposeLoad(ReplicaCluster& cluster, const LargeLoad& load)
{
    for (uint64_t id = 1; id <= load.entries; ++id) {
        BOOST_REQUIRE(cluster.propose(id, std::string(load.bytes, 'x')));
        if (id % 8 == 0)
            cluster.run(2ms);
    }
    cluster.run(1s);
}

bool isReplicatedWithin(ReplicaCluster& cluster, Duration limit)
{
    const Time end = cluster.now() + limit;
    while (!cluster.isFullyReplicated() && cluster.now() < end)
        cluster.run(100ms);
    return cluster.isFullyReplicated();
}

} // namespace

/// An emptied host never rejoined once an append or a snapshot was larger than any message may be, and
/// the loss of the next host took the quorum.
BOOST_AUTO_TEST_CASE(emptiedHostsRejoinHoweverLargeLogAndState)
{
    const LargeLoad loads[] {
        { 300, 71'000, 4096 }, // Changes of a large configuration.
        { 4500, 4000, 1024 }, // Jobs with long specs.
        { 260, 64 * 1024, 4096 },
        { 40, config::maxAppendBytes + 1, 4096 },
        { 25, 3'000'000, 8 },
        { 100'000, 200, 4096 },
        { 64, config::maxSnapshotPartBytes - 8, 32 },
    };
    for (const LargeLoad& load : loads) {
        BOOST_TEST_CONTEXT("entries " << load.entries << " of " << load.bytes << " bytes")
        {
            ClusterOptions options = threeHosts({ 0, 1, 2 });
            options.maxMessageBytes = config::maxFrameBytes;
            options.snapshotThreshold = load.snapshotThreshold;
            ReplicaCluster cluster(options);
            cluster.run(3s);
            requireLeader(cluster);
            proposeLoad(cluster, load);
            for (const uint32_t lost : { 2U, 1U, 0U }) {
                cluster.stop(lost);
                cluster.run(1s);
                cluster.start(lost, false);
                BOOST_REQUIRE(isReplicatedWithin(cluster, 30s));
                BOOST_TEST(cluster.replica(lost).stateMachine().texts.size() == load.entries);
                BOOST_TEST(cluster.replica(lost).stateMachine().ids.size() == load.entries);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
