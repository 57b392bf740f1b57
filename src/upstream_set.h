#pragma once

#include "routing_policy.h"
#include "share_messages.h"

#include "eelgrassloft/config.h"
#include "eelgrassloft/counters.h"
#include "eelgrassloft/request.h"

#include <map>
#include <set>

namespace eelgrassloft {

/// One upstream as an entry host sees it.
struct Upstream {
    UpstreamAnnouncement announcement;
    Time announcedUntil {};
    uint32_t share = 0; ///< Slots leased to this host.
    uint64_t shareVersion = 0;
    uint32_t inFlight = 0;
    uint32_t slotsToReturn = 0; ///< Slots to give back as requests end.
    Duration latency {}; ///< Exponentially weighted mean of whole answers.
    uint32_t consecutiveFailures = 0;
    uint32_t consecutiveRefusals = 0;
    Time pausedUntil {};

    bool isAnnounced(Time now) const { return !announcement.isLeaving && now < announcedUntil; }
};

/// The upstreams that have announced themselves, their health, and this host's shares of them.
class UpstreamSet {
public:
    /// `hostsInDataCentre` divides the connections of each upstream.
    explicit UpstreamSet(uint32_t hostsInDataCentre)
        : m_hostsInDataCentre(hostsInDataCentre)
    {
    }

    /// Gives the upstream's handle, or an invalid one where `config::maxUpstreams` are known.
    UpstreamId announce(Time now, const UpstreamAnnouncement& announcement);

    const Upstream& at(UpstreamId id) const { return m_upstreams[id.value]; }
    const std::vector<Upstream>& all() const { return m_upstreams; }
    UpstreamId find(const std::string& upstreamName) const;
    bool hasService(const std::string& service) const { return m_services.contains(service); }
    /// Whether any upstream of the service is announced now.
    bool hasAnnouncedUpstream(Time now, const std::string& service) const;

    /// Upstreams that could take an attempt now, those in `excluded` left out.
    std::vector<RouteCandidate> candidates(Time now, const std::string& service, const std::vector<UpstreamId>& excluded) const;
    /// Whether an announced upstream of the service is not in `excluded`, busy or not.
    bool hasAlternative(Time now, const std::string& service, const std::vector<UpstreamId>& excluded) const;
    /// Slots of this host for a service, busy ones included.
    uint32_t slots(Time now, const std::string& service) const;

    void attemptStarted(UpstreamId id) { ++m_upstreams[id.value].inFlight; }
    /// Gives true where a slot was given back.
    bool attemptEnded(UpstreamId id);
    void recordAnswer(UpstreamId id, Duration latency);
    /// The upstream said that it did not start the work: it is left alone for a short time.
    void recordRefusal(Time now, UpstreamId id);
    /// Gives true where the upstream was set aside.
    bool recordFailure(Time now, UpstreamId id);

    // Shares.

    void grant(Time leaseEnd, const ShareGrant& grant);
    void renewLease(Time leaseEnd) { m_leaseEnd = std::max(m_leaseEnd, leaseEnd); }
    void dropShares();
    /// Gives back idle slots and notes the rest as owed. True where a slot was given back.
    bool recall(const ShareRecall& recall);
    std::vector<ShareState> shares() const;
    /// Shares of which slots were given back since the last call.
    std::vector<ShareState> takeReturnedShares();
    Time leaseEnd() const { return m_leaseEnd; }

private:
    uint32_t connectionLimit(const Upstream& upstream) const;
    static ShareState shareOf(const Upstream& upstream);
    uint32_t freeSlots(Time now, const Upstream& upstream) const;

    uint32_t m_hostsInDataCentre;
    std::vector<Upstream> m_upstreams;
    std::map<std::string, UpstreamId> m_byName;
    std::map<std::string, std::vector<UpstreamId>> m_services;
    std::set<UpstreamId> m_returnedShares;
    Time m_leaseEnd {};
};

} // namespace eelgrassloft
