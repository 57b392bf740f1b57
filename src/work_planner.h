#pragma once

#include "advice_client.h"
#include "crash_isolation.h"
#include "gang_reservation.h"
#include "ready_steps.h"
#include "worker_dispatcher.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace eelgrassloft {

/// A proposed placement and the ticket that its start order carries.
struct PlannedRun {
    RunPlacement placement;
    std::string ticket;
};

struct WorkPlan {
    std::vector<PlannedRun> runs;
    std::vector<RunPlacement> preemptions; ///< Runs to stop in favour of a gang.
    std::vector<AdviceClient::Query> queries;
    size_t examinedJobs = 0; ///< Jobs whose tasks were gone through.
    Time nextDue = never; ///< When the next occurrence of a job becomes due.
};

/// Chooses workers for the waiting tasks in the order of the policy, and the queries to the advice
/// service.
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
        plan.examinedJobs = m_ready.update(table, now);
        plan.nextDue = m_ready.nextDue();
        std::deque<ReadyStep> partlyInFlight;
        const auto steps = sortedSteps(inFlight, partlyInFlight, now);
        CapacityView capacityView(workerViews, now);
        capacityView.markReserved(m_reserved);
        m_isolation.begin(workerViews, capacityView, now);
        m_previouslyReserved = std::exchange(m_reserved, {});
        m_reservedGangs.clear();
        // Suspects only take workers that are idle or withheld for them, and a few tickets. After all others,
        // they would get no tickets while the fleet is busy.
        for (const bool isSuspect : { true, false }) {
            for (const auto& [key, step] : steps) {
                if (plan.runs.size() >= config::maxPlacementsPerStep)
                    break;
                if (step->isSuspect == isSuspect)
                    place(plan, table, capacityView, advice, *step, now);
            }
        }
        return plan;
    }

    /// Forgets what it knows of the jobs, for a new term of leadership.
    void clear()
    {
        m_ready.clear();
        m_isolation.clear();
    }

    const ReadySteps& readySteps() const { return m_ready; }

private:
    using Worker = CapacityView::Worker;

    using SortedSteps = std::vector<std::pair<typename Policy::Key, const ReadyStep*>>;

    /// The waiting steps in the order of the policy. Tasks in `inFlight`, whose placement is proposed
    /// but not yet committed, are left out; `partlyInFlight` holds the steps that this concerns.
    SortedSteps sortedSteps(const std::set<TaskRef>& inFlight, std::deque<ReadyStep>& partlyInFlight, Time now) const
    {
        SortedSteps sorted;
        m_ready.forEach([&](const ReadyStep& step) {
            const ReadyStep* waiting = &step;
            const auto next = inFlight.lower_bound(step.step);
            if (next != inFlight.end() && isSameStep(*next, step.step)) {
                partlyInFlight.push_back(step);
                std::erase_if(partlyInFlight.back().waiting, [&](uint32_t task) { return inFlight.count({ step.step.job, step.step.occurrence, step.step.step, task }) > 0; });
                if (partlyInFlight.back().waiting.empty())
                    return;
                waiting = &partlyInFlight.back();
            }
            sorted.push_back({ m_policy.key(*waiting, now), waiting });
        });
        std::sort(sorted.begin(), sorted.end(), [](const auto& a, const auto& b) {
            return a.first != b.first ? a.first < b.first : a.second->step < b.second->step;
        });
        return sorted;
    }

    /// The queue's current settings, or those at the job's submission if the queue was removed since.
    static const QueueSpec& queueOf(const WorkTable& table, const ReadyStep& step)
    {
        const QueueSpec* current = table.config().queue(step.job->queue.name);
        return current ? *current : step.job->queue;
    }

    static bool isEligible(const Worker& worker, const QueueSpec& queue, const StepSpec& step)
    {
        const WorkerInfo& info = worker.view->info;
        return info.pool == queue.service && (step.label.empty() || info.hasLabel(step.label));
    }

    /// Workers that may run the step by pool, label and advice, and for which `isWanted` holds. It gets
    /// the worker's ticket, which may have expired; null where the queue needs none. It is asked before
    /// the labels, as it rules out most workers of a full fleet.
    template <typename Predicate>
    static std::vector<Worker*> allowedWorkers(CapacityView& capacityView, const QueueSpec& queue, const StepSpec& step, const StepAdvice* stepAdvice, Predicate isWanted)
    {
        std::vector<Worker*> allowed;
        const auto add = [&](Worker& worker, const StepAdvice::Ticket* ticket) {
            if (isWanted(worker, ticket) && isEligible(worker, queue, step))
                allowed.push_back(&worker);
        };
        if (!queue.advice) {
            for (Worker& worker : capacityView.workers())
                add(worker, nullptr);
        } else if (stepAdvice) {
            for (const StepAdvice::Ticket& ticket : stepAdvice->tickets) {
                if (Worker* worker = capacityView.find(ticket.worker))
                    add(*worker, &ticket);
            }
        }
        return allowed;
    }

    void place(WorkPlan& plan, const WorkTable& table, CapacityView& capacityView, const AdviceClient& advice, const ReadyStep& step, Time now)
    {
        const StepSpec& spec = step.spec();
        const QueueSpec& queue = queueOf(table, step);
        if (step.isSuspect) {
            placeSuspectStep(plan, capacityView, advice, queue, step, now);
            return;
        }
        if (!spec.isGang && !capacityView.hasCapacityFor(spec))
            return;
        const StepAdvice* stepAdvice = queue.advice ? advice.find(step.step) : nullptr;
        std::vector<Worker*> candidates = fittingWorkers(capacityView, queue, step, stepAdvice, now);
        const size_t placedCount = placeAll(plan, capacityView, candidates, step, stepAdvice);
        const size_t maxReserved = std::max(config::maxReservedGangs, capacityView.workers().size() / config::workersPerReservedGang);
        if (spec.isGang && !placedCount && m_reservedGangs[queue.priority] < maxReserved) {
            reserveForGang(plan, capacityView, advice, queue, step, stepAdvice, now);
            return;
        }
        if (queue.advice && placedCount < step.waiting.size() && !(stepAdvice && stepAdvice->isQueryPending))
            planQuery(plan, capacityView, advice, queue, step, stepAdvice, step.waiting.size() - placedCount, now);
    }

    size_t placeAll(WorkPlan& plan, CapacityView& capacityView, std::vector<Worker*>& candidates, const ReadyStep& step, const StepAdvice* stepAdvice)
    {
        return step.spec().isGang ? placeGang(plan, capacityView, candidates, step, stepAdvice) : placeEach(plan, capacityView, candidates, step, stepAdvice);
    }

    /// Places tasks that may have crashed a worker where they harm few others, as many as fit on one
    /// worker, or a gang on several.
    size_t placeSuspects(WorkPlan& plan, CapacityView& capacityView, const std::vector<Worker*>& candidates, const ReadyStep& step, const StepAdvice* stepAdvice)
    {
        const bool isGang = step.spec().isGang;
        const size_t firstRun = plan.runs.size();
        std::vector<Worker*> suitable = m_isolation.hasRoom() ? m_isolation.suitable(candidates, isGang) : std::vector<Worker*> {};
        const size_t placedCount = placeAll(plan, capacityView, suitable, step, stepAdvice);
        for (size_t i = firstRun; i < plan.runs.size(); ++i)
            m_isolation.isolate(*capacityView.find(plan.runs[i].placement.worker));
        return placedCount;
    }

    /// Places suspects on isolated workers. Where that is not possible yet, withholds workers for them
    /// and asks for the tickets that they need there.
    void placeSuspectStep(WorkPlan& plan, CapacityView& capacityView, const AdviceClient& advice, const QueueSpec& queue, const ReadyStep& step, Time now)
    {
        if (!m_isolation.takeTurn())
            return;
        const StepAdvice* stepAdvice = queue.advice ? advice.find(step.step) : nullptr;
        m_isolation.setWithheldFree(capacityView, true);
        const size_t placedCount = placeSuspects(plan, capacityView, fittingWorkers(capacityView, queue, step, stepAdvice, now), step, stepAdvice);
        m_isolation.setWithheldFree(capacityView, false);
        if (placedCount)
            return;
        std::vector<Worker*> eligible;
        for (Worker& worker : capacityView.workers()) {
            const bool isDenied = stepAdvice && stepAdvice->denied.count(worker.view->number);
            if (!isDenied && isEligible(worker, queue, step.spec()) && step.spec().size.fitsIn(worker.view->info.capacity))
                eligible.push_back(&worker);
        }
        m_isolation.withhold(eligible, step.spec().isGang ? step.spec().count : 1);
        if (queue.advice && !(stepAdvice && stepAdvice->isQueryPending))
            planSuspectQuery(plan, advice, queue, step, stepAdvice, eligible, now);
    }

    /// Queries the workers on which a suspect may run soon, and for which it has no ticket that is valid
    /// until then.
    void planSuspectQuery(WorkPlan& plan, const AdviceClient& advice, const QueueSpec& queue, const ReadyStep& step, const StepAdvice* stepAdvice,
        const std::vector<Worker*>& eligible, Time now) const
    {
        AdviceClient::Query query { step.step, {}, *queue.advice, queue.priority };
        for (const Worker* worker : eligible) {
            const WorkerNumber number = worker->view->number;
            const bool hasTicket = stepAdvice && stepAdvice->hasValidTicket(number, now + config::orderTimeout);
            if (m_isolation.isIntended(*worker) && !hasTicket && query.workers.size() < config::gangAdviceWorkers)
                query.workers.push_back(number);
        }
        if (!query.workers.empty() && advice.canQuery(*queue.advice, query.workers.size(), plan.queries.size()))
            plan.queries.push_back(std::move(query));
    }

    /// Workers that may run the step and have capacity for a task of it now.
    static std::vector<Worker*> fittingWorkers(CapacityView& capacityView, const QueueSpec& queue, const ReadyStep& step, const StepAdvice* stepAdvice, Time now)
    {
        return allowedWorkers(capacityView, queue, step.spec(), stepAdvice, [&](const Worker& worker, const StepAdvice::Ticket* ticket) {
            return CapacityView::fits(worker, step.spec()) && (!ticket || ticket->isValid(now));
        });
    }

    /// Best fit: the worker with the lowest sum of the fractions of processors and memory that would
    /// be left, plus penalties for workers reserved for a gang and for a rack without the input data.
    Worker* bestWorker(std::vector<Worker*>& candidates, const ReadyStep& step, std::unordered_map<uint32_t, uint32_t>& perWorker) const
    {
        const StepSpec& spec = step.spec();
        Worker* best = nullptr;
        double bestScore = 0;
        for (Worker* worker : candidates) {
            if (!CapacityView::fits(*worker, spec))
                continue;
            if (spec.maxPerWorker && perWorker[worker->view->number.value] >= spec.maxPerWorker)
                continue;
            const Resources left = worker->freeCapacity - spec.size;
            const Resources& capacity = worker->view->info.capacity;
            double score = remainingFraction(left.processorMillis, capacity.processorMillis) + remainingFraction(left.memoryMiB, capacity.memoryMiB);
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

    static bool isSameStep(const TaskRef& a, const TaskRef& b) { return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step; }

    size_t placeEach(WorkPlan& plan, CapacityView& capacityView, std::vector<Worker*>& candidates, const ReadyStep& step, const StepAdvice* stepAdvice)
    {
        auto perWorker = countPerWorker(candidates, step);
        size_t count = 0;
        for (const uint32_t index : step.waiting) {
            Worker* worker = bestWorker(candidates, step, perWorker);
            if (!worker)
                break;
            ++perWorker[worker->view->number.value];
            addRun(plan, capacityView, *worker, step, index, latestAttempt(step, index) + 1, stepAdvice);
            ++count;
        }
        return count;
    }

    size_t placeGang(WorkPlan& plan, CapacityView& capacityView, std::vector<Worker*>& candidates, const ReadyStep& step, const StepAdvice* stepAdvice)
    {
        if (step.waiting.size() != step.spec().count)
            return step.waiting.size(); // Members of an earlier attempt have not ended yet.
        auto perWorker = countPerWorker(candidates, step);
        std::vector<std::pair<Worker*, Resources>> capacityBefore;
        std::vector<Worker*> chosen;
        for (size_t i = 0; i < step.waiting.size(); ++i) {
            Worker* worker = bestWorker(candidates, step, perWorker);
            if (!worker)
                break;
            capacityBefore.push_back({ worker, worker->freeCapacity });
            capacityView.allocate(*worker, step.spec());
            ++perWorker[worker->view->number.value];
            chosen.push_back(worker);
        }
        for (auto undo = capacityBefore.rbegin(); undo != capacityBefore.rend(); ++undo)
            undo->first->freeCapacity = undo->second;
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

    /// Queries workers in the order of decreasing free capacity, as many as are expected to yield
    /// enough allowed ones for the `missing` tasks. Leaves out capacity that earlier queries of the plan
    /// asked for: steps that all held tickets for the same workers would not fit there together.
    void planQuery(WorkPlan& plan, CapacityView& capacityView, const AdviceClient& advice, const QueueSpec& queue, const ReadyStep& step,
        const StepAdvice* stepAdvice, size_t missing, Time now) const
    {
        if (!advice.canQuery(*queue.advice, 1, plan.queries.size()))
            return;
        AdviceClient::Query query { step.step, {}, *queue.advice, queue.priority };
        double expected = 0;
        for (Worker* worker : capacityView.byFreeCapacity()) {
            const WorkerNumber number = worker->view->number;
            const uint32_t tasks = GangReservation::taskCapacity(CapacityView::unaskedCapacity(*worker), step.spec());
            if (!tasks || !isEligible(*worker, queue, step.spec()))
                continue;
            const bool isAnswered = stepAdvice && (stepAdvice->denied.count(number) || stepAdvice->hasValidTicket(number, now));
            if (isAnswered)
                continue;
            const bool isAllowed = stepAdvice && stepAdvice->ticketFor(worker->view->number);
            const double fraction = isAllowed ? 1 : advice.allowedFraction(*queue.advice);
            expected += tasks * fraction;
            CapacityView::ask(*worker, step.spec(), std::min<double>(tasks, static_cast<double>(missing)) * fraction);
            query.workers.push_back(number);
            if (query.workers.size() >= config::maxAdviceWorkers || expected >= static_cast<double>(missing) * queryMargin)
                break;
        }
        if (!query.workers.empty())
            plan.queries.push_back(std::move(query));
    }

    /// Reserves workers for a gang that does not fit now, so that later steps don't use them. Stops
    /// preemptible runs there once all tickets are valid, and queries the missing tickets.
    void reserveForGang(WorkPlan& plan, CapacityView& capacityView, const AdviceClient& advice, const QueueSpec& queue, const ReadyStep& step,
        const StepAdvice* stepAdvice, Time now)
    {
        const bool hasFreeHost = queue.advice && advice.canQuery(*queue.advice, config::gangAdviceWorkers, plan.queries.size());
        if (queue.advice && !hasFreeHost && !stepAdvice)
            return;
        const std::vector<Worker*> candidates = allowedWorkers(capacityView, queue, step.spec(), stepAdvice, [](const Worker&, const StepAdvice::Ticket*) { return true; });
        std::set<WorkerNumber> ready;
        for (const Worker* worker : candidates) {
            const WorkerNumber number = worker->view->number;
            if (!queue.advice || stepAdvice->hasValidTicket(number, now + config::orderTimeout))
                ready.insert(number);
        }
        const bool canQuery = queue.advice && !(stepAdvice && stepAdvice->isQueryPending);
        const GangReservation reservation(candidates, step.spec(), step.job->queue.priority, m_previouslyReserved[step.step], ready);
        if (!reservation.isPossibleByPreemption() && canQuery && planQueryByCapacity(plan, capacityView, queue, step, stepAdvice, hasFreeHost))
            return;
        if (!reservation.isPossible())
            return;
        ++m_reservedGangs[queue.priority];
        AdviceClient::Query query { step.step, {}, queue.advice.value_or(AdviceTiming {}), queue.priority };
        for (const GangReservation::Allotment& allotment : reservation.allotments()) {
            m_reserved[step.step].insert(allotment.worker->view->number);
            if (!ready.count(allotment.worker->view->number))
                query.workers.push_back(allotment.worker->view->number);
            CapacityView::reserveTasks(*allotment.worker, step.spec(), allotment.tasks);
        }
        if (!reservation.isPossibleByPreemption())
            return;
        if (query.workers.empty())
            plan.preemptions.insert(plan.preemptions.end(), reservation.victims().begin(), reservation.victims().end());
        else if (canQuery && hasFreeHost)
            plan.queries.push_back(std::move(query));
    }

    /// Queries workers that could run tasks of the gang when empty, in the order of decreasing free
    /// capacity. The more workers are allowed, the sooner all members fit. Returns false if no worker
    /// is left to query. The query waits for a later plan while no host is free for it.
    bool planQueryByCapacity(WorkPlan& plan, CapacityView& capacityView, const QueueSpec& queue, const ReadyStep& step, const StepAdvice* stepAdvice, bool hasFreeHost) const
    {
        AdviceClient::Query query { step.step, {}, *queue.advice, queue.priority };
        for (const Worker* worker : capacityView.byFreeCapacity()) {
            const WorkerNumber number = worker->view->number;
            const bool isKnown = stepAdvice && (stepAdvice->denied.count(number) || stepAdvice->ticketFor(number));
            if (isKnown || !isEligible(*worker, queue, step.spec()) || !GangReservation::taskCapacity(worker->view->info.capacity, step.spec()))
                continue;
            if (!hasFreeHost)
                return true;
            query.workers.push_back(number);
            if (query.workers.size() >= config::gangAdviceWorkers)
                break;
        }
        if (query.workers.empty())
            return false;
        plan.queries.push_back(std::move(query));
        return true;
    }

    static constexpr double queryMargin = 1.5; // expected allowed tasks per missing task
    static constexpr double reservedPenalty = 10; // in remaining fractions of a worker

    double m_remoteFactor;
    Policy m_policy;
    ReadySteps m_ready;
    CrashIsolation m_isolation;
    ReservedWorkers m_reserved; ///< Reservations of the current plan.
    ReservedWorkers m_previouslyReserved; ///< Reservations of the previous plan.
    std::map<uint32_t, size_t> m_reservedGangs; ///< Number of gangs with a reservation, by priority.
};

} // namespace eelgrassloft
