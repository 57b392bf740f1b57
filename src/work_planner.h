#pragma once

#include "advice_planner.h"
#include "crash_isolation.h"
#include "preemption_policy.h"
#include "run_placer.h"
#include "worker_dispatcher.h"
#include "workspace_room.h"

#include <deque>
#include <limits>

namespace eelgrassloft {

/// Chooses workers for the waiting tasks in the order of the policy, and the queries to the advice
/// service.
template <QueuePolicy Policy, GangAdvicePolicy GangAdvice = SufficientGangAdvice, RunForecast Forecast = ProgressForecast, PreemptionPolicy Preemption = SharePreemption, WorkerPreference Preference = BestFitPreference>
class WorkPlanner {
public:
    explicit WorkPlanner(double remoteFactor)
        : m_placer(remoteFactor)
    {
    }

    WorkPlan plan(const WorkTable& table, const std::map<WorkerNumber, WorkerView>& workerViews, const AdviceClient& advice,
        const std::set<TaskRef>& inFlight, Time now)
    {
        WorkPlan plan;
        plan.examinedJobs = m_ready.update(table, now);
        plan.nextDue = m_ready.nextDue();
        std::deque<ReadyStep> partlyInFlight;
        const auto steps = sortedSteps(orderContext(table.config(), now), inFlight, partlyInFlight);
        CapacityView capacityView(workerViews, now);
        capacityView.markReserved(m_reserved);
        for (Worker& worker : capacityView.workers())
            CapacityView::restrain(worker, m_placer.preference().allowance(*worker.view, now, now < m_roomWantedUntil));
        m_isolation.begin(workerViews, capacityView, now < m_roomLackedUntil, now);
        m_previouslyReserved = std::exchange(m_reserved, {});
        m_reservedGangs.clear();
        std::erase_if(m_waitingSince, [&](const auto& entry) { return !m_previouslyReserved.count(entry.first); });
        m_advicePlanner.begin(advice);
        m_quotaRoom = WorkspaceRoom(table, inFlight);
        // Suspects only take workers that are idle or withheld for them, and a few tickets. After all others,
        // they would get no tickets while the fleet is busy.
        size_t withoutRoom = 0; // Steps that are no suspects.
        for (const bool isSuspect : { true, false }) {
            for (const auto& [key, step] : steps) {
                if (plan.runs.size() >= config::maxPlacementsPerStep)
                    break;
                if (step->isSuspect != isSuspect)
                    continue;
                const PlacementObstacle obstacle = placeWithinQuota(plan, table, capacityView, advice, *step, now);
                ++plan.obstacles[obstacle];
                withoutRoom += !isSuspect && obstacle == PlacementObstacle::Capacity;
            }
        }
        if (withoutRoom)
            m_roomWantedUntil = now + config::roomLackMemory;
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
        m_roomWantedUntil = {};
    }

    const ReadySteps& readySteps() const { return m_ready; }

private:
    using Worker = CapacityView::Worker;

    using SortedSteps = std::vector<std::pair<typename Policy::Key, const ReadyStep*>>;

    OrderContext orderContext(const FleetConfig& config, Time now) const
    {
        OrderContext context { now, std::numeric_limits<uint32_t>::max() };
        for (const QueueSpec& queue : config.queues)
            context.mostUrgentPriority = std::min(context.mostUrgentPriority, queue.priority);
        m_ready.forEach([&](const ReadyStep& step) {
            const bool isInTime = now + step.remainingCriticalPath <= step.lateLimit;
            context.hasUrgentBeyondShare |= isInTime && step.job->isBeyondShare && step.job->queue.priority == context.mostUrgentPriority;
        });
        return context;
    }

    /// The waiting steps in the order of the policy. Tasks in `inFlight`, whose placement is proposed
    /// but not yet committed, are left out; `partlyInFlight` holds the steps that this concerns.
    SortedSteps sortedSteps(OrderContext context, const std::set<TaskRef>& inFlight, std::deque<ReadyStep>& partlyInFlight) const
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
            context.hasReservation = m_reserved.count(step.step) > 0;
            sorted.push_back({ m_policy.key(*waiting, context), waiting });
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

    /// Places as many of the step's tasks as the quota of its workspace leaves room for. A step without room
    /// neither reserves workers nor asks for advice.
    PlacementObstacle placeWithinQuota(WorkPlan& plan, const WorkTable& table, CapacityView& capacityView, const AdviceClient& advice, const ReadyStep& step, Time now)
    {
        const StepSpec& spec = step.spec();
        const uint32_t needed = spec.isGang ? spec.count : 1;
        const uint32_t limit = m_quotaRoom.taskCapacity(*step.job, spec, static_cast<uint32_t>(step.waiting.size()));
        if (limit < std::min<size_t>(needed, step.waiting.size()))
            return step.canFitQuota ? PlacementObstacle::Quota : PlacementObstacle::QuotaTooSmall;
        const size_t firstRun = plan.runs.size();
        const PlacementObstacle obstacle = place(plan, table, capacityView, advice, step, limit, now);
        m_quotaRoom.take(*step.job, spec, static_cast<uint32_t>(plan.runs.size() - firstRun));
        return obstacle;
    }

    PlacementObstacle place(WorkPlan& plan, const WorkTable& table, CapacityView& capacityView, const AdviceClient& advice, const ReadyStep& step, uint32_t limit, Time now)
    {
        const StepSpec& spec = step.spec();
        const QueueSpec& queue = queueOf(table, step);
        if (step.isSuspect)
            return placeSuspectStep(plan, capacityView, advice, queue, step, limit, now);
        m_advicePlanner.holdForUrgent(capacityView, queue.priority);
        if (!spec.isGang && !capacityView.hasCapacityFor(spec))
            return PlacementObstacle::Capacity;
        const StepAdvice* stepAdvice = queue.advice ? advice.find(step.step) : nullptr;
        std::vector<Worker*> candidates = fittingWorkers(capacityView, queue, step, stepAdvice, now);
        const size_t firstRun = plan.runs.size();
        const size_t placedCount = m_placer.placeAll(plan, capacityView, candidates, step, stepAdvice, limit, now);
        plan.placedSteps[queue.priority] += plan.runs.size() > firstRun;
        const size_t maxReserved = std::max(config::maxReservedGangs, capacityView.workers().size() / config::workersPerReservedGang);
        if (spec.isGang && !placedCount) {
            if (m_reservedGangs[queue.priority] < maxReserved)
                reserveForGang(plan, table, capacityView, advice, queue, step, stepAdvice, now);
            return obstacleOf(plan, advice, queue, step, candidates, now);
        }
        if (queue.advice && placedCount < limit && !(stepAdvice && stepAdvice->isQueryPending))
            m_advicePlanner.planQuery(plan, capacityView, advice, queue, step, stepAdvice, limit - placedCount, now);
        if (plan.runs.size() > firstRun)
            return PlacementObstacle::None;
        return spec.isGang ? PlacementObstacle::GangMembers : obstacleOf(plan, advice, queue, step, candidates, now);
    }

    /// What is in the way of a step that was not placed. `candidates` are the workers with room for a task of
    /// it, and its tickets.
    static PlacementObstacle obstacleOf(const WorkPlan& plan, const AdviceClient& advice, const QueueSpec& queue, const ReadyStep& step, const std::vector<Worker*>& candidates, Time now)
    {
        if (!queue.advice || !candidates.empty())
            return PlacementObstacle::Capacity;
        const StepAdvice* stepAdvice = advice.find(step.step);
        const bool isQueried = (stepAdvice && stepAdvice->isQueryPending) || (!plan.queries.empty() && plan.queries.back().step == step.step);
        return isQueried || !advice.canQuery(now, *queue.advice, 1, plan.queries.size()) ? PlacementObstacle::Ticket : PlacementObstacle::Capacity;
    }

    /// Places tasks that may have crashed a worker where they harm few others, as many as fit on one
    /// worker, or a gang on several.
    size_t placeSuspects(WorkPlan& plan, CapacityView& capacityView, const std::vector<Worker*>& candidates, const ReadyStep& step, const StepAdvice* stepAdvice, uint32_t limit, Time now)
    {
        const bool isGang = step.spec().isGang;
        const size_t firstRun = plan.runs.size();
        std::vector<Worker*> suitable = m_isolation.hasRoom() ? m_isolation.suitable(candidates, isGang) : std::vector<Worker*> {};
        const size_t placedCount = m_placer.placeAll(plan, capacityView, suitable, step, stepAdvice, limit, now);
        for (size_t i = firstRun; i < plan.runs.size(); ++i)
            m_isolation.isolate(*capacityView.find(plan.runs[i].placement.worker));
        return placedCount;
    }

    /// Places suspects on isolated workers. Where that is not possible yet, withholds workers for them
    /// and asks for the tickets that they need there.
    PlacementObstacle placeSuspectStep(WorkPlan& plan, CapacityView& capacityView, const AdviceClient& advice, const QueueSpec& queue, const ReadyStep& step, uint32_t limit, Time now)
    {
        if (!m_isolation.takeTurn())
            return PlacementObstacle::IsolationTurn;
        const StepAdvice* stepAdvice = queue.advice ? advice.find(step.step) : nullptr;
        m_isolation.setWithheldFree(capacityView, true);
        const std::vector<Worker*> candidates = fittingWorkers(capacityView, queue, step, stepAdvice, now);
        const size_t firstRun = plan.runs.size();
        const size_t placedCount = placeSuspects(plan, capacityView, candidates, step, stepAdvice, limit, now);
        m_isolation.setWithheldFree(capacityView, false);
        if (placedCount)
            return plan.runs.size() > firstRun ? PlacementObstacle::None : PlacementObstacle::GangMembers;
        const PlacementObstacle obstacle = !m_isolation.hasRoom() ? PlacementObstacle::IsolationLimit : candidates.empty() ? PlacementObstacle::Ticket
                                                                                                                           : PlacementObstacle::IsolationWorker;
        std::vector<Worker*> eligible;
        for (Worker& worker : capacityView.workers()) {
            const bool isDenied = stepAdvice && stepAdvice->denied.count(worker.view->number);
            if (!isDenied && isEligible(worker, queue, step.spec()) && CapacityView::canGetRoom(worker, step.spec()))
                eligible.push_back(&worker);
        }
        m_isolation.withhold(eligible, step.spec(), step.spec().isGang ? step.spec().count : 1);
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
        if (!query.workers.empty() && advice.canQueryForSuspects(now, *queue.advice, query.workers.size(), plan.queries))
            plan.queries.push_back(std::move(query));
    }

    /// Reserves workers for a gang that does not fit now, so that later steps don't use them. Renews the
    /// tickets there when the gang is about to fit, and preempts runs once it has all tickets.
    void reserveForGang(WorkPlan& plan, const WorkTable& table, CapacityView& capacityView, const AdviceClient& advice, const QueueSpec& queue, const ReadyStep& step,
        const StepAdvice* stepAdvice, Time now)
    {
        const bool hasFreeHost = queue.advice && advice.canQuery(now, *queue.advice, m_advicePlanner.maxGangWorkers(), plan.queries.size());
        if (queue.advice && !hasFreeHost && !stepAdvice)
            return;
        const uint32_t priority = step.job->queue.priority;
        const auto candidates = gangCandidates(capacityView, queue, step, stepAdvice, now);
        const Duration patience = patienceOf(step, now) - (now - m_waitingSince.try_emplace(step.step, now).first->second);
        GangReservation reservation(candidates, step.spec(), priority, patience, now);
        if (!isPreemptionWorthwhile(table, reservation, step, now))
            reservation.waitForCapacity();
        const bool canQuery = queue.advice && !(stepAdvice && stepAdvice->isQueryPending);
        const bool startsSoon = reservation.startsAt() <= now + std::max(patience, Duration {});
        if (!startsSoon && canQuery && m_advicePlanner.planDiscovery(plan, capacityView, advice, queue, step, stepAdvice, hasFreeHost))
            return;
        if (!reservation.isPossible())
            return;
        ++m_reservedGangs[queue.priority];
        for (const GangReservation::Allotment& allotment : reservation.allotments()) {
            m_reserved[step.step].insert(allotment.worker().view->number);
            CapacityView::reserveTasks(allotment.worker(), step.spec(), allotment.tasks);
        }
        if (queue.advice && m_advicePlanner.planRenewal(plan, queue, step, reservation, canQuery && hasFreeHost, now))
            return;
        plan.preemptions.insert(plan.preemptions.end(), reservation.victims().begin(), reservation.victims().end());
    }

    /// Whether the runs that the reservation would stop are worth it, or there are none.
    bool isPreemptionWorthwhile(const WorkTable& table, const GangReservation& reservation, const ReadyStep& step, Time now) const
    {
        if (reservation.victims().empty())
            return true;
        std::vector<PreemptionVictim> victims;
        for (const RunPlacement& victim : reservation.victims()) {
            const auto allotment = std::find_if(reservation.allotments().begin(), reservation.allotments().end(), [&](const auto& candidate) { return candidate.worker().view->number == victim.worker; });
            const WorkJob* job = table.job(victim.run.task.job);
            victims.push_back(victimOf(allotment->worker().view->runs.at(victim.run), job && job->isBeyondShare, now));
        }
        const double work = step.jobWork / 1000; // The size of a step is in thousandths of a processor.
        const PreemptingGang gang { step.job->queue.priority, step.job->isBeyondShare, work, step.relativeWork, step.remainingCriticalPath, step.objective, step.lateLimit };
        return m_preemption.isWorthwhile({ gang, now + config::preemptionTime, reservation.startsAtWithoutPreemption(), victims });
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

    static constexpr size_t workersPerWaitingStep = 16; // Of one for this many workers it does not matter that it has to wait.

    Policy m_policy;
    RunPlacer<Preference> m_placer;
    AdvicePlanner<GangAdvice> m_advicePlanner;
    Forecast m_forecast;
    Preemption m_preemption;
    ReadySteps m_ready;
    CrashIsolation m_isolation;
    WorkspaceRoom m_quotaRoom; ///< Of the current plan.
    Time m_roomLackedUntil {}; ///< Until then steps that are no suspects count as lacking room.
    Time m_roomWantedUntil {}; ///< Until then some step counts as lacking room, so that the restraint of workers is short.
    ReservedWorkers m_reserved; ///< Reservations of the current plan.
    ReservedWorkers m_previouslyReserved; ///< Reservations of the previous plan.
    std::map<TaskRef, Time> m_waitingSince; ///< When the gangs with a reservation first had one.
    std::map<uint32_t, size_t> m_reservedGangs; ///< Number of gangs with a reservation, by priority.
};

} // namespace eelgrassloft
