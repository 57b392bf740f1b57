#pragma once

#include "data_centre_state_machine.h"
#include "learned_sizes.h"
#include "node_step.h"
#include "placement.h"

namespace eelgrassloft {

/// Schedules the tasks of one data centre: placement, gang reservations and preemption. Runs only
/// on the leader of the data centre's log. The state is the log's `TaskTable`; every decision is a
/// command that takes effect once the log has applied it.
template <PlacementPolicy Pack, PlacementPolicy Spread>
class TaskScheduler {
public:
    TaskScheduler(Pack pack, Spread spread)
        : m_pack(std::move(pack))
        , m_spread(std::move(spread))
    {
    }

    /// Resets the scheduler to the log's state: when a term of leadership begins, or where the worker
    /// changes since the last plan are no longer remembered.
    void start(const TaskTable& tasks, Time now)
    {
        m_index.rebuild(tasks, now);
        m_indexedChangeCount = tasks.workerChangeCount();
        m_plan = {};
        m_gangReservation = {};
        m_blockedSince.clear();
        m_preemptionSlots.clear();
        m_waitReasons.clear();
        m_nextPlanTime = now;
        m_isPlanOpen = false;
    }

    /// Makes a plan and returns its commands for the log. At most one plan is open at a time: the
    /// capacity that it uses stays allocated in the index until `closePlan`.
    std::vector<TaskCommand> plan(NodeStep& step, const TaskTable& tasks, const LearnedSizes& learnedSizes)
    {
        updateIndex(tasks, step.now);
        dropObsoleteState(tasks);
        m_learnedSizes = &learnedSizes;
        m_nextPlanTime = step.now + config::idlePlanPeriod;
        m_plan = {};
        size_t examined = 0;
        forEachValue<Urgency>([&](Urgency urgency) {
            for (const TaskId id : tasks.queued(urgency)) {
                if (++examined > config::maxTasksExamined || m_plan.placementCount >= config::maxPlacementsPerStep)
                    return;
                planTask(step, tasks, id);
            }
        });
        if (!m_plan.individual.placements.empty())
            m_plan.commands.push_back(std::move(m_plan.individual));
        if (!m_plan.preempted.tasks.empty())
            m_plan.commands.push_back(std::move(m_plan.preempted));
        for (const ResizeTask& resize : m_plan.resizes)
            m_plan.commands.emplace_back(resize);
        m_learnedSizes = nullptr;
        m_isPlanOpen = !m_plan.commands.empty();
        return std::move(m_plan.commands);
    }

    /// Ends the open plan once the log has applied it or refused to accept it, and updates the workers
    /// that it used in the index from the log's state.
    void closePlan(const TaskTable& tasks, Time now)
    {
        m_isPlanOpen = false;
        for (const WorkerSlot slot : std::exchange(m_plannedSlots, {}))
            m_index.update(tasks, m_index.at(slot).name, now);
        m_nextPlanTime = now;
    }

    bool isPlanOpen() const { return m_isPlanOpen; }
    /// Makes the next plan due at once, since the state has changed.
    void requestPlan(Time now) { m_nextPlanTime = std::min(m_nextPlanTime, now); }
    Time nextPlanTime() const { return m_isPlanOpen ? never : m_nextPlanTime; }

    WaitReason waitReason(TaskId id) const
    {
        const auto found = m_waitReasons.find(id);
        return found == m_waitReasons.end() ? WaitReason::NotTriedYet : found->second;
    }

    const CapacityIndex& index() const { return m_index; }

private:
    /// The plan that is being made.
    struct Plan {
        std::vector<TaskCommand> commands;
        PlaceTasks individual; ///< Placements of tasks that are not part of a gang.
        PreemptTasks preempted;
        std::vector<ResizeTask> resizes;
        std::map<std::string, PlacementRequest> spreadRequests; ///< By job name.
        size_t placementCount = 0;
        std::map<std::string, Resources> teamUsage; ///< Resources that this plan adds, by team.
        std::vector<std::pair<JobKind, Resources>> unplaceableSizes; ///< Sizes that found no worker; the search is skipped for any as large.
        std::set<std::string> plannedGangs; ///< All-at-once jobs that this plan has tried.
    };

    /// Updates the index with the worker changes that the log applied since the last plan.
    void updateIndex(const TaskTable& tasks, Time now)
    {
        const auto changes = tasks.workerChangesSince(m_indexedChangeCount);
        if (!changes) {
            start(tasks, now);
            return;
        }
        for (const std::string& workerName : *changes)
            m_index.update(tasks, workerName, now);
        m_indexedChangeCount = tasks.workerChangeCount();
        // A quarantine ends by time alone, without a change of the worker.
        for (const auto& [workerName, worker] : tasks.workers()) {
            if (worker.state == WorkerState::Quarantined)
                m_index.update(tasks, workerName, now);
        }
    }

    /// Drops preemptions, reservations and wait reasons of tasks and jobs that no longer wait.
    void dropObsoleteState(const TaskTable& tasks)
    {
        const auto isWaiting = [&](TaskId id) {
            const TaskRecord* task = tasks.task(id);
            return task && task->state == TaskState::Queued;
        };
        for (auto i = m_preemptionSlots.begin(); i != m_preemptionSlots.end();) {
            const bool isObsolete = !isWaiting(i->first) || !hasTransitioningTask(tasks, i->second);
            if (isObsolete && !(isWaiting(i->first) && hasFreedEnough(tasks, i->first, i->second))) {
                m_index.unreserve(i->second);
                i = m_preemptionSlots.erase(i);
            } else {
                ++i;
            }
        }
        const JobRecord* reserved = tasks.job(m_gangReservation.job);
        if (!m_gangReservation.job.empty() && (!reserved || reserved->isCancelled)) {
            unreserveAll();
            m_gangReservation = {};
        }
        if (m_waitReasons.size() > 2 * config::maxTasksExamined)
            std::erase_if(m_waitReasons, [&](const auto& entry) { return !isWaiting(entry.first); });
    }

    void setWaitReason(TaskId id, WaitReason reason) { m_waitReasons[id] = reason; }

    void planTask(NodeStep& step, const TaskTable& tasks, TaskId id)
    {
        const TaskRecord& task = *tasks.task(id);
        const JobSpec& spec = tasks.job(task.job)->spec;
        if (spec.kind == JobKind::AllAtOnce) {
            planGang(step, tasks, spec);
            return;
        }
        const Resources size = m_learnedSizes->sizeFor(task.job, task.size);
        if (size != task.size) {
            m_plan.resizes.push_back({ id, size });
            return;
        }
        if (!isWithinQuota(tasks, spec.team, task.size, 1)) {
            setWaitReason(id, WaitReason::QuotaReached);
            return;
        }
        const WorkerSlot preempted = findPreemptedSlot(id, task.size);
        if (preempted.isValid()) {
            place(tasks, id, task, preempted, m_plan.individual);
            return;
        }
        const bool isKnownUnplaceable = spec.urgency != Urgency::Urgent && isUnplaceableInPlan(spec.kind, task.size);
        const WorkerSlot slot = isKnownUnplaceable ? WorkerSlot {} : choose(step, tasks, spec, task);
        if (slot.isValid()) {
            place(tasks, id, task, slot, m_plan.individual);
            return;
        }
        if (!isKnownUnplaceable && m_plan.unplaceableSizes.size() < config::maxUnplaceableSizes)
            m_plan.unplaceableSizes.emplace_back(spec.kind, task.size);
        if (!m_index.canEverFit(task.size)) {
            setWaitReason(id, WaitReason::NoWorkerFits);
            return;
        }
        setWaitReason(id, WaitReason::InsufficientCapacity);
        if (spec.urgency == Urgency::Urgent)
            preemptFor(tasks, id, task.size);
    }

    WorkerSlot choose(NodeStep& step, const TaskTable& tasks, const JobSpec& spec, const TaskRecord& task)
    {
        if (spec.kind == JobKind::Batch)
            return m_pack.choose(m_index, { task.size, {}, {} }, step.random);
        const auto [position, isNew] = m_plan.spreadRequests.try_emplace(spec.name);
        PlacementRequest& request = position->second;
        request.size = task.size;
        if (isNew) {
            for (const TaskId other : tasks.job(spec.name)->tasks) {
                const WorkerSlot slot = m_index.find(tasks.task(other)->worker);
                if (slot.isValid())
                    countTask(request, slot);
            }
        }
        const WorkerSlot slot = m_spread.choose(m_index, request, step.random);
        if (slot.isValid())
            countTask(request, slot);
        return slot;
    }

    void countTask(PlacementRequest& request, WorkerSlot slot) const
    {
        ++request.tasksPerRack[m_index.at(slot).rack];
        ++request.tasksPerWorker[slot];
    }

    void place(const TaskTable& tasks, TaskId id, const TaskRecord& task, WorkerSlot slot, PlaceTasks& command)
    {
        const CapacityIndex::Worker& worker = m_index.at(slot);
        command.placements.push_back({ id, task.epoch + 1, worker.name, worker.incarnation });
        m_index.allocate(slot, task.size);
        m_plannedSlots.push_back(slot);
        m_plan.teamUsage[tasks.job(task.job)->spec.team] += task.size;
        ++m_plan.placementCount;
        m_waitReasons.erase(id);
        const auto preempting = m_preemptionSlots.find(id);
        if (preempting == m_preemptionSlots.end())
            return;
        m_index.unreserve(preempting->second);
        m_preemptionSlots.erase(preempting);
    }

    bool isWithinQuota(const TaskTable& tasks, const std::string& team, const Resources& size, uint32_t count) const
    {
        const Resources* limit = tasks.quota(team);
        if (!limit)
            return true;
        Resources use = tasks.teamUsage(team);
        const auto planned = m_plan.teamUsage.find(team);
        if (planned != m_plan.teamUsage.end())
            use += planned->second;
        for (uint32_t i = 0; i < count; ++i)
            use += size;
        return use.fitsIn(*limit);
    }

    /// Whether a task of the same kind, no larger in any dimension, could not be placed in this plan.
    bool isUnplaceableInPlan(JobKind kind, const Resources& size) const
    {
        return std::any_of(m_plan.unplaceableSizes.begin(), m_plan.unplaceableSizes.end(),
            [&](const auto& refused) { return refused.first == kind && refused.second.fitsIn(size); });
    }

    // Gangs: jobs whose tasks start all at once.

    /// Places all queued tasks of a gang, or none.
    void planGang(NodeStep& step, const TaskTable& tasks, const JobSpec& spec)
    {
        if (!m_plan.plannedGangs.insert(spec.name).second)
            return;
        std::vector<TaskId> waiting;
        for (const TaskId id : tasks.job(spec.name)->tasks) {
            if (tasks.task(id)->state == TaskState::Queued)
                waiting.push_back(id);
        }
        const auto count = static_cast<uint32_t>(waiting.size());
        const Resources size = tasks.task(waiting.front())->size;
        if (!isWithinQuota(tasks, spec.team, size, count)) {
            setWaitReasons(waiting, WaitReason::QuotaReached);
            return;
        }
        const bool holdsReservation = m_gangReservation.job == spec.name;
        if (holdsReservation)
            unreserveAll();
        const std::vector<WorkerSlot> slots = chooseGangWorkers(m_index, size, count);
        if (slots.empty()) {
            if (holdsReservation)
                reserveAll();
            setWaitReasons(waiting, m_index.canEverFit(size) ? WaitReason::NotEnoughTogether : WaitReason::NoWorkerFits);
            reserveIfBlockedTooLong(step, spec, size, count);
            return;
        }
        if (holdsReservation)
            m_gangReservation = {};
        m_blockedSince.erase(spec.name);
        PlaceTasks command;
        command.isAllOrNothing = true;
        for (uint32_t i = 0; i < count; ++i)
            place(tasks, waiting[i], *tasks.task(waiting[i]), slots[i], command);
        m_plan.commands.push_back(std::move(command));
    }

    void setWaitReasons(const std::vector<TaskId>& ids, WaitReason reason)
    {
        for (const TaskId id : ids)
            setWaitReason(id, reason);
    }

    /// Reserves workers for a gang that has been blocked for `config::gangReservationDelay`, so that
    /// smaller jobs cannot starve it. At most one gang holds a reservation; other tasks are placed
    /// on the remaining workers.
    void reserveIfBlockedTooLong(NodeStep& step, const JobSpec& spec, const Resources& size, uint32_t count)
    {
        const Time since = m_blockedSince.try_emplace(spec.name, step.now).first->second;
        if (!m_gangReservation.job.empty() || step.now - since < config::gangReservationDelay)
            return;
        uint64_t fitting = 0;
        std::vector<WorkerSlot> workers;
        for (const auto& rack : m_index.racks()) {
            for (const WorkerSlot slot : rack) {
                const CapacityIndex::Worker& worker = m_index.at(slot);
                if (fitting >= count || !worker.isSchedulable || !size.fitsIn(worker.capacity))
                    continue;
                workers.push_back(slot);
                fitting += detail::fittingTasks(worker.capacity, size);
            }
        }
        if (fitting < count)
            return;
        m_gangReservation = { spec.name, std::move(workers) };
        reserveAll();
    }

    void reserveAll()
    {
        for (const WorkerSlot slot : m_gangReservation.workers)
            m_index.reserve(slot);
    }

    void unreserveAll()
    {
        for (const WorkerSlot slot : m_gangReservation.workers)
            m_index.unreserve(slot);
    }

    // Preemption.

    /// Worker on which tasks were preempted for this one; invalid until enough capacity is free there.
    WorkerSlot findPreemptedSlot(TaskId id, const Resources& size)
    {
        const auto found = m_preemptionSlots.find(id);
        if (found == m_preemptionSlots.end())
            return {};
        const CapacityIndex::Worker& worker = m_index.at(found->second);
        return worker.isSchedulable && size.fitsIn(worker.freeCapacity) ? found->second : WorkerSlot {};
    }

    /// Whether a task of the worker is starting or stopping.
    bool hasTransitioningTask(const TaskTable& tasks, WorkerSlot slot) const
    {
        const auto& held = tasks.worker(m_index.at(slot).name)->tasks;
        return std::any_of(held.begin(), held.end(), [&](TaskId id) { return tasks.task(id)->state != TaskState::Running; });
    }

    bool hasFreedEnough(const TaskTable& tasks, TaskId id, WorkerSlot slot) const
    {
        return tasks.task(id)->size.fitsIn(m_index.at(slot).freeCapacity);
    }

    /// Reserves a worker for the task and preempts others there: of the workers that fit the task once
    /// every preemptible task has stopped, the one that lacks the fewest processors.
    void preemptFor(const TaskTable& tasks, TaskId id, const Resources& size)
    {
        if (m_preemptionSlots.contains(id)) {
            setWaitReason(id, WaitReason::WaitingForPreemption);
            return;
        }
        WorkerSlot best;
        uint64_t leastMissing = UINT64_MAX;
        for (uint32_t i = 0; i < m_index.workers().size(); ++i) {
            const CapacityIndex::Worker& worker = m_index.workers()[i];
            if (!worker.isSchedulable || isPreempting(WorkerSlot { i }) || !size.fitsIn(worker.freeCapacity + worker.preemptible))
                continue;
            const uint64_t missing = detail::processorShortfall(worker.freeCapacity, size);
            if (missing < leastMissing) {
                leastMissing = missing;
                best = WorkerSlot { i };
            }
        }
        if (!best.isValid())
            return;
        m_preemptionSlots[id] = best;
        m_index.reserve(best);
        setWaitReason(id, WaitReason::WaitingForPreemption);
        preemptTasksOn(tasks, best, size);
    }

    bool isPreempting(WorkerSlot slot) const
    {
        return std::any_of(m_preemptionSlots.begin(), m_preemptionSlots.end(), [&](const auto& entry) { return entry.second == slot; });
    }

    /// Preempts tasks of a worker, the least urgent first, until the size fits.
    void preemptTasksOn(const TaskTable& tasks, WorkerSlot slot, const Resources& size)
    {
        std::vector<std::pair<Urgency, TaskId>> candidates;
        for (const TaskId id : tasks.worker(m_index.at(slot).name)->tasks) {
            const TaskRecord& task = *tasks.task(id);
            const JobSpec& spec = tasks.job(task.job)->spec;
            if (tasks.isPreemptible(task))
                candidates.emplace_back(spec.urgency, id);
        }
        std::sort(candidates.begin(), candidates.end(), std::greater<>());
        Resources freeCapacity = m_index.at(slot).freeCapacity;
        for (const auto& [urgency, id] : candidates) {
            if (size.fitsIn(freeCapacity))
                return;
            freeCapacity += tasks.task(id)->size;
            m_plan.preempted.tasks.push_back(id);
        }
    }

    /// Workers that are reserved for a blocked gang.
    struct Reservation {
        std::string job;
        std::vector<WorkerSlot> workers;
    };

    Pack m_pack;
    Spread m_spread;
    CapacityIndex m_index;
    uint64_t m_indexedChangeCount = 0; ///< Worker changes that the index contains.
    Plan m_plan;
    bool m_isPlanOpen = false;
    std::vector<WorkerSlot> m_plannedSlots; ///< Workers on which the open plan places tasks.
    Time m_nextPlanTime {};
    Reservation m_gangReservation;
    std::map<std::string, Time> m_blockedSince; ///< First failed placement of each waiting gang, by job name.
    std::map<TaskId, WorkerSlot> m_preemptionSlots; ///< Worker on which tasks are preempted for a task.
    std::map<TaskId, WaitReason> m_waitReasons;
    const LearnedSizes* m_learnedSizes = nullptr; ///< Valid only within `plan`.
};

} // namespace eelgrassloft
