#pragma once

#include "gang_advice.h"
#include "gang_reservation.h"
#include "work_plan.h"
#include "worker_eligibility.h"

#include <algorithm>

namespace eelgrassloft {

/// Chooses the queries to the advice service during one plan: which workers to name for a step, so that
/// the tickets suffice and earlier queries are not made for the same capacity again.
template <GangAdvicePolicy GangAdvice>
class AdvicePlanner {
public:
    using Worker = CapacityView::Worker;

    /// Begins a plan with the queries that are under way.
    void begin(const AdviceClient& advice)
    {
        m_pendingQueries.clear();
        advice.forEachPending([&](const AdviceClient::Query& query) {
            if (!query.expectedUse.empty())
                m_pendingQueries.push_back(&query);
        });
        std::stable_sort(m_pendingQueries.begin(), m_pendingQueries.end(), [](const auto* a, const auto* b) { return a->priority > b->priority; });
        m_shortClaims.clear();
        m_heldClaims = 0;
        for (auto query = m_pendingQueries.rbegin(); query != m_pendingQueries.rend(); ++query)
            addShortClaim(advice, **query);
    }

    size_t maxGangWorkers() const { return m_gangAdvice.maxWorkersPerRequest(); }

    /// Keeps free for more urgent steps what they are about to use once their short queries are answered.
    /// Otherwise tasks that hold tickets already would take it in the meantime.
    void holdForUrgent(CapacityView& capacityView, uint32_t priority)
    {
        if (m_heldClaims == m_shortClaims.size())
            return;
        markPendingQueries(capacityView, priority);
        for (; m_heldClaims < m_shortClaims.size() && m_shortClaims[m_heldClaims].priority < priority; ++m_heldClaims) {
            for (const auto& [number, use] : m_shortClaims[m_heldClaims].expectedUse) {
                if (Worker* worker = capacityView.find(number))
                    CapacityView::hold(*worker, use);
            }
        }
    }

    /// Queries workers in the order of decreasing free capacity, as many as are expected to yield
    /// enough allowed ones for the `missing` tasks. Leaves out capacity that earlier queries asked for:
    /// steps that all held tickets for the same workers would not fit there together.
    void planQuery(WorkPlan& plan, CapacityView& capacityView, const AdviceClient& advice, const QueueSpec& queue, const ReadyStep& step,
        const StepAdvice* stepAdvice, size_t missing, Time now)
    {
        const size_t cheapCount = AdviceClient::cheapWorkers(*queue.advice);
        if (!advice.canQuery(now, *queue.advice, cheapCount, plan.queries.size()))
            return;
        markPendingQueries(capacityView, queue.priority);
        const auto isAnswered = [&](WorkerNumber number) { return stepAdvice && (stepAdvice->denied.count(number) || stepAdvice->hasValidTicket(number, now)); };
        AdviceClient::Query query { step.step, {}, *queue.advice, queue.priority };
        double expected = 0;
        std::vector<const Worker*> busy; // Without capacity for a task now.
        for (Worker* worker : capacityView.byFreeCapacity()) {
            const uint32_t tasks = GangReservation::taskCapacity(CapacityView::unaskedCapacity(*worker), step.spec());
            if (!tasks) {
                busy.push_back(worker);
                continue;
            }
            const WorkerNumber number = worker->view->number;
            if (isAnswered(number) || !isEligible(*worker, queue, step.spec()))
                continue;
            const bool isAllowed = stepAdvice && stepAdvice->ticketFor(number);
            const double fraction = isAllowed ? 1 : advice.allowedFraction(*queue.advice);
            expected += tasks * fraction;
            query.expectedUse[number] = CapacityView::ask(*worker, step.spec(), std::min<double>(tasks, static_cast<double>(missing)) * fraction);
            query.workers.push_back(number);
            if (query.workers.size() >= config::maxAdviceWorkers || expected >= static_cast<double>(missing) * queryMargin)
                break;
        }
        if (query.workers.empty())
            return;
        // Capacity that becomes free on these while the tickets are valid needs no further query.
        for (const Worker* worker : busy) {
            if (query.workers.size() >= cheapCount)
                break;
            if (!isAnswered(worker->view->number) && isEligible(*worker, queue, step.spec()))
                query.workers.push_back(worker->view->number);
        }
        addShortClaim(advice, query);
        plan.queries.push_back(std::move(query));
    }

    /// Queries workers of which the gang does not know yet whether they are allowed, in the order of
    /// decreasing free capacity, until the allowed ones are expected to suffice. Returns false if they do
    /// already, or if no worker is left to query. The query waits for a later plan while no host is free for it.
    bool planDiscovery(WorkPlan& plan, CapacityView& capacityView, const AdviceClient& advice, const QueueSpec& queue, const ReadyStep& step,
        const StepAdvice* stepAdvice, bool hasFreeHost)
    {
        const StepSpec& spec = step.spec();
        markPendingQueries(capacityView, queue.priority);
        double expected = 0;
        if (stepAdvice) {
            for (const StepAdvice::Ticket& ticket : stepAdvice->tickets) {
                if (const Worker* worker = capacityView.find(ticket.worker))
                    expected += m_gangAdvice.expectedTasks(gangCapacity(*worker, spec));
            }
        }
        const double fraction = advice.allowedFraction(*queue.advice);
        AdviceClient::Query query { step.step, {}, *queue.advice, queue.priority };
        for (Worker* worker : capacityView.byFreeCapacity()) {
            if (m_gangAdvice.isSufficient(expected, spec.count) || query.workers.size() >= m_gangAdvice.maxWorkersPerRequest())
                break;
            const WorkerNumber number = worker->view->number;
            const bool isKnown = stepAdvice && (stepAdvice->denied.count(number) || stepAdvice->ticketFor(number));
            const GangCapacity capacity = gangCapacity(*worker, spec);
            if (isKnown || !isEligible(*worker, queue, spec) || !capacity.empty)
                continue;
            if (!hasFreeHost)
                return true;
            expected += m_gangAdvice.expectedTasks(capacity) * fraction;
            query.expectedUse[number] = CapacityView::ask(*worker, spec, std::min(capacity.now, spec.count) * fraction);
            query.workers.push_back(number);
        }
        if (query.workers.empty())
            return false;
        plan.queries.push_back(std::move(query));
        return true;
    }

    /// Queries the workers reserved for a gang whose tickets expire before it starts there, if the replies
    /// would come when it is about to fit. Returns whether such tickets are missing.
    bool planRenewal(WorkPlan& plan, const QueueSpec& queue, const ReadyStep& step, const GangReservation& reservation, bool canQuery, Time now) const
    {
        AdviceClient::Query query { step.step, {}, *queue.advice, queue.priority };
        const Duration duration = AdviceClient::durationOf(*queue.advice, reservation.allotments().size() + reservation.spares().size());
        const Time start = reservation.startsAt() + (reservation.victims().empty() ? Duration {} : config::preemptionTime);
        const Time end = std::max(start, now + duration) + config::gangStartTolerance;
        bool isMissing = false;
        bool expiresSoon = false;
        for (const GangReservation::Allotment& allotment : reservation.allotments()) {
            const Time usableUntil = allotment.candidate->usableUntil();
            isMissing = isMissing || usableUntil < start + config::gangStartMargin;
            expiresSoon = expiresSoon || usableUntil < start + config::gangStartTolerance;
            if (usableUntil < end)
                query.workers.push_back(allotment.worker().view->number);
        }
        for (const GangCandidate* spare : reservation.spares()) {
            if (spare->usableUntil() < end && query.workers.size() < config::maxAdviceWorkers)
                query.workers.push_back(spare->worker().view->number);
        }
        if (expiresSoon && canQuery && reservation.startsAt() <= now + duration + config::gangStartMargin)
            plan.queries.push_back(std::move(query));
        return isMissing;
    }

private:
    /// Free capacity that a step is expected to use once its short query is answered.
    struct ShortClaim {
        uint32_t priority = 0;
        std::map<WorkerNumber, Resources> expectedUse;
    };

    void addShortClaim(const AdviceClient& advice, const AdviceClient::Query& query)
    {
        if (!advice.isLong(query.timing, query.workers.size()))
            m_shortClaims.push_back({ query.priority, query.expectedUse });
    }

    /// Marks what the queries under way of this priority or a more urgent one are expected to use, so that
    /// the next ones ask for other capacity.
    void markPendingQueries(CapacityView& capacityView, uint32_t priority)
    {
        while (!m_pendingQueries.empty() && m_pendingQueries.back()->priority <= priority) {
            for (const auto& [number, use] : m_pendingQueries.back()->expectedUse) {
                if (Worker* worker = capacityView.find(number))
                    worker->asked += use;
            }
            m_pendingQueries.pop_back();
        }
    }

    GangCapacity gangCapacity(const Worker& worker, const StepSpec& step) const
    {
        return { GangReservation::taskCapacity(CapacityView::unaskedCapacity(worker), step), GangReservation::taskCapacity(worker.view->info.capacity, step) };
    }

    static constexpr double queryMargin = 1.5; // expected allowed tasks per missing task

    GangAdvice m_gangAdvice;
    std::vector<const AdviceClient::Query*> m_pendingQueries; ///< Of the current plan, that it has not marked yet; the most urgent last.
    std::vector<ShortClaim> m_shortClaims; ///< Of short queries under way and of those that the current plan has made.
    size_t m_heldClaims = 0; ///< The first of these are held from less urgent steps.
};

} // namespace eelgrassloft
