#include "upstream_set.h"

#include "invariant.h"

#include <algorithm>
#include <utility>

namespace eelgrassloft {

UpstreamId UpstreamSet::announce(Time now, const UpstreamAnnouncement& announcement)
{
    UpstreamId id = find(announcement.name);
    if (!id.isValid()) {
        if (m_upstreams.size() >= config::maxUpstreams)
            return {};
        id = UpstreamId { static_cast<uint32_t>(m_upstreams.size()) };
        m_upstreams.emplace_back();
        m_byName[announcement.name] = id;
    }
    Upstream& upstream = m_upstreams[id.value];
    if (upstream.announcement.service != announcement.service) {
        std::erase(m_services[upstream.announcement.service], id);
        m_services[announcement.service].push_back(id);
    }
    upstream.announcement = announcement;
    upstream.announcedUntil = now + config::announcementLifetime;
    return id;
}

UpstreamId UpstreamSet::find(const std::string& upstreamName) const
{
    const auto found = m_byName.find(upstreamName);
    return found == m_byName.end() ? UpstreamId {} : found->second;
}

bool UpstreamSet::hasAnnouncedUpstream(Time now, const std::string& service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && std::any_of(found->second.begin(), found->second.end(), [&](UpstreamId id) { return at(id).isAnnounced(now); });
}

uint32_t UpstreamSet::connectionLimit(const Upstream& upstream) const
{
    return std::max(1U, upstream.announcement.connections / m_hostsInDataCentre);
}

uint32_t UpstreamSet::freeSlots(Time now, const Upstream& upstream) const
{
    if (!upstream.isAnnounced(now) || now < upstream.pausedUntil || now >= m_leaseEnd)
        return 0;
    const uint32_t limit = std::min(upstream.share - std::min(upstream.share, upstream.slotsToReturn), connectionLimit(upstream));
    return limit - std::min(limit, upstream.inFlight);
}

std::vector<RouteCandidate> UpstreamSet::candidates(Time now, const std::string& service, const std::vector<UpstreamId>& excluded) const
{
    std::vector<RouteCandidate> result;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return result;
    for (const UpstreamId id : found->second) {
        const Upstream& upstream = at(id);
        const uint32_t free = freeSlots(now, upstream);
        if (free && std::find(excluded.begin(), excluded.end(), id) == excluded.end())
            result.push_back({ id, upstream.inFlight, free, upstream.latency });
    }
    return result;
}

bool UpstreamSet::hasAlternative(Time now, const std::string& service, const std::vector<UpstreamId>& excluded) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && std::any_of(found->second.begin(), found->second.end(), [&](UpstreamId id) {
        return at(id).isAnnounced(now) && std::find(excluded.begin(), excluded.end(), id) == excluded.end();
    });
}

uint32_t UpstreamSet::slots(Time now, const std::string& service) const
{
    uint32_t total = 0;
    const auto found = m_services.find(service);
    if (found == m_services.end() || now >= m_leaseEnd)
        return 0;
    for (const UpstreamId id : found->second)
        total += at(id).isAnnounced(now) ? at(id).share : 0;
    return total;
}

bool UpstreamSet::attemptEnded(UpstreamId id)
{
    Upstream& upstream = m_upstreams[id.value];
    requireInvariant(upstream.inFlight > 0, "an attempt ends once");
    --upstream.inFlight;
    if (!upstream.slotsToReturn || !upstream.share)
        return false;
    --upstream.slotsToReturn;
    --upstream.share;
    m_returnedShares.insert(id);
    return true;
}

void UpstreamSet::recordAnswer(UpstreamId id, Duration latency)
{
    Upstream& upstream = m_upstreams[id.value];
    upstream.consecutiveFailures = upstream.consecutiveRefusals = 0;
    if (upstream.latency == Duration {})
        upstream.latency = latency;
    else
        upstream.latency += (latency - upstream.latency) / (1 << config::latencyWeightShift);
}

void UpstreamSet::recordRefusal(Time now, UpstreamId id)
{
    Upstream& upstream = m_upstreams[id.value];
    Duration pause = config::refusalBackoff;
    for (uint32_t i = 0; i < upstream.consecutiveRefusals && pause < config::maxRefusalBackoff; ++i)
        pause *= 2;
    ++upstream.consecutiveRefusals;
    upstream.pausedUntil = std::max(upstream.pausedUntil, now + std::min(pause, config::maxRefusalBackoff));
}

bool UpstreamSet::recordFailure(Time now, UpstreamId id)
{
    Upstream& upstream = m_upstreams[id.value];
    if (++upstream.consecutiveFailures < config::failuresToEject)
        return false;
    upstream.consecutiveFailures = config::failuresToEject - 1; // One more failure after the pause ejects it again.
    upstream.pausedUntil = now + config::ejectionDuration;
    return true;
}

void UpstreamSet::grant(Time leaseEnd, const ShareGrant& grant)
{
    renewLease(leaseEnd);
    const UpstreamId id = find(grant.upstream);
    if (!id.isValid())
        return;
    Upstream& upstream = m_upstreams[id.value];
    if (grant.version <= upstream.shareVersion && upstream.shareVersion)
        return;
    upstream.share = grant.slots;
    upstream.shareVersion = grant.version;
    upstream.slotsToReturn = 0;
}

void UpstreamSet::dropShares()
{
    for (Upstream& upstream : m_upstreams) {
        upstream.share = upstream.slotsToReturn = 0;
        upstream.shareVersion = 0;
    }
    m_leaseEnd = {};
}

bool UpstreamSet::recall(const ShareRecall& recall)
{
    const UpstreamId id = find(recall.upstream);
    if (!id.isValid())
        return false;
    Upstream& upstream = m_upstreams[id.value];
    const uint32_t idle = upstream.share - std::min(upstream.share, upstream.inFlight);
    const uint32_t returned = std::min(idle, recall.slots);
    upstream.share -= returned;
    upstream.slotsToReturn = std::min(upstream.share, recall.slots - returned);
    if (returned)
        m_returnedShares.insert(id);
    return returned > 0;
}

ShareState UpstreamSet::shareOf(const Upstream& upstream)
{
    return { upstream.announcement.name, upstream.share, upstream.inFlight, upstream.shareVersion };
}

std::vector<ShareState> UpstreamSet::shares() const
{
    std::vector<ShareState> result;
    for (const Upstream& upstream : m_upstreams) {
        if (upstream.share || upstream.shareVersion)
            result.push_back(shareOf(upstream));
    }
    return result;
}

std::vector<ShareState> UpstreamSet::takeReturnedShares()
{
    std::vector<ShareState> result;
    for (const UpstreamId id : std::exchange(m_returnedShares, {}))
        result.push_back(shareOf(at(id)));
    return result;
}

} // namespace eelgrassloft
