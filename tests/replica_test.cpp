#include "support/replica_cluster.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

ClusterOptions threeHosts(std::set<uint32_t> disks = {})
{
    ClusterOptions options;
    options.disks = std::move(disks);
    options.seed = 7;
    return options;
}

void proposeMany(ReplicaCluster& cluster, uint64_t from, uint64_t count)
{
    for (uint64_t id = from; id < from + count; ++id) {
        BOOST_REQUIRE(cluster.propose(id));
        cluster.run(5ms);
    }
}

uint32_t requireLeader(const ReplicaCluster& cluster)
{
    const auto leader = cluster.leader();
    BOOST_REQUIRE(leader.has_value());
    return *leader;
}

} // namespace

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

BOOST_AUTO_TEST_CASE(aDiskVoterKeepsItsVoteAcrossARestart)
{
    const Member self { HostId { 0 }, 1 };
    const Member first { HostId { 1 }, 1 };
    const Member second { HostId { 2 }, 1 };
    const Time start(1h);
    Replica<ListMachine> replica(self, {}, start);
    replica.form(start, { { self, first, second }, {} });
    replica.receive(start, { first, self, VoteRequest { 5, 0, 0, false } });
    const auto output = replica.takeOutput(start);
    BOOST_REQUIRE(output.write && output.write->state);
    BOOST_TEST(output.messages.at(0).afterWrite == output.write->sequence);

    RestoredLog<ListMachine> restored;
    restored.incarnation = 1;
    restored.state = *output.write->state;
    Replica<ListMachine> again(self, {}, start);
    again.form(start, { { self, first, second }, {} });
    again.restore(start, restored);
    const Time later = start + 10s;
    again.receive(later, { second, self, VoteRequest { 5, 0, 0, false } });
    const auto reply = again.takeOutput(later);
    BOOST_TEST(!std::get<VoteReply>(reply.messages.at(0).message.body).isGranted);
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

BOOST_AUTO_TEST_CASE(aCandidateCountsItsOwnVoteOnceItIsDurable)
{
    const Member self { HostId { 0 }, 1 };
    const Member other { HostId { 1 }, 1 };
    const Member third { HostId { 2 }, 1 };
    const Time start(1h);
    Replica<ListMachine> replica(self, {}, start);
    replica.form(start, { { self, other, third }, {} });
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

BOOST_AUTO_TEST_CASE(anEntryOfAnEarlierTermCommitsOnlyWithOneOfTheCurrentTerm)
{
    const Member self { HostId { 0 }, 1 };
    const Member other { HostId { 1 }, 1 };
    const Member third { HostId { 2 }, 1 };
    const Time start(1h);
    Replica<ListMachine> replica(self, {}, start);
    replica.form(start, { { self, other, third }, {} });
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
