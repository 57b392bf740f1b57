#include "support/replica_test_cluster.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ReplicaTests)

BOOST_AUTO_TEST_CASE(nothingIsCommittedWithoutAQuorum)
{
    ReplicaCluster cluster(threeHosts({ 0, 1, 2 }));
    cluster.run(3s);
    const uint32_t leader = requireLeader(cluster);
    cluster.apply({ FaultKind::Isolate, leader, 0, 0 });
    cluster.propose(1); // The lease may still hold at this moment.
    cluster.run(30s);
    BOOST_TEST(cluster.accepted().empty());
    cluster.heal();
    cluster.run(10s);
    BOOST_TEST(cluster.replica(requireLeader(cluster)).stateMachine().ids.empty());
}

BOOST_AUTO_TEST_CASE(anAcknowledgementWaitsForItsWrite)
{
    const Member self { HostId { 0 }, 1 };
    const Member leader { HostId { 1 }, 1 };
    const Time start(1h);
    Replica<ListMachine> replica(self, {}, start);
    AppendRequest<ListMachine> request;
    request.term = 1;
    request.entries.push_back({ 1, 1, start, ListMachine::Append { 9 } });
    replica.receive(start, { leader, self, request });
    const auto output = replica.takeOutput(start);
    BOOST_REQUIRE(output.write.has_value());
    BOOST_REQUIRE(output.messages.size() == 2U);
    const auto replyOf = [&](size_t i) { return std::get<AppendReply>(output.messages.at(i).message.body); };
    BOOST_TEST(output.messages.at(0).afterWrite == 0U); // Of contact, which names no entry.
    BOOST_TEST(replyOf(0).index == 0U);
    BOOST_TEST(output.messages.at(1).afterWrite == output.write->sequence);
    BOOST_TEST(replyOf(1).index == 1U);

    replica.completeWrites(start, output.write->sequence);
    request.previousIndex = request.previousTerm = 1;
    request.entries = { { 2, 1, start, ListMachine::Append { 10 } } };
    const Time later = start + replica.electionTimeout();
    replica.receive(later, { leader, self, request });
    const auto second = replica.takeOutput(later);
    BOOST_REQUIRE(second.messages.size() == 2U);
    BOOST_TEST(std::get<AppendReply>(second.messages.at(0).message.body).index == 1U); // Only what is durable.
    BOOST_TEST(second.messages.at(1).afterWrite == second.write->sequence);
}

BOOST_AUTO_TEST_CASE(entriesWithinTheAppendIntervalAreSentTogether)
{
    const Member self { HostId { 0 }, 1 };
    const Member other { HostId { 1 }, 1 };
    const Time start(1h);
    ReplicaOptions options;
    options.minAppendInterval = 3ms;
    Replica<ListMachine> replica(self, options, start);
    replica.form(start, { { self, other }, {} });
    const Time later = start + 10s;
    replica.tick(later);
    replica.receive(later, { other, self, VoteReply { 1, true, true } });
    replica.completeWrites(later, replica.takeOutput(later).write->sequence);
    replica.receive(later, { other, self, VoteReply { 1, true, false } });
    BOOST_REQUIRE((replica.role() == ReplicaRole::Leader));
    replica.tick(later); // The first check of the quorum is due at once.
    replica.takeOutput(later);

    const auto messagesAt = [&](Time now) { return replica.takeOutput(now).messages; };
    replica.propose(later + 1ms, { 1 });
    BOOST_TEST(messagesAt(later + 1ms).empty());
    BOOST_TEST((replica.nextDeadline() == later + 3ms));
    replica.propose(later + 2ms, { 2 });
    BOOST_TEST(messagesAt(later + 2ms).empty());
    replica.tick(later + 3ms);
    const auto messages = messagesAt(later + 3ms);
    BOOST_REQUIRE(messages.size() == 1U);
    BOOST_TEST(std::get<AppendRequest<ListMachine>>(messages.front().message.body).entries.size() == 2U);
}

/// A leader of two hosts that has just been elected.
struct ElectedLeader {
    const Member self { HostId { 0 }, 1 };
    const Member other { HostId { 1 }, 1 };
    Time now { 1h + 10s };
    Replica<ListMachine> replica { self, {}, Time(1h) };

    ElectedLeader()
    {
        replica.form(Time(1h), { { self, other }, {} });
        replica.tick(now);
        replica.receive(now, { other, self, VoteReply { 1, true, true } });
        replica.completeWrites(now, replica.takeOutput(now).write->sequence);
        replica.receive(now, { other, self, VoteReply { 1, true, false } });
        replica.takeOutput(now);
    }

    /// Append requests that the leader sends now.
    std::vector<AppendRequest<ListMachine>> sent()
    {
        std::vector<AppendRequest<ListMachine>> requests;
        for (const auto& outgoing : replica.takeOutput(now).messages)
            requests.push_back(std::get<AppendRequest<ListMachine>>(outgoing.message.body));
        return requests;
    }
};

/// A member that missed one message rejects all pipelined after it. When each rejection made the
/// leader resend all entries, the traffic grew to hundreds of megabytes.
BOOST_AUTO_TEST_CASE(entriesOfRefusedPipelinedMessagesAreResentOnce)
{
    ElectedLeader leader;
    std::vector<Time> sentAt;
    for (uint64_t id = 1; id <= 10; ++id) {
        leader.now += 1ms;
        leader.replica.propose(leader.now, { id });
        BOOST_REQUIRE(leader.sent().size() == 1U);
        sentAt.push_back(leader.now);
    }
    leader.now += 20ms;
    size_t resent = 0;
    for (const Time at : sentAt) {
        leader.replica.receive(leader.now, { leader.other, leader.self, AppendReply { 1, false, 0, at } });
        resent += leader.sent().size();
    }
    BOOST_TEST(resent == 1U);
    leader.now += 5ms; // The resent message was lost as well.
    leader.replica.receive(leader.now, { leader.other, leader.self, AppendReply { 1, false, 0, leader.now - 2ms } });
    BOOST_TEST(leader.sent().size() == 1U);
}

BOOST_AUTO_TEST_CASE(unacknowledgedEntriesToAMemberAreBounded)
{
    ElectedLeader leader;
    size_t entries = 0;
    for (uint64_t id = 1; id <= config::maxInFlightEntries * 3 / 2; ++id) {
        leader.replica.propose(leader.now, { id });
        for (const auto& request : leader.sent())
            entries += request.entries.size();
    }
    BOOST_TEST(entries <= config::maxInFlightEntries);
}

BOOST_AUTO_TEST_CASE(anAcceptanceIsSupersededByALaterOneOfTheSameTerm)
{
    const Member self { HostId { 0 }, 1 };
    const Member leader { HostId { 1 }, 1 };
    const Time start(1h);
    const auto reply = [&](uint64_t term, bool isAccepted, uint64_t index) {
        return ReplicaMessage<ListMachine> { self, leader, AppendReply { term, isAccepted, index, start } };
    };
    BOOST_TEST(isSuperseded(reply(2, true, 7), reply(2, true, 8)));
    BOOST_TEST(!isSuperseded(reply(2, true, 8), reply(2, true, 7)));
    BOOST_TEST(!isSuperseded(reply(2, false, 7), reply(2, true, 8)));
    BOOST_TEST(!isSuperseded(reply(1, true, 7), reply(2, true, 8)));
    BOOST_TEST(!isSuperseded(ReplicaMessage<ListMachine> { self, leader, VoteReply { 2, true, false } }, reply(2, true, 8)));
}

BOOST_FIXTURE_TEST_CASE(anEntryOfAnEarlierTermCommitsOnlyWithOneOfTheCurrentTerm, ThreeMembers)
{
    AppendRequest<ListMachine> request;
    request.term = 1;
    request.entries.push_back({ 1, 1, start, ListMachine::Append { 9 } });
    replica.receive(start, { other, self, request });
    replica.completeWrites(start, replica.takeOutput(start).write->sequence);
    const Time later = start + 10s;
    replica.tick(later);
    replica.receive(later, { third, self, VoteReply { 2, true, true } });
    replica.receive(later, { third, self, VoteReply { 2, true, false } });
    replica.completeWrites(later, replica.takeOutput(later).write->sequence);
    BOOST_REQUIRE((replica.role() == ReplicaRole::Leader));
    const auto own = replica.takeOutput(later);
    replica.completeWrites(later, own.write->sequence);
    replica.receive(later, { third, self, AppendReply { 2, true, 1, later } });
    BOOST_TEST(replica.commitIndex() == 0U);
    replica.receive(later, { third, self, AppendReply { 2, true, 2, later } });
    BOOST_TEST(replica.commitIndex() == 2U);
}

/// The disks of all hosts were full one after another.
BOOST_AUTO_TEST_CASE(hostsWithFullDisksInTurnWriteAndVoteAgain)
{
    ReplicaCluster cluster(threeHosts({ 0, 1, 2 }));
    cluster.run(3s);
    uint64_t id = 0;
    for (int round = 0; round < 2; ++round) {
        for (uint32_t i = 0; i < 3; ++i) {
            const uint32_t leader = requireLeader(cluster);
            const uint64_t term = cluster.replica(leader).term();
            cluster.fillDisk(i, 3s);
            for (int step = 0; step < 200; ++step) {
                BOOST_REQUIRE(cluster.propose(++id));
                cluster.run(20ms);
            }
            BOOST_TEST(cluster.accepted().size() + 2 >= id);
            BOOST_TEST(cluster.replica(leader).term() == term);
        }
    }
    cluster.run(1s);
    BOOST_TEST(cluster.accepted().size() == id);
    // Each pair of hosts elects a leader and commits, so each host votes and writes.
    for (uint32_t i = 0; i < 3; ++i) {
        cluster.apply({ FaultKind::Isolate, i, 0, 0 });
        cluster.run(5s);
        BOOST_TEST(requireLeader(cluster) != i);
        proposeMany(cluster, id + 1, 10);
        id += 10;
        cluster.run(1s);
        BOOST_TEST(cluster.accepted().size() == id);
        cluster.heal();
        cluster.run(3s);
    }
}

BOOST_AUTO_TEST_SUITE_END()
