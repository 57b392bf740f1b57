#pragma once

#include "replica_state.h"
#include "snapshot_transfer.h"

#include <algorithm>
#include <functional>
#include <map>

namespace eelgrassloft {

/// Leader side of replication: what each member has acknowledged, what is sent to it next and when, and
/// what is committed by that.
template <StateMachine M>
class ReplicaLeader {
public:
    /// Begins a term of leadership.
    void start(ReplicaState<M>& state, Time now)
    {
        m_progress.clear();
        m_transfers.clear();
        m_becameLeaderAt = now;
        m_nextQuorumCheck = now;
        m_termStartIndex = append(state, now, TermStart {});
        if (state.log().membershipIndex() == 0) // A new log: members that did not form it receive the membership with this entry.
            append(state, now, Membership(state.membership()));
        sendEntriesToAll(state, now);
    }

    /// Ends a term of leadership.
    void stop(ReplicaState<M>& state)
    {
        m_transfers.clear();
        state.retainNothing();
    }

    template <typename Payload>
    uint64_t append(ReplicaState<M>& state, Time now, Payload payload)
    {
        m_hasUnsentEntries = true;
        return state.append(now, std::move(payload));
    }

    /// Sends what is due apart from new entries, and changes the membership where `contacts` call for it.
    void tick(ReplicaState<M>& state, const HostContacts& contacts, Time now)
    {
        if (now < std::min(m_nextHeartbeat, m_nextQuorumCheck))
            return; // Only new entries are due; `sendUnsentEntries` sends them.
        m_nextQuorumCheck = now + state.options().heartbeat; // Sending entries postpones the heartbeat, but not this check.
        changeMembership(state, contacts, now);
        dropAbandonedTransfers(state, now);
        if (now >= m_nextHeartbeat)
            sendEntriesToAll(state, now);
    }

    void sendUnsentEntries(ReplicaState<M>& state, Time now)
    {
        if (m_hasUnsentEntries && now >= m_nextAppend)
            sendEntriesToAll(state, now);
    }

    void handle(ReplicaState<M>& state, Time now, Member from, const AppendReply& reply)
    {
        MemberProgress& follower = ensureProgress(state, from);
        follower.lastAck = std::max(follower.lastAck, reply.sentAt);
        if (reply.isAccepted)
            handleAcceptance(state, now, from, follower, reply);
        else
            handleRejection(state, now, from, follower, reply);
    }

    void handle(ReplicaState<M>& state, Time now, Member from, const SnapshotReply& reply)
    {
        MemberProgress& follower = ensureProgress(state, from);
        follower.lastAck = std::max(follower.lastAck, reply.sentAt);
        const auto transfer = m_transfers.find(from);
        if (transfer != m_transfers.end() && transfer->second.acknowledge(now, reply))
            sendPart(state, now, from, follower);
    }

    /// Commits what a quorum holds, if that includes an entry of this term.
    void advanceCommit(ReplicaState<M>& state) const
    {
        std::vector<uint64_t> matches;
        for (const Member& voter : state.membership().voters)
            matches.push_back(voter == state.self() ? state.writes().durableIndex() : progressOf(voter).match);
        if (matches.empty())
            return;
        const uint64_t index = quorumValue(state, std::move(matches));
        if (index > state.commitIndex() && state.log().termAt(index) == state.term())
            state.commit(index);
    }

    Time nextDeadline() const { return std::min({ m_nextHeartbeat, m_nextQuorumCheck, m_hasUnsentEntries ? m_nextAppend : never }); }

    /// Latest time such that a quorum, this leader included, has acknowledged a message sent then or later.
    Time lastQuorumContact(const ReplicaState<M>& state, Time now) const
    {
        std::vector<Time> contacts;
        for (const Member& voter : state.membership().voters)
            contacts.push_back(voter == state.self() ? now : progressOf(voter).lastAck);
        return contacts.empty() ? Time {} : quorumValue(state, std::move(contacts));
    }

    bool hasQuorumContact(const ReplicaState<M>& state, Time now) const
    {
        return now < lastQuorumContact(state, now) + state.electionTimeout();
    }

    /// Whether the leader has lost its quorum, after an election timeout in which to reach it.
    bool hasLostQuorum(const ReplicaState<M>& state, Time now) const
    {
        return !hasQuorumContact(state, now) && now >= m_becameLeaderAt + state.electionTimeout();
    }

    bool hasCommittedInTerm(const ReplicaState<M>& state) const { return state.commitIndex() >= m_termStartIndex; }
    uint64_t snapshotsSent() const { return m_snapshotsSent; }

private:
    // Progress of the members.

    /// Largest value that a quorum of the voters has reached.
    template <typename Value>
    static Value quorumValue(const ReplicaState<M>& state, std::vector<Value> values)
    {
        const auto position = values.begin() + static_cast<ptrdiff_t>(state.membership().quorum()) - 1;
        std::nth_element(values.begin(), position, values.end(), std::greater<>());
        return *position;
    }

    MemberProgress progressOf(const Member& member) const
    {
        const auto found = m_progress.find(member);
        return found == m_progress.end() ? MemberProgress {} : found->second;
    }

    MemberProgress& ensureProgress(const ReplicaState<M>& state, const Member& member)
    {
        const auto [position, isNew] = m_progress.try_emplace(member);
        if (isNew)
            position->second.next = state.lastIndex() + 1;
        return position->second;
    }

    void handleAcceptance(ReplicaState<M>& state, Time now, Member from, MemberProgress& follower, const AppendReply& reply)
    {
        requireInvariant(reply.index <= state.lastIndex(), "a follower holds no entry that its leader lacks");
        if (reply.sentAt >= follower.rejectedAt)
            follower.rejectedAt = {};
        follower.match = std::max(follower.match, reply.index);
        follower.next = std::max(follower.next, follower.match + 1);
        advanceCommit(state);
        finishRound(state, now, follower);
        if (follower.next <= state.lastIndex() && !m_hasUnsentEntries) // `sendUnsentEntries` sends new entries to all members at once.
            sendEntries(state, now, from);
    }

    void handleRejection(ReplicaState<M>& state, Time now, Member from, MemberProgress& follower, const AppendReply& reply)
    {
        follower.rejectedAt = std::max(follower.rejectedAt, reply.sentAt);
        // One lost message makes the follower reject all pipelined after it; resend only once for them.
        if (reply.sentAt < follower.rewoundAt)
            return;
        follower.rewoundAt = now;
        follower.next = std::max(follower.match + 1, std::min(reply.index + 1, state.lastIndex() + 1));
        sendEntries(state, now, from);
    }

    /// Ends a member's catch-up round once it holds what was committed when the round began, and begins
    /// the next (Ongaro's thesis, 4.2.1). Rounds begin after the first commit of the term.
    void finishRound(const ReplicaState<M>& state, Time now, MemberProgress& member) const
    {
        if (!hasCommittedInTerm(state) || (member.roundTarget && member.match < member.roundTarget))
            return;
        member.isCaughtUp = member.roundTarget && now < member.roundStartedAt + state.electionTimeout();
        member.roundTarget = state.commitIndex();
        member.roundStartedAt = now;
    }

    // Messages.

    void sendEntriesToAll(ReplicaState<M>& state, Time now)
    {
        m_hasUnsentEntries = false;
        m_nextHeartbeat = now + state.options().heartbeat;
        m_nextAppend = now + state.options().minAppendInterval;
        for (const auto* list : { &state.membership().voters, &state.membership().learners }) {
            for (const Member& member : *list) {
                if (member != state.self())
                    sendEntries(state, now, member);
            }
        }
    }

    void sendEntries(ReplicaState<M>& state, Time now, const Member& member)
    {
        MemberProgress& follower = ensureProgress(state, member);
        if (follower.next < state.log().firstIndex()) {
            sendSnapshotOrProbe(state, now, member, follower);
            return;
        }
        AppendRequest<M> request = requestAfter(state, now, follower.next - 1);
        const uint64_t end = endOfAppend(state, follower);
        for (uint64_t i = follower.next; i < end; ++i)
            request.entries.push_back(*state.log().entryAt(i));
        follower.next = end; // Pipelining: the next message does not wait for this one's reply.
        state.send(member, std::move(request));
    }

    /// The entry after the last one of the next message: as many as one message may have, and as may be
    /// on their way to the member. One entry always goes if none is on its way.
    static uint64_t endOfAppend(const ReplicaState<M>& state, const MemberProgress& follower)
    {
        const ReplicaLog<M>& log = state.log();
        const uint64_t acknowledged = std::max(follower.match, log.firstIndex() - 1);
        const uint64_t window = follower.match + 1 + config::maxInFlightEntries;
        const uint64_t limit = std::min({ state.lastIndex() + 1, follower.next + config::maxEntriesPerAppend, window });
        uint64_t end = follower.next;
        while (end < limit) {
            const bool isFirst = end == follower.next;
            const bool fitsMessage = isFirst || log.bytesBetween(follower.next - 1, end) <= config::maxAppendBytes;
            const bool fitsWindow = end == acknowledged + 1 || log.bytesBetween(acknowledged, end) <= config::maxInFlightBytes;
            if (!fitsMessage || !fitsWindow)
                break;
            ++end;
        }
        return end;
    }

    static AppendRequest<M> requestAfter(const ReplicaState<M>& state, Time now, uint64_t previousIndex)
    {
        AppendRequest<M> request;
        request.term = state.term();
        request.previousIndex = previousIndex;
        request.previousTerm = state.log().termAt(previousIndex);
        request.commitIndex = state.commitIndex();
        request.sentAt = now;
        return request;
    }

    /// Begins to send a snapshot, which is a copy of the whole state, with the entries after it to follow, to a
    /// member that has rejected a message sent after the last snapshot. Others may be gone, or the last
    /// one may still be on its way.
    void sendSnapshotOrProbe(ReplicaState<M>& state, Time now, const Member& member, MemberProgress& follower)
    {
        const auto transfer = m_transfers.find(member);
        if (transfer != m_transfers.end() && transfer->second.isOverdue(now)) {
            sendPart(state, now, member, follower);
        } else if (transfer == m_transfers.end() && follower.rejectedAt > follower.snapshotSentAt) {
            ++m_snapshotsSent;
            m_transfers.emplace(member, SnapshotSender<M>(state.currentSnapshot(), now));
            retainForTransfers(state);
            sendPart(state, now, member, follower);
        } else if (now >= follower.probedAt + state.options().heartbeat) {
            follower.probedAt = now;
            state.send(member, requestAfter(state, now, state.lastIndex()));
        }
    }

    /// Sends the part of the snapshot that is due. The entries after the snapshot follow the last part
    /// without waiting for its acknowledgement.
    void sendPart(ReplicaState<M>& state, Time now, const Member& member, MemberProgress& follower)
    {
        const auto transfer = m_transfers.find(member);
        SnapshotRequest<M> request = transfer->second.currentPart(state.term(), now);
        follower.snapshotSentAt = now;
        if (request.isLast) {
            follower.next = request.snapshot.index + 1;
            m_transfers.erase(transfer);
            retainForTransfers(state);
        }
        state.send(member, std::move(request));
    }

    void dropAbandonedTransfers(ReplicaState<M>& state, Time now)
    {
        if (std::erase_if(m_transfers, [&](const auto& entry) { return entry.second.isAbandoned(now); }))
            retainForTransfers(state);
    }

    /// Keeps the entries that the members need after the snapshots on their way.
    void retainForTransfers(ReplicaState<M>& state) const
    {
        state.retainNothing();
        const auto isOlder = [](const auto& a, const auto& b) { return a.second.index() < b.second.index(); };
        const auto oldest = std::min_element(m_transfers.begin(), m_transfers.end(), isOlder);
        if (oldest != m_transfers.end())
            state.retainAfter(oldest->second.index());
    }

    // Membership.

    /// Appends at most one single-member change, and only once the previous change is committed.
    void changeMembership(ReplicaState<M>& state, const HostContacts& contacts, Time now)
    {
        if (!hasCommittedInTerm(state) || !state.isMembershipCommitted())
            return;
        const MembershipView view { state.membership(), state.self(), contacts, m_progress, m_becameLeaderAt, state.electionTimeout() };
        if (auto next = nextMembership(view, state.options(), now))
            append(state, now, std::move(*next));
    }

    std::map<Member, MemberProgress> m_progress;
    std::map<Member, SnapshotSender<M>> m_transfers; ///< Snapshots on their way.
    Time m_becameLeaderAt {};
    uint64_t m_termStartIndex = 0;
    Time m_nextHeartbeat {};
    Time m_nextAppend {}; ///< Earliest time of the next message with new entries.
    Time m_nextQuorumCheck {}; ///< When quorum contact and membership are next checked.
    bool m_hasUnsentEntries = false;
    uint64_t m_snapshotsSent = 0;
};

} // namespace eelgrassloft
