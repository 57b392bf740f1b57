#pragma once

#include "invariant.h"
#include "random.h"
#include "replica_membership.h"
#include "replica_role.h"

#include "eelgrassloft/config.h"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace eelgrassloft {

/// Member of a replicated log (Raft: Ongaro and Ousterhout, USENIX ATC 2014; pre-vote, quorum check
/// and single-server membership changes: Ongaro's thesis, 2014). Performs no I/O and reads no clock:
/// its inputs are times, messages and completed writes, and `takeOutput` returns the work to be done.
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

    struct Outgoing {
        Message message;
        uint64_t afterWrite = 0; ///< Write that must be synced before the message is sent; 0 for none.
    };

    struct Applied {
        uint64_t index = 0;
        uint64_t term = 0;
        Result result;
    };

    struct Output {
        std::optional<LogWrite<M>> write;
        std::vector<Outgoing> messages;
        std::vector<Applied> applied;
        bool wasRestored = false; ///< The state machine was replaced by a snapshot of the leader.
    };

    Replica(Member self, ReplicaOptions options, Time now)
        : m_self(self)
        , m_options(std::move(options))
        , m_random(m_options.seed)
        , m_leaderContactTime(now)
        , m_contacts(now)
    {
        resetElectionDeadline(now);
    }

    /// Forms (bootstraps) a new log with the given membership. The caller ensures that no voter holds state.
    void form(Time now, const Membership& initial)
    {
        m_log.setInitialMembership(initial);
        m_leaderContactTime = now - electionTimeout();
        m_role = isVoter() ? ReplicaRole::Follower : ReplicaRole::Learner;
        resetElectionDeadline(now);
        if (membership().voters.size() == 1)
            m_electionDeadline = now; // A single voter has no other candidate to wait for.
    }

    /// Restores the state that storage holds for this incarnation.
    void restore(Time now, RestoredLog<M> log)
    {
        m_state = m_writtenState = log.state;
        if (log.snapshot)
            installSnapshot(std::move(*log.snapshot));
        for (Entry& entry : log.entries)
            m_log.push(std::move(entry));
        m_durableIndex = lastIndex();
        m_leaderContactTime = now; // A leader's lease may still rely on an acknowledgement from before the restart.
        m_role = isVoter() ? ReplicaRole::Follower : ReplicaRole::Learner;
        resetElectionDeadline(now);
    }

    /// Appends a command and returns its index. Returns nothing where this member is not the leader
    /// or `config::maxUncommittedEntries` entries are uncommitted.
    std::optional<uint64_t> propose(Time now, Command command)
    {
        if (m_role != ReplicaRole::Leader || lastIndex() - m_commitIndex >= config::maxUncommittedEntries)
            return std::nullopt;
        return append(now, std::move(command));
    }

    void receive(Time now, const Message& message)
    {
        if (message.to != m_self)
            return;
        m_contacts.hear(now, message.from);
        std::visit([&](const auto& body) { handle(now, message.from, body); }, message.body);
    }

    /// Records that storage has synced all writes up to and including `sequence`.
    void completeWrites(Time now, uint64_t sequence)
    {
        while (!m_pendingWrites.empty() && m_pendingWrites.front().sequence <= sequence) {
            m_durableIndex = std::max(m_durableIndex, m_pendingWrites.front().lastIndex);
            m_pendingWrites.pop_front();
        }
        m_syncedSequence = std::max(m_syncedSequence, sequence);
        m_isStorageRefused = false;
        if (m_role == ReplicaRole::Candidate)
            countVotes(now);
        if (m_role == ReplicaRole::Leader)
            advanceCommit();
    }

    /// Records that storage refuses writes, which are retried until `completeWrites`. Meanwhile this
    /// member starts no election and supports none, as no vote of its own would be durable. A leader
    /// goes on: entries are committed once a quorum of the others holds them, and an election would
    /// not add a member whose storage takes them.
    void refuseWrites() { m_isStorageRefused = true; }

    /// Delays this member's candidacies by `delay`, so that members better suited to lead win the
    /// elections. Moves the current election deadline too.
    void setElectionDelay(Duration delay)
    {
        m_electionDeadline += delay - m_electionDelay;
        m_electionDelay = delay;
    }

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
        if (now < m_electionDeadline)
            return;
        resetElectionDeadline(now);
        if (isVoter() && !m_isStorageRefused)
            startPreVote(now);
    }

    /// Ends a step: sends new entries to the followers and returns the work collected since the last call.
    Output takeOutput(Time now)
    {
        if (m_role == ReplicaRole::Leader && m_hasUnsentEntries && now >= m_nextAppend)
            sendEntriesToAll(now);
        finishWrite();
        for (Outgoing& outgoing : m_output.messages) {
            if (outgoing.afterWrite)
                outgoing.afterWrite = m_lastWriteSequence;
        }
        return std::exchange(m_output, {});
    }

    Time nextDeadline() const
    {
        if (m_role != ReplicaRole::Leader)
            return m_electionDeadline;
        return std::min({ m_nextHeartbeat, m_nextQuorumCheck, m_hasUnsentEntries ? m_nextAppend : never });
    }

    /// Whether this member leads and, by its own clock, no other member can have become leader.
    /// `config::maxClockDrift` allows for the difference between the members' clock rates.
    bool hasLease(Time now) const
    {
        return m_role == ReplicaRole::Leader && hasCommittedInTerm()
            && now < lastQuorumContact(now) + electionTimeout() - config::maxClockDrift;
    }

    /// Time since the latest message that a quorum has acknowledged was sent.
    Duration quorumContactAge(Time now) const { return now - lastQuorumContact(now); }

    ReplicaRole role() const { return m_role; }
    uint64_t term() const { return m_state.term; }
    Member self() const { return m_self; }
    Member leader() const { return m_leader; }
    uint64_t commitIndex() const { return m_commitIndex; }
    uint64_t lastIndex() const { return m_log.lastIndex(); }
    uint64_t snapshotIndex() const { return m_snapshotIndex; }
    const M& stateMachine() const { return m_stateMachine; }
    const Membership& membership() const { return m_log.membership(); }
    bool isStorageRefused() const { return m_isStorageRefused; }
    /// Whether the membership in force is committed: until then a change to it may be lost.
    bool isMembershipCommitted() const { return m_log.membershipIndex() <= m_commitIndex; }
    bool isEmpty() const { return lastIndex() == 0 && m_state.term == 0; }
    uint64_t electionsStarted() const { return m_electionsStarted; }
    uint64_t electionsWon() const { return m_electionsWon; }
    uint64_t snapshotsSent() const { return m_snapshotsSent; }

    /// Entry at `index`, or null where it has been compacted or not been appended yet.
    const Entry* entryAt(uint64_t index) const { return m_log.entryAt(index); }

    Duration electionTimeout() const { return m_options.heartbeat * config::electionTimeoutHeartbeats; }

private:
    using Progress = MemberProgress;

    struct PendingWrite {
        uint64_t sequence = 0;
        uint64_t lastIndex = 0;
    };

    // Log.

    template <typename Payload>
    uint64_t append(Time now, Payload payload)
    {
        Entry entry;
        entry.index = lastIndex() + 1;
        entry.term = m_state.term;
        entry.at = std::max(now, m_log.timeAt(lastIndex()));
        entry.payload = std::move(payload);
        m_firstUnwrittenIndex = std::min(m_firstUnwrittenIndex, entry.index);
        m_log.push(std::move(entry));
        m_hasUnsentEntries = true;
        return lastIndex();
    }

    void truncateFrom(uint64_t index)
    {
        requireInvariant(index > m_commitIndex, "a committed entry is never removed");
        m_log.truncateFrom(index);
        m_durableIndex = std::min(m_durableIndex, index - 1);
        for (PendingWrite& write : m_pendingWrites)
            write.lastIndex = std::min(write.lastIndex, index - 1);
        m_firstUnwrittenIndex = std::min(m_firstUnwrittenIndex, index);
        m_truncateFrom = m_truncateFrom ? std::min(m_truncateFrom, index) : index;
    }

    void installSnapshot(Snapshot<M> snapshot)
    {
        m_log.reset(snapshot);
        m_snapshotIndex = m_commitIndex = m_appliedIndex = snapshot.index;
        m_stateMachine = std::move(snapshot.stateMachine);
        if constexpr (requires { m_stateMachine.rebuild(); })
            m_stateMachine.rebuild();
    }

    Snapshot<M> currentSnapshot() const
    {
        Snapshot<M> snapshot;
        snapshot.index = m_appliedIndex;
        snapshot.term = m_log.termAt(m_appliedIndex);
        snapshot.at = m_log.timeAt(m_appliedIndex);
        snapshot.membership = m_log.membershipAt(m_appliedIndex);
        snapshot.stateMachine = m_stateMachine;
        return snapshot;
    }

    /// Number of entries between snapshots. It grows with the state, so that the cost of copying the
    /// state is bounded per entry.
    uint64_t compactionThreshold() const
    {
        if constexpr (requires { m_stateMachine.recordCount(); })
            return std::max<uint64_t>(m_options.snapshotThreshold, m_stateMachine.recordCount() / config::recordsPerSnapshotEntry);
        else
            return m_options.snapshotThreshold;
    }

    void compact()
    {
        const uint64_t threshold = compactionThreshold();
        if (m_appliedIndex - m_snapshotIndex < threshold)
            return;
        if (m_options.hasStorage)
            m_newSnapshot = currentSnapshot();
        m_snapshotIndex = m_appliedIndex;
        // Half of the threshold stays in memory, so that a slightly lagging follower needs no snapshot.
        m_log.dropThrough(m_appliedIndex - threshold / 2);
    }

    void finishWrite()
    {
        LogWrite<M> write;
        if (m_state != m_writtenState) {
            write.state = m_state;
            m_writtenState = m_state;
        }
        write.snapshot = std::exchange(m_newSnapshot, std::nullopt);
        write.truncateFrom = std::exchange(m_truncateFrom, 0);
        for (uint64_t i = std::max(m_firstUnwrittenIndex, m_log.firstIndex()); i <= lastIndex(); ++i)
            write.entries.push_back(*entryAt(i));
        m_firstUnwrittenIndex = noIndex;
        if (!write.state && !write.snapshot && !write.truncateFrom && write.entries.empty())
            return;
        write.sequence = ++m_lastWriteSequence;
        if (m_isStorageRefused && !m_pendingWrites.empty()) // Storage merges what it refuses.
            m_pendingWrites.back() = { write.sequence, lastIndex() };
        else
            m_pendingWrites.push_back({ write.sequence, lastIndex() });
        m_output.write = std::move(write);
    }

    // Roles and elections.

    bool isVoter() const { return membership().hasVoter(m_self); }

    void resetElectionDeadline(Time now)
    {
        const auto spread = static_cast<uint64_t>(electionTimeout().count());
        m_electionDeadline = now + m_electionDelay + electionTimeout() + Duration(static_cast<Duration::rep>(m_random.below(spread)));
    }

    void becomeFollower(Time now, uint64_t term)
    {
        if (term > m_state.term)
            m_state = { term, {} };
        if (m_role == ReplicaRole::Leader || m_role == ReplicaRole::Candidate)
            resetElectionDeadline(now);
        m_role = isVoter() ? ReplicaRole::Follower : ReplicaRole::Learner;
        m_votes.clear();
    }

    bool observeTerm(Time now, uint64_t term)
    {
        if (term <= m_state.term)
            return false;
        m_leader = {};
        becomeFollower(now, term);
        return true;
    }

    template <typename Body>
    void send(Member to, Body body, bool needsSync = false)
    {
        // `takeOutput` replaces the 1 by the sequence number of the step's write.
        m_output.messages.push_back({ { m_self, to, std::move(body) }, needsSync ? 1U : 0U });
    }

    template <typename Body>
    void sendToVoters(const Body& body)
    {
        for (const Member& voter : membership().voters) {
            if (voter != m_self)
                send(voter, body);
        }
    }

    void startPreVote(Time now)
    {
        m_role = ReplicaRole::PreCandidate;
        m_leader = {};
        m_votes = { m_self };
        sendToVoters(VoteRequest { m_state.term + 1, lastIndex(), m_log.termAt(lastIndex()), true });
        if (m_votes.size() >= membership().quorum())
            startElection(now);
    }

    void startElection(Time now)
    {
        m_role = ReplicaRole::Candidate;
        ++m_electionsStarted;
        m_state = { m_state.term + 1, m_self };
        m_votes.clear();
        m_voteWriteSequence = m_lastWriteSequence + 1; // The write that `takeOutput` returns at the end of this step.
        sendToVoters(VoteRequest { m_state.term, lastIndex(), m_log.termAt(lastIndex()), false });
        resetElectionDeadline(now);
    }

    void countVotes(Time now)
    {
        // Without its own vote, a restarted leader could win the same term again with another log.
        if (m_syncedSequence < m_voteWriteSequence)
            return;
        addVote(m_self);
        if (m_votes.size() >= membership().quorum())
            becomeLeader(now);
    }

    void addVote(Member voter)
    {
        if (membership().hasVoter(voter) && std::find(m_votes.begin(), m_votes.end(), voter) == m_votes.end())
            m_votes.push_back(voter);
    }

    void becomeLeader(Time now)
    {
        m_role = ReplicaRole::Leader;
        m_leader = m_self;
        ++m_electionsWon;
        m_votes.clear();
        m_progress.clear();
        m_becameLeaderAt = now;
        m_nextQuorumCheck = now;
        m_termStartIndex = append(now, TermStart {});
        if (m_log.membershipIndex() == 0) // A new log: members that did not form it receive the membership with this entry.
            append(now, Membership(membership()));
        sendEntriesToAll(now);
    }

    void handle(Time now, Member from, const VoteRequest& request)
    {
        const bool hasLeader = m_role == ReplicaRole::Leader ? now < lastQuorumContact(now) + electionTimeout()
                                                             : now < m_leaderContactTime + electionTimeout();
        if (hasLeader) {
            send(from, VoteReply { m_state.term, false, request.isPreVote });
            return;
        }
        if (!request.isPreVote)
            observeTerm(now, request.term);
        const bool isUpToDate = request.lastTerm > m_log.termAt(lastIndex())
            || (request.lastTerm == m_log.termAt(lastIndex()) && request.lastIndex >= lastIndex());
        if (request.isPreVote) {
            const bool isGranted = request.term > m_state.term && isUpToDate && !m_isStorageRefused;
            send(from, VoteReply { isGranted ? request.term : m_state.term, isGranted, true });
            return;
        }
        const bool canVoteForSender = !m_state.votedFor.host.isValid() || m_state.votedFor == from;
        const bool isGranted = request.term == m_state.term && canVoteForSender && isUpToDate;
        if (isGranted) {
            m_state.votedFor = from;
            resetElectionDeadline(now);
        }
        send(from, VoteReply { m_state.term, isGranted, false }, isGranted);
    }

    void handle(Time now, Member from, const VoteReply& reply)
    {
        if (reply.isPreVote && reply.isGranted) {
            if (m_role != ReplicaRole::PreCandidate || reply.term != m_state.term + 1)
                return;
            addVote(from);
            if (m_votes.size() >= membership().quorum())
                startElection(now);
            return;
        }
        if (observeTerm(now, reply.term))
            return;
        if (reply.isGranted && m_role == ReplicaRole::Candidate && reply.term == m_state.term) {
            addVote(from);
            countVotes(now);
        }
    }

    // Follower side of replication.

    /// Accepts `from` as the leader of `term`; rejects the leader of an earlier term and returns false.
    bool followLeader(Time now, Member from, uint64_t term, Time sentAt)
    {
        if (term < m_state.term) {
            send(from, AppendReply { m_state.term, false, lastIndex(), sentAt });
            return false;
        }
        requireInvariant(m_role != ReplicaRole::Leader || term > m_state.term, "one leader in a term");
        becomeFollower(now, term);
        m_leader = from;
        m_leaderContactTime = now;
        resetElectionDeadline(now);
        return true;
    }

    void handle(Time now, Member from, const AppendRequest<M>& request)
    {
        if (!followLeader(now, from, request.term, request.sentAt))
            return;
        const bool isBeforeLog = request.previousIndex + 1 < m_log.firstIndex();
        const bool isMatching = request.previousIndex <= lastIndex() && m_log.termAt(request.previousIndex) == request.previousTerm;
        if (!isBeforeLog && !isMatching) {
            const uint64_t resumeIndex = std::max(m_commitIndex, std::min(lastIndex(), request.previousIndex - 1));
            send(from, AppendReply { m_state.term, false, resumeIndex, request.sentAt });
            return;
        }
        for (const Entry& entry : request.entries)
            acceptEntry(entry);
        const uint64_t matchIndex = std::max(m_commitIndex, request.previousIndex + request.entries.size());
        m_commitIndex = std::max(m_commitIndex, std::min(request.commitIndex, matchIndex));
        applyCommitted();
        acknowledgeContact(now, from, matchIndex, request.sentAt);
        send(from, AppendReply { m_state.term, true, matchIndex, request.sentAt }, true);
    }

    /// Acknowledges at once that the leader was heard, with the entries that are durable already. The
    /// promise to refuse votes needs no disk: a restarted member keeps it for a whole election timeout.
    void acknowledgeContact(Time now, Member leader, uint64_t matchIndex, Time sentAt)
    {
        const bool isDurable = m_durableIndex >= matchIndex && m_pendingWrites.empty() && m_state == m_writtenState;
        if (isDurable || now < m_nextContactReply)
            return;
        m_nextContactReply = now + m_options.heartbeat;
        send(leader, AppendReply { m_state.term, true, std::min(matchIndex, m_durableIndex), sentAt });
    }

    void acceptEntry(const Entry& entry)
    {
        if (entry.index <= m_commitIndex)
            return;
        if (entry.index <= lastIndex()) {
            if (m_log.termAt(entry.index) == entry.term)
                return;
            truncateFrom(entry.index);
        }
        requireInvariant(entry.index == lastIndex() + 1, "the log has no gaps");
        m_firstUnwrittenIndex = std::min(m_firstUnwrittenIndex, entry.index);
        m_log.push(entry);
    }

    void handle(Time now, Member from, const SnapshotRequest<M>& request)
    {
        if (!followLeader(now, from, request.term, request.sentAt))
            return;
        if (m_log.termAt(request.snapshot.index) == request.snapshot.term) {
            m_commitIndex = std::max(m_commitIndex, request.snapshot.index); // The log holds all of it, and maybe acknowledged entries after it.
            applyCommitted();
        } else if (request.snapshot.index > m_commitIndex) {
            replaceLog(request.snapshot);
        }
        acknowledgeContact(now, from, m_commitIndex, request.sentAt);
        send(from, AppendReply { m_state.term, true, m_commitIndex, request.sentAt }, true);
    }

    void replaceLog(const Snapshot<M>& snapshot)
    {
        installSnapshot(snapshot);
        m_newSnapshot = snapshot;
        m_firstUnwrittenIndex = noIndex;
        m_durableIndex = 0;
        m_pendingWrites.clear();
        m_truncateFrom = 1;
        m_output.wasRestored = true;
    }

    // Leader side of replication.

    void tickLeader(Time now)
    {
        if (now >= lastQuorumContact(now) + electionTimeout() && now >= m_becameLeaderAt + electionTimeout()) {
            m_leader = {};
            becomeFollower(now, m_state.term);
            return;
        }
        if (now < std::min(m_nextHeartbeat, m_nextQuorumCheck))
            return; // Only new entries are due; `takeOutput` sends them.
        m_nextQuorumCheck = now + m_options.heartbeat; // Sending entries postpones the heartbeat, but not this check.
        changeMembership(now);
        if (now >= m_nextHeartbeat)
            sendEntriesToAll(now);
    }

    /// Latest time such that a quorum, this leader included, has acknowledged a message sent then or later.
    Time lastQuorumContact(Time now) const
    {
        std::vector<Time> contacts;
        for (const Member& voter : membership().voters)
            contacts.push_back(voter == m_self ? now : progressOf(voter).lastAck);
        return contacts.empty() ? Time {} : quorumValue(std::move(contacts));
    }

    /// Largest value that a quorum of the voters has reached.
    template <typename Value>
    Value quorumValue(std::vector<Value> values) const
    {
        const auto position = values.begin() + static_cast<ptrdiff_t>(membership().quorum()) - 1;
        std::nth_element(values.begin(), position, values.end(), std::greater<>());
        return *position;
    }

    Progress progressOf(const Member& member) const
    {
        const auto found = m_progress.find(member);
        return found == m_progress.end() ? Progress {} : found->second;
    }

    Progress& ensureProgress(const Member& member)
    {
        const auto [position, isNew] = m_progress.try_emplace(member);
        if (isNew)
            position->second.next = lastIndex() + 1;
        return position->second;
    }

    void sendEntriesToAll(Time now)
    {
        m_hasUnsentEntries = false;
        m_nextHeartbeat = now + m_options.heartbeat;
        m_nextAppend = now + m_options.minAppendInterval;
        for (const auto* list : { &membership().voters, &membership().learners }) {
            for (const Member& member : *list) {
                if (member != m_self)
                    sendEntries(now, member);
            }
        }
    }

    void sendEntries(Time now, const Member& member)
    {
        Progress& follower = ensureProgress(member);
        if (follower.next < m_log.firstIndex()) {
            sendSnapshotOrProbe(now, member, follower);
            return;
        }
        AppendRequest<M> request = requestAfter(now, follower.next - 1);
        const uint64_t window = follower.match + 1 + config::maxInFlightEntries;
        const uint64_t end = std::max(follower.next, std::min({ lastIndex() + 1, follower.next + config::maxEntriesPerAppend, window }));
        for (uint64_t i = follower.next; i < end; ++i)
            request.entries.push_back(*entryAt(i));
        follower.next = end; // Pipelining: the next message does not wait for this one's reply.
        send(member, std::move(request));
    }

    AppendRequest<M> requestAfter(Time now, uint64_t previousIndex) const
    {
        AppendRequest<M> request;
        request.term = m_state.term;
        request.previousIndex = previousIndex;
        request.previousTerm = m_log.termAt(previousIndex);
        request.commitIndex = m_commitIndex;
        request.sentAt = now;
        return request;
    }

    /// Sends a snapshot, which is a copy of the whole state, with the entries after it to follow, to a
    /// member that has rejected a message sent after the last snapshot. Others may be gone, or the last
    /// one may still be on its way.
    void sendSnapshotOrProbe(Time now, const Member& member, Progress& follower)
    {
        if (follower.rejectedAt > follower.snapshotSentAt) {
            follower.snapshotSentAt = now;
            ++m_snapshotsSent;
            Snapshot<M> snapshot = currentSnapshot();
            follower.next = snapshot.index + 1;
            send(member, SnapshotRequest<M> { m_state.term, now, std::move(snapshot) });
        } else if (now >= follower.probedAt + m_options.heartbeat) {
            follower.probedAt = now;
            send(member, requestAfter(now, lastIndex()));
        }
    }

    void handle(Time now, Member from, const AppendReply& reply)
    {
        if (observeTerm(now, reply.term) || m_role != ReplicaRole::Leader || reply.term != m_state.term)
            return;
        Progress& follower = ensureProgress(from);
        follower.lastAck = std::max(follower.lastAck, reply.sentAt);
        if (!reply.isAccepted) {
            follower.rejectedAt = std::max(follower.rejectedAt, reply.sentAt);
            // One lost message makes the follower reject all pipelined after it; resend only once for them.
            if (reply.sentAt < follower.rewoundAt)
                return;
            follower.rewoundAt = now;
            follower.next = std::max(follower.match + 1, std::min(reply.index + 1, lastIndex() + 1));
            sendEntries(now, from);
            return;
        }
        requireInvariant(reply.index <= lastIndex(), "a follower holds no entry that its leader lacks");
        if (reply.sentAt >= follower.rejectedAt)
            follower.rejectedAt = {};
        follower.match = std::max(follower.match, reply.index);
        follower.next = std::max(follower.next, follower.match + 1);
        advanceCommit();
        finishRound(now, follower);
        if (follower.next <= lastIndex() && !m_hasUnsentEntries) // `takeOutput` sends new entries to all members at once.
            sendEntries(now, from);
    }

    /// Ends a member's catch-up round once it holds what was committed when the round began, and begins
    /// the next (Ongaro's thesis, 4.2.1). Rounds begin after the first commit of the term.
    void finishRound(Time now, Progress& member)
    {
        if (!hasCommittedInTerm() || (member.roundTarget && member.match < member.roundTarget))
            return;
        member.isCaughtUp = member.roundTarget && now < member.roundStartedAt + electionTimeout();
        member.roundTarget = m_commitIndex;
        member.roundStartedAt = now;
    }

    void advanceCommit()
    {
        std::vector<uint64_t> matches;
        for (const Member& voter : membership().voters)
            matches.push_back(voter == m_self ? m_durableIndex : progressOf(voter).match);
        if (matches.empty())
            return;
        const uint64_t index = quorumValue(std::move(matches));
        if (index <= m_commitIndex || m_log.termAt(index) != m_state.term)
            return;
        m_commitIndex = index;
        applyCommitted();
    }

    bool hasCommittedInTerm() const { return m_commitIndex >= m_termStartIndex; }

    void applyCommitted()
    {
        requireInvariant(m_commitIndex <= lastIndex(), "a committed entry is in the log");
        while (m_appliedIndex < m_commitIndex) {
            const Entry& entry = *entryAt(++m_appliedIndex);
            if (const auto* command = std::get_if<Command>(&entry.payload))
                m_output.applied.push_back({ entry.index, entry.term, m_stateMachine.apply(entry.at, *command) });
        }
        compact();
    }

    // Membership.

    /// Appends at most one single-member change, and only once the previous change is committed.
    void changeMembership(Time now)
    {
        if (!hasCommittedInTerm() || !isMembershipCommitted())
            return;
        const MembershipView view { membership(), m_self, m_contacts, m_progress, m_becameLeaderAt, electionTimeout() };
        if (auto next = nextMembership(view, m_options, now))
            append(now, std::move(*next));
    }

    static constexpr uint64_t noIndex = UINT64_MAX;

    Member m_self;
    ReplicaOptions m_options;
    Random m_random;
    ReplicaRole m_role = ReplicaRole::Learner;
    HardState m_state;
    HardState m_writtenState; ///< As of the latest write.
    Member m_leader;
    M m_stateMachine;

    ReplicaLog<M> m_log;
    uint64_t m_snapshotIndex = 0;
    uint64_t m_commitIndex = 0;
    uint64_t m_appliedIndex = 0;
    uint64_t m_durableIndex = 0; ///< Last entry that storage has synced.

    uint64_t m_firstUnwrittenIndex = noIndex; ///< First entry for the next write.
    uint64_t m_truncateFrom = 0; ///< First stored entry that the next write removes; 0 for none.
    std::optional<Snapshot<M>> m_newSnapshot;
    uint64_t m_lastWriteSequence = 0;
    uint64_t m_syncedSequence = 0;
    uint64_t m_voteWriteSequence = 0; ///< Write that makes the candidate's own vote durable.
    std::deque<PendingWrite> m_pendingWrites;
    bool m_isStorageRefused = false;

    Time m_leaderContactTime;
    Time m_nextContactReply {}; ///< Earliest time of the next acknowledgement that does not wait for the disk.
    Time m_electionDeadline {};
    Duration m_electionDelay {};
    Time m_nextHeartbeat {};
    Time m_nextAppend {}; ///< Earliest time of the next message with new entries.
    Time m_nextQuorumCheck {}; ///< Leader: when it next checks quorum contact and membership.
    Time m_becameLeaderAt {};
    uint64_t m_termStartIndex = 0;
    bool m_hasUnsentEntries = false;
    std::vector<Member> m_votes;
    std::map<Member, Progress> m_progress;
    HostContacts m_contacts;
    uint64_t m_electionsStarted = 0;
    uint64_t m_electionsWon = 0;
    uint64_t m_snapshotsSent = 0;
    Output m_output;
};

} // namespace eelgrassloft
