#pragma once

#include "eelgrassloft/config.h"
#include "fleet_messages.h"

#include <map>
#include <set>

namespace eelgrassloft {

/// Which host calls a worker. Answers the load at which one host's processor does not carry all
/// calls: in a large fleet the control host of the worker's data centre calls in the leader's
/// place. Small fleets are called directly, since every host on the way is one more that may fail.
class WorkerRoutes {
public:
    void hostUp(HostId host, std::string dataCentre) { m_hosts[host] = { std::move(dataCentre), {} }; }

    /// Forgets the host; the calls that were made through it come back.
    std::set<CallId> hostDown(HostId host)
    {
        m_hosts.erase(host);
        return takeCalls(host);
    }

    /// Host that should call a worker; invalid for the leader itself.
    HostId hostFor(const std::string& dataCentre, size_t workerCount, Time now) const
    {
        if (workerCount <= config::directWorkers)
            return {};
        for (const auto& [host, entry] : m_hosts) {
            if (entry.dataCentre == dataCentre && now >= entry.avoidedUntil)
                return host;
        }
        return {};
    }

    void called(HostId host, CallId call, Time deadline)
    {
        m_calls[call] = { host, deadline };
        m_deadlines.insert({ deadline, call });
    }

    void answered(CallId call)
    {
        const auto found = m_calls.find(call);
        if (found == m_calls.end())
            return;
        m_deadlines.erase({ found->second.deadline, call });
        m_calls.erase(found);
    }

    /// Calls whose host has not answered; it is left alone for some time.
    std::set<CallId> takeOverdue(Time now)
    {
        std::set<CallId> overdue;
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
            const CallId call = m_deadlines.begin()->second;
            const auto host = m_hosts.find(m_calls.at(call).host);
            if (host != m_hosts.end())
                host->second.avoidedUntil = now + config::relayBackoff;
            overdue.insert(call);
            answered(call);
        }
        return overdue;
    }

    Time nextDeadline() const { return m_deadlines.empty() ? never : m_deadlines.begin()->first; }

    /// Forgets all calls, as their asker has.
    void clearCalls()
    {
        m_calls.clear();
        m_deadlines.clear();
    }

private:
    struct Host {
        std::string dataCentre;
        Time avoidedUntil {};
    };

    struct Call {
        HostId host;
        Time deadline {};
    };

    std::set<CallId> takeCalls(HostId host)
    {
        std::set<CallId> calls;
        for (const auto& [call, entry] : m_calls) {
            if (entry.host == host)
                calls.insert(call);
        }
        for (const CallId call : calls)
            answered(call);
        return calls;
    }

    std::map<HostId, Host> m_hosts;
    std::map<CallId, Call> m_calls;
    std::set<std::pair<Time, CallId>> m_deadlines;
};

} // namespace eelgrassloft
