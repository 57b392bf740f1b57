#pragma once

#include "share_messages.h"

#include "eelgrassloft/config.h"
#include "eelgrassloft/request.h"

#include <map>
#include <set>

namespace eelgrassloft {

/// Divides the slots of a data centre's upstreams among its entry hosts. Only the leader of the
/// data centre's log runs it. Shares are leases, so a silent host's slots return by themselves,
/// and a new leader grants nothing until every host has reported or all old leases have ended.
class ShareAllocator {
public:
    struct Output {
        std::map<HostId, std::vector<ShareGrant>> grants;
        std::map<HostId, std::vector<ShareRecall>> recalls;
    };

    /// Begins a term of leadership with nothing known.
    void start(Time now, const std::vector<HostId>& hosts);
    void stop() { m_hosts.clear(); }
    bool isActive() const { return !m_hosts.empty(); }

    void announce(const UpstreamAnnouncement& announcement);
    void withdraw(const std::string& upstream);
    void report(Time now, HostId host, const ShareReport& report);

    /// Divides what is free and asks for slots back where requests wait.
    Output allocate(Time now);

    /// Slots of an upstream that hosts hold under unexpired leases.
    uint32_t grantedSlots(Time now, const std::string& upstream) const;
    Time nextDeadline() const { return m_hosts.empty() || m_mayGrant ? never : m_formerLeasesEnd; }

private:
    struct Holding {
        uint32_t slots = 0;
        uint32_t inUse = 0;
        uint64_t version = 0;
        uint32_t recalledSlots = 0;
        Time recallExpiry {};
        bool needsResend = false; ///< The host has not seen the last grant.
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
    std::map<std::string, std::set<std::string>> m_services; ///< Upstreams of each service.
    Time m_formerLeasesEnd {};
    bool m_mayGrant = false;
};

} // namespace eelgrassloft
