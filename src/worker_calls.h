#pragma once

#include "fleet_events.h"
#include "worker_orders.h"
#include "worker_routes.h"

#include <optional>
#include <utility>

namespace eelgrassloft {

/// A call to a worker that has no response yet.
struct PendingWorkerCall {
    WorkerNumber worker;
    OrderKind kind = OrderKind::Poll;
    TaskRun run;
    Time sentAt {};
    Duration timeout {};
    uint64_t acknowledgedEnd = 0;
};

/// Calls to workers that have no response yet, made by this host or by another that relays them.
class WorkerCalls {
public:
    explicit WorkerCalls(std::string region)
        : m_routes(std::move(region))
    {
    }

    void clear()
    {
        m_pending.clear();
        m_routes.clearCalls();
    }

    /// Sends an order in a fleet of `workerCount` workers. Returns whether another host relays it.
    bool send(FleetStep& step, const WorkerInfo& worker, size_t workerCount, const PendingWorkerCall& call, WorkerOrder order)
    {
        const CallId id { m_nextCall++ };
        m_pending[id] = call;
        const HostId host = m_routes.hostFor(worker.dataCentre, workerCount, step.now);
        if (!host.isValid()) {
            step.emit(CallWorker { id, worker.id, worker.address, std::move(order) });
            return false;
        }
        m_routes.addCall(host, id, step.now + order.maxWait + config::orderTimeout + config::relayMargin);
        step.send(host, WorkerCallRequest { id.value, worker.id, worker.address, std::move(order) });
        return true;
    }

    /// Takes the call that a response is for, if it is pending.
    std::optional<PendingWorkerCall> take(CallId id)
    {
        m_routes.removeCall(id);
        const auto found = m_pending.find(id);
        if (found == m_pending.end())
            return std::nullopt;
        const PendingWorkerCall call = found->second;
        m_pending.erase(found);
        return call;
    }

    // Hosts that may relay calls.

    void hostUp(HostId host, std::string dataCentre, std::string region) { m_routes.hostUp(host, std::move(dataCentre), std::move(region)); }
    void noteLoad(HostId host, const HostLoad& load) { m_routes.noteLoad(host, load); }
    /// Returns the calls that the host was relaying.
    std::set<CallId> hostDown(HostId host) { return m_routes.hostDown(host); }
    /// Returns the calls whose relay did not respond in time.
    std::set<CallId> takeOverdue(Time now) { return m_routes.takeOverdue(now); }
    Time nextDeadline() const { return m_routes.nextDeadline(); }

private:
    std::map<CallId, PendingWorkerCall> m_pending;
    uint64_t m_nextCall = 1;
    WorkerRoutes m_routes;
};

} // namespace eelgrassloft
