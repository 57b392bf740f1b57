#pragma once

#include "random.h"
#include "replica_state.h"

#include <algorithm>

namespace eelgrassloft {

/// A member's part in elections: when it stands, the votes it holds as a candidate and those it gives.
template <StateMachine M>
class ReplicaElection {
public:
    ReplicaElection(uint64_t seed, Time now)
        : m_random(seed)
        , m_leaderContactTime(now)
    {
    }

    // When to stand.

    Time deadline() const { return m_deadline; }
    void setDeadline(Time deadline) { m_deadline = deadline; }

    void resetDeadline(Time now, Duration electionTimeout)
    {
        const auto spread = static_cast<uint64_t>(electionTimeout.count());
        m_deadline = now + m_delay + electionTimeout + Duration(static_cast<Duration::rep>(m_random.below(spread)));
    }

    /// Delays candidacies by `delay` and moves the current deadline accordingly.
    void setDelay(Duration delay)
    {
        m_deadline += delay - m_delay;
        m_delay = delay;
    }

    void setLeaderContact(Time at) { m_leaderContactTime = at; }
    /// Whether a leader was heard within the last election timeout.
    bool hasLeaderContact(Time now, Duration electionTimeout) const { return now < m_leaderContactTime + electionTimeout; }

    // As a candidate.

    void requestPreVotes(ReplicaState<M>& state)
    {
        m_votes = { state.self() };
        state.sendToVoters(VoteRequest { state.term() + 1, state.lastIndex(), state.lastTerm(), true });
    }

    void requestVotes(ReplicaState<M>& state, Time now)
    {
        ++m_electionsStarted;
        state.enterTerm(state.term() + 1, state.self());
        m_votes.clear();
        m_voteWriteSequence = state.writes().lastSequence() + 1; // The write that `takeOutput` returns at the end of this step.
        state.sendToVoters(VoteRequest { state.term(), state.lastIndex(), state.lastTerm(), false });
        resetDeadline(now, state.electionTimeout());
    }

    void addVote(const Membership& membership, Member voter)
    {
        if (membership.hasVoter(voter) && std::find(m_votes.begin(), m_votes.end(), voter) == m_votes.end())
            m_votes.push_back(voter);
    }

    bool hasQuorum(const Membership& membership) const { return m_votes.size() >= membership.quorum(); }

    /// Whether this candidate's own vote is durable. Without that, a restarted leader could win the same
    /// term again with another log.
    bool isOwnVoteDurable(const ReplicaWrites<M>& writes) const { return writes.syncedSequence() >= m_voteWriteSequence; }

    void clearVotes() { m_votes.clear(); }
    void countWin() { ++m_electionsWon; }
    uint64_t electionsStarted() const { return m_electionsStarted; }
    uint64_t electionsWon() const { return m_electionsWon; }

    // As a voter.

    void answerPreVote(ReplicaState<M>& state, Member from, const VoteRequest& request) const
    {
        const bool isGranted = request.term > state.term() && isUpToDate(state, request) && !state.writes().isRefused();
        state.send(from, VoteReply { isGranted ? request.term : state.term(), isGranted, true });
    }

    void answerVote(ReplicaState<M>& state, Time now, Member from, const VoteRequest& request)
    {
        const Member votedFor = state.hardState().votedFor;
        const bool canVoteForSender = !votedFor.host.isValid() || votedFor == from;
        const bool isGranted = request.term == state.term() && canVoteForSender && isUpToDate(state, request);
        if (isGranted) {
            state.voteFor(from);
            resetDeadline(now, state.electionTimeout());
        }
        state.send(from, VoteReply { state.term(), isGranted, false }, isGranted);
    }

private:
    /// Whether the candidate's log is at least as up to date as this member's.
    static bool isUpToDate(const ReplicaState<M>& state, const VoteRequest& request)
    {
        return request.lastTerm > state.lastTerm() || (request.lastTerm == state.lastTerm() && request.lastIndex >= state.lastIndex());
    }

    Random m_random;
    Time m_deadline {};
    Duration m_delay {};
    Time m_leaderContactTime;
    std::vector<Member> m_votes;
    uint64_t m_voteWriteSequence = 0; ///< Write that makes the candidate's own vote durable.
    uint64_t m_electionsStarted = 0;
    uint64_t m_electionsWon = 0;
};

} // namespace eelgrassloft
