#pragma once

#include "advice_client.h"
#include "capacity_view.h"
#include "ready_steps.h"

namespace eelgrassloft {

/// Whether the worker may run the step by its pool and labels.
inline bool isEligible(const CapacityView::Worker& worker, const QueueSpec& queue, const StepSpec& step)
{
    const WorkerInfo& info = worker.view->info;
    return info.pool == queue.service && (step.label.empty() || info.hasLabel(step.label));
}

/// Workers that may run the step by pool, label and advice, and for which `isWanted` holds. It gets
/// the worker's ticket, which may have expired; null where the queue needs none. It is asked before
/// the labels, as it rules out most workers of a full fleet.
template <typename Predicate>
std::vector<CapacityView::Worker*> allowedWorkers(CapacityView& capacityView, const QueueSpec& queue, const StepSpec& step, const StepAdvice* stepAdvice, Predicate isWanted)
{
    std::vector<CapacityView::Worker*> allowed;
    const auto add = [&](CapacityView::Worker& worker, const StepAdvice::Ticket* ticket) {
        if (isWanted(worker, ticket) && isEligible(worker, queue, step))
            allowed.push_back(&worker);
    };
    if (!queue.advice) {
        for (CapacityView::Worker& worker : capacityView.workers())
            add(worker, nullptr);
    } else if (stepAdvice) {
        for (const StepAdvice::Ticket& ticket : stepAdvice->tickets) {
            if (CapacityView::Worker* worker = capacityView.find(ticket.worker))
                add(*worker, &ticket);
        }
    }
    return allowed;
}

/// Workers that may run the step and have capacity for a task of it now.
inline std::vector<CapacityView::Worker*> fittingWorkers(CapacityView& capacityView, const QueueSpec& queue, const ReadyStep& step, const StepAdvice* stepAdvice, Time now)
{
    return allowedWorkers(capacityView, queue, step.spec(), stepAdvice, [&](const CapacityView::Worker& worker, const StepAdvice::Ticket* ticket) {
        return CapacityView::fits(worker, step.spec()) && (!ticket || ticket->isValid(now));
    });
}

} // namespace eelgrassloft
