#pragma once

#include "replica_log.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

namespace eelgrassloft {

/// What storage has still to write of a replicated log, and how much of it is synced.
template <StateMachine M>
class ReplicaWrites {
public:
    /// Records what storage holds at startup.
    void restore(const HardState& state, uint64_t lastIndex)
    {
        m_writtenState = state;
        m_durableIndex = lastIndex;
    }

    void addEntry(uint64_t index) { m_firstUnwrittenIndex = std::min(m_firstUnwrittenIndex, index); }
    void addSnapshot(Snapshot<M> snapshot) { m_newSnapshot = std::move(snapshot); }

    void truncateFrom(uint64_t index)
    {
        m_durableIndex = std::min(m_durableIndex, index - 1);
        for (PendingWrite& write : m_pendingWrites)
            write.lastIndex = std::min(write.lastIndex, index - 1);
        m_firstUnwrittenIndex = std::min(m_firstUnwrittenIndex, index);
        m_truncateFrom = m_truncateFrom ? std::min(m_truncateFrom, index) : index;
    }

    /// Replaces all that storage holds by a snapshot.
    void replaceAll(const Snapshot<M>& snapshot)
    {
        m_newSnapshot = snapshot;
        m_firstUnwrittenIndex = noIndex;
        m_durableIndex = 0;
        m_pendingWrites.clear();
        m_truncateFrom = 1;
    }

    /// Returns the write that brings storage up to date, or nothing where it holds everything.
    std::optional<LogWrite<M>> take(const HardState& state, const ReplicaLog<M>& log)
    {
        LogWrite<M> write;
        if (state != m_writtenState) {
            write.state = state;
            m_writtenState = state;
        }
        write.snapshot = std::exchange(m_newSnapshot, std::nullopt);
        write.truncateFrom = std::exchange(m_truncateFrom, 0);
        for (uint64_t i = std::max(m_firstUnwrittenIndex, log.firstIndex()); i <= log.lastIndex(); ++i)
            write.entries.push_back(*log.entryAt(i));
        m_firstUnwrittenIndex = noIndex;
        if (!write.state && !write.snapshot && !write.truncateFrom && write.entries.empty())
            return std::nullopt;
        write.sequence = ++m_lastSequence;
        if (m_isRefused && !m_pendingWrites.empty()) // Storage merges what it refuses.
            m_pendingWrites.back() = { write.sequence, log.lastIndex() };
        else
            m_pendingWrites.push_back({ write.sequence, log.lastIndex() });
        return write;
    }

    /// Records that storage has synced all writes up to and including `sequence`.
    void complete(uint64_t sequence)
    {
        while (!m_pendingWrites.empty() && m_pendingWrites.front().sequence <= sequence) {
            m_durableIndex = std::max(m_durableIndex, m_pendingWrites.front().lastIndex);
            m_pendingWrites.pop_front();
        }
        m_syncedSequence = std::max(m_syncedSequence, sequence);
        m_isRefused = false;
    }

    /// Records that storage refuses writes until `complete`.
    void refuse() { m_isRefused = true; }

    bool isRefused() const { return m_isRefused; }
    /// Whether all writes are synced, and `state` is among them.
    bool isSynced(const HardState& state) const { return m_pendingWrites.empty() && state == m_writtenState; }
    uint64_t durableIndex() const { return m_durableIndex; }
    uint64_t lastSequence() const { return m_lastSequence; }
    uint64_t syncedSequence() const { return m_syncedSequence; }

private:
    struct PendingWrite {
        uint64_t sequence = 0;
        uint64_t lastIndex = 0;
    };

    static constexpr uint64_t noIndex = UINT64_MAX;

    HardState m_writtenState; ///< As of the latest write.
    uint64_t m_durableIndex = 0; ///< Last entry that storage has synced.
    uint64_t m_firstUnwrittenIndex = noIndex; ///< First entry for the next write.
    uint64_t m_truncateFrom = 0; ///< First stored entry that the next write removes; 0 for none.
    std::optional<Snapshot<M>> m_newSnapshot;
    uint64_t m_lastSequence = 0;
    uint64_t m_syncedSequence = 0;
    std::deque<PendingWrite> m_pendingWrites;
    bool m_isRefused = false;
};

} // namespace eelgrassloft
