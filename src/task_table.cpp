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

Resources TaskTable::teamUsage(const std::string& team) const
{
    const auto found = m_teamUsage.find(team);
    return found == m_teamUsage.end() ? Resources {} : found->second;
}

std::optional<std::vector<std::string>> TaskTable::workerChangesSince(uint64_t count) const
{
    if (count < m_firstWorkerChange || count > workerChangeCount())
        return std::nullopt;
    return std::vector<std::string>(m_workerChanges.begin() + static_cast<ptrdiff_t>(count - m_firstWorkerChange), m_workerChanges.end());
}

void TaskTable::recordWorkerChange(const std::string& workerName)
{
    m_workerChanges.push_back(workerName);
    if (m_workerChanges.size() <= config::maxWorkerChanges)
        return;
    m_workerChanges.pop_front();
    ++m_firstWorkerChange;
}

void TaskTable::rebuild()
{
    m_queued = {};
    m_teamUsage.clear();
    m_firstWorkerChange = workerChangeCount() + 1; // Forces every reader of the changes to start over.
    m_workerChanges.clear();
    for (auto& [workerName, worker] : m_workers) {
        worker.tasks.clear();
        worker.preemptible = {};
    }
    for (auto& [jobName, job] : m_jobs)
        job.activeTasks = 0;
    for (const auto& [id, task] : m_tasks) {
        if (task.state == TaskState::Queued)
            m_queued[m_jobs.at(task.job).spec.urgency].insert(id);
        if (isOnWorker(task.state))
            attachToWorker(id, task);
    }
}

/// Adds a task that occupies a worker to the derived data of its worker, job and team.
void TaskTable::attachToWorker(TaskId id, const TaskRecord& task)
{
    WorkerRecord& worker = m_workers.at(task.worker);
    JobRecord& job = m_jobs.at(task.job);
    worker.tasks.insert(id);
    if (isPreemptible(task))
        worker.preemptible += task.size;
    ++job.activeTasks;
    m_teamUsage[job.spec.team] += task.size;
    recordWorkerChange(task.worker);
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
        eraseJobIfEnded(jobName);
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

/// Adds the job's missing tasks. A task that is cancelled, or will be once its stop is confirmed, is
/// replaced by a new one.
void TaskTable::addTasks(JobRecord& job)
{
    for (uint32_t indexInJob = 0; indexInJob < job.spec.tasks; ++indexInJob) {
        const bool isNew = indexInJob >= job.tasks.size();
        if (!isNew) {
            const TaskRecord& current = m_tasks[job.tasks[indexInJob]];
            if (current.state != TaskState::Cancelled && current.stateAfterStop != TaskState::Cancelled)
                continue;
            if (current.state == TaskState::Cancelled)
                m_tasks.erase(job.tasks[indexInJob]);
        }
        const TaskId id { m_nextTask++ };
        TaskRecord& task = m_tasks[id];
        task.job = job.spec.name;
        task.indexInJob = indexInJob;
        task.size = job.spec.size;
        m_queued[job.spec.urgency].insert(id);
        if (isNew)
            job.tasks.push_back(id);
        else
            job.tasks[indexInJob] = id;
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

void TaskTable::stopTask(TaskId id, TaskState stateAfterStop)
{
    TaskRecord& task = m_tasks[id];
    if (isEnded(task.state))
        return;
    if (task.state == TaskState::Queued) {
        setState(id, task, stateAfterStop);
        eraseEndedTask(std::string(task.job), id);
        return;
    }
    if (task.state != TaskState::Stopping || stateAfterStop == TaskState::Cancelled)
        task.stateAfterStop = stateAfterStop;
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

bool TaskTable::canPlace(Time at, const Placement& placement) const
{
    const TaskRecord* record = task(placement.task);
    const WorkerRecord* target = worker(placement.worker);
    return record && target && target->admitsPlacements(at) && record->state == TaskState::Queued && placement.epoch == record->epoch + 1
        && target->incarnation == placement.workerIncarnation
        && target->hasCapacityFor(record->size);
}

void TaskTable::place(Time at, const Placement& placement)
{
    TaskRecord& task = m_tasks[placement.task];
    WorkerRecord& worker = m_workers[placement.worker];
    if (worker.hasPassedProbation(at))
        recordWorkerSuccess(worker);
    if (worker.state == WorkerState::Quarantined)
        worker.trial = placement.task;
    task.epoch = placement.epoch;
    task.worker = placement.worker;
    task.workerIncarnation = placement.workerIncarnation;
    worker.committed += task.size;
    setState(placement.task, task, TaskState::Starting);
    attachToWorker(placement.task, task);
    checkCommitted(worker);
}

TaskCommandResult TaskTable::handle(Time at, const PlaceTasks& command)
{
    TaskCommandResult result;
    std::vector<Placement> placed;
    for (const Placement& placement : command.placements) {
        if (!canPlace(at, placement)) {
            ++result.refused;
            continue;
        }
        place(at, placement);
        placed.push_back(placement);
    }
    if (command.isAllOrNothing && result.refused) {
        for (const Placement& placement : placed) {
            TaskRecord& task = m_tasks[placement.task];
            detachFromWorker(placement.task, task);
            setState(placement.task, task, TaskState::Queued);
        }
        return { 0, static_cast<uint32_t>(command.placements.size()) };
    }
    result.accepted = static_cast<uint32_t>(placed.size());
    return result;
}

void TaskTable::detachFromWorker(TaskId id, TaskRecord& task)
{
    const auto found = m_workers.find(task.worker);
    requireInvariant(found != m_workers.end() && found->second.tasks.erase(id) == 1, "a task on a worker is listed by exactly that worker");
    found->second.committed -= task.size;
    if (found->second.trial == id)
        found->second.endTrial();
    if (isPreemptible(task))
        found->second.preemptible -= task.size;
    recordWorkerChange(task.worker);
    JobRecord& job = m_jobs.at(task.job);
    --job.activeTasks;
    m_teamUsage[job.spec.team] -= task.size;
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
        ++(applyReport(at, entry) ? result.accepted : result.refused);
    return result;
}

bool TaskTable::applyReport(Time at, const TaskReport& report)
{
    const auto found = m_tasks.find(report.task);
    if (found == m_tasks.end() || found->second.epoch != report.epoch || !isOnWorker(found->second.state))
        return false;
    TaskRecord& task = found->second;
    if (report.state == TaskState::Running) {
        if (task.state != TaskState::Starting)
            return false;
        setState(report.task, task, TaskState::Running);
        if (WorkerRecord& worker = m_workers[task.worker]; worker.trial == report.task && m_jobs.at(task.job).spec.kind == JobKind::Service)
            worker.serviceSince = at;
        return true;
    }
    if (!isEnded(report.state))
        return false;
    if (report.state == TaskState::Failed) {
        applyFailure(at, report.task, report.detail);
        return true;
    }
    const bool isStopped = report.state == TaskState::Cancelled;
    const bool wasStopRequested = task.state == TaskState::Stopping;
    if (report.state == TaskState::Finished)
        recordWorkerSuccess(m_workers[task.worker]);
    task.detail = report.detail;
    detachFromWorker(report.task, task);
    // A task that stopped without having been asked to is queued again.
    const TaskState next = !isStopped ? TaskState::Finished : wasStopRequested ? task.stateAfterStop
                                                                               : TaskState::Queued;
    setState(report.task, task, next);
    task.stateAfterStop = TaskState::Queued;
    eraseEndedTask(std::string(task.job), report.task);
    return true;
}

void TaskTable::applyFailure(Time at, TaskId id, const std::string& detail)
{
    TaskRecord& task = m_tasks[id];
    recordWorkerFailure(at, m_workers[task.worker], id);
    task.detail = detail;
    ++task.failures;
    const bool isCancelled = task.state == TaskState::Stopping && task.stateAfterStop == TaskState::Cancelled;
    detachFromWorker(id, task);
    const bool isOutOfAttempts = task.failures >= config::maxTaskAttempts && m_jobs[task.job].spec.kind != JobKind::Service;
    setState(id, task, isCancelled ? TaskState::Cancelled : isOutOfAttempts ? TaskState::Failed
                                                                            : TaskState::Queued);
    task.stateAfterStop = TaskState::Queued;
    eraseEndedTask(std::string(task.job), id);
}

void TaskTable::recordWorkerSuccess(WorkerRecord& worker)
{
    worker.failedJobs.clear();
    worker.endTrial();
    if (worker.state == WorkerState::Quarantined)
        worker.state = WorkerState::Ready;
}

/// Each job counts once, so a job that fails on every worker quarantines none of them. On probation any
/// failure quarantines the worker again, but for a service's: it may fail at any time and is started again for
/// ever, so that only the first one on trial shows something.
void TaskTable::recordWorkerFailure(Time at, WorkerRecord& worker, TaskId id)
{
    if (worker.hasPassedProbation(at))
        recordWorkerSuccess(worker);
    const TaskRecord& task = m_tasks[id];
    auto& failed = worker.failedJobs;
    const bool isRepeated = std::find(failed.begin(), failed.end(), task.job) != failed.end();
    if (!isRepeated)
        failed.push_back(task.job);
    const bool isService = m_jobs.at(task.job).spec.kind == JobKind::Service;
    const bool isEvidence = !isService || (worker.trial == id && !isRepeated);
    const bool mustPause = worker.state == WorkerState::Quarantined ? isEvidence : failed.size() >= config::failedJobsToQuarantine;
    if (!mustPause)
        return;
    worker.state = WorkerState::Quarantined;
    worker.quarantinedUntil = at + config::workerQuarantine;
}

// Workers.

TaskCommandResult TaskTable::handle(Time, const SetWorker& command)
{
    WorkerRecord& worker = m_workers[command.name];
    if (command.incarnation < worker.incarnation)
        return { 0, 1 };
    if (command.incarnation > worker.incarnation)
        releaseWorkerTasks(worker); // A restarted worker process runs none of its predecessor's tasks.
    worker.incarnation = command.incarnation;
    worker.rack = command.rack;
    worker.capacity = command.capacity;
    recordWorkerChange(command.name);
    if (command.isLeaving)
        worker.state = WorkerState::Leaving;
    else if (worker.state == WorkerState::Lost || worker.state == WorkerState::Leaving)
        worker.state = WorkerState::Ready;
    return { 1, 0 };
}

TaskCommandResult TaskTable::handle(Time, const MarkWorkerLost& command)
{
    const auto found = m_workers.find(command.name);
    if (found == m_workers.end() || found->second.incarnation != command.incarnation)
        return { 0, 1 };
    releaseWorkerTasks(found->second);
    found->second.state = WorkerState::Lost;
    recordWorkerChange(command.name);
    return { 1, 0 };
}

void TaskTable::releaseWorkerTasks(WorkerRecord& worker)
{
    const std::set<TaskId> held = worker.tasks;
    for (const TaskId id : held) {
        TaskRecord& task = m_tasks[id];
        const TaskState next = task.state == TaskState::Stopping ? task.stateAfterStop : TaskState::Queued;
        detachFromWorker(id, task);
        setState(id, task, next);
        task.stateAfterStop = TaskState::Queued;
        eraseEndedTask(std::string(task.job), id);
    }
    requireInvariant(worker.committed == Resources {}, "a worker without tasks has no committed resources");
}

// Removal.

/// Erases an ended task that its job no longer lists, and a removed job after its last task.
void TaskTable::eraseEndedTask(const std::string& jobName, TaskId id)
{
    const auto task = m_tasks.find(id);
    if (task == m_tasks.end() || !isEnded(task->second.state))
        return;
    const JobRecord& job = m_jobs.at(jobName);
    const uint32_t indexInJob = task->second.indexInJob;
    if (indexInJob >= job.tasks.size() || job.tasks[indexInJob] != id)
        m_tasks.erase(task);
    eraseJobIfEnded(jobName);
}

void TaskTable::eraseJobIfEnded(const std::string& jobName)
{
    const auto found = m_jobs.find(jobName);
    if (found == m_jobs.end() || !found->second.isRemoved || found->second.activeTasks)
        return;
    for (const TaskId id : found->second.tasks)
        m_tasks.erase(id);
    m_jobs.erase(found);
}

void TaskTable::checkCommitted(const WorkerRecord& worker) const
{
    requireInvariant(worker.committed.fitsIn(worker.capacity), "the resources committed on a worker fit within its capacity");
}

} // namespace eelgrassloft
