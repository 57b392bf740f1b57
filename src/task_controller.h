#pragma once

#include "data_centre_machine.h"
#include "learned_sizes.h"
#include "node_step.h"
#include "placement.h"

namespace eelgrassloft {

/// Plans placements for the tasks of one data centre. Only the leader of its log runs it; the
/// state itself is the log's `TaskTable`, and every decision goes through the log.
template <PlacementPolicy Pack, PlacementPolicy Spread>
class TaskController {
public:
    TaskController(Pack pack, Spread spread)
        : m_pack(std::move(pack))
        , m_spread(std::move(spread))
    {
    }

    void start(const TaskTable& tasks, Time now)
    {
        m_index.rebuild(tasks, now);
        m_indexAt = tasks.changeCount();
        m_plan = {};
        m_reservedFor = {};
        m_blockedSince.clear();
        m_preempting.clear();
        m_waits.clear();
        m_nextPlan = now;
        m_isPlanOpen = false;
    }

    /// Commands for the log. At most one plan is open at a time: its room is reserved in the
    /// index until the log has applied it.
    std::vector<TaskCommand> plan(NodeStep& step, const TaskTable& tasks, const LearnedSizes& learned)
    {
        follow(tasks, step.now);
        forgetEnded(tasks);
        m_learned = &learned;
        m_nextPlan = step.now + config::idlePlanPeriod;
        m_plan = {};
        size_t lookedAt = 0;
        forEachValue<Urgency>([&](Urgency urgency) {
            for (const TaskId id : tasks.queued(urgency)) {
                if (++lookedAt > config::maxTasksExamined || m_plan.placements >= config::maxPlacementsPerStep)
                    return;
                planTask(step, tasks, id);
            }
        });
        if (!m_plan.single.placements.empty())
            m_plan.commands.push_back(std::move(m_plan.single));
        if (!m_plan.preempted.tasks.empty())
            m_plan.commands.push_back(std::move(m_plan.preempted));
        for (const ResizeTask& resize : m_plan.resized)
            m_plan.commands.emplace_back(resize);
        m_learned = nullptr;
        m_isPlanOpen = !m_plan.commands.empty();
        return std::move(m_plan.commands);
    }

    /// The log has applied the open plan, or could not take it.
    void closePlan(const TaskTable& tasks, Time now)
    {
        m_isPlanOpen = false;
        for (const WorkerSlot slot : std::exchange(m_touched, {}))
            m_index.update(tasks, m_index.at(slot).name, now);
        m_nextPlan = now;
    }

    bool isPlanOpen() const { return m_isPlanOpen; }
    /// Something changed since the last plan.
    void noteChange(Time now) { m_nextPlan = std::min(m_nextPlan, now); }
    Time nextPlan() const { return m_isPlanOpen ? never : m_nextPlan; }

    WaitReason waitReason(TaskId id) const
    {
        const auto found = m_waits.find(id);
        return found == m_waits.end() ? WaitReason::NotTriedYet : found->second;
    }

    const CapacityIndex& index() const { return m_index; }

private:
    struct Plan {
        std::vector<TaskCommand> commands;
        PlaceTasks single;
        PreemptTasks preempted;
        std::vector<ResizeTask> resized;
        std::map<std::string, PlacementRequest> spreadRequests; ///< By job.
        size_t placements = 0;
        std::map<std::string, Resources> teamUse; ///< Added by this plan.
        std::vector<std::pair<JobKind, Resources>> refusedSizes;
        std::set<std::string> plannedJobs; ///< All-at-once jobs that were looked at.
    };

    /// Brings the index up to the state of the log.
    void follow(const TaskTable& tasks, Time now)
    {
        const auto changes = tasks.changesSince(m_indexAt);
        if (!changes) {
            start(tasks, now);
            return;
        }
        for (const std::string& workerName : *changes)
            m_index.update(tasks, workerName, now);
        m_indexAt = tasks.changeCount();
        // A pause ends with time alone, and no change tells of it.
        for (const auto& [workerName, worker] : tasks.workers()) {
            if (worker.state == WorkerState::Quarantined)
                m_index.update(tasks, workerName, now);
        }
    }

    /// Drops what was remembered of tasks and jobs that wait no longer.
    void forgetEnded(const TaskTable& tasks)
    {
        const auto isWaiting = [&](TaskId id) {
            const TaskRecord* task = tasks.task(id);
            return task && task->state == TaskState::Queued;
        };
        for (auto i = m_preempting.begin(); i != m_preempting.end();) {
            const bool isObsolete = !isWaiting(i->first) || !hasStoppingTask(tasks, i->second);
            if (isObsolete && !(isWaiting(i->first) && hasPreemptedRoom(tasks, i->first, i->second))) {
                m_index.unreserve(i->second);
                i = m_preempting.erase(i);
            } else {
                ++i;
            }
        }
        const JobRecord* reserved = tasks.job(m_reservedFor.job);
        if (!m_reservedFor.job.empty() && (!reserved || reserved->isCancelled)) {
            unreserveAll();
            m_reservedFor = {};
        }
        if (m_waits.size() > 2 * config::maxTasksExamined)
            std::erase_if(m_waits, [&](const auto& entry) { return !isWaiting(entry.first); });
    }

    void wait(TaskId id, WaitReason reason) { m_waits[id] = reason; }

    void planTask(NodeStep& step, const TaskTable& tasks, TaskId id)
    {
        const TaskRecord& task = *tasks.task(id);
        const JobSpec& spec = tasks.job(task.job)->spec;
        if (spec.kind == JobKind::AllAtOnce) {
            planTogether(step, tasks, spec);
            return;
        }
        const Resources size = m_learned->sizeFor(task.job, task.size);
        if (size != task.size) {
            m_plan.resized.push_back({ id, size });
            return;
        }
        if (!isWithinQuota(tasks, spec.team, task.size, 1)) {
            wait(id, WaitReason::QuotaReached);
            return;
        }
        const WorkerSlot kept = takePreempted(id, task.size);
        if (kept.isValid()) {
            place(tasks, id, task, kept, m_plan.single);
            return;
        }
        const bool isHopeless = spec.urgency != Urgency::Urgent && wasRefused(spec.kind, task.size);
        const WorkerSlot slot = isHopeless ? WorkerSlot {} : choose(step, tasks, spec, task);
        if (slot.isValid()) {
            place(tasks, id, task, slot, m_plan.single);
            return;
        }
        if (!isHopeless && m_plan.refusedSizes.size() < config::maxUnplaceableSizes)
            m_plan.refusedSizes.emplace_back(spec.kind, task.size);
        if (!m_index.couldEverFit(task.size)) {
            wait(id, WaitReason::NoWorkerFits);
            return;
        }
        wait(id, WaitReason::InsufficientCapacity);
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
                    noteUse(request, slot);
            }
        }
        const WorkerSlot slot = m_spread.choose(m_index, request, step.random);
        if (slot.isValid())
            noteUse(request, slot);
        return slot;
    }

    void noteUse(PlacementRequest& request, WorkerSlot slot) const
    {
        ++request.rackUse[m_index.at(slot).rack];
        ++request.workerUse[slot];
    }

    void place(const TaskTable& tasks, TaskId id, const TaskRecord& task, WorkerSlot slot, PlaceTasks& command)
    {
        const CapacityIndex::Worker& worker = m_index.at(slot);
        command.placements.push_back({ id, task.epoch + 1, worker.name, worker.incarnation });
        m_index.reserveRoom(slot, task.size);
        m_touched.push_back(slot);
        m_plan.teamUse[tasks.job(task.job)->spec.team] += task.size;
        ++m_plan.placements;
        m_waits.erase(id);
        const auto preempting = m_preempting.find(id);
        if (preempting == m_preempting.end())
            return;
        m_index.unreserve(preempting->second);
        m_preempting.erase(preempting);
    }

    bool isWithinQuota(const TaskTable& tasks, const std::string& team, const Resources& size, uint32_t count) const
    {
        const Resources* limit = tasks.quota(team);
        if (!limit)
            return true;
        Resources use = tasks.teamUse(team);
        const auto planned = m_plan.teamUse.find(team);
        if (planned != m_plan.teamUse.end())
            use += planned->second;
        for (uint32_t i = 0; i < count; ++i)
            use += size;
        return use.fitsIn(*limit);
    }

    /// Whether a task of the kind, no larger in any dimension, found no room in this plan.
    bool wasRefused(JobKind kind, const Resources& size) const
    {
        return std::any_of(m_plan.refusedSizes.begin(), m_plan.refusedSizes.end(),
            [&](const auto& refused) { return refused.first == kind && refused.second.fitsIn(size); });
    }

    // All-at-once jobs.

    void planTogether(NodeStep& step, const TaskTable& tasks, const JobSpec& spec)
    {
        if (!m_plan.plannedJobs.insert(spec.name).second)
            return;
        std::vector<TaskId> waiting;
        for (const TaskId id : tasks.job(spec.name)->tasks) {
            if (tasks.task(id)->state == TaskState::Queued)
                waiting.push_back(id);
        }
        const auto count = static_cast<uint32_t>(waiting.size());
        const Resources size = tasks.task(waiting.front())->size;
        if (!isWithinQuota(tasks, spec.team, size, count)) {
            waitTogether(waiting, WaitReason::QuotaReached);
            return;
        }
        const bool holdsReservation = m_reservedFor.job == spec.name;
        if (holdsReservation)
            unreserveAll();
        const std::vector<WorkerSlot> slots = placeTogether(m_index, size, count);
        if (slots.empty()) {
            if (holdsReservation)
                reserveAll();
            waitTogether(waiting, m_index.couldEverFit(size) ? WaitReason::NotEnoughTogether : WaitReason::NoWorkerFits);
            reserveIfPatienceEnded(step, spec, size, count);
            return;
        }
        if (holdsReservation)
            m_reservedFor = {};
        m_blockedSince.erase(spec.name);
        PlaceTasks command;
        command.isTogether = true;
        for (uint32_t i = 0; i < count; ++i)
            place(tasks, waiting[i], *tasks.task(waiting[i]), slots[i], command);
        m_plan.commands.push_back(std::move(command));
    }

    void waitTogether(const std::vector<TaskId>& ids, WaitReason reason)
    {
        for (const TaskId id : ids)
            wait(id, reason);
    }

    /// Keeps workers free for a job that has been blocked for long, so that smaller jobs cannot
    /// starve it. Others are placed around the kept workers.
    void reserveIfPatienceEnded(NodeStep& step, const JobSpec& spec, const Resources& size, uint32_t count)
    {
        const Time since = m_blockedSince.try_emplace(spec.name, step.now).first->second;
        if (!m_reservedFor.job.empty() || step.now - since < config::gangReservationDelay)
            return;
        uint64_t fitting = 0;
        std::vector<WorkerSlot> kept;
        for (const auto& rack : m_index.racks()) {
            for (const WorkerSlot slot : rack) {
                const CapacityIndex::Worker& worker = m_index.at(slot);
                if (fitting >= count || !worker.isUsable || !size.fitsIn(worker.capacity))
                    continue;
                kept.push_back(slot);
                fitting += detail::taskCount(worker.capacity, size);
            }
        }
        if (fitting < count)
            return;
        m_reservedFor = { spec.name, std::move(kept) };
        reserveAll();
    }

    void reserveAll()
    {
        for (const WorkerSlot slot : m_reservedFor.workers)
            m_index.reserve(slot);
    }

    void unreserveAll()
    {
        for (const WorkerSlot slot : m_reservedFor.workers)
            m_index.unreserve(slot);
    }

    // Preemption.

    /// Room that tasks were stopped for, once they have gone.
    WorkerSlot takePreempted(TaskId id, const Resources& size)
    {
        const auto found = m_preempting.find(id);
        if (found == m_preempting.end())
            return {};
        const CapacityIndex::Worker& worker = m_index.at(found->second);
        return worker.isUsable && size.fitsIn(worker.room) ? found->second : WorkerSlot {};
    }

    bool hasStoppingTask(const TaskTable& tasks, WorkerSlot slot) const
    {
        const auto& held = tasks.worker(m_index.at(slot).name)->tasks;
        return std::any_of(held.begin(), held.end(), [&](TaskId id) { return tasks.task(id)->state != TaskState::Running; });
    }

    bool hasPreemptedRoom(const TaskTable& tasks, TaskId id, WorkerSlot slot) const
    {
        return tasks.task(id)->size.fitsIn(m_index.at(slot).room);
    }

    void preemptFor(const TaskTable& tasks, TaskId id, const Resources& size)
    {
        if (m_preempting.contains(id)) {
            wait(id, WaitReason::WaitingForPreemption);
            return;
        }
        WorkerSlot best;
        uint64_t leastStopped = UINT64_MAX;
        for (uint32_t i = 0; i < m_index.workers().size(); ++i) {
            const CapacityIndex::Worker& worker = m_index.workers()[i];
            if (!worker.isUsable || isPreempting(WorkerSlot { i }) || !size.fitsIn(worker.room + worker.preemptible))
                continue;
            const uint64_t stopped = detail::shortfall(worker.room, size);
            if (stopped < leastStopped) {
                leastStopped = stopped;
                best = WorkerSlot { i };
            }
        }
        if (!best.isValid())
            return;
        m_preempting[id] = best;
        m_index.reserve(best);
        wait(id, WaitReason::WaitingForPreemption);
        stopTasksOn(tasks, best, size);
    }

    bool isPreempting(WorkerSlot slot) const
    {
        return std::any_of(m_preempting.begin(), m_preempting.end(), [&](const auto& entry) { return entry.second == slot; });
    }

    /// Stops the least urgent tasks of a worker until the size fits.
    void stopTasksOn(const TaskTable& tasks, WorkerSlot slot, const Resources& size)
    {
        std::vector<std::pair<Urgency, TaskId>> candidates;
        for (const TaskId id : tasks.worker(m_index.at(slot).name)->tasks) {
            const TaskRecord& task = *tasks.task(id);
            const JobSpec& spec = tasks.job(task.job)->spec;
            if (tasks.isPreemptible(task))
                candidates.emplace_back(spec.urgency, id);
        }
        std::sort(candidates.begin(), candidates.end(), std::greater<>());
        Resources room = m_index.at(slot).room;
        for (const auto& [urgency, id] : candidates) {
            if (size.fitsIn(room))
                return;
            room += tasks.task(id)->size;
            m_plan.preempted.tasks.push_back(id);
        }
    }

    struct Reservation {
        std::string job;
        std::vector<WorkerSlot> workers;
    };

    Pack m_pack;
    Spread m_spread;
    CapacityIndex m_index;
    uint64_t m_indexAt = 0;
    Plan m_plan;
    bool m_isPlanOpen = false;
    std::vector<WorkerSlot> m_touched;
    Time m_nextPlan {};
    Reservation m_reservedFor;
    std::map<std::string, Time> m_blockedSince;
    std::map<TaskId, WorkerSlot> m_preempting;
    std::map<TaskId, WaitReason> m_waits;
    const LearnedSizes* m_learned = nullptr; ///< Set while a plan is made.
};

} // namespace eelgrassloft
