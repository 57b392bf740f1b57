#include "support/replica_test_cluster.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ReplicaTests)

BOOST_AUTO_TEST_CASE(electsOneLeaderAndAppliesEverywhere)
{
    ReplicaCluster cluster(threeHosts());
    cluster.run(3s);
    requireLeader(cluster);
    proposeMany(cluster, 1, 10);
    cluster.run(1s);
    for (uint32_t i = 0; i < 3; ++i)
        BOOST_TEST(cluster.replica(i).stateMachine().ids.size() == 10U);
}

/// Guards against voters with equal election timeouts, which split every vote for many terms.
BOOST_AUTO_TEST_CASE(hostsThatStartTogetherDrawDifferentElectionTimeouts)
{
    constexpr uint64_t firstIncarnation = 1'796'615'630'101'000;
    std::set<uint64_t> seeds;
    for (uint64_t host = 1; host <= 16; ++host) {
        for (uint64_t offset = 0; offset < 64; ++offset)
            seeds.insert(hostSeed(firstIncarnation + offset, host));
    }
    BOOST_TEST(seeds.size() == 16U * 64U);
}

BOOST_AUTO_TEST_CASE(anElectionDelayPostponesTheElection)
{
    Replica<ListMachine> replica({ HostId { 0 }, 1 }, {}, Time(1h));
    const Time before = replica.nextDeadline();
    replica.setElectionDelay(2s);
    BOOST_TEST((replica.nextDeadline() == before + 2s));
    replica.setElectionDelay(Duration {});
    BOOST_TEST((replica.nextDeadline() == before));
}

BOOST_AUTO_TEST_CASE(anIsolatedLeaderLosesItsLeaseBeforeAnotherActs)
{
    ReplicaCluster cluster(threeHosts({ 0, 1, 2 }));
    cluster.run(3s);
    const uint32_t old = requireLeader(cluster);
    cluster.apply({ FaultKind::Isolate, old, 0, 0 });
    // `run` checks after every step that no two members hold a lease.
    cluster.run(5s);
    const uint32_t next = requireLeader(cluster);
    BOOST_TEST(next != old);
    BOOST_TEST(!cluster.replica(old).hasLease(cluster.now()));
    BOOST_TEST((cluster.replica(old).role() != ReplicaRole::Leader));
}

BOOST_AUTO_TEST_CASE(aPausedLeaderHasNoLeaseWhenItResumes)
{
    ReplicaCluster cluster(threeHosts());
    cluster.run(3s);
    const uint32_t old = requireLeader(cluster);
    cluster.apply({ FaultKind::Pause, old, 2900, 0 });
    cluster.run(2899ms);
    const uint32_t next = requireLeader(cluster);
    BOOST_TEST(next != old);
    cluster.run(1ms);
    BOOST_TEST(!cluster.replica(old).hasLease(cluster.now()));
    cluster.run(3s);
    BOOST_TEST(requireLeader(cluster) == next);
}

BOOST_AUTO_TEST_CASE(aReconnectedHostDoesNotUnseatTheLeader)
{
    ReplicaCluster cluster(threeHosts({ 0, 1, 2 }));
    cluster.run(3s);
    const uint32_t leader = requireLeader(cluster);
    const uint32_t other = (leader + 1) % 3;
    const uint64_t term = cluster.replica(leader).term();
    cluster.apply({ FaultKind::Isolate, other, 0, 0 });
    cluster.run(60s);
    cluster.heal();
    cluster.run(5s);
    BOOST_TEST(requireLeader(cluster) == leader);
    BOOST_TEST(cluster.replica(leader).term() == term);
}

BOOST_FIXTURE_TEST_CASE(aDiskVoterKeepsItsVoteAcrossARestart, ThreeMembers)
{
    replica.receive(start, { other, self, VoteRequest { 5, 0, 0, false } });
    const auto output = replica.takeOutput(start);
    BOOST_REQUIRE(output.write && output.write->state);
    BOOST_TEST(output.messages.at(0).afterWrite == output.write->sequence);

    RestoredLog<ListMachine> restored;
    restored.incarnation = 1;
    restored.state = *output.write->state;
    Replica<ListMachine> again(self, {}, start);
    again.form(start, { { self, other, third }, {} });
    again.restore(start, restored);
    const Time later = start + 10s;
    again.receive(later, { third, self, VoteRequest { 5, 0, 0, false } });
    const auto reply = again.takeOutput(later);
    BOOST_TEST(!std::get<VoteReply>(reply.messages.at(0).message.body).isGranted);
}

BOOST_FIXTURE_TEST_CASE(aCandidateCountsItsOwnVoteOnceItIsDurable, ThreeMembers)
{
    const Time later = start + 10s;
    replica.tick(later);
    replica.receive(later, { other, self, VoteReply { 1, true, true } });
    const auto output = replica.takeOutput(later);
    replica.receive(later, { other, self, VoteReply { 1, true, false } });
    BOOST_TEST((replica.role() == ReplicaRole::Candidate));
    replica.completeWrites(later, output.write->sequence);
    BOOST_TEST((replica.role() == ReplicaRole::Leader));
}

/// A leader whose own vote isn't durable could win the same term again after a restart.
BOOST_AUTO_TEST_CASE(aCandidateWithTheVotesOfAQuorumLeadsOnceItsOwnIsDurable)
{
    const Time start(1h);
    const std::vector<Member> voters { { HostId { 0 }, 1 }, { HostId { 1 }, 1 }, { HostId { 2 }, 1 } };
    Replica<ListMachine> replica(voters[0], {}, start);
    replica.form(start, { voters, {} });
    const Time now = start + 10s;
    replica.tick(now);
    replica.receive(now, { voters[1], voters[0], VoteReply { replica.term() + 1, true, true } });
    const auto output = replica.takeOutput(now);
    BOOST_REQUIRE((replica.role() == ReplicaRole::Candidate));
    BOOST_REQUIRE(output.write.has_value());
    for (const Member& voter : { voters[1], voters[2] })
        replica.receive(now, { voter, voters[0], VoteReply { replica.term(), true, false } });
    BOOST_TEST((replica.role() == ReplicaRole::Candidate));
    replica.completeWrites(now, output.write->sequence);
    BOOST_TEST((replica.role() == ReplicaRole::Leader));
}

BOOST_AUTO_TEST_CASE(aRestartedVoterRejectsCandidatesForAnElectionTimeout)
{
    const Member self { HostId { 0 }, 1 };
    const Member other { HostId { 1 }, 1 };
    const Time start(1h);
    RestoredLog<ListMachine> restored;
    restored.incarnation = 1;
    restored.state = { 3, {} };
    Replica<ListMachine> replica(self, {}, start);
    replica.restore(start, restored);
    replica.receive(start + 10ms, { other, self, VoteRequest { 4, 0, 0, false } });
    const auto reply = replica.takeOutput(start + 10ms);
    BOOST_TEST(!std::get<VoteReply>(reply.messages.at(0).message.body).isGranted);
}

/// A leader lost its lease while all voters wrote snapshots, although every one of them heard it.
BOOST_AUTO_TEST_CASE(leaseIsNotLostWhileTheVotersWriteSnapshots)
{
    ReplicaCluster cluster(threeHosts({ 0, 1, 2 }));
    cluster.run(3s);
    const uint32_t leader = requireLeader(cluster);
    const uint64_t term = cluster.replica(leader).term();
    cluster.stallDisks(cluster.replica(leader).electionTimeout() * 2);
    for (uint64_t id = 1; id <= 200; ++id) {
        BOOST_REQUIRE(cluster.replica(leader).hasLease(cluster.now()));
        BOOST_REQUIRE(cluster.propose(id));
        cluster.run(10ms);
    }
    BOOST_TEST(cluster.replica(leader).term() == term);
    BOOST_TEST(cluster.accepted().size() == 200U);
}

/// A host whose disk was full ran for election, and its unsynced votes kept others from being elected.
BOOST_AUTO_TEST_CASE(hostWithAFullDiskStartsAndSupportsNoElection)
{
    ReplicaCluster cluster(threeHosts({ 0, 1, 2 }));
    cluster.run(3s);
    const uint32_t leader = requireLeader(cluster);
    const uint32_t full = (leader + 1) % 3;
    cluster.fillDisk(full, 20s);
    BOOST_REQUIRE(cluster.propose(1));
    cluster.run(100ms);
    const uint64_t term = cluster.replica(full).term();
    cluster.apply({ FaultKind::Isolate, leader, 0, 0 });
    cluster.run(10s);
    BOOST_TEST(!cluster.leader().has_value());
    BOOST_TEST(cluster.replica(full).electionsStarted() == 0U);
    BOOST_TEST(cluster.replica((leader + 2) % 3).term() == term);
    cluster.run(15s);
    BOOST_TEST(requireLeader(cluster) != leader);
}

BOOST_AUTO_TEST_SUITE_END()
