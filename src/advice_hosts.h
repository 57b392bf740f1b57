#pragma once

#include "eelgrassloft/config.h"
#include "eelgrassloft/handle.h"
#include "eelgrassloft/time.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace eelgrassloft {

/// Chooses the host that makes the next call to the advice service. Each makes one call at a time. A host whose
/// calls fail is avoided for a pause, as it may not reach the service while others do. While all hosts are
/// avoided, those whose last failure is `adviceRetryInterval` ago are asked nevertheless.
class AdviceHosts {
public:
    /// The hosts that may make calls now.
    struct Capacity {
        size_t usable = 0; ///< Those in a call included.
        size_t busy = 0; ///< Those in a call.
    };

    void set(std::set<HostId> hosts)
    {
        m_hosts = std::move(hosts);
        std::erase_if(m_loads, [&](const auto& entry) { return !contains(entry.first); });
        std::erase_if(m_failures, [&](const auto& entry) { return !contains(entry.first); });
        std::erase_if(m_busy, [&](HostId host) { return !contains(host); });
    }

    bool contains(HostId host) const { return m_hosts.count(host) > 0; }
    size_t count() const { return m_hosts.size(); }

    void noteLoad(HostId host, uint64_t load) { m_loads[host] = load; }

    /// Load of the busiest host.
    uint64_t busiestLoad() const
    {
        uint64_t busiest = 0;
        for (const auto& [host, load] : m_loads)
            busiest = std::max(busiest, load);
        return busiest;
    }

    void beginCall(HostId host) { m_busy.insert(host); }

    void didAnswer(HostId host)
    {
        m_busy.erase(host);
        m_failures.erase(host);
    }

    /// Avoids a host for a pause that doubles with each failure in a row.
    void didFail(HostId host, Time now)
    {
        m_busy.erase(host);
        Failures& failures = m_failures[host];
        failures.pause = std::clamp(failures.pause * 2, config::adviceFailurePause, config::maxAdviceFailurePause);
        failures.retryAt = now + config::adviceRetryInterval;
        failures.avoidedUntil = now + failures.pause;
    }

    /// Drops all calls and failures.
    void clear()
    {
        m_busy.clear();
        m_failures.clear();
    }

    size_t avoidedCount(Time now) const
    {
        return static_cast<size_t>(std::count_if(m_failures.begin(), m_failures.end(), [&](const auto& entry) { return now < entry.second.avoidedUntil; }));
    }

    Capacity capacity(Time now) const
    {
        if (m_failures.empty()) // Plans ask for each waiting step.
            return { m_hosts.size(), m_busy.size() };
        Capacity capacity;
        forEachUsable(now, [&](HostId host) {
            ++capacity.usable;
            capacity.busy += m_busy.count(host);
        });
        return capacity;
    }

    /// The free host to ask next; invalid if there is none. `self` comes last.
    HostId choose(HostId self, Time now) const
    {
        HostId chosen;
        Rank lowestRank;
        forEachUsable(now, [&](HostId host) {
            const Rank rank { std::max(failuresOf(host).avoidedUntil, now), host == self, loadOf(host) };
            if (m_busy.count(host) || (chosen.isValid() && rank >= lowestRank))
                return;
            chosen = host;
            lowestRank = rank;
        });
        return chosen;
    }

private:
    using Rank = std::tuple<Time, bool, uint64_t>; ///< End of the pause, whether it is this host, load.

    struct Failures {
        Duration pause {}; ///< After the last one.
        Time retryAt {}; ///< From then on the host is asked while all are avoided.
        Time avoidedUntil {};
    };

    template <typename Visitor>
    void forEachUsable(Time now, Visitor&& visit) const
    {
        const bool areAllAvoided = avoidedCount(now) == m_hosts.size();
        for (const HostId host : m_hosts) {
            const Failures failures = failuresOf(host);
            if (now >= (areAllAvoided ? failures.retryAt : failures.avoidedUntil))
                visit(host);
        }
    }

    Failures failuresOf(HostId host) const
    {
        const auto found = m_failures.find(host);
        return found == m_failures.end() ? Failures {} : found->second;
    }

    uint64_t loadOf(HostId host) const
    {
        const auto found = m_loads.find(host);
        return found == m_loads.end() ? 0 : found->second;
    }

    std::set<HostId> m_hosts;
    std::set<HostId> m_busy; ///< Those in a call.
    std::map<HostId, uint64_t> m_loads; ///< As last reported.
    std::map<HostId, Failures> m_failures; ///< Of the hosts whose latest call has failed.
};

} // namespace eelgrassloft
