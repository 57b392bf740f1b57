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

BOOST_AUTO_TEST_SUITE_END()
