#pragma once

#include "replica_messages.h"

#include <algorithm>
#include <map>
#include <optional>

namespace eelgrassloft {

/// Bootstraps the log of a new fleet: the seeds become its voters once each of them has reported that
/// it holds no state.
class LogFormation {
public:
    explicit LogFormation(bool isActive)
        : m_isActive(isActive)
    {
    }

    /// Ends the formation, as the log exists.
    void cancel() { m_isActive = false; }

    void observe(Member member, bool isEmpty)
    {
        m_isActive = m_isActive && isEmpty;
        m_emptyHosts[member.host] = member.incarnation;
    }

    /// Returns the membership to form the log with, once all seeds have reported. Returns nothing for a
    /// host that is no seed, which joins as a learner later.
    std::optional<Membership> complete(const std::vector<HostId>& seeds, Member self)
    {
        if (!m_isActive)
            return std::nullopt;
        Membership membership;
        for (const HostId seed : seeds) {
            const auto emptyHost = m_emptyHosts.find(seed);
            if (seed == self.host)
                membership.voters.push_back(self);
            else if (emptyHost != m_emptyHosts.end())
                membership.voters.push_back({ seed, emptyHost->second });
            else
                return std::nullopt;
        }
        m_isActive = false;
        if (!membership.hasVoter(self))
            return std::nullopt;
        std::sort(membership.voters.begin(), membership.voters.end());
        return membership;
    }

private:
    bool m_isActive = false;
    std::map<HostId, uint64_t> m_emptyHosts; ///< Incarnations of the hosts that reported an empty log.
};

} // namespace eelgrassloft
