#pragma once

#include "advice_hosts.h"
#include "fleet_events.h"

#include <algorithm>
#include <map>

namespace eelgrassloft {

/// Cached decisions of the advice service on the workers of one step.
struct StepAdvice {
    /// Leave to run the step on a worker.
    struct Ticket {
        WorkerNumber worker;
        Time validUntil {};
        std::string text;

        bool isValid(Time now) const { return now + config::ticketMargin < validUntil; }
    };

    std::vector<Ticket> tickets; ///< Of the allowed workers, by their number. Plans go through all of them.
    std::set<WorkerNumber> denied;
    bool isQueryPending = false;

    /// The worker's ticket, expired or not; null if the worker is not known to be allowed.
    const Ticket* ticketFor(WorkerNumber worker) const
    {
        const auto position = std::lower_bound(tickets.begin(), tickets.end(), worker, isBefore);
        return position != tickets.end() && position->worker == worker ? &*position : nullptr;
    }

    bool hasValidTicket(WorkerNumber worker, Time now) const
    {
        const Ticket* ticket = ticketFor(worker);
        return ticket && ticket->isValid(now);
    }

    void allow(Ticket ticket)
    {
        denied.erase(ticket.worker);
        const auto position = std::lower_bound(tickets.begin(), tickets.end(), ticket.worker, isBefore);
        if (position != tickets.end() && position->worker == ticket.worker)
            *position = std::move(ticket);
        else
            tickets.insert(position, std::move(ticket));
    }

private:
    static bool isBefore(const Ticket& ticket, WorkerNumber worker) { return ticket.worker < worker; }
};

/// How the call of a host to the advice service ended without an answer.
enum class AdviceFailure : uint8_t {
    Failed, ///< The host could not make the call, or the service refused it or gave no readable answer.
    Overdue, ///< Nothing came back until the call's deadline.
    Count
};

constexpr NameTable<AdviceFailure> nameTable(AdviceFailure)
{
    constexpr NameTable<AdviceFailure> table { "failed", "overdue" };
    static_assert(detail::isComplete<AdviceFailure>(table));
    return table;
}

/// Queries the advice service for the leader and caches the tickets. The service serves one call of
/// each host at a time, so calls are spread over the hosts; long calls leave some hosts free for
/// short ones. Hosts whose calls fail are avoided for a while.
class AdviceClient {
public:
    /// Query for the workers that may run a step.
    struct Query {
        TaskRef step; ///< With task index 0.
        std::vector<WorkerNumber> workers;
        AdviceTiming timing;
        uint32_t priority = 0;
        std::map<WorkerNumber, Resources> expectedUse {}; ///< Free capacity that the step is expected to take once the query is answered.
        bool isForSuspects = false; ///< Whether the step's tasks may have crashed a worker.
    };

    /// Sets the hosts that may call the service, including the leader. Calls of other hosts are dropped.
    void setHosts(std::set<HostId> hosts)
    {
        m_hosts.set(std::move(hosts));
        std::erase_if(m_pendingQueries, [&](const auto& entry) {
            if (m_hosts.contains(entry.second.host))
                return false;
            clearQueryPending(entry.second);
            return true;
        });
    }

    /// Notes the load that a host has reported. Of the free hosts, the one with the least load makes the next call.
    void noteLoad(HostId host, const HostLoad& load) { m_hosts.noteLoad(host, load.score()); }

    /// Load of the busiest host.
    uint64_t busiestLoad() const { return m_hosts.busiestLoad(); }

    const StepAdvice* find(const TaskRef& step) const
    {
        const auto found = m_steps.find(step);
        return found == m_steps.end() ? nullptr : &found->second;
    }

    /// Whether a host is free for a call on this many workers, besides `planned` calls not yet made.
    bool canQuery(Time now, const AdviceTiming& timing, size_t workers, size_t planned = 0) const
    {
        const AdviceHosts::Capacity capacity = m_hosts.capacity(now);
        return capacity.busy + planned + (isLong(timing, workers) ? hostsForShort(capacity.usable) : 0) < capacity.usable;
    }

    /// The same for a step of suspects. Those that can't be placed yet ask again whenever their tickets expire,
    /// so that they would take all hosts from the others; they get a part of them.
    bool canQueryForSuspects(Time now, const AdviceTiming& timing, size_t workers, const std::vector<Query>& planned) const
    {
        size_t ofSuspects = 0;
        for (const Query& query : planned)
            ofSuspects += query.isForSuspects;
        for (const auto& [number, pendingQuery] : m_pendingQueries)
            ofSuspects += pendingQuery.query.isForSuspects;
        const size_t mostHosts = std::max<size_t>(1, m_hosts.capacity(now).usable / config::hostsPerSuspectAdvice);
        return ofSuspects < mostHosts && canQuery(now, timing, workers, planned.size());
    }

    /// Notes the queues, whose timings tell which calls are long beside others.
    void setQueues(const std::vector<QueueSpec>& queues)
    {
        m_longThreshold = config::longAdviceThreshold;
        for (const QueueSpec& queue : queues) {
            if (queue.advice && queue.advice->decisionTime > Duration::zero())
                m_longThreshold = std::min(m_longThreshold, durationOf(*queue.advice, cheapWorkers(*queue.advice)) * config::longAdviceFactor);
        }
    }

    /// Number of workers that cost little in a query beside the query itself.
    static size_t cheapWorkers(const AdviceTiming& timing)
    {
        if (timing.timePerWorker <= Duration::zero())
            return config::maxAdviceWorkers;
        return std::clamp<size_t>(static_cast<size_t>(timing.decisionTime / timing.timePerWorker / 2), 1, config::maxAdviceWorkers);
    }

    bool isLong(const AdviceTiming& timing, size_t workers) const { return durationOf(timing, workers) >= m_longThreshold; }
    static Duration durationOf(const AdviceTiming& timing, size_t workers) { return timing.decisionTime + timing.timePerWorker * static_cast<Duration::rep>(workers); }

    /// Sends a query through a free host.
    void sendQuery(FleetStep& step, const WorkTable& table, HostId self, const Query& query)
    {
        const HostId host = m_hosts.choose(self, step.now);
        if (!host.isValid())
            return;
        AdviceRequest request;
        request.number = m_nextNumber++;
        request.step = query.step;
        request.timeout = durationOf(query.timing, query.workers.size()) * 2 + config::orderTimeout;
        for (const WorkerNumber number : query.workers) {
            if (const FleetWorker* record = table.worker(number))
                request.workers.push_back(record->info.id);
        }
        m_hosts.beginCall(host);
        m_steps[query.step].isQueryPending = true;
        m_pendingQueries[request.number] = { host, query, step.now + request.timeout };
        if (host == self)
            step.emit(CallAdvice { CallId { request.number }, std::move(request) });
        else
            step.send(host, std::move(request));
    }

    /// Caches the tickets of a reply. Returns the host if the service did not answer its call.
    std::optional<HostId> handleReply(Time now, const WorkTable& table, const AdviceReply& reply)
    {
        const auto found = m_pendingQueries.find(reply.number);
        if (found == m_pendingQueries.end())
            return std::nullopt;
        const PendingQuery pendingQuery = std::move(found->second);
        m_pendingQueries.erase(found);
        clearQueryPending(pendingQuery);
        if (!reply.isAnswered) {
            m_hosts.didFail(pendingQuery.host, now);
            return pendingQuery.host;
        }
        m_hosts.didAnswer(pendingQuery.host);
        const auto entry = m_steps.find(pendingQuery.query.step);
        if (entry == m_steps.end())
            return std::nullopt;
        StepAdvice& advice = entry->second;
        for (const WorkerNumber worker : pendingQuery.query.workers)
            advice.denied.insert(worker);
        const Duration validity = reply.validity > Duration::zero() ? reply.validity : pendingQuery.query.timing.validity;
        for (const AdviceTicket& ticket : reply.allowed) {
            const WorkerNumber worker = table.findWorker(ticket.worker);
            if (worker.isValid())
                advice.allow({ worker, now + validity, ticket.ticket });
        }
        const double fraction = static_cast<double>(reply.allowed.size()) / static_cast<double>(std::max<size_t>(1, pendingQuery.query.workers.size()));
        double& average = m_allowedFraction.try_emplace(pendingQuery.query.timing.decisionTime, initialFraction).first->second;
        average += (fraction - average) * sampleWeight;
        return std::nullopt;
    }

    /// Moving average of the fraction of queried workers that is allowed.
    double allowedFraction(const AdviceTiming& timing) const
    {
        const auto found = m_allowedFraction.find(timing.decisionTime);
        return std::max(minFraction, found == m_allowedFraction.end() ? initialFraction : found->second);
    }

    /// Calls `visit` with each query that has no reply yet.
    template <typename Visitor>
    void forEachPending(Visitor&& visit) const
    {
        for (const auto& [number, pendingQuery] : m_pendingQueries)
            visit(pendingQuery.query);
    }

    size_t pendingCount() const { return m_pendingQueries.size(); }
    size_t hostCount() const { return m_hosts.count(); }
    size_t avoidedHostCount(Time now) const { return m_hosts.avoidedCount(now); }

    /// Drops calls past their deadline. Returns their hosts.
    std::set<HostId> tick(Time now)
    {
        std::set<HostId> overdue;
        std::erase_if(m_pendingQueries, [&](const auto& entry) {
            if (entry.second.deadline > now)
                return false;
            m_hosts.didFail(entry.second.host, now);
            overdue.insert(entry.second.host);
            clearQueryPending(entry.second);
            return true;
        });
        return overdue;
    }

    Time nextDeadline() const
    {
        Time next = never;
        for (const auto& [number, pendingQuery] : m_pendingQueries)
            next = std::min(next, pendingQuery.deadline);
        return next;
    }

    /// Removes the advice on the steps of a job that has ended.
    void forget(JobKey job)
    {
        auto entry = m_steps.lower_bound(TaskRef { job, 0, 0, 0 });
        while (entry != m_steps.end() && entry->first.job == job)
            entry = m_steps.erase(entry);
    }

    void clear()
    {
        m_steps.clear();
        m_pendingQueries.clear();
        m_hosts.clear();
    }

private:
    static constexpr double initialFraction = 0.4;
    static constexpr double minFraction = 0.1;
    static constexpr double sampleWeight = 0.1;

    struct PendingQuery {
        HostId host;
        Query query;
        Time deadline {};
    };

    /// Number of hosts that long calls leave to short ones. While failures leave no more usable hosts than that,
    /// one long call is made at a time, since steps that need it would otherwise wait for the pauses.
    size_t hostsForShort(size_t usable) const
    {
        const size_t hosts = std::max(config::hostsForShortAdvice, usable / config::hostsPerShortAdvice);
        return usable && m_hosts.count() > config::hostsForShortAdvice ? std::min(hosts, usable - 1) : hosts;
    }

    void clearQueryPending(const PendingQuery& pendingQuery)
    {
        const auto entry = m_steps.find(pendingQuery.query.step);
        if (entry != m_steps.end())
            entry->second.isQueryPending = false;
    }

    Duration m_longThreshold = config::longAdviceThreshold;
    AdviceHosts m_hosts;
    std::map<TaskRef, StepAdvice> m_steps;
    std::map<uint64_t, PendingQuery> m_pendingQueries;
    std::map<Duration, double> m_allowedFraction; ///< By the decision time in the queue's advice timing.
    uint64_t m_nextNumber = 1;
};

} // namespace eelgrassloft
