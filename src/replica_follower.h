#pragma once

#include "replica_state.h"
#include "snapshot_transfer.h"

#include <algorithm>

namespace eelgrassloft {

/// Follower side of replication: takes over entries and snapshots of the leader and acknowledges them.
template <StateMachine M>
class ReplicaFollower {
public:
    void accept(ReplicaState<M>& state, Time now, Member leader, const AppendRequest<M>& request)
    {
        if (!isContinuous(state, request)) {
            const uint64_t resumeIndex = std::max(state.commitIndex(), std::min(state.lastIndex(), request.previousIndex - 1));
            state.send(leader, AppendReply { state.term(), false, resumeIndex, request.sentAt });
            return;
        }
        m_incoming.clear(); // The leader has no need of a snapshot.
        for (const LogEntry<M>& entry : request.entries)
            state.accept(entry);
        const uint64_t matchIndex = std::max(state.commitIndex(), request.previousIndex + request.entries.size());
        state.commit(std::min(request.commitIndex, matchIndex));
        acknowledge(state, now, leader, matchIndex, request.sentAt);
    }

    void accept(ReplicaState<M>& state, Time now, Member leader, const SnapshotRequest<M>& request)
    {
        const Snapshot<M>& snapshot = request.snapshot;
        if (state.log().termAt(snapshot.index) == snapshot.term) {
            state.commit(snapshot.index); // The log holds all of it, and maybe acknowledged entries after it.
        } else if (snapshot.index > state.commitIndex() && !install(state, request)) {
            state.send(leader, SnapshotReply { state.term(), snapshot.index, m_incoming.nextPart(request), request.sentAt });
            return;
        }
        m_incoming.clear();
        acknowledge(state, now, leader, state.commitIndex(), request.sentAt);
    }

private:
    /// Takes in a part of a snapshot. Returns whether it was the last one that was missing.
    bool install(ReplicaState<M>& state, const SnapshotRequest<M>& request)
    {
        auto snapshot = m_incoming.add(request);
        if (!snapshot)
            return false;
        state.replaceLog(std::move(*snapshot));
        return true;
    }

    /// Whether the request's entries continue the log, or what a snapshot has replaced of it.
    static bool isContinuous(const ReplicaState<M>& state, const AppendRequest<M>& request)
    {
        const bool isBeforeLog = request.previousIndex + 1 < state.log().firstIndex();
        const bool isMatching = request.previousIndex <= state.lastIndex() && state.log().termAt(request.previousIndex) == request.previousTerm;
        return isBeforeLog || isMatching;
    }

    /// Acknowledges the entries up to `matchIndex` once they are synced.
    void acknowledge(ReplicaState<M>& state, Time now, Member leader, uint64_t matchIndex, Time sentAt)
    {
        acknowledgeContact(state, now, leader, matchIndex, sentAt);
        state.send(leader, AppendReply { state.term(), true, matchIndex, sentAt }, true);
    }

    /// Acknowledges at once that the leader was heard, with the entries that are durable already. The
    /// promise to refuse votes needs no disk: a restarted member keeps it for a whole election timeout.
    void acknowledgeContact(ReplicaState<M>& state, Time now, Member leader, uint64_t matchIndex, Time sentAt)
    {
        const uint64_t durableIndex = state.writes().durableIndex();
        const bool isDurable = durableIndex >= matchIndex && state.writes().isSynced(state.hardState());
        if (isDurable || now < m_nextContactReply)
            return;
        m_nextContactReply = now + state.options().heartbeat;
        state.send(leader, AppendReply { state.term(), true, std::min(matchIndex, durableIndex), sentAt });
    }

    SnapshotReceiver<M> m_incoming;
    Time m_nextContactReply {}; ///< Earliest time of the next acknowledgement that does not wait for the disk.
};

} // namespace eelgrassloft
