#pragma once

#include "fleet_messages.h"

#include "eelgrassloft/config.h"

#include <deque>
#include <map>
#include <utility>

namespace eelgrassloft {

/// Jobs whose submission ended with an unknown outcome on this host. A copy of the call may still be on its way, so a
/// later submission of the same job can't be refused either: the refusal would promise that the job never runs.
class UnsettledJobs {
public:
    void add(JobKey job, Time now)
    {
        if (!job.isValid())
            return;
        const Time until = now + config::unsettledJobLifetime;
        m_until[job] = until;
        m_order.emplace_back(until, job);
        if (m_order.size() > config::maxUnsettledJobs)
            dropFirst();
    }

    /// Notes that the outcome became known.
    void settle(JobKey job) { m_until.erase(job); }

    bool contains(JobKey job, Time now) const
    {
        const auto found = m_until.find(job);
        return found != m_until.end() && now < found->second;
    }

    void dropExpired(Time now)
    {
        while (!m_order.empty() && m_order.front().first <= now)
            dropFirst();
    }

private:
    void dropFirst()
    {
        const auto [until, job] = m_order.front();
        m_order.pop_front();
        const auto found = m_until.find(job);
        if (found != m_until.end() && found->second == until)
            m_until.erase(found);
    }

    std::map<JobKey, Time> m_until;
    std::deque<std::pair<Time, JobKey>> m_order; ///< By time; some are settled, or were added again.
};

} // namespace eelgrassloft
