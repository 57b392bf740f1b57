#pragma once

#include "fleet_events.h"
#include "hosts_text.h"
#include "outage_policy.h"
#include "replica.h"

#include <algorithm>
#include <map>
#include <set>

namespace eelgrassloft {

/// The hosts that a control host is connected to, those that it connects to, and what they said of
/// themselves.
class ControlPeers {
public:
    explicit ControlPeers(HostId self)
        : m_self(self)
    {
    }

    const std::set<HostId>& connected() const { return m_connected; }
    bool isConnected(HostId host) const { return m_connected.count(host) > 0; }

    void add(HostId host)
    {
        m_connected.insert(host);
        m_entryStatusTimes.erase(host);
    }

    void remove(HostId host)
    {
        m_connected.erase(host);
        m_entryStatusTimes.erase(host);
    }

    std::set<HostId> connectedAndSelf() const
    {
        std::set<HostId> hosts = m_connected;
        hosts.insert(m_self);
        return hosts;
    }

    void setRegion(HostId host, const std::string& region) { m_regions[host] = region; }

    /// Whether another region than `region` holds a majority of the voters, as far as their regions are known.
    bool isMajorityElsewhere(const Membership& membership, const std::string& region) const
    {
        std::map<std::string, size_t> otherRegions; ///< Number of voters by region.
        for (const Member& voter : membership.voters) {
            const auto known = m_regions.find(voter.host);
            if (known != m_regions.end() && known->second != region)
                ++otherRegions[known->second];
        }
        return std::any_of(otherRegions.begin(), otherRegions.end(), [&](const auto& entry) { return entry.second >= membership.quorum(); });
    }

    /// How near a leader is to this host, which is a member of the log itself. `leader` is the leader that it can
    /// reach; invalid if there is none.
    LeaderReach reach(const Membership& membership, HostId leader) const
    {
        if (leader.isValid())
            return LeaderReach::Leading;
        return membership.voters.empty() || reachableVoters(membership) >= membership.quorum() ? LeaderReach::Electing : LeaderReach::NoQuorum;
    }

    /// Number of voters that are connected or this host.
    size_t reachableVoters(const Membership& membership) const
    {
        const auto isReachable = [&](const Member& voter) { return voter.host == m_self || isConnected(voter.host); };
        return static_cast<size_t>(std::count_if(membership.voters.begin(), membership.voters.end(), isReachable));
    }

    /// Notes when an entry host sent a status, by its clock. Returns whether it is the first one on the connection.
    bool noteEntryStatus(HostId host, Time sentAt) { return m_entryStatusTimes.insert_or_assign(host, sentAt).second; }

    /// When the entry host sent its latest status, by its clock; the epoch if it has sent none.
    Time entryStatusTime(HostId host) const
    {
        const auto found = m_entryStatusTimes.find(host);
        return found == m_entryStatusTimes.end() ? Time {} : found->second;
    }

    /// Connects to the seeds and the log's members. Returns whether the membership has changed.
    bool updateTargets(FleetStep& step, const Replica<WorkTable>& replica, const std::vector<HostId>& seeds)
    {
        if (m_membership == replica.membership())
            return false;
        m_membership = replica.membership();
        const auto hostOf = [](const Member& member) { return member.host; };
        step.log(LogEventKind::MembershipChanged, { { "log", "fleet" }, { "voters", hostsText(m_membership->voters, hostOf) }, { "learners", hostsText(m_membership->learners, hostOf) }, { "lastIndex", std::to_string(replica.lastIndex()) } });
        std::set<HostId> hosts(seeds.begin(), seeds.end());
        for (const auto* list : { &m_membership->voters, &m_membership->learners })
            std::transform(list->begin(), list->end(), std::inserter(hosts, hosts.end()), hostOf);
        hosts.erase(m_self);
        if (hosts != m_targets) {
            m_targets = hosts;
            step.emit(ConnectHosts { { hosts.begin(), hosts.end() } });
        }
        return true;
    }

    /// Lets the next update connect anew, as the seeds have changed.
    void forgetTargets()
    {
        m_targets.clear();
        m_membership.reset();
    }

private:
    HostId m_self;
    std::set<HostId> m_connected;
    std::set<HostId> m_targets;
    std::optional<Membership> m_membership; ///< From which the targets were taken.
    std::map<HostId, std::string> m_regions; ///< Of the other control hosts, as in their hellos.
    std::map<HostId, Time> m_entryStatusTimes; ///< When the connected entry hosts sent their latest status, by their clocks.
};

} // namespace eelgrassloft
