#pragma once

#include "replica_messages.h"
#include "snapshot_parts.h"

#include "eelgrassloft/config.h"

#include <memory>
#include <optional>
#include <utility>

namespace eelgrassloft {

/// Leader's side of a snapshot on its way to a member. One part is sent at a time, so that other
/// messages wait for one part at most and no message grows with the state.
template <StateMachine M>
class SnapshotSender {
public:
    SnapshotSender(Snapshot<M> snapshot, Time now)
        : m_snapshot(std::make_shared<const Snapshot<M>>(std::move(snapshot)))
        , m_acknowledgedAt(now)
    {
    }

    uint64_t index() const { return m_snapshot->index; }

    /// Whether the part on its way may be lost.
    bool isOverdue(Time now) const { return now >= m_sentAt + config::snapshotPartTimeout; }
    /// Whether the member has acknowledged nothing for too long to keep the snapshot in memory.
    bool isAbandoned(Time now) const { return now >= m_acknowledgedAt + config::snapshotTransferTimeout; }

    /// The part that is due, for the first time or again.
    SnapshotRequest<M> currentPart(uint64_t term, Time now)
    {
        StatePart<M> part = copyPart(m_snapshot->stateMachine, m_begin, config::maxSnapshotPartBytes);
        m_sentAt = now;
        m_next = part.next;
        Snapshot<M> snapshot { m_snapshot->index, m_snapshot->term, m_snapshot->at, m_snapshot->membership, std::move(part.state) };
        return { term, now, std::move(snapshot), m_part, !part.next };
    }

    /// Takes in the member's reply. Returns whether a part is due: the next one, or the first if the
    /// member does not have those before.
    bool acknowledge(Time now, const SnapshotReply& reply)
    {
        if (reply.index != m_snapshot->index)
            return false;
        if (reply.nextPart == m_part + 1 && m_next) {
            m_begin = *m_next;
            ++m_part;
        } else if (reply.nextPart == 0 && m_part > 0 && reply.sentAt == m_sentAt) {
            m_begin = {};
            m_part = 0;
        } else {
            return false;
        }
        m_acknowledgedAt = now;
        return true;
    }

private:
    std::shared_ptr<const Snapshot<M>> m_snapshot;
    PartPosition m_begin; ///< Of the part on its way.
    std::optional<PartPosition> m_next; ///< Begin of the part after it.
    uint32_t m_part = 0;
    Time m_sentAt {};
    Time m_acknowledgedAt {};
};

/// Member's side of a snapshot on its way: the parts that have arrived.
template <StateMachine M>
class SnapshotReceiver {
public:
    /// Adds a part, unless it repeats one or those before it are missing. Returns the snapshot once it
    /// is complete.
    std::optional<Snapshot<M>> add(const SnapshotRequest<M>& request)
    {
        if (request.part == 0) {
            m_term = request.term;
            m_snapshot = request.snapshot;
            m_nextPart = 1;
        } else if (request.part == nextPart(request)) {
            appendPart(m_snapshot->stateMachine, request.snapshot.stateMachine);
            ++m_nextPart;
        } else {
            return std::nullopt;
        }
        if (!request.isLast)
            return std::nullopt;
        return std::exchange(m_snapshot, std::nullopt);
    }

    /// Number of the part that continues those of the same snapshot; 0 if none has arrived.
    uint32_t nextPart(const SnapshotRequest<M>& request) const
    {
        const bool isSame = m_snapshot && m_term == request.term && m_snapshot->index == request.snapshot.index;
        return isSame ? m_nextPart : 0;
    }

    void clear() { m_snapshot.reset(); }

private:
    std::optional<Snapshot<M>> m_snapshot;
    uint64_t m_term = 0; ///< Term of the leader that sends it.
    uint32_t m_nextPart = 0;
};

} // namespace eelgrassloft
