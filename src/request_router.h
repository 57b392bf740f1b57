#pragma once

#include "idempotency_table.h"
#include "node_step.h"
#include "service_queue.h"
#include "upstream_set.h"

#include <map>
#include <set>

namespace eelgrassloft {

/// Admits requests, queues them by deadline, and dispatches attempts to upstreams within the
/// slots that this host holds. A dispatched request is retried only where it is repeatable or
/// the upstream cannot have started it.
template <RoutingPolicy Routing>
class RequestRouter {
public:
    RequestRouter(Routing routing, uint32_t hostsInDataCentre)
        : m_routing(std::move(routing))
        , m_upstreams(hostsInDataCentre)
    {
    }

    /// Reason why a request cannot be admitted now, or `RefusalReason::None`.
    RefusalReason admissionRefusal(Time now, const Request& request) const
    {
        if (request.deadline <= now)
            return RefusalReason::DeadlineExpired;
        if (!m_upstreams.hasService(request.service))
            return RefusalReason::UnknownService;
        if (!m_upstreams.hasAnnouncedUpstream(now, request.service))
            return RefusalReason::NoUpstream;
        const ServiceQueue* queue = find(request.service);
        if (!queue)
            return RefusalReason::None;
        if (queue->size() >= queue->maxQueued())
            return RefusalReason::QueueFull;
        const uint32_t slots = m_upstreams.slots(now, request.service);
        if (queue->size() && now + queue->expectedWait(request.deadline, slots) > request.deadline)
            return RefusalReason::DeadlineUnreachable;
        return RefusalReason::None;
    }

    /// Queues a request that `admissionRefusal` admitted, and dispatches it where a slot is free.
    void submit(NodeStep& step, const Request& request)
    {
        Pending& pending = m_pending[request.id];
        pending.request = request;
        pending.arrivedAt = step.now;
        m_deadlines.insert({ request.deadline, request.id });
        ServiceQueue& queue = m_queues[request.service];
        queue.addRetryTokens();
        queue.push({ request.deadline, request.id }, step.now);
        dispatchQueued(step, request.service);
    }

    void attemptAnswered(NodeStep& step, AttemptId id, const UpstreamResponse& response)
    {
        const std::optional<Attempt> attempt = takeAttempt(step, id);
        if (!attempt)
            return;
        const Duration latency = step.now - attempt->startedAt;
        m_upstreams.recordAnswer(attempt->upstream, latency);
        ServiceQueue& queue = m_queues[attempt->service];
        queue.recordServiceTime(latency);
        const auto found = m_pending.find(attempt->request);
        if (found == m_pending.end())
            step.counters.add(CounterKind::AnswersLate);
        else
            finish(step, found, { attempt->request, Outcome::Answered, {}, {}, response });
        dispatchQueued(step, attempt->service);
    }

    void attemptFailed(NodeStep& step, AttemptId id, AttemptFailure failure)
    {
        const std::optional<Attempt> attempt = takeAttempt(step, id);
        if (!attempt)
            return;
        ++step.counters.failures[failure];
        recordFailure(step, *attempt, failure);
        const auto found = m_pending.find(attempt->request);
        if (found != m_pending.end())
            retryOrFinish(step, found, failure);
        dispatchQueued(step, attempt->service);
    }

    /// Drops the request of a caller that closed its connection, unless an attempt is in flight.
    void callerGone(NodeStep& step, RequestId id)
    {
        const auto found = m_pending.find(id);
        if (found != m_pending.end() && !found->second.isInFlight)
            refuse(step, found, RefusalReason::CallerGone);
    }

    /// Ends the requests whose deadline has passed, and dispatches queued ones.
    void tick(NodeStep& step)
    {
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= step.now) {
            const auto found = m_pending.find(m_deadlines.begin()->second);
            if (found->second.isInFlight)
                finish(step, found, { found->first, Outcome::Unknown, {}, UnknownReason::DeadlineInFlight, {} });
            else
                refuse(step, found, RefusalReason::DeadlineExpired);
        }
        for (const auto& [service, queue] : m_queues) {
            if (queue.size())
                dispatchQueued(step, service);
        }
    }

    Time nextDeadline() const { return m_deadlines.empty() ? never : m_deadlines.begin()->first; }

    /// Dispatches queued requests of a service while slots are free.
    void dispatchQueued(NodeStep& step, const std::string& service)
    {
        while (dispatchNext(step, service)) { }
    }

    UpstreamSet& upstreams() { return m_upstreams; }
    const UpstreamSet& upstreams() const { return m_upstreams; }
    size_t pendingCount() const { return m_pending.size(); }
    size_t attemptCount() const { return m_attempts.size(); }

    std::vector<ShareDemand> demands() const
    {
        std::vector<ShareDemand> result;
        for (const auto& [service, queue] : m_queues)
            result.push_back({ service, static_cast<uint32_t>(queue.size()), queue.oldestArrival() });
        return result;
    }

    bool hasQueue() const
    {
        for (const auto& [service, queue] : m_queues) {
            if (queue.size())
                return true;
        }
        return false;
    }

    void setLimits(const ServiceLimits& limits) { m_queues[limits.name].setMaxQueued(limits.maxQueued); }

private:
    struct Pending {
        Request request;
        Time arrivedAt {};
        bool isInFlight = false;
        bool mayHaveStarted = false; ///< An earlier attempt failed in a way that leaves open whether the work started.
        std::vector<UpstreamId> triedUpstreams;
    };

    struct Attempt {
        RequestId request;
        UpstreamId upstream;
        std::string service;
        Time startedAt {};
    };

    using PendingMap = std::map<RequestId, Pending>;

    const ServiceQueue* find(const std::string& service) const
    {
        const auto found = m_queues.find(service);
        return found == m_queues.end() ? nullptr : &found->second;
    }

    /// Dispatches or refuses one queued request; false where none can be.
    bool dispatchNext(NodeStep& step, const std::string& service)
    {
        for (const QueueKey& key : m_queues[service].keys()) {
            const auto found = m_pending.find(key.request);
            const Pending& pending = found->second;
            const auto candidates = m_upstreams.candidates(step.now, service, pending.triedUpstreams);
            if (!candidates.empty()) {
                const RouteCandidate& choice = candidates[m_routing.choose(candidates, step.random)];
                dispatch(step, found->second, choice.upstream);
                return true;
            }
            if (pending.triedUpstreams.empty())
                return false; // No upstream of the service has a free slot.
            if (!m_upstreams.hasAlternative(step.now, service, pending.triedUpstreams)) {
                refuse(step, found, RefusalReason::UpstreamRefused);
                return true;
            }
        }
        return false;
    }

    void dispatch(NodeStep& step, Pending& pending, UpstreamId upstream)
    {
        requireInvariant(!pending.isInFlight, "a request has at most one attempt at a time");
        requireInvariant(pending.request.isRepeatable || step.now < pending.request.deadline, "no attempt starts after the claim's deadline");
        m_queues[pending.request.service].remove({ pending.request.deadline, pending.request.id });
        pending.isInFlight = true;
        pending.triedUpstreams.push_back(upstream);
        const AttemptId id { m_nextAttempt++ };
        m_attempts[id] = { pending.request.id, upstream, pending.request.service, step.now };
        m_upstreams.attemptStarted(upstream);
        step.counters.add(CounterKind::AttemptsStarted);
        const UpstreamAnnouncement& target = m_upstreams.at(upstream).announcement;
        step.emit(DispatchAttempt { id, pending.request.id, upstream, target.address, target.port, pending.request.deadline,
            !pending.request.isRepeatable });
    }

    std::optional<Attempt> takeAttempt(NodeStep& step, AttemptId id)
    {
        const auto found = m_attempts.find(id);
        if (found == m_attempts.end()) {
            step.counters.add(CounterKind::AnswersLate);
            return std::nullopt;
        }
        Attempt attempt = std::move(found->second);
        m_attempts.erase(found);
        if (m_upstreams.attemptEnded(attempt.upstream))
            step.hasReturnedShares = true;
        return attempt;
    }

    void recordFailure(NodeStep& step, const Attempt& attempt, AttemptFailure failure)
    {
        if (failure == AttemptFailure::RefusedByUpstream) {
            m_upstreams.recordRefusal(step.now, attempt.upstream);
            return;
        }
        if (!m_upstreams.recordFailure(step.now, attempt.upstream))
            return;
        step.counters.add(CounterKind::OutliersEjected);
        step.log(LogEventKind::UpstreamEjected, { { "upstream", m_upstreams.at(attempt.upstream).announcement.name }, { "reason", std::string(name(failure)) } });
    }

    void retryOrFinish(NodeStep& step, typename PendingMap::iterator found, AttemptFailure failure)
    {
        Pending& pending = found->second;
        pending.isInFlight = false;
        pending.mayHaveStarted = pending.mayHaveStarted || !isKnownNotStarted(failure);
        ServiceQueue& queue = m_queues[pending.request.service];
        const bool isOutOfAttempts = pending.triedUpstreams.size() >= config::maxAttemptsPerRequest;
        const bool mayRetry = pending.request.isRepeatable || !pending.mayHaveStarted;
        if (mayRetry && !isOutOfAttempts && queue.spendRetryTokens()) {
            ++step.counters.retries[failure];
            queue.push({ pending.request.deadline, found->first }, pending.arrivedAt);
            return;
        }
        refuse(step, found, isOutOfAttempts ? RefusalReason::AttemptLimit : RefusalReason::RetryBudget);
    }

    /// Ends a request without a response: as not run, or as unknown where an attempt may have
    /// started the work.
    void refuse(NodeStep& step, typename PendingMap::iterator found, RefusalReason reason)
    {
        if (found->second.mayHaveStarted)
            finish(step, found, { found->first, Outcome::Unknown, {}, UnknownReason::AnswerLost, {} });
        else
            finish(step, found, { found->first, Outcome::NotRun, reason, {}, {} });
    }

    void finish(NodeStep& step, typename PendingMap::iterator found, EndedRequest ended)
    {
        const Pending& pending = found->second;
        m_deadlines.erase({ pending.request.deadline, found->first });
        m_queues[pending.request.service].remove({ pending.request.deadline, found->first });
        m_pending.erase(found);
        step.ended.push_back(std::move(ended));
    }

    Routing m_routing;
    UpstreamSet m_upstreams;
    std::map<std::string, ServiceQueue> m_queues;
    PendingMap m_pending;
    std::map<AttemptId, Attempt> m_attempts;
    std::set<std::pair<Time, RequestId>> m_deadlines;
    uint64_t m_nextAttempt = 1;
};

} // namespace eelgrassloft
