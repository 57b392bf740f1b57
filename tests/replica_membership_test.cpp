#include "support/replica_test_cluster.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ReplicaTests)

BOOST_AUTO_TEST_CASE(aDisklessVoterRejoinsUnderANewIncarnation)
{
    ReplicaCluster cluster(threeHosts());
    cluster.run(3s);
    const uint32_t leader = requireLeader(cluster);
    proposeMany(cluster, 1, 20);
    const uint32_t other = (leader + 1) % 3;
    const Member before = cluster.memberOf(other);
    BOOST_REQUIRE(cluster.crash(other));
    const Member after = cluster.memberOf(other);
    BOOST_TEST((after.incarnation > before.incarnation));
    cluster.run(3s);
    const Membership& membership = cluster.replica(requireLeader(cluster)).membership();
    BOOST_TEST(membership.hasVoter(after));
    BOOST_TEST(!membership.hasVoter(before));
    BOOST_TEST(membership.voters.size() == 3U);
    BOOST_TEST(cluster.replica(other).stateMachine().ids.size() == 20U);
}

/// Sending entries postpones the heartbeat; the checks of quorum contact and of new members must
/// not wait for it.
BOOST_AUTO_TEST_CASE(aRestartedHostIsAdmittedUnderContinuousLoad)
{
    ReplicaCluster cluster(threeHosts());
    cluster.run(3s);
    const uint32_t leader = requireLeader(cluster);
    const uint32_t lost = (leader + 1) % 3;
    cluster.apply({ FaultKind::Crash, lost, 0, 0 });
    proposeMany(cluster, 1, 600);
    BOOST_REQUIRE(cluster.isUp(lost));
    BOOST_TEST((cluster.replica(lost).role() == ReplicaRole::Follower));
    BOOST_TEST(cluster.replica(lost).stateMachine().ids.size() > 500U);
}

BOOST_AUTO_TEST_CASE(losingTheLeaderRightAfterAReplacementLosesNoCommand)
{
    ReplicaCluster cluster(threeHosts());
    cluster.run(3s);
    const uint32_t leader = requireLeader(cluster);
    proposeMany(cluster, 1, 200);
    const uint32_t first = (leader + 1) % 3;
    BOOST_REQUIRE(cluster.crash(first));
    while (!cluster.isFullyReplicated())
        cluster.run(10ms);
    // The replacement votes now; crash the leader.
    BOOST_REQUIRE(cluster.crash(requireLeader(cluster)));
    cluster.run(10s);
    const auto& ids = cluster.replica(requireLeader(cluster)).stateMachine().ids;
    BOOST_TEST(ids.size() == 200U);
    BOOST_TEST(cluster.isFullyReplicated());
}

BOOST_AUTO_TEST_CASE(aMessageForAnEarlierIncarnationIsDropped)
{
    const Member self { HostId { 0 }, 2 };
    const Member former { HostId { 0 }, 1 };
    const Member other { HostId { 1 }, 1 };
    const Time start(1h);
    Replica<ListMachine> replica(self, {}, start);
    replica.receive(start + 10s, { other, former, VoteRequest { 5, 0, 0, false } });
    BOOST_TEST(replica.takeOutput(start + 10s).messages.empty());
    BOOST_TEST(replica.term() == 0U);
}

/// A returned host got no vote while commits went on, as it never held all of them at once; with the
/// next host the log was lost.
BOOST_AUTO_TEST_CASE(returnedHostVotesAgainUnderConstantLoad)
{
    ClusterOptions options = threeHosts({ 0, 1 });
    options.maxDelay = options.maxSync = 1ms;
    options.farHosts = { 2 };
    options.farDelay = 12ms;
    ReplicaCluster cluster(options);
    cluster.run(3s);
    const uint32_t leader = requireLeader(cluster);
    const uint32_t returned = 2;
    BOOST_REQUIRE(leader != returned);
    BOOST_REQUIRE(cluster.crash(returned));
    uint64_t id = 0;
    const auto hasVote = [&] { return cluster.replica(leader).membership().hasVoter(cluster.memberOf(returned)); };
    for (int i = 0; i < 1000 && !hasVote(); ++i) {
        cluster.propose(++id);
        cluster.run(4ms);
    }
    BOOST_TEST(hasVote());
}

BOOST_AUTO_TEST_SUITE_END()
