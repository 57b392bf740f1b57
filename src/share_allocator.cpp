#include "share_allocator.h"

#include "invariant.h"

#include <algorithm>
#include <utility>

namespace eelgrassloft {

void ShareAllocator::start(Time now, const std::vector<HostId>& hosts)
{
    m_hosts.clear();
    for (const HostId host : hosts)
        m_hosts[host] = {};
    for (auto& [upstreamName, upstream] : m_upstreams)
        upstream.holdings.clear();
    m_formerLeasesEnd = now + config::shareLease + config::maxClockDrift;
    m_mayGrant = false;
}

void ShareAllocator::announce(const UpstreamAnnouncement& announcement)
{
    if (announcement.isLeaving) {
        withdraw(announcement.name);
        return;
    }
    Upstream& upstream = m_upstreams[announcement.name];
    upstream.service = announcement.service;
    upstream.slots = announcement.slots;
    m_services[announcement.service].insert(announcement.name);
}

void ShareAllocator::withdraw(const std::string& upstream)
{
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end())
        found->second.slots = 0; // Holdings stay until their hosts return them or their leases expire.
}

void ShareAllocator::report(Time now, HostId host, const ShareReport& report)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return;
    Host& sender = found->second;
    if (!sender.hasReported && !report.isFull)
        return; // Until the first full report the host's holdings are unknown.
    sender.hasReported = true;
    sender.leaseEnd = now + config::shareLease + config::maxClockDrift;
    for (const ShareState& state : report.shares)
        recordHolding(now, host, state);
    if (report.isFull)
        sender.demands.clear();
    for (const ShareDemand& demand : report.demands)
        sender.demands[demand.service] = { demand.queued, demand.oldestArrival };
}

void ShareAllocator::recordHolding(Time now, HostId host, const ShareState& state)
{
    const auto found = m_upstreams.find(state.upstream);
    if (found == m_upstreams.end()) {
        // Granted by a former leader; counted although the upstream has not announced itself here yet.
        m_upstreams[state.upstream].holdings[host] = { state.slots, state.inUse, state.version, 0, {}, false };
        return;
    }
    const auto [position, isNew] = found->second.holdings.try_emplace(host);
    Holding& holding = position->second;
    if (!isNew && state.version < holding.version) {
        holding.needsResend = true; // The newer grant is in flight or lost; sending it again is idempotent.
        return;
    }
    if (state.slots < holding.slots) {
        const uint32_t returned = holding.slots - state.slots;
        holding.recalledSlots -= std::min(holding.recalledSlots, returned);
    }
    holding.slots = state.slots;
    holding.inUse = state.inUse;
    holding.version = state.version;
    if (now >= holding.recallExpiry)
        holding.recalledSlots = 0;
}

ShareAllocator::Output ShareAllocator::allocate(Time now)
{
    Output output;
    if (m_hosts.empty())
        return output;
    if (!m_mayGrant) {
        const bool allReported = std::all_of(m_hosts.begin(), m_hosts.end(), [](const auto& host) { return host.second.hasReported; });
        if (!allReported && now < m_formerLeasesEnd)
            return output;
        m_mayGrant = true;
    }
    expireLeases(now);
    resendLostGrants(output);
    for (const auto& [service, upstreams] : m_services) {
        grantToWaitingHosts(service, output);
        recallForLongestWaiting(now, service, output);
    }
    grantIdleSlots(output);
    return output;
}

void ShareAllocator::resendLostGrants(Output& output)
{
    for (auto& [upstreamName, upstream] : m_upstreams) {
        for (auto& [host, holding] : upstream.holdings) {
            if (std::exchange(holding.needsResend, false))
                output.grants[host].push_back({ upstreamName, holding.slots, holding.version });
        }
    }
}

void ShareAllocator::expireLeases(Time now)
{
    for (auto& [id, host] : m_hosts) {
        if (!host.hasReported || now < host.leaseEnd)
            continue;
        host.hasReported = false;
        host.demands.clear();
        for (auto& [upstreamName, upstream] : m_upstreams)
            upstream.holdings.erase(id);
    }
}

uint32_t ShareAllocator::freeSlots(const Upstream& upstream) const
{
    uint32_t held = 0;
    for (const auto& [host, holding] : upstream.holdings)
        held += holding.slots;
    return held < upstream.slots ? upstream.slots - held : 0;
}

uint32_t ShareAllocator::grantedSlots(Time now, const std::string& upstream) const
{
    uint32_t held = 0;
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return 0;
    for (const auto& [host, holding] : found->second.holdings)
        held += m_hosts.at(host).leaseEnd > now ? holding.slots : 0;
    return held;
}

void ShareAllocator::grant(const std::string& upstreamName, Upstream& upstream, HostId host, uint32_t slots, Output& output)
{
    requireInvariant(slots <= freeSlots(upstream), "shares of an upstream sum to no more than its slots");
    Holding& holding = upstream.holdings[host];
    holding.slots += slots;
    ++holding.version;
    std::vector<ShareGrant>& grants = output.grants[host];
    if (grants.empty() || grants.back().upstream != upstreamName)
        grants.push_back({ upstreamName, 0, 0 });
    grants.back().slots = holding.slots;
    grants.back().version = holding.version;
}

HostId ShareAllocator::longestWaitingHost(const std::string& service) const
{
    HostId result;
    Time oldest = never;
    for (const auto& [id, host] : m_hosts) {
        const auto demand = host.demands.find(service);
        if (!host.hasReported || demand == host.demands.end() || !demand->second.queued)
            continue;
        if (demand->second.oldestArrival < oldest) {
            oldest = demand->second.oldestArrival;
            result = id;
        }
    }
    return result;
}

void ShareAllocator::grantToWaitingHosts(const std::string& service, Output& output)
{
    for (const std::string& upstreamName : m_services[service]) {
        Upstream& upstream = m_upstreams[upstreamName];
        while (freeSlots(upstream)) {
            const HostId host = longestWaitingHost(service);
            if (!host.isValid())
                return;
            --m_hosts[host].demands[service].queued;
            grant(upstreamName, upstream, host, 1, output);
        }
    }
}

/// Grants slots that no request waits for to the hosts with the fewest idle ones, so that the next
/// request there starts without a grant.
void ShareAllocator::grantIdleSlots(Output& output)
{
    for (auto& [upstreamName, upstream] : m_upstreams) {
        while (freeSlots(upstream)) {
            HostId leastIdleHost;
            int64_t fewestIdle = INT64_MAX;
            for (const auto& [id, host] : m_hosts) {
                const auto holding = upstream.holdings.find(id);
                const int64_t idle = holding == upstream.holdings.end()
                    ? 0
                    : int64_t { holding->second.slots } - holding->second.inUse;
                if (host.hasReported && idle < fewestIdle) {
                    fewestIdle = idle;
                    leastIdleHost = id;
                }
            }
            if (!leastIdleHost.isValid())
                return;
            grant(upstreamName, upstream, leastIdleHost, 1, output);
        }
    }
}

/// Recalls slots for the host whose oldest request has waited longest: first idle ones from hosts
/// without a queue, then one at a time from the host whose oldest request has waited least, where
/// the waits differ by more than `config::shareFairnessThreshold`.
void ShareAllocator::recallForLongestWaiting(Time now, const std::string& service, Output& output)
{
    const HostId recipient = longestWaitingHost(service);
    if (!recipient.isValid())
        return;
    const Demand demand = m_hosts[recipient].demands[service];
    uint32_t wanted = demand.queued;
    HostId shortestWaitingHost;
    Time latestArrival = demand.oldestArrival + config::shareFairnessThreshold;
    for (const auto& [id, host] : m_hosts) {
        if (id == recipient || !host.hasReported)
            continue;
        const auto own = host.demands.find(service);
        if (own == host.demands.end() || !own->second.queued) {
            wanted -= std::min(wanted, recallFrom(now, service, id, wanted, output));
        } else if (own->second.oldestArrival > latestArrival) {
            latestArrival = own->second.oldestArrival;
            shortestWaitingHost = id;
        }
    }
    if (wanted && shortestWaitingHost.isValid())
        recallFrom(now, service, shortestWaitingHost, 1, output);
}

uint32_t ShareAllocator::recallFrom(Time now, const std::string& service, HostId donor, uint32_t wanted, Output& output)
{
    uint32_t recallCount = 0;
    for (const bool includesBusy : { false, true }) {
        for (const std::string& upstreamName : m_services[service]) {
            const auto found = m_upstreams[upstreamName].holdings.find(donor);
            if (recallCount == wanted || found == m_upstreams[upstreamName].holdings.end())
                continue;
            Holding& holding = found->second;
            if (now >= holding.recallExpiry)
                holding.recalledSlots = 0;
            const uint32_t available = includesBusy ? holding.slots : holding.slots - std::min(holding.slots, holding.inUse);
            const uint32_t count = std::min(wanted - recallCount, available - std::min(available, holding.recalledSlots));
            if (!count)
                continue;
            holding.recalledSlots += count;
            holding.recallExpiry = now + config::shareRecallLifetime;
            output.recalls[donor].push_back({ upstreamName, count });
            recallCount += count;
        }
    }
    return recallCount;
}

} // namespace eelgrassloft
