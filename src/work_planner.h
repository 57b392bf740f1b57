#pragma once

#include "advice_book.h"
#include "fleet_desk.h"
#include "gang_hold.h"
#include "work_order.h"

#include <algorithm>
#include <unordered_map>

namespace eelgrassloft {

/// A placement that the planner proposes, with the ticket that its start needs.
struct PlannedRun {
    RunPlacement placement;
    std::string ticket;
};

struct WorkPlan {
    std::vector<PlannedRun> runs;
    std::vector<RunPlacement> preemptions; ///< Runs that make way for a gang.
    std::vector<AdviceClient::Query> queries;
    size_t waitingSteps = 0;
    Time nextDue = never; ///< When the next occurrence of a job is due.
};

/// Collects the steps that may start now.
class ReadySteps {
public:
    /// `inFlight` holds tasks whose placement was proposed and is not yet decided.
    ReadySteps(const WorkTable& table, const std::set<TaskRef>& inFlight, Time now);

    std::vector<ReadyStep>& steps() { return m_steps; }
    Time nextDue() const { return m_nextDue; }

private:
    void addJob(const WorkJob& job, const std::set<TaskRef>& inFlight, Time now);
    static bool areDependenciesDone(const OccurrenceRecord& occurrence, const StepSpec& step);

    std::vector<ReadyStep> m_steps;
    Time m_nextDue = never;
};

/// Longest chain of estimated work through all steps from `from` on.
Duration criticalPathLength(const WorkSpec& work, uint32_t from);

/// Time from hand-in within which a job should be done.
Duration objectiveOf(const WorkJob& job);

/// Decides which waiting tasks start where, and which questions go to the advice service.
template <QueuePolicy Policy>
class WorkPlanner {
public:
    explicit WorkPlanner(double remoteFactor)
        : m_remoteFactor(remoteFactor)
    {
    }

    WorkPlan plan(const WorkTable& table, const std::map<WorkerNumber, WorkerView>& workerViews, const AdviceClient& advice,
        const std::set<TaskRef>& inFlight, Time now)
    {
        WorkPlan plan;
        ReadySteps ready(table, inFlight, now);
        plan.nextDue = ready.nextDue();
        plan.waitingSteps = ready.steps().size();
        sort(ready.steps(), now);
        CapacityView freeCapacity(workerViews, now);
        freeCapacity.markReserved(m_reserved);
        m_previouslyReserved = std::exchange(m_reserved, {});
        m_reservedGangs.clear();
        for (const ReadyStep& step : ready.steps()) {
            if (plan.runs.size() >= config::maxPlacementsPerStep)
                break;
            place(plan, table, freeCapacity, advice, step, now);
        }
        return plan;
    }

private:
    using Worker = CapacityView::Worker;

    void sort(std::vector<ReadyStep>& steps, Time now) const
    {
        using Key = decltype(m_policy.key(steps.front(), now));
        std::vector<std::pair<Key, size_t>> keys;
        keys.reserve(steps.size());
        for (size_t i = 0; i < steps.size(); ++i)
            keys.push_back({ m_policy.key(steps[i], now), i });
        std::sort(keys.begin(), keys.end());
        std::vector<ReadyStep> sorted;
        sorted.reserve(steps.size());
        for (const auto& [key, i] : keys)
            sorted.push_back(std::move(steps[i]));
        steps = std::move(sorted);
    }

    /// The queue's pool and terms as they are now, or as they were when the queue still existed.
    static const QueueSpec& queueOf(const WorkTable& table, const ReadyStep& step)
    {
        const QueueSpec* current = table.config().queue(step.job->queue.name);
        return current ? *current : step.job->queue;
    }

    static bool isEligible(const Worker& worker, const QueueSpec& queue, const StepSpec& step)
    {
        const WorkerInfo& info = worker.link->info;
        return info.pool == queue.service && (step.label.empty() || info.hasLabel(step.label));
    }

    /// Workers that may run the step, whether or not their tickets are still valid.
    static std::vector<Worker*> allowedWorkers(CapacityView& freeCapacity, const QueueSpec& queue, const StepSpec& step, const StepAdvice* stepAdvice)
    {
        std::vector<Worker*> allowed;
        if (!queue.advice) {
            for (Worker& worker : freeCapacity.workers())
                allowed.push_back(&worker);
        } else if (stepAdvice) {
            for (const auto& [number, ticket] : stepAdvice->allowed) {
                if (Worker* worker = freeCapacity.find(number))
                    allowed.push_back(worker);
            }
        }
        std::erase_if(allowed, [&](const Worker* worker) { return !isEligible(*worker, queue, step); });
        return allowed;
    }

    void place(WorkPlan& plan, const WorkTable& table, CapacityView& freeCapacity, const AdviceClient& advice, const ReadyStep& step, Time now)
    {
        const StepSpec& spec = step.spec();
        const QueueSpec& queue = queueOf(table, step);
        if (!spec.isGang && !freeCapacity.hasCapacityFor(spec))
            return;
        const StepAdvice* stepAdvice = queue.advice ? advice.find(step.step) : nullptr;
        std::vector<Worker*> candidates = allowedWorkers(freeCapacity, queue, spec, stepAdvice);
        std::erase_if(candidates, [&](const Worker* worker) {
            return !CapacityView::fits(*worker, spec) || (stepAdvice && !stepAdvice->hasValidTicket(worker->link->number, now));
        });
        const size_t placedCount = spec.isGang ? placeGang(plan, freeCapacity, candidates, step, stepAdvice) : placeEach(plan, freeCapacity, candidates, step, stepAdvice);
        const size_t maxReserved = std::max(config::maxReservedGangs, freeCapacity.workers().size() / config::workersPerReservedGang);
        if (spec.isGang && !placedCount && m_reservedGangs[queue.priority] < maxReserved) {
            hold(plan, freeCapacity, queue, step, stepAdvice, now);
            return;
        }
        if (queue.advice && placedCount < step.waiting.size() && !(stepAdvice && stepAdvice->isQueryPending))
            query(plan, freeCapacity, advice, queue, step, stepAdvice, step.waiting.size() - placedCount, now);
    }

    /// Best fit: the worker on which the least is left in the dimension that is then scarcest.
    Worker* bestWorker(std::vector<Worker*>& candidates, const ReadyStep& step, std::unordered_map<uint32_t, uint32_t>& perWorker) const
    {
        const StepSpec& spec = step.spec();
        Worker* best = nullptr;
        double bestScore = 0;
        for (Worker* worker : candidates) {
            if (!CapacityView::fits(*worker, spec))
                continue;
            if (spec.maxPerWorker && perWorker[worker->link->number.value] >= spec.maxPerWorker)
                continue;
            const Resources left = worker->freeCapacity - spec.size;
            const Resources& capacity = worker->link->info.capacity;
            double score = remainingFraction(left.processorMillis, capacity.processorMillis) + remainingFraction(left.memoryMiB, capacity.memoryMiB);
            if (worker->isReserved)
                score += reservedPenalty;
            if (!spec.dataRack.empty() && !worker->link->info.hasLabel(spec.dataRack))
                score += m_remoteFactor;
            if (!best || score < bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best;
    }

    static double remainingFraction(uint32_t left, uint32_t capacity) { return capacity ? static_cast<double>(left) / capacity : 0; }

    /// Runs of the step that hold room on each worker, where their number is limited. Placements
    /// that are not yet durable and runs that are being stopped count too.
    static std::unordered_map<uint32_t, uint32_t> countPerWorker(const std::vector<Worker*>& candidates, const ReadyStep& step)
    {
        std::unordered_map<uint32_t, uint32_t> perWorker;
        if (!step.spec().maxPerWorker)
            return perWorker;
        for (const Worker* worker : candidates) {
            const auto& runs = worker->link->runs;
            for (auto run = runs.lower_bound({ step.step, 0 }); run != runs.end() && isSameStep(run->first.task, step.step); ++run)
                ++perWorker[worker->link->number.value];
        }
        return perWorker;
    }

    static bool isSameStep(const TaskRef& a, const TaskRef& b) { return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step; }

    size_t placeEach(WorkPlan& plan, CapacityView& freeCapacity, std::vector<Worker*>& candidates, const ReadyStep& step, const StepAdvice* stepAdvice)
    {
        auto perWorker = countPerWorker(candidates, step);
        size_t count = 0;
        for (const uint32_t index : step.waiting) {
            Worker* worker = bestWorker(candidates, step, perWorker);
            if (!worker)
                break;
            ++perWorker[worker->link->number.value];
            add(plan, freeCapacity, *worker, step, index, latestAttempt(step, index) + 1, stepAdvice);
            ++count;
        }
        return count;
    }

    size_t placeGang(WorkPlan& plan, CapacityView& freeCapacity, std::vector<Worker*>& candidates, const ReadyStep& step, const StepAdvice* stepAdvice)
    {
        if (step.waiting.size() != step.spec().count)
            return step.waiting.size(); // Members of an earlier attempt are still to end.
        auto perWorker = countPerWorker(candidates, step);
        std::vector<std::pair<Worker*, Resources>> before;
        std::vector<Worker*> chosen;
        for (size_t i = 0; i < step.waiting.size(); ++i) {
            Worker* worker = bestWorker(candidates, step, perWorker);
            if (!worker)
                break;
            before.push_back({ worker, worker->freeCapacity });
            freeCapacity.allocate(*worker, step.spec());
            ++perWorker[worker->link->number.value];
            chosen.push_back(worker);
        }
        for (auto undo = before.rbegin(); undo != before.rend(); ++undo)
            undo->first->freeCapacity = undo->second;
        if (chosen.size() < step.waiting.size())
            return 0;
        uint32_t attempt = 0;
        for (const uint32_t index : step.waiting)
            attempt = std::max(attempt, latestAttempt(step, index) + 1);
        for (size_t i = 0; i < chosen.size(); ++i)
            add(plan, freeCapacity, *chosen[i], step, step.waiting[i], attempt, stepAdvice);
        return chosen.size();
    }

    static uint32_t latestAttempt(const ReadyStep& step, uint32_t index)
    {
        return step.job->occurrences[step.step.occurrence].steps[step.step.step].tasks[index].attempt;
    }

    static void add(WorkPlan& plan, CapacityView& freeCapacity, Worker& worker, const ReadyStep& step, uint32_t index, uint32_t attempt, const StepAdvice* stepAdvice)
    {
        freeCapacity.allocate(worker, step.spec());
        TaskRef task = step.step;
        task.index = index;
        PlannedRun run { { { task, attempt }, worker.link->number }, {} };
        if (stepAdvice)
            run.ticket = stepAdvice->allowed.at(worker.link->number).text;
        plan.runs.push_back(std::move(run));
    }

    /// Names workers with the most room until those that are likely to be allowed hold the step.
    void query(WorkPlan& plan, CapacityView& freeCapacity, const AdviceClient& advice, const QueueSpec& queue, const ReadyStep& step,
        const StepAdvice* stepAdvice, size_t missing, Time now) const
    {
        if (!advice.canQuery(*queue.advice, 1, plan.queries.size()))
            return;
        AdviceClient::Query query { step.step, {}, *queue.advice, queue.priority };
        double expected = 0;
        for (const Worker* worker : freeCapacity.byFreeCapacity()) {
            const WorkerNumber number = worker->link->number;
            const bool isAnswered = stepAdvice && (stepAdvice->denied.count(number) || stepAdvice->hasValidTicket(number, now));
            if (isAnswered || !CapacityView::fits(*worker, step.spec()) || !isEligible(*worker, queue, step.spec()))
                continue;
            const bool isAllowed = stepAdvice && stepAdvice->allowed.count(worker->link->number);
            expected += static_cast<double>(GangReservation::taskCapacity(worker->freeCapacity, step.spec())) * (isAllowed ? 1 : advice.allowedFraction(*queue.advice));
            query.workers.push_back(number);
            if (query.workers.size() >= config::maxAdviceWorkers || expected >= static_cast<double>(missing) * queryMargin)
                break;
        }
        if (!query.workers.empty())
            plan.queries.push_back(std::move(query));
    }

    /// A gang that does not fit now: keeps its workers from what comes later in the order, stops
    /// what may make way once the tickets are there, and asks for those that are missing.
    void hold(WorkPlan& plan, CapacityView& freeCapacity, const QueueSpec& queue, const ReadyStep& step, const StepAdvice* stepAdvice, Time now)
    {
        const std::vector<Worker*> candidates = allowedWorkers(freeCapacity, queue, step.spec(), stepAdvice);
        std::set<WorkerNumber> ready;
        for (const Worker* worker : candidates) {
            const WorkerNumber number = worker->link->number;
            if (!queue.advice || stepAdvice->hasValidTicket(number, now + config::orderTimeout))
                ready.insert(number);
        }
        const bool canQuery = queue.advice && !(stepAdvice && stepAdvice->isQueryPending);
        const GangReservation held(candidates, step.spec(), step.job->queue.priority, m_previouslyReserved[step.step], ready);
        if (!held.isPossibleByPreemption() && canQuery && questionByCapacity(plan, freeCapacity, queue, step, stepAdvice))
            return;
        if (!held.isPossible())
            return;
        ++m_reservedGangs[queue.priority];
        AdviceClient::Query query { step.step, {}, queue.advice.value_or(AdviceTiming {}), queue.priority };
        for (const GangReservation::Allotment& allotment : held.allotments()) {
            m_reserved[step.step].insert(allotment.worker->link->number);
            if (!ready.count(allotment.worker->link->number))
                query.workers.push_back(allotment.worker->link->number);
            CapacityView::reserveTasks(*allotment.worker, step.spec(), allotment.tasks);
        }
        if (!held.isPossibleByPreemption())
            return;
        if (query.workers.empty())
            plan.preemptions.insert(plan.preemptions.end(), held.victims().begin(), held.victims().end());
        else if (canQuery)
            plan.queries.push_back(std::move(query));
    }

    /// Asks for workers that could hold tasks of the gang when empty, those with the most room
    /// first. The more are allowed, the sooner there is room for all members. False where nothing
    /// is left to ask.
    bool questionByCapacity(WorkPlan& plan, CapacityView& freeCapacity, const QueueSpec& queue, const ReadyStep& step, const StepAdvice* stepAdvice) const
    {
        AdviceClient::Query query { step.step, {}, *queue.advice, queue.priority };
        for (const Worker* worker : freeCapacity.byFreeCapacity()) {
            const WorkerNumber number = worker->link->number;
            const bool isKnown = stepAdvice && (stepAdvice->denied.count(number) || stepAdvice->allowed.count(number));
            if (isKnown || !isEligible(*worker, queue, step.spec()) || !GangReservation::taskCapacity(worker->link->info.capacity, step.spec()))
                continue;
            query.workers.push_back(number);
            if (query.workers.size() >= config::gangAdviceWorkers)
                break;
        }
        if (query.workers.empty())
            return false;
        plan.queries.push_back(std::move(query));
        return true;
    }

    static constexpr double queryMargin = 1.5; // more room is asked for than the step needs
    static constexpr double reservedPenalty = 10; // in shares of a worker that are left

    double m_remoteFactor;
    Policy m_policy;
    ReservedWorkers m_reserved; ///< By gang, in this plan.
    ReservedWorkers m_previouslyReserved; ///< In the plan before.
    std::map<uint32_t, size_t> m_reservedGangs; ///< Their number by priority.
};

} // namespace eelgrassloft
