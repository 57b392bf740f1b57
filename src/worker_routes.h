#pragma once

#include "eelgrassloft/config.h"
#include "fleet_messages.h"

#include <map>
#include <set>

namespace eelgrassloft {

/// Chooses the host that calls a worker. In a large fleet one host's processor can't serve all
/// calls, so the control host of the worker's data centre relays them for the leader. Where that is
/// the leader itself, or does not respond, another control host of the leader's region does. In a
/// small fleet the leader calls the workers directly, since each relay is one more host that may fail.
class WorkerRoutes {
public:
    explicit WorkerRoutes(std::string region)
        : m_region(std::move(region))
    {
    }

    void hostUp(HostId host, std::string dataCentre, std::string region) { m_hosts[host] = { std::move(dataCentre), std::move(region) }; }

    /// Notes the load that a host has reported.
    void noteLoad(HostId host, const HostLoad& load)
    {
        if (const auto found = m_hosts.find(host); found != m_hosts.end())
            found->second.load = load.score();
    }

    /// Removes a host. Returns the calls that it was relaying.
    std::set<CallId> hostDown(HostId host)
    {
        m_hosts.erase(host);
        return takeCalls(host);
    }

    /// Host that should relay calls to a worker; invalid if the leader should call it directly.
    HostId hostFor(const std::string& dataCentre, size_t workerCount, Time now) const
    {
        if (workerCount <= config::directWorkers)
            return {};
        HostId leastBusy;
        uint64_t leastLoad = UINT64_MAX;
        for (const auto& [host, entry] : m_hosts) {
            if (now < entry.avoidedUntil)
                continue;
            if (entry.dataCentre == dataCentre && entry.load < busyLoad)
                return host;
            const uint64_t load = entry.calls + entry.load;
            if (entry.region == m_region && load < leastLoad) {
                leastBusy = host;
                leastLoad = load;
            }
        }
        return leastBusy;
    }

    void addCall(HostId host, CallId call, Time deadline)
    {
        m_calls[call] = { host, deadline };
        if (const auto relay = m_hosts.find(host); relay != m_hosts.end())
            ++relay->second.calls;
        m_deadlines.insert({ deadline, call });
    }

    void removeCall(CallId call)
    {
        const auto found = m_calls.find(call);
        if (found == m_calls.end())
            return;
        m_deadlines.erase({ found->second.deadline, call });
        if (const auto relay = m_hosts.find(found->second.host); relay != m_hosts.end() && relay->second.calls)
            --relay->second.calls;
        m_calls.erase(found);
    }

    /// Takes the calls past their deadline. Their hosts get no further calls for `relayBackoff`.
    std::set<CallId> takeOverdue(Time now)
    {
        std::set<CallId> overdue;
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
            const CallId call = m_deadlines.begin()->second;
            const auto host = m_hosts.find(m_calls.at(call).host);
            if (host != m_hosts.end())
                host->second.avoidedUntil = now + config::relayBackoff;
            overdue.insert(call);
            removeCall(call);
        }
        return overdue;
    }

    Time nextDeadline() const { return m_deadlines.empty() ? never : m_deadlines.begin()->first; }

    /// Drops all calls without avoiding their hosts.
    void clearCalls()
    {
        m_calls.clear();
        m_deadlines.clear();
        for (auto& [host, entry] : m_hosts)
            entry.calls = 0;
    }

private:
    struct Host {
        std::string dataCentre;
        std::string region;
        Time avoidedUntil {};
        size_t calls = 0; ///< Calls that it relays now.
        uint64_t load = 0; ///< As it last reported.
    };

    struct Call {
        HostId host;
        Time deadline {};
    };

    /// Removes and returns the calls that a host was relaying.
    std::set<CallId> takeCalls(HostId host)
    {
        std::set<CallId> calls;
        for (const auto& [call, entry] : m_calls) {
            if (entry.host == host)
                calls.insert(call);
        }
        for (const CallId call : calls)
            removeCall(call);
        return calls;
    }

    /// With so much load a host no longer relays all calls to the workers of its data centre. Others of the
    /// region are a link farther away, so that less does not matter.
    static constexpr uint64_t busyLoad = 50;

    std::string m_region; ///< Of this host.
    std::map<HostId, Host> m_hosts;
    std::map<CallId, Call> m_calls;
    std::set<std::pair<Time, CallId>> m_deadlines;
};

} // namespace eelgrassloft
