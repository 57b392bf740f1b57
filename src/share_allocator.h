#pragma once

#include "share_messages.h"

#include "eelgrassloft/config.h"
#include "eelgrassloft/request.h"

#include <map>
#include <set>

namespace eelgrassloft {

/// Allocates the slots of a data centre's upstreams to its entry hosts. Runs only on the leader of
/// the data centre's log. Shares are leases, so the slots of an unresponsive host become free when
/// its lease expires. A new leader grants nothing until every host has reported its shares or all
/// leases of former leaders have expired.
class ShareAllocator {
public:
    struct Output {
        std::map<HostId, std::vector<ShareGrant>> grants;
        std::map<HostId, std::vector<ShareRecall>> recalls;
    };

    /// Begins a term of leadership. No host's shares are known until it reports them.
    void start(Time now, const std::vector<HostId>& hosts);
    void stop() { m_hosts.clear(); }
    bool isActive() const { return !m_hosts.empty(); }

    void announce(const UpstreamAnnouncement& announcement);
    void withdraw(const std::string& upstream);
    void report(Time now, HostId host, const ShareReport& report);

    /// Grants free slots and recalls others for hosts where requests wait.
    Output allocate(Time now);

    /// Sum of an upstream's slots that hosts hold under unexpired leases.
    uint32_t grantedSlots(Time now, const std::string& upstream) const;
    Time nextDeadline() const { return m_hosts.empty() || m_mayGrant ? never : m_formerLeasesEnd; }

private:
    /// A host's share of one upstream as the leader knows it.
    struct Holding {
        uint32_t slots = 0;
        uint32_t inUse = 0;
        uint64_t version = 0;
        uint32_t recalledSlots = 0; ///< Slots that were recalled and are not returned yet.
        Time recallExpiry {}; ///< When an unanswered recall counts as lost.
        bool needsResend = false; ///< The host's last report did not confirm the last grant.
    };

    struct Upstream {
        std::string service;
        uint32_t slots = 0;
        std::map<HostId, Holding> holdings;
    };

    struct Demand {
        uint32_t queued = 0;
        Time oldestArrival {};
    };

    struct Host {
        bool hasReported = false;
        Time leaseEnd {};
        std::map<std::string, Demand> demands;
    };

    void recordHolding(Time now, HostId host, const ShareState& state);
    void resendLostGrants(Output& output);
    void expireLeases(Time now);
    uint32_t freeSlots(const Upstream& upstream) const;
    void grant(const std::string& upstreamName, Upstream& upstream, HostId host, uint32_t slots, Output& output);
    void grantToWaitingHosts(const std::string& service, Output& output);
    void grantIdleSlots(Output& output);
    void recallForLongestWaiting(Time now, const std::string& service, Output& output);
    HostId longestWaitingHost(const std::string& service) const;
    uint32_t recallFrom(Time now, const std::string& service, HostId donor, uint32_t wanted, Output& output);

    std::map<HostId, Host> m_hosts;
    std::map<std::string, Upstream> m_upstreams;
    std::map<std::string, std::set<std::string>> m_services; ///< Names of the upstreams of each service.
    Time m_formerLeasesEnd {}; ///< When all leases of former leaders have expired.
    bool m_mayGrant = false;
};

} // namespace eelgrassloft
