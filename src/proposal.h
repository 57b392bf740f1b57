#pragma once

#include "replica.h"

#include <map>
#include <set>

namespace eelgrassloft {

/// A command sent to the leader of a log.
template <typename M>
struct Proposal {
    HostId origin;
    uint64_t number = 0; ///< Assigned by the origin, which matches the reply by it.
    uint8_t hops = 0; ///< How often it was forwarded; at most once.
    typename M::Command command;

    static constexpr auto members()
    {
        return std::make_tuple(&Proposal::origin, &Proposal::number, &Proposal::hops, &Proposal::command);
    }
};

enum class ProposalStatus : uint8_t {
    Applied,
    NotLeader, ///< The host is not the leader, or no longer; the command may still be applied.
    Busy, ///< The leader has too many uncommitted entries.
    Count
};

constexpr NameTable<ProposalStatus> nameTable(ProposalStatus)
{
    constexpr NameTable<ProposalStatus> table { "applied", "not-leader", "busy" };
    return table;
}

/// Reply to a `Proposal`. `result` is meaningful only for `ProposalStatus::Applied`.
template <typename M>
struct ProposalReply {
    uint64_t number = 0;
    ProposalStatus status = ProposalStatus::Applied;
    typename M::Result result;

    static constexpr auto members()
    {
        return std::make_tuple(&ProposalReply::number, &ProposalReply::status, &ProposalReply::result);
    }
};

/// Origin's side of proposals: keeps each command until its result is known or its deadline has
/// passed, and meanwhile retries it, also at other hosts. Commands must be idempotent.
template <typename M, typename Context>
class ProposalClient {
public:
    struct Pending {
        typename M::Command command;
        Context context;
        std::string dataCentre; ///< Data centre whose log takes the command; empty for this host's own log.
        Time deadline {};
        Time nextRetry {};
        uint32_t attempts = 0;
    };

    uint64_t add(typename M::Command command, Context context, std::string dataCentre, Time deadline)
    {
        const uint64_t number = m_nextNumber++;
        m_pending[number] = { std::move(command), std::move(context), std::move(dataCentre), deadline, {}, 0 };
        m_schedule.insert({ Time {}, number });
        return number;
    }

    const Pending* find(uint64_t number) const
    {
        const auto found = m_pending.find(number);
        return found == m_pending.end() ? nullptr : &found->second;
    }

    std::optional<Pending> take(uint64_t number)
    {
        const auto found = m_pending.find(number);
        if (found == m_pending.end())
            return std::nullopt;
        Pending pending = std::move(found->second);
        m_schedule.erase({ dueTime(pending), number });
        m_pending.erase(found);
        return pending;
    }

    /// Counts an attempt and sets the time of the next one.
    void scheduleRetry(uint64_t number, Time nextRetry)
    {
        Pending& pending = m_pending.at(number);
        m_schedule.erase({ dueTime(pending), number });
        ++pending.attempts;
        pending.nextRetry = nextRetry;
        m_schedule.insert({ dueTime(pending), number });
    }

    /// Number of the first proposal whose retry or deadline is due.
    std::optional<uint64_t> firstDue(Time now) const
    {
        if (m_schedule.empty() || m_schedule.begin()->first > now)
            return std::nullopt;
        return m_schedule.begin()->second;
    }

    Time nextDeadline() const { return m_schedule.empty() ? never : m_schedule.begin()->first; }
    size_t size() const { return m_pending.size(); }

private:
    static Time dueTime(const Pending& pending) { return std::min(pending.nextRetry, pending.deadline); }

    std::map<uint64_t, Pending> m_pending;
    std::set<std::pair<Time, uint64_t>> m_schedule;
    uint64_t m_nextNumber = 1;
};

/// Leader's side of proposals: the origin that awaits the result of each entry.
template <typename M>
class PendingReplies {
public:
    struct Entry {
        HostId origin;
        uint64_t number = 0;
        uint64_t term = 0;
    };

    void add(uint64_t index, Entry entry) { m_entries[index] = entry; }

    std::optional<Entry> take(uint64_t index)
    {
        const auto found = m_entries.find(index);
        if (found == m_entries.end())
            return std::nullopt;
        const Entry entry = found->second;
        m_entries.erase(found);
        return entry;
    }

    /// Removes and returns all entries. Called when leadership is lost: this host no longer learns the
    /// results, and the origins retry.
    std::map<uint64_t, Entry> takeAll() { return std::exchange(m_entries, {}); }

private:
    std::map<uint64_t, Entry> m_entries;
};

} // namespace eelgrassloft
