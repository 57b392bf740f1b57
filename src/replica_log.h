#pragma once

#include "replica_messages.h"

#include <deque>
#include <utility>

namespace eelgrassloft {

/// Entries of a replicated log in memory, without gaps, and the memberships that they set.
/// A snapshot covers everything before the first entry.
template <StateMachine M>
class ReplicaLog {
public:
    using Entry = LogEntry<M>;

    ReplicaLog() { m_memberships.push_back({ 0, {} }); }

    uint64_t firstIndex() const { return m_firstIndex; }
    uint64_t lastIndex() const { return m_firstIndex + m_entries.size() - 1; }

    /// Entry at `index`, or null where it has been discarded or not been appended yet.
    const Entry* entryAt(uint64_t index) const
    {
        return index < m_firstIndex || index > lastIndex() ? nullptr : &m_entries[index - m_firstIndex].entry;
    }

    /// Encoded size of the entries after `first`, up to and including `last`, both of which the log
    /// holds or has just discarded.
    uint64_t bytesBetween(uint64_t first, uint64_t last) const { return bytesThrough(last) - bytesThrough(first); }

    /// Term of the entry at `index`; 0 where the log does not hold it.
    uint64_t termAt(uint64_t index) const
    {
        if (index + 1 == m_firstIndex)
            return m_previousTerm;
        const Entry* entry = entryAt(index);
        return entry ? entry->term : 0;
    }

    /// Time of the entry at `index`, or of the snapshot before the first entry.
    Time timeAt(uint64_t index) const
    {
        const Entry* entry = entryAt(index);
        return entry ? entry->at : m_previousTime;
    }

    void push(Entry entry)
    {
        if (const auto* membership = std::get_if<Membership>(&entry.payload))
            m_memberships.push_back({ entry.index, *membership });
        const uint64_t endBytes = bytesThrough(lastIndex()) + encodedSize(entry);
        m_entries.push_back({ std::move(entry), endBytes });
    }

    /// Removes the entries from `index` on.
    void truncateFrom(uint64_t index)
    {
        m_entries.resize(index - m_firstIndex);
        while (m_memberships.size() > 1 && m_memberships.back().index >= index)
            m_memberships.pop_back();
    }

    /// Discards the entries up to and including `index`, which a snapshot covers.
    void dropThrough(uint64_t index)
    {
        while (m_firstIndex <= index && !m_entries.empty()) {
            m_previousTerm = m_entries.front().entry.term;
            m_previousTime = m_entries.front().entry.at;
            m_previousBytes = m_entries.front().endBytes;
            m_entries.pop_front();
            ++m_firstIndex;
        }
        while (m_memberships.size() > 1 && m_memberships[1].index < m_firstIndex)
            m_memberships.pop_front();
    }

    /// Discards all entries and continues after `snapshot`.
    void reset(const Snapshot<M>& snapshot)
    {
        m_entries.clear();
        m_firstIndex = snapshot.index + 1;
        m_previousTerm = snapshot.term;
        m_previousTime = snapshot.at;
        m_memberships = { { snapshot.index, snapshot.membership } };
    }

    void setInitialMembership(const Membership& membership) { m_memberships.front().membership = membership; }

    /// The membership in force, and the index of the entry that set it; 0 for the initial one.
    const Membership& membership() const { return m_memberships.back().membership; }
    uint64_t membershipIndex() const { return m_memberships.back().index; }

    /// The membership after the entry at `index`.
    const Membership& membershipAt(uint64_t index) const
    {
        auto found = m_memberships.begin();
        for (auto i = m_memberships.begin(); i != m_memberships.end() && i->index <= index; ++i)
            found = i;
        return found->membership;
    }

private:
    struct MembershipEntry {
        uint64_t index = 0;
        Membership membership;
    };

    struct StoredEntry {
        Entry entry;
        uint64_t endBytes = 0; ///< Encoded size of this entry and all before it.
    };

    uint64_t bytesThrough(uint64_t index) const { return index < m_firstIndex ? m_previousBytes : m_entries[index - m_firstIndex].endBytes; }

    std::deque<StoredEntry> m_entries;
    uint64_t m_firstIndex = 1;
    uint64_t m_previousTerm = 0; ///< Of the entry before the first; 0 where there was none.
    Time m_previousTime {}; ///< Likewise.
    uint64_t m_previousBytes = 0; ///< Encoded size of the entries before the first.
    std::deque<MembershipEntry> m_memberships;
};

} // namespace eelgrassloft
