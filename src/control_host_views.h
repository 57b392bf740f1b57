#pragma once

#include "fleet_messages.h"
#include "outage_policy.h"

#include <algorithm>
#include <map>

namespace eelgrassloft {

/// What an entry host knows of the control hosts that it is connected to.
class ControlHostViews {
public:
    void add(HostId host, Time now) { m_views[host] = View { now, false, 0, {} }; }
    void remove(HostId host) { m_views.erase(host); }

    /// Notes that something arrived from a host.
    void noteContact(HostId host, Time now)
    {
        if (const auto found = m_views.find(host); found != m_views.end())
            found->second.heardAt = now;
    }

    void noteReport(HostId host, const ControlStatusReport& report)
    {
        const auto found = m_views.find(host);
        if (found == m_views.end())
            return;
        found->second.hasReported = true;
        found->second.term = report.term;
        const bool isFormerLeader = report.leader == host && !report.isLeading;
        found->second.leader = isFormerLeader ? HostId {} : report.leader;
    }

    size_t size() const { return m_views.size(); }

    /// Whether no control host has sent anything for longer than one that works leaves between its reports. Calls
    /// that are sent to such a host are lost, or carried out late.
    bool areAllSilent(Time now) const
    {
        return std::all_of(m_views.begin(), m_views.end(), [&](const auto& entry) { return now >= entry.second.heardAt + config::controlSilenceTimeout; });
    }

    /// Whether a host can pass calls on to this leader of this term.
    bool knowsLeader(HostId host, HostId leader, uint64_t term) const
    {
        const auto found = m_views.find(host);
        return found != m_views.end() && leader.isValid() && found->second.leader == leader && found->second.term == term;
    }

    /// Host other than `except` to send calls to: one that can pass them on to the leader, or the first one; invalid
    /// if there is none.
    HostId hostToAsk(HostId leader, uint64_t term, HostId except) const
    {
        HostId first;
        for (const auto& [host, view] : m_views) {
            if (host == except)
                continue;
            if (knowsLeader(host, leader, term))
                return host;
            if (!first.isValid())
                first = host;
        }
        return first;
    }

    /// How near a leader is, where the log has `voters` members; 0 if their number is not known.
    LeaderReach reach(size_t voters) const
    {
        if (m_views.empty())
            return LeaderReach::Unreachable;
        uint64_t term = 0;
        for (const auto& [host, view] : m_views)
            term = std::max(term, view.term);
        const bool isLeaderKnown = std::any_of(m_views.begin(), m_views.end(), [&](const auto& entry) { return isUsable(entry.second, term); });
        if (isLeaderKnown)
            return LeaderReach::Leading;
        const bool haveAllReported = std::all_of(m_views.begin(), m_views.end(), [](const auto& entry) { return entry.second.hasReported; });
        return haveAllReported && m_views.size() < voters / 2 + 1 ? LeaderReach::NoQuorum : LeaderReach::Electing;
    }

private:
    struct View {
        Time heardAt {};
        bool hasReported = false; ///< Whether the host has reported since it was connected.
        uint64_t term = 0;
        HostId leader; ///< Invalid if the host knows none.
    };

    /// Whether the leader that a host names in the latest term takes calls, as far as is known here.
    bool isUsable(const View& view, uint64_t term) const
    {
        if (view.term != term || !view.leader.isValid())
            return false;
        const auto leader = m_views.find(view.leader);
        return leader == m_views.end() || !leader->second.hasReported || leader->second.leader == view.leader;
    }

    std::map<HostId, View> m_views;
};

} // namespace eelgrassloft
