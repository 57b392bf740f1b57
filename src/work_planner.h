#pragma once

#include "advice_client.h"
#include "crash_isolation.h"
#include "gang_advice.h"
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

/// Why none of a step's waiting tasks was placed.
enum class PlacementObstacle : uint8_t {
    None, ///< Some were placed.
    Capacity, ///< No worker that may run the step has room.
    Ticket, ///< The advice service has not answered yet which workers with room are allowed, or no host is free to ask it.
    GangMembers, ///< Other members of the gang can't be placed yet.
    IsolationTurn, ///< Other suspects come first.
    IsolationLimit, ///< As many workers as allowed are isolated.
    IsolationWorker, ///< The workers with room have other runs to lose.
    Count
};

constexpr NameTable<PlacementObstacle> nameTable(PlacementObstacle)
{
    constexpr NameTable<PlacementObstacle> table { "placed", "noCapacity", "noTicket", "gangMembers", "isolationTurn", "isolationLimit", "isolationWorker" };
    static_assert(detail::isComplete<PlacementObstacle>(table));
    return table;
}

struct WorkPlan {
    std::vector<PlannedRun> runs;
    std::vector<RunPlacement> preemptions; ///< Runs to stop in favour of a gang.
    std::vector<AdviceClient::Query> queries;
    std::map<uint32_t, size_t> placedSteps; ///< Steps of which tasks are placed, by the priority of their queue.
    EnumArray<PlacementObstacle, size_t> obstacles; ///< Number of waiting steps by what is in their way.
    size_t examinedJobs = 0; ///< Jobs whose tasks were gone through.
    Time nextDue = never; ///< When the next occurrence of a job becomes due.
};

/// Chooses workers for the waiting tasks in the order of the policy, and the queries to the advice
/// service.
template <QueuePolicy Policy, GangAdvicePolicy GangAdvice = SufficientGangAdvice, RunForecast Forecast = ProgressForecast>
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
        m_isolation.begin(workerViews, capacityView, now < m_roomLackedUntil, now);
        m_previouslyReserved = std::exchange(m_reserved, {});
        m_reservedGangs.clear();
        std::erase_if(m_waitingSince, [&](const auto& entry) { return !m_previouslyReserved.count(entry.first); });
        collectPendingQueries(advice);
        // Suspects only take workers that are idle or withheld for them, and a few tickets. After all others,
        // they would get no tickets while the fleet is busy.
        size_t withoutRoom = 0; // Steps that are no suspects.
        for (const bool isSuspect : { true, false }) {
            for (const auto& [key, step] : steps) {
                if (plan.runs.size() >= config::maxPlacementsPerStep)
                    break;
                if (step->isSuspect != isSuspect)
                    continue;
                const PlacementObstacle obstacle = place(plan, table, capacityView, advice, *step, now);
                ++plan.obstacles[obstacle];
                withoutRoom += !isSuspect && obstacle == PlacementObstacle::Capacity;
            }
        }
        if (withoutRoom > workerViews.size() / workersPerWaitingStep)
            m_roomLackedUntil = now + config::roomLackMemory;
        return plan;
    }

    /// Forgets what it knows of the jobs, for a new term of leadership.
    void clear()
    {
        m_ready.clear();
        m_isolation.clear();
        m_roomLackedUntil = {};
    }

    const ReadySteps& readySteps() const { return m_ready; }

private:
    using Worker = CapacityView::Worker;

    /// Free capacity that a step is expected to use once its short query is answered.
    struct ShortClaim {
        uint32_t priority = 0;
        std::map<WorkerNumber, Resources> expectedUse;
    };

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

    PlacementObstacle place(WorkPlan& plan, const WorkTable& table, CapacityView& capacityView, const AdviceClient& advice, const ReadyStep& step, Time now)
    {
        const StepSpec& spec = step.spec();
        const QueueSpec& queue = queueOf(table, step);
        if (step.isSuspect)
            return placeSuspectStep(plan, capacityView, advice, queue, step, now);
        holdForUrgent(capacityView, queue.priority);
        if (!spec.isGang && !capacityView.hasCapacityFor(spec))
            return PlacementObstacle::Capacity;
        const StepAdvice* stepAdvice = queue.advice ? advice.find(step.step) : nullptr;
        std::vector<Worker*> candidates = fittingWorkers(capacityView, queue, step, stepAdvice, now);
        const size_t firstRun = plan.runs.size();
        const size_t placedCount = placeAll(plan, capacityView, candidates, step, stepAdvice);
        plan.placedSteps[queue.priority] += plan.runs.size() > firstRun;
        const size_t maxReserved = std::max(config::maxReservedGangs, capacityView.workers().size() / config::workersPerReservedGang);
        if (spec.isGang && !placedCount) {
            if (m_reservedGangs[queue.priority] < maxReserved)
                reserveForGang(plan, capacityView, advice, queue, step, stepAdvice, now);
            return obstacleOf(plan, advice, queue, step, candidates);
        }
        if (queue.advice && placedCount < step.waiting.size() && !(stepAdvice && stepAdvice->isQueryPending))
            planQuery(plan, capacityView, advice, queue, step, stepAdvice, step.waiting.size() - placedCount, now);
        if (plan.runs.size() > firstRun)
            return PlacementObstacle::None;
        return spec.isGang ? PlacementObstacle::GangMembers : obstacleOf(plan, advice, queue, step, candidates);
    }

    /// What is in the way of a step that was not placed. `candidates` are the workers with room for a task of
    /// it, and its tickets.
    static PlacementObstacle obstacleOf(const WorkPlan& plan, const AdviceClient& advice, const QueueSpec& queue, const ReadyStep& step, const std::vector<Worker*>& candidates)
    {
        if (!queue.advice || !candidates.empty())
            return PlacementObstacle::Capacity;
        const StepAdvice* stepAdvice = advice.find(step.step);
        const bool isQueried = (stepAdvice && stepAdvice->isQueryPending) || (!plan.queries.empty() && plan.queries.back().step == step.step);
        return isQueried || !advice.canQuery(*queue.advice, 1, plan.queries.size()) ? PlacementObstacle::Ticket : PlacementObstacle::Capacity;
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
    PlacementObstacle placeSuspectStep(WorkPlan& plan, CapacityView& capacityView, const AdviceClient& advice, const QueueSpec& queue, const ReadyStep& step, Time now)
    {
        if (!m_isolation.takeTurn())
            return PlacementObstacle::IsolationTurn;
        const StepAdvice* stepAdvice = queue.advice ? advice.find(step.step) : nullptr;
        m_isolation.setWithheldFree(capacityView, true);
        const std::vector<Worker*> candidates = fittingWorkers(capacityView, queue, step, stepAdvice, now);
        const size_t firstRun = plan.runs.size();
        const size_t placedCount = placeSuspects(plan, capacityView, candidates, step, stepAdvice);
        m_isolation.setWithheldFree(capacityView, false);
        if (placedCount)
            return plan.runs.size() > firstRun ? PlacementObstacle::None : PlacementObstacle::GangMembers;
        const PlacementObstacle obstacle = !m_isolation.hasRoom() ? PlacementObstacle::IsolationLimit : candidates.empty() ? PlacementObstacle::Ticket
                                                                                                                           : PlacementObstacle::IsolationWorker;
        std::vector<Worker*> eligible;
        for (Worker& worker : capacityView.workers()) {
            const bool isDenied = stepAdvice && stepAdvice->denied.count(worker.view->number);
            if (!isDenied && isEligible(worker, queue, step.spec()) && step.spec().size.fitsIn(worker.view->info.capacity))
                eligible.push_back(&worker);
        }
        m_isolation.withhold(eligible, step.spec().isGang ? step.spec().count : 1);
        if (queue.advice && !(stepAdvice && stepAdvice->isQueryPending))
            planSuspectQuery(plan, advice, queue, step, stepAdvice, eligible, now);
        return obstacle;
    }

    /// Queries the workers on which a suspect may run soon, and for which it has no ticket that is valid
    /// until then.
    void planSuspectQuery(WorkPlan& plan, const AdviceClient& advice, const QueueSpec& queue, const ReadyStep& step, const StepAdvice* stepAdvice,
        const std::vector<Worker*>& eligible, Time now) const
    {
        AdviceClient::Query query { step.step, {}, *queue.advice, queue.priority };
        query.isForSuspects = true;
        for (const Worker* worker : eligible) {
            const WorkerNumber number = worker->view->number;
            const bool hasTicket = stepAdvice && stepAdvice->hasValidTicket(number, now + config::orderTimeout);
            if (m_isolation.isIntended(*worker) && !hasTicket && query.workers.size() < config::gangAdviceWorkers)
                query.workers.push_back(number);
        }
        if (!query.workers.empty() && advice.canQueryForSuspects(*queue.advice, query.workers.size(), plan.queries))
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

    void collectPendingQueries(const AdviceClient& advice)
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

    void addShortClaim(const AdviceClient& advice, const AdviceClient::Query& query)
    {
        if (!advice.isLong(query.timing, query.workers.size()))
            m_shortClaims.push_back({ query.priority, query.expectedUse });
    }

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

    /// Queries workers in the order of decreasing free capacity, as many as are expected to yield
    /// enough allowed ones for the `missing` tasks. Leaves out capacity that earlier queries asked for:
    /// steps that all held tickets for the same workers would not fit there together.
    void planQuery(WorkPlan& plan, CapacityView& capacityView, const AdviceClient& advice, const QueueSpec& queue, const ReadyStep& step,
        const StepAdvice* stepAdvice, size_t missing, Time now)
    {
        const size_t cheapCount = AdviceClient::cheapWorkers(*queue.advice);
        if (!advice.canQuery(*queue.advice, cheapCount, plan.queries.size()))
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

    /// Reserves workers for a gang that does not fit now, so that later steps don't use them. Renews the
    /// tickets there when the gang is about to fit, and preempts runs once it has all tickets.
    void reserveForGang(WorkPlan& plan, CapacityView& capacityView, const AdviceClient& advice, const QueueSpec& queue, const ReadyStep& step,
        const StepAdvice* stepAdvice, Time now)
    {
        const bool hasFreeHost = queue.advice && advice.canQuery(*queue.advice, m_gangAdvice.maxWorkersPerRequest(), plan.queries.size());
        if (queue.advice && !hasFreeHost && !stepAdvice)
            return;
        const uint32_t priority = step.job->queue.priority;
        const auto candidates = gangCandidates(capacityView, queue, step, stepAdvice, now);
        const Duration patience = patienceOf(step, now) - (now - m_waitingSince.try_emplace(step.step, now).first->second);
        const GangReservation reservation(candidates, step.spec(), priority, patience, now);
        const bool canQuery = queue.advice && !(stepAdvice && stepAdvice->isQueryPending);
        const bool startsSoon = reservation.startsAt() <= now + std::max(patience, Duration {});
        if (!startsSoon && canQuery && planDiscovery(plan, capacityView, advice, queue, step, stepAdvice, hasFreeHost))
            return;
        if (!reservation.isPossible())
            return;
        ++m_reservedGangs[queue.priority];
        for (const GangReservation::Allotment& allotment : reservation.allotments()) {
            m_reserved[step.step].insert(allotment.worker().view->number);
            CapacityView::reserveTasks(allotment.worker(), step.spec(), allotment.tasks);
        }
        if (queue.advice && planRenewal(plan, queue, step, reservation, canQuery && hasFreeHost, now))
            return;
        plan.preemptions.insert(plan.preemptions.end(), reservation.victims().begin(), reservation.victims().end());
    }

    std::vector<GangCandidate> gangCandidates(CapacityView& capacityView, const QueueSpec& queue, const ReadyStep& step, const StepAdvice* stepAdvice, Time now)
    {
        const std::set<WorkerNumber>& reserved = m_previouslyReserved[step.step];
        std::vector<GangCandidate> candidates;
        for (Worker* worker : allowedWorkers(capacityView, queue, step.spec(), stepAdvice, [](const Worker&, const StepAdvice::Ticket*) { return true; })) {
            const WorkerNumber number = worker->view->number;
            const Time usableUntil = queue.advice ? stepAdvice->ticketFor(number)->validUntil - config::ticketMargin : never;
            candidates.emplace_back(*worker, step.spec(), step.job->queue.priority, usableUntil, reserved.count(number) > 0, m_forecast, now);
        }
        return candidates;
    }

    /// How long a gang waits for capacity in all before it preempts runs.
    static Duration patienceOf(const ReadyStep& step, Time now)
    {
        const Duration slack = step.objective - (now + step.remainingCriticalPath);
        return slack > Duration::zero() ? std::min(config::preemptionPatience, slack / 4) : config::preemptionPatience;
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

    GangCapacity gangCapacity(const Worker& worker, const StepSpec& step) const
    {
        return { GangReservation::taskCapacity(CapacityView::unaskedCapacity(worker), step), GangReservation::taskCapacity(worker.view->info.capacity, step) };
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

    static constexpr size_t workersPerWaitingStep = 16; // Of one for this many workers it does not matter that it has to wait.
    static constexpr double queryMargin = 1.5; // expected allowed tasks per missing task
    static constexpr double reservedPenalty = 10; // in remaining fractions of a worker

    double m_remoteFactor;
    Policy m_policy;
    GangAdvice m_gangAdvice;
    Forecast m_forecast;
    ReadySteps m_ready;
    CrashIsolation m_isolation;
    Time m_roomLackedUntil {}; ///< Until then steps that are no suspects count as lacking room.
    std::vector<const AdviceClient::Query*> m_pendingQueries; ///< Of the current plan, that it has not marked yet; the most urgent last.
    std::vector<ShortClaim> m_shortClaims; ///< Of short queries under way and of those that the current plan has made.
    size_t m_heldClaims = 0; ///< The first of these are held from less urgent steps.
    ReservedWorkers m_reserved; ///< Reservations of the current plan.
    ReservedWorkers m_previouslyReserved; ///< Reservations of the previous plan.
    std::map<TaskRef, Time> m_waitingSince; ///< When the gangs with a reservation first had one.
    std::map<uint32_t, size_t> m_reservedGangs; ///< Number of gangs with a reservation, by priority.
};

} // namespace eelgrassloft
