#pragma once

#include "invariant.h"
#include "replica_membership.h"
#include "replica_writes.h"

#include "eelgrassloft/config.h"

#include <algorithm>
#include <utility>

namespace eelgrassloft {

/// Work that a step of a member leaves to its caller.
template <StateMachine M>
struct ReplicaOutput {
    struct Outgoing {
        ReplicaMessage<M> message;
        uint64_t afterWrite = 0; ///< Write that must be synced before the message is sent; 0 for none.
    };

    struct Applied {
        uint64_t index = 0;
        uint64_t term = 0;
        typename M::Result result;
    };

    std::optional<LogWrite<M>> write;
    std::vector<Outgoing> messages;
    std::vector<Applied> applied;
    bool wasRestored = false; ///< The state machine was replaced by a snapshot of the leader.
};

/// State of a member of a replicated log whatever its role: term and vote, the log, what of it is
/// committed, applied and written, and the output of the current step.
template <StateMachine M>
class ReplicaState {
public:
    using Entry = LogEntry<M>;
    using Output = ReplicaOutput<M>;

    ReplicaState(Member self, ReplicaOptions options)
        : m_self(self)
        , m_options(std::move(options))
    {
    }

    Member self() const { return m_self; }
    const ReplicaOptions& options() const { return m_options; }
    Duration electionTimeout() const { return m_options.heartbeat * config::electionTimeoutHeartbeats; }

    // Term, vote and membership.

    const HardState& hardState() const { return m_hardState; }
    uint64_t term() const { return m_hardState.term; }
    void enterTerm(uint64_t term, Member votedFor) { m_hardState = { term, votedFor }; }
    void voteFor(Member candidate) { m_hardState.votedFor = candidate; }

    void setInitialMembership(const Membership& membership) { m_log.setInitialMembership(membership); }
    const Membership& membership() const { return m_log.membership(); }
    bool isVoter() const { return membership().hasVoter(m_self); }
    bool isMembershipCommitted() const { return m_log.membershipIndex() <= m_commitIndex; }

    // Log.

    const ReplicaLog<M>& log() const { return m_log; }
    uint64_t lastIndex() const { return m_log.lastIndex(); }
    uint64_t lastTerm() const { return m_log.termAt(lastIndex()); }
    uint64_t commitIndex() const { return m_commitIndex; }
    uint64_t snapshotIndex() const { return m_snapshotIndex; }
    const M& stateMachine() const { return m_stateMachine; }

    void restore(RestoredLog<M> log)
    {
        m_hardState = log.state;
        if (log.snapshot)
            installSnapshot(std::move(*log.snapshot));
        for (Entry& entry : log.entries)
            m_log.push(std::move(entry));
        m_writes.restore(m_hardState, lastIndex());
    }

    /// Appends an entry of this member's own term and returns its index.
    template <typename Payload>
    uint64_t append(Time now, Payload payload)
    {
        Entry entry;
        entry.index = lastIndex() + 1;
        entry.term = term();
        entry.at = std::max(now, m_log.timeAt(lastIndex()));
        entry.payload = std::move(payload);
        m_writes.addEntry(entry.index);
        m_log.push(std::move(entry));
        return lastIndex();
    }

    /// Takes over an entry of the leader, which replaces an uncommitted one of another term.
    void accept(const Entry& entry)
    {
        if (entry.index <= m_commitIndex)
            return;
        if (entry.index <= lastIndex()) {
            if (m_log.termAt(entry.index) == entry.term)
                return;
            truncateFrom(entry.index);
        }
        requireInvariant(entry.index == lastIndex() + 1, "the log has no gaps");
        m_writes.addEntry(entry.index);
        m_log.push(entry);
    }

    /// Commits the entries up to `index`, if they are not committed yet, and applies them.
    void commit(uint64_t index)
    {
        m_commitIndex = std::max(m_commitIndex, index);
        applyCommitted();
    }

    void replaceLog(Snapshot<M> snapshot)
    {
        m_writes.replaceAll(snapshot);
        installSnapshot(std::move(snapshot));
        m_output.wasRestored = true;
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

    /// Keeps the entries after `index` in memory, which a member needs once it has the snapshot that is
    /// on its way to it.
    void retainAfter(uint64_t index) { m_retainedAfter = index; }
    void retainNothing() { m_retainedAfter = UINT64_MAX; }

    // Writes and messages.

    const ReplicaWrites<M>& writes() const { return m_writes; }
    void completeWrites(uint64_t sequence) { m_writes.complete(sequence); }
    void refuseWrites() { m_writes.refuse(); }

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

    Output takeOutput()
    {
        m_output.write = m_writes.take(m_hardState, m_log);
        for (auto& outgoing : m_output.messages) {
            if (outgoing.afterWrite)
                outgoing.afterWrite = m_writes.lastSequence();
        }
        return std::exchange(m_output, {});
    }

private:
    void truncateFrom(uint64_t index)
    {
        requireInvariant(index > m_commitIndex, "a committed entry is never removed");
        m_log.truncateFrom(index);
        m_writes.truncateFrom(index);
    }

    void installSnapshot(Snapshot<M> snapshot)
    {
        m_log.reset(snapshot);
        m_snapshotIndex = m_commitIndex = m_appliedIndex = snapshot.index;
        m_stateMachine = std::move(snapshot.stateMachine);
        if constexpr (requires { m_stateMachine.rebuild(); })
            m_stateMachine.rebuild();
    }

    void applyCommitted()
    {
        requireInvariant(m_commitIndex <= lastIndex(), "a committed entry is in the log");
        while (m_appliedIndex < m_commitIndex) {
            const Entry& entry = *m_log.entryAt(++m_appliedIndex);
            if (const auto* command = std::get_if<typename M::Command>(&entry.payload))
                m_output.applied.push_back({ entry.index, entry.term, m_stateMachine.apply(entry.at, *command) });
        }
        compact();
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
        const bool isDue = m_appliedIndex - m_snapshotIndex >= threshold || m_log.bytesBetween(m_snapshotIndex, m_appliedIndex) >= config::snapshotThresholdBytes;
        if (!isDue)
            return;
        if (m_options.hasStorage)
            m_writes.addSnapshot(currentSnapshot());
        m_snapshotIndex = m_appliedIndex;
        m_log.dropThrough(std::min(lastDroppable(threshold / 2), m_retainedAfter));
    }

    /// The entry through which the log may be dropped when all up to the applied one are in a snapshot.
    /// Half of the threshold stays in memory, so that a slightly lagging follower needs no snapshot.
    uint64_t lastDroppable(uint64_t keptEntries) const
    {
        uint64_t index = m_appliedIndex;
        while (index >= m_log.firstIndex() && m_appliedIndex - index < keptEntries && m_log.bytesBetween(index - 1, m_appliedIndex) <= config::snapshotThresholdBytes / 2)
            --index;
        return index;
    }

    Member m_self;
    ReplicaOptions m_options;
    HardState m_hardState;
    ReplicaLog<M> m_log;
    M m_stateMachine;
    uint64_t m_snapshotIndex = 0;
    uint64_t m_commitIndex = 0;
    uint64_t m_appliedIndex = 0;
    uint64_t m_retainedAfter = UINT64_MAX; ///< Entry after which no entry is dropped.
    ReplicaWrites<M> m_writes;
    Output m_output;
};

} // namespace eelgrassloft
