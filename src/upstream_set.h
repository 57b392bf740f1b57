#pragma once

#include "routing_policy.h"
#include "share_messages.h"

#include "eelgrassloft/config.h"
#include "eelgrassloft/counters.h"
#include "eelgrassloft/request.h"

#include <map>
#include <set>

namespace eelgrassloft {

/// State of one upstream on an entry host.
struct Upstream {
    UpstreamAnnouncement announcement;
    Time announcedUntil {};
    uint32_t share = 0; ///< Slots leased to this host.
    uint64_t shareVersion = 0; ///< Version of the grant that set the share; 0: none.
    uint32_t inFlight = 0;
    uint32_t slotsToReturn = 0; ///< Recalled slots to return as their attempts end.
    Duration latency {}; ///< Exponentially weighted moving average over complete responses.
    uint32_t consecutiveFailures = 0;
    uint32_t consecutiveRefusals = 0;
    Time pausedUntil {}; ///< No attempts until then, after refusals or failures.

    bool isAnnounced(Time now) const { return !announcement.isLeaving && now < announcedUntil; }
};

/// The announced upstreams, their health, and this host's shares of their slots.
class UpstreamSet {
public:
    /// The connections of each upstream are divided evenly among `hostsInDataCentre`.
    explicit UpstreamSet(uint32_t hostsInDataCentre)
        : m_hostsInDataCentre(hostsInDataCentre)
    {
    }

    /// Adds or renews an upstream. Returns an invalid handle where `config::maxUpstreams` are known already.
    UpstreamId announce(Time now, const UpstreamAnnouncement& announcement);

    const Upstream& at(UpstreamId id) const { return m_upstreams[id.value]; }
    const std::vector<Upstream>& all() const { return m_upstreams; }
    UpstreamId find(const std::string& upstreamName) const;
    bool hasService(const std::string& service) const { return m_services.contains(service); }
    /// Whether any upstream of the service is announced now.
    bool hasAnnouncedUpstream(Time now, const std::string& service) const;

    /// Upstreams of the service with a free slot, without those in `excluded`.
    std::vector<RouteCandidate> candidates(Time now, const std::string& service, const std::vector<UpstreamId>& excluded) const;
    /// Whether the service has an announced upstream, busy or not, that is not in `excluded`.
    bool hasAlternative(Time now, const std::string& service, const std::vector<UpstreamId>& excluded) const;
    /// Slots that this host holds for a service, busy ones included.
    uint32_t slots(Time now, const std::string& service) const;

    void attemptStarted(UpstreamId id) { ++m_upstreams[id.value].inFlight; }
    /// Ends an attempt. True where its slot was recalled and is returned now.
    bool attemptEnded(UpstreamId id);
    void recordAnswer(UpstreamId id, Duration latency);
    /// Pauses an upstream that answered that it did not start the work, with exponential backoff.
    void recordRefusal(Time now, UpstreamId id);
    /// Counts a failure. True where the upstream was ejected as an outlier.
    bool recordFailure(Time now, UpstreamId id);

    // Shares.

    /// Renews the lease and sets a share, unless a later grant of it is known.
    void grant(Time leaseEnd, const ShareGrant& grant);
    void renewLease(Time leaseEnd) { m_leaseEnd = std::max(m_leaseEnd, leaseEnd); }
    void dropShares();
    /// Returns idle slots at once and marks the rest to be returned as attempts end. True where a
    /// slot was returned.
    bool recall(const ShareRecall& recall);
    std::vector<ShareState> shares() const;
    /// Shares of which slots were returned since the last call.
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
