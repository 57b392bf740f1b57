#pragma once

#include "node_step.h"
#include "share_allocator.h"
#include "upstream_set.h"

namespace eelgrassloft {

/// Reports an entry host's shares and demand to the leader of its data centre, and runs the
/// `ShareAllocator` while this host leads.
class ShareAgent {
public:
    /// Sets the leader of the data centre's log as of this step. `term` orders the grants of
    /// successive leaders.
    void setLeader(NodeStep& step, HostId leader, bool hasLease, uint64_t term)
    {
        m_leader = leader;
        m_hasLease = hasLease;
        if (hasLease && (!m_allocator.isActive() || term != m_term)) {
            m_allocator.start(step.now, step.peers.settings().hostsIn(step.peers.ownDataCentre()));
            m_nextReport = step.now;
        }
        if (!hasLease && leader != step.peers.self())
            m_allocator.stop();
        m_term = term;
    }

    void applyAnnouncement(const UpstreamAnnouncement& announcement) { m_allocator.announce(announcement); }
    void withdrawUpstream(const std::string& upstream) { m_allocator.withdraw(upstream); }

    /// Sends the reports that are due and, on the leader, starts granting once it may.
    void tick(NodeStep& step, UpstreamSet& upstreams, const std::vector<ShareDemand>& demands, bool hasQueue)
    {
        if (step.now >= m_nextReport) {
            m_nextReport = step.now + config::shareReportPeriod;
            m_nextDemandReport = step.now + config::shareDemandPeriod;
            report(step, upstreams, { step.now, true, upstreams.shares(), demands });
        } else if (step.hasReturnedShares || ((hasQueue || m_hadQueue) && step.now >= m_nextDemandReport)) {
            m_nextDemandReport = step.now + config::shareDemandPeriod;
            report(step, upstreams, { step.now, false, upstreams.takeReturnedShares(), demands });
        }
        step.hasReturnedShares = false;
        m_hadQueue = hasQueue;
        if (m_allocator.isActive() && m_hasLease && step.now >= m_allocator.nextDeadline())
            allocate(step, upstreams);
    }

    /// On the leader, records a host's report and allocates the slots again.
    void receive(NodeStep& step, UpstreamSet& upstreams, HostId from, const ShareReport& report)
    {
        if (!m_allocator.isActive() || !m_hasLease)
            return;
        m_allocator.report(step.now, from, report);
        m_lastReportSent[from] = report.sentAt;
        if (report.isFull)
            m_hostsToRenew.insert(from);
        allocate(step, upstreams);
    }

    /// Applies grants, unless they are from an earlier term than the last ones.
    void receive(UpstreamSet& upstreams, const ShareGrants& grants)
    {
        if (grants.term < m_grantTerm)
            return;
        m_grantTerm = grants.term;
        const Time leaseEnd = grants.reportSentAt + config::shareLease;
        upstreams.renewLease(leaseEnd);
        for (const ShareGrant& grant : grants.grants)
            upstreams.grant(leaseEnd, grant);
    }

    void receive(NodeStep& step, UpstreamSet& upstreams, const ShareRecalls& recalls)
    {
        for (const ShareRecall& recall : recalls.recalls) {
            step.counters.add(CounterKind::SharesRecalled);
            if (upstreams.recall(recall))
                step.hasReturnedShares = true;
        }
    }

    Time nextDeadline(bool hasQueue) const
    {
        return std::min(m_nextReport, hasQueue || m_hadQueue ? m_nextDemandReport : never);
    }

    const ShareAllocator& allocator() const { return m_allocator; }

private:
    void report(NodeStep& step, UpstreamSet& upstreams, ShareReport report)
    {
        if (m_leader == step.peers.self())
            receive(step, upstreams, m_leader, report);
        else if (m_leader.isValid() && step.peers.isConnected(m_leader))
            step.send(m_leader, std::move(report));
    }

    void allocate(NodeStep& step, UpstreamSet& upstreams)
    {
        ShareAllocator::Output output = m_allocator.allocate(step.now);
        for (const HostId host : std::exchange(m_hostsToRenew, {}))
            output.grants.try_emplace(host);
        for (auto& [host, grants] : output.grants) {
            step.counters.add(CounterKind::SharesGranted, grants.size());
            ShareGrants message { m_term, m_lastReportSent[host], std::move(grants) };
            if (host == step.peers.self())
                receive(upstreams, message);
            else if (step.peers.isConnected(host))
                step.send(host, std::move(message));
        }
        for (auto& [host, recalls] : output.recalls) {
            ShareRecalls message { std::move(recalls) };
            if (host == step.peers.self())
                receive(step, upstreams, message);
            else if (step.peers.isConnected(host))
                step.send(host, std::move(message));
        }
    }

    ShareAllocator m_allocator;
    HostId m_leader;
    bool m_hasLease = false;
    uint64_t m_term = 0;
    uint64_t m_grantTerm = 0;
    Time m_nextReport {}; ///< When the next full report is due.
    Time m_nextDemandReport {}; ///< When the next incremental report is due while requests wait.
    bool m_hadQueue = false;
    std::map<HostId, Time> m_lastReportSent; ///< When each host sent its last report.
    std::set<HostId> m_hostsToRenew; ///< Hosts whose full report is to be answered, which renews their lease.
};

} // namespace eelgrassloft
