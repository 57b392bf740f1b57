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
    std::vector<RunPlacement> stops; ///< Runs that make way for a gang.
    std::vector<AdviceBook::Question> questions;
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
    static bool depsDone(const OccurrenceRecord& occurrence, const StepSpec& step);

    std::vector<ReadyStep> m_steps;
    Time m_nextDue = never;
};

/// Longest chain of estimated work through all steps from `from` on.
Duration longestChain(const WorkSpec& work, uint32_t from);

/// Time from hand-in within which a job should be done.
Duration objectiveOf(const WorkJob& job);

/// Decides which waiting tasks start where, and which questions go to the advice service.
template <QueueOrder Order>
class WorkPlanner {
public:
    explicit WorkPlanner(double remoteFactor)
        : m_remoteFactor(remoteFactor)
    {
    }

    WorkPlan plan(const WorkTable& table, const std::map<WorkerNumber, WorkerLink>& links, const AdviceBook& advice,
        const std::set<TaskRef>& inFlight, Time now)
    {
        WorkPlan plan;
        ReadySteps ready(table, inFlight, now);
        plan.nextDue = ready.nextDue();
        plan.waitingSteps = ready.steps().size();
        sort(ready.steps(), now);
        RoomView room(links, now);
        room.markHeld(m_held);
        m_before = std::exchange(m_held, {});
        m_heldGangs.clear();
        for (const ReadyStep& step : ready.steps()) {
            if (plan.runs.size() >= config::maxPlacementsPerStep)
                break;
            place(plan, table, room, advice, step, now);
        }
        return plan;
    }

private:
    using Worker = RoomView::Worker;

    void sort(std::vector<ReadyStep>& steps, Time now) const
    {
        using Key = decltype(m_order.key(steps.front(), now));
        std::vector<std::pair<Key, size_t>> keys;
        keys.reserve(steps.size());
        for (size_t i = 0; i < steps.size(); ++i)
            keys.push_back({ m_order.key(steps[i], now), i });
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
    static std::vector<Worker*> allowedWorkers(RoomView& room, const QueueSpec& queue, const StepSpec& step, const StepAdvice* known)
    {
        std::vector<Worker*> allowed;
        if (!queue.advice) {
            for (Worker& worker : room.workers())
                allowed.push_back(&worker);
        } else if (known) {
            for (const auto& [number, ticket] : known->allowed) {
                if (Worker* worker = room.find(number))
                    allowed.push_back(worker);
            }
        }
        std::erase_if(allowed, [&](const Worker* worker) { return !isEligible(*worker, queue, step); });
        return allowed;
    }

    void place(WorkPlan& plan, const WorkTable& table, RoomView& room, const AdviceBook& advice, const ReadyStep& step, Time now)
    {
        const StepSpec& spec = step.spec();
        const QueueSpec& queue = queueOf(table, step);
        if (!spec.isGang && !room.hasRoomFor(spec))
            return;
        const StepAdvice* known = queue.advice ? advice.find(step.step) : nullptr;
        std::vector<Worker*> candidates = allowedWorkers(room, queue, spec, known);
        std::erase_if(candidates, [&](const Worker* worker) {
            return !RoomView::fits(*worker, spec) || (known && !known->mayRun(worker->link->number, now));
        });
        const size_t placedCount = spec.isGang ? placeGang(plan, room, candidates, step, known) : placeEach(plan, room, candidates, step, known);
        const size_t maxHeld = std::max(config::maxReservedGangs, room.workers().size() / config::workersPerReservedGang);
        if (spec.isGang && !placedCount && m_heldGangs[queue.priority] < maxHeld) {
            hold(plan, room, queue, step, known, now);
            return;
        }
        if (queue.advice && placedCount < step.waiting.size() && !(known && known->isAsking))
            question(plan, room, advice, queue, step, known, step.waiting.size() - placedCount, now);
    }

    /// Best fit: the worker on which the least is left in the dimension that is then scarcest.
    Worker* bestWorker(std::vector<Worker*>& candidates, const ReadyStep& step, std::unordered_map<uint32_t, uint32_t>& perWorker) const
    {
        const StepSpec& spec = step.spec();
        Worker* best = nullptr;
        double bestScore = 0;
        for (Worker* worker : candidates) {
            if (!RoomView::fits(*worker, spec))
                continue;
            if (spec.maxPerWorker && perWorker[worker->link->number.value] >= spec.maxPerWorker)
                continue;
            const Resources left = worker->room - spec.size;
            const Resources& capacity = worker->link->info.capacity;
            double score = leftShare(left.processorMillis, capacity.processorMillis) + leftShare(left.memoryMiB, capacity.memoryMiB);
            if (worker->isHeld)
                score += heldPenalty;
            if (!spec.dataRack.empty() && !worker->link->info.hasLabel(spec.dataRack))
                score += m_remoteFactor;
            if (!best || score < bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best;
    }

    static double leftShare(uint32_t left, uint32_t capacity) { return capacity ? static_cast<double>(left) / capacity : 0; }

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

    size_t placeEach(WorkPlan& plan, RoomView& room, std::vector<Worker*>& candidates, const ReadyStep& step, const StepAdvice* known)
    {
        auto perWorker = countPerWorker(candidates, step);
        size_t count = 0;
        for (const uint32_t index : step.waiting) {
            Worker* worker = bestWorker(candidates, step, perWorker);
            if (!worker)
                break;
            ++perWorker[worker->link->number.value];
            add(plan, room, *worker, step, index, attemptOf(step, index) + 1, known);
            ++count;
        }
        return count;
    }

    size_t placeGang(WorkPlan& plan, RoomView& room, std::vector<Worker*>& candidates, const ReadyStep& step, const StepAdvice* known)
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
            before.push_back({ worker, worker->room });
            room.take(*worker, step.spec());
            ++perWorker[worker->link->number.value];
            chosen.push_back(worker);
        }
        for (auto undo = before.rbegin(); undo != before.rend(); ++undo)
            undo->first->room = undo->second;
        if (chosen.size() < step.waiting.size())
            return 0;
        uint32_t attempt = 0;
        for (const uint32_t index : step.waiting)
            attempt = std::max(attempt, attemptOf(step, index) + 1);
        for (size_t i = 0; i < chosen.size(); ++i)
            add(plan, room, *chosen[i], step, step.waiting[i], attempt, known);
        return chosen.size();
    }

    static uint32_t attemptOf(const ReadyStep& step, uint32_t index)
    {
        return step.job->occurrences[step.step.occurrence].steps[step.step.step].tasks[index].attempt;
    }

    static void add(WorkPlan& plan, RoomView& room, Worker& worker, const ReadyStep& step, uint32_t index, uint32_t attempt, const StepAdvice* known)
    {
        room.take(worker, step.spec());
        TaskRef task = step.step;
        task.index = index;
        PlannedRun run { { { task, attempt }, worker.link->number }, {} };
        if (known)
            run.ticket = known->allowed.at(worker.link->number).text;
        plan.runs.push_back(std::move(run));
    }

    /// Names workers with the most room until those that are likely to be allowed hold the step.
    void question(WorkPlan& plan, RoomView& room, const AdviceBook& advice, const QueueSpec& queue, const ReadyStep& step,
        const StepAdvice* known, size_t missing, Time now) const
    {
        if (!advice.mayAsk(*queue.advice, 1, plan.questions.size()))
            return;
        AdviceBook::Question question { step.step, {}, *queue.advice, queue.priority };
        double expected = 0;
        for (const Worker* worker : room.byRoom()) {
            const WorkerNumber number = worker->link->number;
            const bool isAnswered = known && (known->denied.count(number) || known->mayRun(number, now));
            if (isAnswered || !RoomView::fits(*worker, step.spec()) || !isEligible(*worker, queue, step.spec()))
                continue;
            const bool isAllowed = known && known->allowed.count(worker->link->number);
            expected += static_cast<double>(GangHold::holdCount(worker->room, step.spec())) * (isAllowed ? 1 : advice.allowedShare(*queue.advice));
            question.workers.push_back(number);
            if (question.workers.size() >= config::maxAdviceWorkers || expected >= static_cast<double>(missing) * askMargin)
                break;
        }
        if (!question.workers.empty())
            plan.questions.push_back(std::move(question));
    }

    /// A gang that does not fit now: keeps its workers from what comes later in the order, stops
    /// what may make way once the tickets are there, and asks for those that are missing.
    void hold(WorkPlan& plan, RoomView& room, const QueueSpec& queue, const ReadyStep& step, const StepAdvice* known, Time now)
    {
        const std::vector<Worker*> candidates = allowedWorkers(room, queue, step.spec(), known);
        std::set<WorkerNumber> ready;
        for (const Worker* worker : candidates) {
            const WorkerNumber number = worker->link->number;
            if (!queue.advice || known->mayRun(number, now + config::orderTimeout))
                ready.insert(number);
        }
        const bool mayAsk = queue.advice && !(known && known->isAsking);
        const GangHold held(candidates, step.spec(), step.job->queue.priority, m_before[step.step], ready);
        if (!held.isPossibleByStops() && mayAsk && questionByCapacity(plan, room, queue, step, known))
            return;
        if (!held.isPossible())
            return;
        ++m_heldGangs[queue.priority];
        AdviceBook::Question question { step.step, {}, queue.advice.value_or(AdviceTiming {}), queue.priority };
        for (const GangHold::Share& share : held.shares()) {
            m_held[step.step].insert(share.worker->link->number);
            if (!ready.count(share.worker->link->number))
                question.workers.push_back(share.worker->link->number);
            RoomView::keep(*share.worker, step.spec(), share.tasks);
        }
        if (!held.isPossibleByStops())
            return;
        if (question.workers.empty())
            plan.stops.insert(plan.stops.end(), held.victims().begin(), held.victims().end());
        else if (mayAsk)
            plan.questions.push_back(std::move(question));
    }

    /// Asks for workers that could hold tasks of the gang when empty, those with the most room
    /// first. The more are allowed, the sooner there is room for all members. False where nothing
    /// is left to ask.
    bool questionByCapacity(WorkPlan& plan, RoomView& room, const QueueSpec& queue, const ReadyStep& step, const StepAdvice* known) const
    {
        AdviceBook::Question question { step.step, {}, *queue.advice, queue.priority };
        for (const Worker* worker : room.byRoom()) {
            const WorkerNumber number = worker->link->number;
            const bool isKnown = known && (known->denied.count(number) || known->allowed.count(number));
            if (isKnown || !isEligible(*worker, queue, step.spec()) || !GangHold::holdCount(worker->link->info.capacity, step.spec()))
                continue;
            question.workers.push_back(number);
            if (question.workers.size() >= config::gangAdviceWorkers)
                break;
        }
        if (question.workers.empty())
            return false;
        plan.questions.push_back(std::move(question));
        return true;
    }

    static constexpr double askMargin = 1.5; // more room is asked for than the step needs
    static constexpr double heldPenalty = 10; // in shares of a worker that are left

    double m_remoteFactor;
    Order m_order;
    HeldWorkers m_held; ///< By gang, in this plan.
    HeldWorkers m_before; ///< In the plan before.
    std::map<uint32_t, size_t> m_heldGangs; ///< Their number by priority.
};

} // namespace eelgrassloft
