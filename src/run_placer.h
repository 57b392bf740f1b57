#pragma once

#include "work_plan.h"
#include "worker_eligibility.h"
#include "worker_preference.h"

#include <unordered_map>

namespace eelgrassloft {

/// Chooses workers for the tasks of one step among those that have room for them.
template <WorkerPreference Preference>
class RunPlacer {
public:
    using Worker = CapacityView::Worker;

    explicit RunPlacer(double remoteFactor)
        : m_remoteFactor(remoteFactor)
    {
    }

    /// Places up to `limit` of the step's waiting tasks, or all of them if they are a gang. Returns the number
    /// of tasks that need no further worker in this plan.
    size_t placeAll(WorkPlan& plan, CapacityView& capacityView, std::vector<Worker*>& candidates, const ReadyStep& step, const StepAdvice* stepAdvice, uint32_t limit, Time now) const
    {
        const double slack = m_preference.slack(step, now);
        return step.spec().isGang ? placeGang(plan, capacityView, candidates, step, stepAdvice, slack) : placeEach(plan, capacityView, candidates, step, stepAdvice, limit, slack);
    }

    const Preference& preference() const { return m_preference; }

private:
    /// Best fit: the worker with the lowest sum of the fractions of processors and memory that would
    /// be left, plus penalties for workers reserved for a gang and for a rack without the input data, and the
    /// cost by the preference.
    Worker* bestWorker(std::vector<Worker*>& candidates, const ReadyStep& step, std::unordered_map<uint32_t, uint32_t>& perWorker, double slack) const
    {
        const StepSpec& spec = step.spec();
        Worker* best = nullptr;
        double bestScore = 0;
        for (Worker* worker : candidates) {
            if (!CapacityView::fits(*worker, spec))
                continue;
            if (spec.maxPerWorker && perWorker[worker->view->number.value] >= spec.maxPerWorker)
                continue;
            const Resources left = worker->freeCapacity + worker->withheld - spec.size;
            const Resources& capacity = worker->view->info.capacity;
            double score = remainingFraction(left.processorMillis, capacity.processorMillis) + remainingFraction(left.memoryMiB, capacity.memoryMiB);
            score += m_preference.cost(*worker, slack);
            if (worker->isReserved)
                score += reservedPenalty;
            if (!spec.dataRack.empty() && !worker->view->info.hasLabel(spec.dataRack))
                score += m_remoteFactor;
            if (!best || score < bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best;
    }

    static double remainingFraction(uint32_t left, uint32_t capacity) { return capacity ? static_cast<double>(left) / capacity : 0; }

    /// Number of the step's runs on each worker, if the step limits it. Placements that are not yet
    /// durable and runs that are being stopped count too.
    static std::unordered_map<uint32_t, uint32_t> countPerWorker(const std::vector<Worker*>& candidates, const ReadyStep& step)
    {
        std::unordered_map<uint32_t, uint32_t> perWorker;
        if (!step.spec().maxPerWorker)
            return perWorker;
        for (const Worker* worker : candidates) {
            const auto& runs = worker->view->runs;
            for (auto run = runs.lower_bound({ step.step, 0 }); run != runs.end() && isSameStep(run->first.task, step.step); ++run)
                ++perWorker[worker->view->number.value];
        }
        return perWorker;
    }

    size_t placeEach(WorkPlan& plan, CapacityView& capacityView, std::vector<Worker*>& candidates, const ReadyStep& step, const StepAdvice* stepAdvice, uint32_t limit, double slack) const
    {
        auto perWorker = countPerWorker(candidates, step);
        size_t count = 0;
        for (const uint32_t index : step.waiting) {
            Worker* worker = count < limit ? bestWorker(candidates, step, perWorker, slack) : nullptr;
            if (!worker)
                break;
            ++perWorker[worker->view->number.value];
            addRun(plan, capacityView, *worker, step, index, latestAttempt(step, index) + 1, stepAdvice);
            ++count;
        }
        return count;
    }

    size_t placeGang(WorkPlan& plan, CapacityView& capacityView, std::vector<Worker*>& candidates, const ReadyStep& step, const StepAdvice* stepAdvice, double slack) const
    {
        if (step.waiting.size() != step.spec().count)
            return step.waiting.size(); // Members of an earlier attempt have not ended yet.
        auto perWorker = countPerWorker(candidates, step);
        struct Allocation {
            Worker* worker = nullptr;
            Resources freeBefore;
            bool mightExceedAllowance = false;
        };
        std::vector<Allocation> allocations;
        std::vector<Worker*> chosen;
        for (size_t i = 0; i < step.waiting.size(); ++i) {
            Worker* worker = bestWorker(candidates, step, perWorker, slack);
            if (!worker)
                break;
            allocations.push_back({ worker, worker->freeCapacity, worker->mayExceedAllowance });
            capacityView.allocate(*worker, step.spec());
            ++perWorker[worker->view->number.value];
            chosen.push_back(worker);
        }
        for (auto undo = allocations.rbegin(); undo != allocations.rend(); ++undo) {
            undo->worker->freeCapacity = undo->freeBefore;
            undo->worker->mayExceedAllowance = undo->mightExceedAllowance;
        }
        if (chosen.size() < step.waiting.size())
            return 0;
        uint32_t attempt = 0;
        for (const uint32_t index : step.waiting)
            attempt = std::max(attempt, latestAttempt(step, index) + 1);
        for (size_t i = 0; i < chosen.size(); ++i)
            addRun(plan, capacityView, *chosen[i], step, step.waiting[i], attempt, stepAdvice);
        return chosen.size();
    }

    static uint32_t latestAttempt(const ReadyStep& step, uint32_t index)
    {
        return step.job->occurrences[step.step.occurrence].steps[step.step.step].tasks[index].attempt;
    }

    static void addRun(WorkPlan& plan, CapacityView& capacityView, Worker& worker, const ReadyStep& step, uint32_t index, uint32_t attempt, const StepAdvice* stepAdvice)
    {
        capacityView.allocate(worker, step.spec());
        TaskRef task = step.step;
        task.index = index;
        PlannedRun run { { { task, attempt }, worker.view->number }, {} };
        if (stepAdvice)
            run.ticket = stepAdvice->ticketFor(worker.view->number)->text;
        plan.runs.push_back(std::move(run));
    }

    static constexpr double reservedPenalty = 10; // in remaining fractions of a worker

    double m_remoteFactor;
    Preference m_preference;
};

} // namespace eelgrassloft
