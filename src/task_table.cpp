#include "task_table.h"

#include "invariant.h"

#include <algorithm>

namespace eelgrassloft {

TaskCommandResult TaskTable::apply(Time at, const TaskCommand& command)
{
    return std::visit([&](const auto& body) { return handle(at, body); }, command);
}

const TaskRecord* TaskTable::task(TaskId id) const
{
    const auto found = m_tasks.find(id);
    return found == m_tasks.end() ? nullptr : &found->second;
}

const JobRecord* TaskTable::job(const std::string& jobName) const
{
    const auto found = m_jobs.find(jobName);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const WorkerRecord* TaskTable::worker(const std::string& workerName) const
{
    const auto found = m_workers.find(workerName);
    return found == m_workers.end() ? nullptr : &found->second;
}

const Resources* TaskTable::quota(const std::string& team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? nullptr : &found->second.limit;
}

Resources TaskTable::teamUse(const std::string& team) const
{
    const auto found = m_teamUse.find(team);
    return found == m_teamUse.end() ? Resources {} : found->second;
}

std::optional<std::vector<std::string>> TaskTable::changesSince(uint64_t count) const
{
    if (count < m_firstChange || count > changeCount())
        return std::nullopt;
    return std::vector<std::string>(m_changes.begin() + static_cast<ptrdiff_t>(count - m_firstChange), m_changes.end());
}

void TaskTable::noteChange(const std::string& workerName)
{
    m_changes.push_back(workerName);
    if (m_changes.size() <= config::maxWorkerChanges)
        return;
    m_changes.pop_front();
    ++m_firstChange;
}

void TaskTable::rebuild()
{
    m_queued = {};
    m_teamUse.clear();
    m_firstChange = changeCount() + 1; // Readers start over.
    m_changes.clear();
    for (auto& [workerName, worker] : m_workers) {
        worker.tasks.clear();
        worker.preemptible = {};
    }
    for (auto& [jobName, job] : m_jobs)
        job.heldTasks = 0;
    for (const auto& [id, task] : m_tasks) {
        if (task.state == TaskState::Queued)
            m_queued[m_jobs.at(task.job).spec.urgency].insert(id);
        if (isOnWorker(task.state))
            holdWorker(id, task);
    }
}

/// Adds a task to everything that is derived from the tasks on workers.
void TaskTable::holdWorker(TaskId id, const TaskRecord& task)
{
    WorkerRecord& worker = m_workers.at(task.worker);
    JobRecord& job = m_jobs.at(task.job);
    worker.tasks.insert(id);
    if (isPreemptible(task))
        worker.preemptible += task.size;
    ++job.heldTasks;
    m_teamUse[job.spec.team] += task.size;
    noteChange(task.worker);
}

bool TaskTable::isPreemptible(const TaskRecord& task) const
{
    if (task.state != TaskState::Starting && task.state != TaskState::Running)
        return false;
    const JobSpec& spec = m_jobs.at(task.job).spec;
    return spec.canCheckpoint && spec.urgency != Urgency::Urgent && spec.kind != JobKind::AllAtOnce;
}

// Jobs.

TaskCommandResult TaskTable::handle(Time, const SyncJobs& command)
{
    if (command.cellRevision <= m_cellRevision)
        return { 0, 1 };
    m_cellRevision = command.cellRevision;
    for (const TeamQuota& quota : command.setTeams)
        m_teams[quota.team] = quota;
    for (const std::string& team : command.removeTeams)
        m_teams.erase(team);
    for (const std::string& jobName : command.removeJobs) {
        const auto found = m_jobs.find(jobName);
        if (found == m_jobs.end())
            continue;
        cancelJob(found->second);
        found->second.isRemoved = true;
        eraseIfEnded(jobName);
    }
    for (const JobSpec& spec : command.setJobs)
        setJob(spec);
    return { 1, 0 };
}

void TaskTable::setJob(const JobSpec& spec)
{
    JobRecord& job = m_jobs[spec.name];
    job.isCancelled = job.isRemoved = false;
    const bool isDerivedDataStale = !job.tasks.empty()
        && (job.spec.urgency != spec.urgency || job.spec.team != spec.team || job.spec.kind != spec.kind || job.spec.canCheckpoint != spec.canCheckpoint);
    job.spec = spec;
    if (isDerivedDataStale)
        rebuild();
    while (job.tasks.size() > spec.tasks) {
        const TaskId last = job.tasks.back();
        job.tasks.pop_back();
        stopTask(last, TaskState::Cancelled);
    }
    addTasks(job);
}

void TaskTable::addTasks(JobRecord& job)
{
    for (uint32_t number = 0; number < job.spec.tasks; ++number) {
        const bool isNew = number >= job.tasks.size();
        if (!isNew) {
            const TaskRecord& current = m_tasks[job.tasks[number]];
            if (current.state != TaskState::Cancelled && current.afterStop != TaskState::Cancelled)
                continue;
            if (current.state == TaskState::Cancelled)
                m_tasks.erase(job.tasks[number]);
        }
        const TaskId id { m_nextTask++ };
        TaskRecord& task = m_tasks[id];
        task.job = job.spec.name;
        task.number = number;
        task.size = job.spec.size;
        m_queued[job.spec.urgency].insert(id);
        if (isNew)
            job.tasks.push_back(id);
        else
            job.tasks[number] = id;
    }
}

void TaskTable::cancelJob(JobRecord& job)
{
    job.isCancelled = true;
    for (const TaskId id : job.tasks)
        stopTask(id, TaskState::Cancelled);
}

TaskCommandResult TaskTable::handle(Time, const CancelJobs& command)
{
    TaskCommandResult result;
    for (const std::string& jobName : command.jobs) {
        const auto found = m_jobs.find(jobName);
        if (found == m_jobs.end() || found->second.isCancelled) {
            ++result.refused;
            continue;
        }
        cancelJob(found->second);
        ++result.accepted;
    }
    return result;
}

void TaskTable::stopTask(TaskId id, TaskState afterStop)
{
    TaskRecord& task = m_tasks[id];
    if (isEnded(task.state))
        return;
    if (task.state == TaskState::Queued) {
        setState(id, task, afterStop);
        collectEnded(std::string(task.job), id);
        return;
    }
    if (task.state != TaskState::Stopping || afterStop == TaskState::Cancelled)
        task.afterStop = afterStop;
    setState(id, task, TaskState::Stopping);
}

TaskCommandResult TaskTable::handle(Time, const PreemptTasks& command)
{
    TaskCommandResult result;
    for (const TaskId id : command.tasks) {
        const TaskRecord* record = task(id);
        if (!record || (record->state != TaskState::Starting && record->state != TaskState::Running)) {
            ++result.refused;
            continue;
        }
        stopTask(id, TaskState::Queued);
        ++result.accepted;
    }
    return result;
}

TaskCommandResult TaskTable::handle(Time, const ResizeTask& command)
{
    const auto found = m_tasks.find(command.task);
    if (found == m_tasks.end() || found->second.state != TaskState::Queued)
        return { 0, 1 };
    found->second.size = command.size;
    return { 1, 0 };
}

// Placement.

bool TaskTable::canPlace(const Placement& placement) const
{
    const TaskRecord* record = task(placement.task);
    const WorkerRecord* target = worker(placement.worker);
    return record && target && record->state == TaskState::Queued && placement.epoch == record->epoch + 1
        && target->incarnation == placement.workerIncarnation
        && (target->state == WorkerState::Ready || target->state == WorkerState::Quarantined)
        && target->hasRoomFor(record->size);
}

void TaskTable::place(const Placement& placement)
{
    TaskRecord& task = m_tasks[placement.task];
    WorkerRecord& worker = m_workers[placement.worker];
    task.epoch = placement.epoch;
    task.worker = placement.worker;
    task.workerIncarnation = placement.workerIncarnation;
    worker.committed += task.size;
    setState(placement.task, task, TaskState::Starting);
    holdWorker(placement.task, task);
    checkWorker(worker);
}

TaskCommandResult TaskTable::handle(Time, const PlaceTasks& command)
{
    TaskCommandResult result;
    std::vector<Placement> done;
    for (const Placement& placement : command.placements) {
        if (!canPlace(placement)) {
            ++result.refused;
            continue;
        }
        place(placement);
        done.push_back(placement);
    }
    if (command.isTogether && result.refused) {
        for (const Placement& placement : done) {
            TaskRecord& task = m_tasks[placement.task];
            leaveWorker(placement.task, task);
            setState(placement.task, task, TaskState::Queued);
        }
        return { 0, static_cast<uint32_t>(command.placements.size()) };
    }
    result.accepted = static_cast<uint32_t>(done.size());
    return result;
}

void TaskTable::leaveWorker(TaskId id, TaskRecord& task)
{
    const auto found = m_workers.find(task.worker);
    requireInvariant(found != m_workers.end() && found->second.tasks.erase(id) == 1, "a task holds exactly one worker");
    found->second.committed -= task.size;
    if (isPreemptible(task))
        found->second.preemptible -= task.size;
    noteChange(task.worker);
    JobRecord& job = m_jobs.at(task.job);
    --job.heldTasks;
    m_teamUse[job.spec.team] -= task.size;
    task.worker.clear();
}

void TaskTable::setState(TaskId id, TaskRecord& task, TaskState state)
{
    const bool wasPreemptible = isPreemptible(task);
    if (task.state == TaskState::Queued)
        m_queued[m_jobs.at(task.job).spec.urgency].erase(id);
    task.state = state;
    if (state == TaskState::Queued)
        m_queued[m_jobs.at(task.job).spec.urgency].insert(id);
    if (wasPreemptible && state == TaskState::Stopping)
        m_workers.at(task.worker).preemptible -= task.size;
}

// Reports.

TaskCommandResult TaskTable::handle(Time at, const ReportTasks& command)
{
    TaskCommandResult result;
    for (const TaskReport& entry : command.reports)
        ++(report(at, entry) ? result.accepted : result.refused);
    return result;
}

bool TaskTable::report(Time at, const TaskReport& report)
{
    const auto found = m_tasks.find(report.task);
    if (found == m_tasks.end() || found->second.epoch != report.epoch || !isOnWorker(found->second.state))
        return false;
    TaskRecord& task = found->second;
    if (report.state == TaskState::Running) {
        if (task.state != TaskState::Starting)
            return false;
        setState(report.task, task, TaskState::Running);
        return true;
    }
    if (!isEnded(report.state))
        return false;
    if (report.state == TaskState::Failed) {
        reportFailure(at, report.task, report.detail);
        return true;
    }
    const bool isStopped = report.state == TaskState::Cancelled;
    const bool wasAsked = task.state == TaskState::Stopping;
    if (report.state == TaskState::Finished)
        noteWorkerSuccess(m_workers[task.worker]);
    task.detail = report.detail;
    leaveWorker(report.task, task);
    // A stop that nobody asked for sends the task back to the queue.
    const TaskState next = !isStopped ? TaskState::Finished : wasAsked ? task.afterStop
                                                                       : TaskState::Queued;
    setState(report.task, task, next);
    task.afterStop = TaskState::Queued;
    collectEnded(std::string(task.job), report.task);
    return true;
}

void TaskTable::reportFailure(Time at, TaskId id, const std::string& detail)
{
    TaskRecord& task = m_tasks[id];
    noteWorkerFailure(at, m_workers[task.worker], task.job);
    task.detail = detail;
    ++task.failures;
    const bool isCancelled = task.state == TaskState::Stopping && task.afterStop == TaskState::Cancelled;
    leaveWorker(id, task);
    const bool hasGivenUp = task.failures >= config::maxTaskAttempts && m_jobs[task.job].spec.kind != JobKind::Service;
    setState(id, task, isCancelled ? TaskState::Cancelled : hasGivenUp ? TaskState::Failed
                                                                       : TaskState::Queued);
    task.afterStop = TaskState::Queued;
    collectEnded(std::string(task.job), id);
}

void TaskTable::noteWorkerSuccess(WorkerRecord& worker)
{
    worker.failedJobs.clear();
    if (worker.state == WorkerState::Quarantined)
        worker.state = WorkerState::Ready;
}

/// A job that failed here counts once, so a job that fails everywhere sets no worker aside.
void TaskTable::noteWorkerFailure(Time at, WorkerRecord& worker, const std::string& job)
{
    auto& failed = worker.failedJobs;
    if (std::find(failed.begin(), failed.end(), job) == failed.end())
        failed.push_back(job);
    if (failed.size() < config::failedJobsToQuarantine && worker.state != WorkerState::Quarantined)
        return;
    worker.state = WorkerState::Quarantined;
    worker.pausedUntil = at + config::workerQuarantine;
}

// Workers.

TaskCommandResult TaskTable::handle(Time, const SetWorker& command)
{
    WorkerRecord& worker = m_workers[command.name];
    if (command.incarnation < worker.incarnation)
        return { 0, 1 };
    if (command.incarnation > worker.incarnation)
        releaseWorkerTasks(worker); // A new process on the worker runs none of the former one's tasks.
    worker.incarnation = command.incarnation;
    worker.rack = command.rack;
    worker.capacity = command.capacity;
    noteChange(command.name);
    if (command.isLeaving)
        worker.state = WorkerState::Leaving;
    else if (worker.state == WorkerState::Lost || worker.state == WorkerState::Leaving)
        worker.state = WorkerState::Ready;
    return { 1, 0 };
}

TaskCommandResult TaskTable::handle(Time, const LoseWorker& command)
{
    const auto found = m_workers.find(command.name);
    if (found == m_workers.end() || found->second.incarnation != command.incarnation)
        return { 0, 1 };
    releaseWorkerTasks(found->second);
    found->second.state = WorkerState::Lost;
    noteChange(command.name);
    return { 1, 0 };
}

void TaskTable::releaseWorkerTasks(WorkerRecord& worker)
{
    const std::set<TaskId> held = worker.tasks;
    for (const TaskId id : held) {
        TaskRecord& task = m_tasks[id];
        const TaskState next = task.state == TaskState::Stopping ? task.afterStop : TaskState::Queued;
        leaveWorker(id, task);
        setState(id, task, next);
        task.afterStop = TaskState::Queued;
        collectEnded(std::string(task.job), id);
    }
    requireInvariant(worker.committed == Resources {}, "an empty worker has nothing committed");
}

// Removal.

/// Forgets an ended task that its job no longer lists, and a removed job after its last task.
void TaskTable::collectEnded(const std::string& jobName, TaskId id)
{
    const auto task = m_tasks.find(id);
    if (task == m_tasks.end() || !isEnded(task->second.state))
        return;
    const JobRecord& job = m_jobs.at(jobName);
    const uint32_t number = task->second.number;
    if (number >= job.tasks.size() || job.tasks[number] != id)
        m_tasks.erase(task);
    eraseIfEnded(jobName);
}

void TaskTable::eraseIfEnded(const std::string& jobName)
{
    const auto found = m_jobs.find(jobName);
    if (found == m_jobs.end() || !found->second.isRemoved || found->second.heldTasks)
        return;
    for (const TaskId id : found->second.tasks)
        m_tasks.erase(id);
    m_jobs.erase(found);
}

void TaskTable::checkWorker(const WorkerRecord& worker) const
{
    requireInvariant(worker.committed.fitsIn(worker.capacity), "no worker is committed beyond its capacity");
}

} // namespace eelgrassloft
