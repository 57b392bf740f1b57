#pragma once

#include "replica_election.h"
#include "replica_follower.h"
#include "replica_leader.h"
#include "replica_role.h"

namespace eelgrassloft {

/// Member of a replicated log (Raft: Ongaro and Ousterhout, USENIX ATC 2014; pre-vote, quorum check
/// and single-server membership changes: Ongaro's thesis, 2014). Performs no I/O and reads no clock:
/// its inputs are times, messages and completed writes, and `takeOutput` returns the work to be done.
/// It decides on its role and term; `ReplicaElection`, `ReplicaFollower` and `ReplicaLeader` act in
/// a role, all on one `ReplicaState`.
///
/// A member without a disk takes a new incarnation at each start. Every message names the
/// incarnations of sender and receiver, so that a host that lost its votes is never counted as its
/// earlier incarnation.
template <StateMachine M>
class Replica {
public:
    using Command = typename M::Command;
    using Result = typename M::Result;
    using Entry = LogEntry<M>;
    using Message = ReplicaMessage<M>;
    using Output = ReplicaOutput<M>;
    using Outgoing = typename Output::Outgoing;
    using Applied = typename Output::Applied;

    Replica(Member self, ReplicaOptions options, Time now)
        : m_state(self, std::move(options))
        , m_election(m_state.options().seed, now)
        , m_contacts(now)
    {
        resetElectionDeadline(now);
    }

    /// Forms (bootstraps) a new log with the given membership. The caller ensures that no voter holds state.
    void form(Time now, const Membership& initial)
    {
        m_state.setInitialMembership(initial);
        m_election.setLeaderContact(now - electionTimeout());
        m_role = passiveRole();
        resetElectionDeadline(now);
        if (membership().voters.size() == 1)
            m_election.setDeadline(now); // A single voter has no other candidate to wait for.
    }

    /// Restores the state that storage holds for this incarnation.
    void restore(Time now, RestoredLog<M> log)
    {
        m_state.restore(std::move(log));
        m_election.setLeaderContact(now); // A leader's lease may still rely on an acknowledgement from before the restart.
        m_role = passiveRole();
        resetElectionDeadline(now);
    }

    /// Appends a command and returns its index. Returns nothing where this member is not the leader
    /// or `config::maxUncommittedEntries` entries are uncommitted.
    std::optional<uint64_t> propose(Time now, Command command)
    {
        if (m_role != ReplicaRole::Leader || lastIndex() - commitIndex() >= config::maxUncommittedEntries)
            return std::nullopt;
        return m_leaderSide.append(m_state, now, std::move(command));
    }

    void receive(Time now, const Message& message)
    {
        if (message.to != self())
            return;
        m_contacts.hear(now, message.from);
        std::visit([&](const auto& body) { handle(now, message.from, body); }, message.body);
    }

    /// Records that storage has synced all writes up to and including `sequence`.
    void completeWrites(Time now, uint64_t sequence)
    {
        m_state.completeWrites(sequence);
        if (m_role == ReplicaRole::Candidate)
            countVotes(now);
        if (m_role == ReplicaRole::Leader)
            m_leaderSide.advanceCommit(m_state);
    }

    /// Records that storage refuses writes, which are retried until `completeWrites`. Meanwhile this
    /// member starts no election and supports none, as no vote of its own would be durable. A leader
    /// goes on: entries are committed once a quorum of the others holds them, and an election would
    /// not add a member whose storage takes them.
    void refuseWrites() { m_state.refuseWrites(); }

    /// Delays this member's candidacies by `delay`, so that members better suited to lead win the
    /// elections. Moves the current election deadline too.
    void setElectionDelay(Duration delay) { m_election.setDelay(delay); }

    /// Records the incarnation that a host announced. A leader admits new incarnations to the
    /// membership, one change at a time.
    void observeMember(Member member) { m_contacts.announce(member); }

    /// Records that a message other than the log's arrived from a host.
    void observeContact(Time now, HostId host) { m_contacts.hear(now, host); }

    void tick(Time now)
    {
        if (m_role == ReplicaRole::Leader) {
            tickLeader(now);
            return;
        }
        if (now < m_election.deadline())
            return;
        resetElectionDeadline(now);
        if (m_state.isVoter() && !isStorageRefused())
            startPreVote(now);
    }

    /// Ends a step: sends new entries to the followers and returns the work collected since the last call.
    Output takeOutput(Time now)
    {
        if (m_role == ReplicaRole::Leader)
            m_leaderSide.sendUnsentEntries(m_state, now);
        return m_state.takeOutput();
    }

    Time nextDeadline() const { return m_role == ReplicaRole::Leader ? m_leaderSide.nextDeadline() : m_election.deadline(); }

    /// Whether this member leads and, by its own clock, no other member can have become leader.
    /// `config::maxClockDrift` allows for the difference between the members' clock rates.
    bool hasLease(Time now) const
    {
        return m_role == ReplicaRole::Leader && m_leaderSide.hasCommittedInTerm(m_state)
            && now < m_leaderSide.lastQuorumContact(m_state, now) + electionTimeout() - config::maxClockDrift;
    }

    /// Time since the latest message that a quorum has acknowledged was sent.
    Duration quorumContactAge(Time now) const { return now - m_leaderSide.lastQuorumContact(m_state, now); }

    ReplicaRole role() const { return m_role; }
    uint64_t term() const { return m_state.term(); }
    Member self() const { return m_state.self(); }
    Member leader() const { return m_leader; }
    uint64_t commitIndex() const { return m_state.commitIndex(); }
    uint64_t lastIndex() const { return m_state.lastIndex(); }
    uint64_t snapshotIndex() const { return m_state.snapshotIndex(); }
    const M& stateMachine() const { return m_state.stateMachine(); }
    const Membership& membership() const { return m_state.membership(); }
    bool isStorageRefused() const { return m_state.writes().isRefused(); }
    /// Whether the membership in force is committed: until then a change to it may be lost.
    bool isMembershipCommitted() const { return m_state.isMembershipCommitted(); }
    bool isEmpty() const { return lastIndex() == 0 && term() == 0; }
    uint64_t electionsStarted() const { return m_election.electionsStarted(); }
    uint64_t electionsWon() const { return m_election.electionsWon(); }
    uint64_t snapshotsSent() const { return m_leaderSide.snapshotsSent(); }

    /// Entry at `index`, or null where it has been compacted or not been appended yet.
    const Entry* entryAt(uint64_t index) const { return m_state.log().entryAt(index); }

    Duration electionTimeout() const { return m_state.electionTimeout(); }

private:
    // Roles and terms.

    /// Role of a member that neither leads nor stands.
    ReplicaRole passiveRole() const { return m_state.isVoter() ? ReplicaRole::Follower : ReplicaRole::Learner; }

    void resetElectionDeadline(Time now) { m_election.resetDeadline(now, electionTimeout()); }

    void becomeFollower(Time now, uint64_t newTerm)
    {
        if (newTerm > term())
            m_state.enterTerm(newTerm, {});
        if (m_role == ReplicaRole::Leader || m_role == ReplicaRole::Candidate)
            resetElectionDeadline(now);
        if (m_role == ReplicaRole::Leader)
            m_leaderSide.stop(m_state);
        m_role = passiveRole();
        m_election.clearVotes();
    }

    bool observeTerm(Time now, uint64_t seenTerm)
    {
        if (seenTerm <= term())
            return false;
        m_leader = {};
        becomeFollower(now, seenTerm);
        return true;
    }

    void becomeLeader(Time now)
    {
        m_role = ReplicaRole::Leader;
        m_leader = self();
        m_election.countWin();
        m_election.clearVotes();
        m_leaderSide.start(m_state, now);
    }

    void tickLeader(Time now)
    {
        if (m_leaderSide.hasLostQuorum(m_state, now)) {
            m_leader = {};
            becomeFollower(now, term());
            return;
        }
        m_leaderSide.tick(m_state, m_contacts, now);
    }

    // Elections.

    void startPreVote(Time now)
    {
        m_role = ReplicaRole::PreCandidate;
        m_leader = {};
        m_election.requestPreVotes(m_state);
        if (m_election.hasQuorum(membership()))
            startElection(now);
    }

    void startElection(Time now)
    {
        m_role = ReplicaRole::Candidate;
        m_election.requestVotes(m_state, now);
    }

    void countVotes(Time now)
    {
        if (!m_election.isOwnVoteDurable(m_state.writes()))
            return;
        m_election.addVote(membership(), self());
        if (m_election.hasQuorum(membership()))
            becomeLeader(now);
    }

    void handle(Time now, Member from, const VoteRequest& request)
    {
        const bool hasLeader = m_role == ReplicaRole::Leader ? m_leaderSide.hasQuorumContact(m_state, now)
                                                             : m_election.hasLeaderContact(now, electionTimeout());
        if (hasLeader) {
            m_state.send(from, VoteReply { term(), false, request.isPreVote });
            return;
        }
        if (request.isPreVote) {
            m_election.answerPreVote(m_state, from, request);
            return;
        }
        observeTerm(now, request.term);
        m_election.answerVote(m_state, now, from, request);
    }

    void handle(Time now, Member from, const VoteReply& reply)
    {
        if (reply.isPreVote && reply.isGranted) {
            if (m_role != ReplicaRole::PreCandidate || reply.term != term() + 1)
                return;
            m_election.addVote(membership(), from);
            if (m_election.hasQuorum(membership()))
                startElection(now);
            return;
        }
        if (observeTerm(now, reply.term))
            return;
        if (reply.isGranted && m_role == ReplicaRole::Candidate && reply.term == term()) {
            m_election.addVote(membership(), from);
            countVotes(now);
        }
    }

    // Replication.

    /// Accepts `from` as the leader of `leaderTerm`; rejects the leader of an earlier term and returns false.
    bool followLeader(Time now, Member from, uint64_t leaderTerm, Time sentAt)
    {
        if (leaderTerm < term()) {
            m_state.send(from, AppendReply { term(), false, lastIndex(), sentAt });
            return false;
        }
        requireInvariant(m_role != ReplicaRole::Leader || leaderTerm > term(), "one leader in a term");
        becomeFollower(now, leaderTerm);
        m_leader = from;
        m_election.setLeaderContact(now);
        resetElectionDeadline(now);
        return true;
    }

    void handle(Time now, Member from, const AppendRequest<M>& request)
    {
        if (followLeader(now, from, request.term, request.sentAt))
            m_followerSide.accept(m_state, now, from, request);
    }

    void handle(Time now, Member from, const SnapshotRequest<M>& request)
    {
        if (followLeader(now, from, request.term, request.sentAt))
            m_followerSide.accept(m_state, now, from, request);
    }

    void handle(Time now, Member from, const AppendReply& reply) { handleReply(now, from, reply); }
    void handle(Time now, Member from, const SnapshotReply& reply) { handleReply(now, from, reply); }

    template <typename Reply>
    void handleReply(Time now, Member from, const Reply& reply)
    {
        if (observeTerm(now, reply.term) || m_role != ReplicaRole::Leader || reply.term != term())
            return;
        m_leaderSide.handle(m_state, now, from, reply);
    }

    ReplicaState<M> m_state;
    ReplicaRole m_role = ReplicaRole::Learner;
    Member m_leader;
    ReplicaElection<M> m_election;
    ReplicaFollower<M> m_followerSide;
    ReplicaLeader<M> m_leaderSide;
    HostContacts m_contacts;
};

} // namespace eelgrassloft
