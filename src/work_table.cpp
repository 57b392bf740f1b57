#include "work_table.h"

#include "access_control.h"

#include <algorithm>
#include <utility>

namespace eelgrassloft {

namespace {

EndedJob summaryOf(const WorkJob& job)
{
    EndedJob summary;
    summary.key = job.key;
    for (const OccurrenceRecord& occurrence : job.occurrences) {
        for (const StepRecord& record : occurrence.steps) {
            summary.failures += record.gangFailures;
            for (const WorkTask& task : record.tasks) {
                summary.attempts = std::max(summary.attempts, task.attempt);
                summary.failures += task.failures;
            }
        }
    }
    const WorkTask* last = job.endedBy.attempt ? job.task(job.endedBy.task) : nullptr;
    if (last)
        summary.lastWorker = last->worker;
    return summary;
}

/// Memory that a job takes while it is open. All hosts have to count alike.
uint64_t memoryOf(const WorkSpec& work)
{
    static_assert(sizeof(WorkTask) + sizeof(PlacedRun) <= config::openTaskBytes && sizeof(StepSpec) <= config::openStepBytes);
    uint64_t tasks = 0;
    for (const StepSpec& step : work.steps)
        tasks += step.count;
    return config::openJobBytes + work.text.size() + work.steps.size() * config::openStepBytes + work.occurrenceCount() * tasks * config::openTaskBytes;
}

bool isSameIncarnation(const WorkerInfo& a, const WorkerInfo& b) { return a.id == b.id && a.startedAtMs == b.startedAtMs; }

} // namespace

WorkTable::Result WorkTable::apply(Time at, const Command& command)
{
    Result result = std::visit([&](const auto& body) { return handle(at, body); }, command);
    result.ended = std::exchange(m_endedByCommand, {});
    result.suspected = std::exchange(m_suspectedByCommand, {});
    return result;
}

void WorkTable::rebuild()
{
    m_openJobs.clear();
    m_openJobBytes = 0;
    m_workerById.clear();
    m_endedJobs.clear();
    m_earlyCancellations.rebuild();
    for (const auto& [key, job] : m_jobs) {
        if (isEnded(job.state)) {
            m_endedJobs.insert({ job.endedAt, key });
            continue;
        }
        m_openJobs.insert(key);
        m_openJobBytes += memoryOf(job.work);
    }
    m_ledger.clear();
    for (const auto& [number, worker] : m_workers) {
        m_workerById[worker.info.id] = number;
        for (const PlacedRun& placed : worker.runs)
            m_ledger.charge(placed.run, placed.workspace, placed.size);
    }
}

/// Removes a run that is over on the worker. A report about a run of another worker has no effect.
void WorkTable::removeRun(FleetWorker& worker, const TaskRun& run)
{
    if (std::erase_if(worker.runs, [&](const PlacedRun& placed) { return placed.run == run; }))
        m_ledger.release(run);
}

const WorkJob* WorkTable::job(JobKey key) const
{
    const auto found = m_jobs.find(key);
    return found == m_jobs.end() ? nullptr : &found->second;
}

bool WorkTable::mayUse(const std::string& workspace, const WorkJob& job) const { return mayUseJob(m_config, workspace, job.workspace, job.queue.name); }

const FleetWorker* WorkTable::worker(WorkerNumber number) const
{
    const auto found = m_workers.find(number);
    return found == m_workers.end() ? nullptr : &found->second;
}

const StepSpec* WorkTable::stepOf(const TaskRef& task) const
{
    const WorkJob* found = job(task.job);
    return found && task.step < found->work.steps.size() ? &found->work.steps[task.step] : nullptr;
}

bool WorkTable::isCurrentRun(const TaskRun& run) const
{
    const WorkJob* found = job(run.task.job);
    if (!found || isEnded(found->state))
        return false;
    const WorkTask* task = found->task(run.task);
    return task && task->phase == TaskPhase::Placed && task->attempt == run.attempt;
}

WorkerNumber WorkTable::findWorker(const std::string& id) const
{
    const auto found = m_workerById.find(id);
    return found == m_workerById.end() ? WorkerNumber {} : found->second;
}

bool WorkJob::hasFinishedRuns() const
{
    const auto hasStepEnds = [](const StepRecord& step) {
        return step.doneCount || step.gangFailures || std::any_of(step.tasks.begin(), step.tasks.end(), [](const WorkTask& task) { return task.failures > 0; });
    };
    return std::any_of(occurrences.begin(), occurrences.end(), [&](const OccurrenceRecord& occurrence) {
        return std::any_of(occurrence.steps.begin(), occurrence.steps.end(), hasStepEnds);
    });
}

bool WorkJob::needsIsolation(const TaskRef& ref) const
{
    const WorkTask* found = task(ref);
    if (!found || !work.steps[ref.step].isGang)
        return found && found->isSuspect;
    const auto& members = occurrences[ref.occurrence].steps[ref.step].tasks;
    return std::any_of(members.begin(), members.end(), [](const WorkTask& member) { return member.isSuspect; });
}

// Jobs.

WorkTable::Result WorkTable::handle(Time at, const SubmitWork& command)
{
    if (const WorkJob* known = job(command.key))
        return { mayUse(command.workspace, *known) ? WorkStatus::Unchanged : WorkStatus::NameTaken };
    removeExpiredJobs(at);
    if (isCancelledEarly(command.key, command.workspace))
        return { WorkStatus::CancelledEarly };
    const QueueSpec* queue = m_config.queue(command.queue);
    if (!queue)
        return { WorkStatus::UnknownQueue };
    const uint64_t memory = memoryOf(command.work);
    if (m_openJobBytes + memory > config::maxOpenJobBytes)
        return { WorkStatus::NoMemory };
    m_openJobBytes += memory;
    WorkJob& job = m_jobs[command.key];
    job.key = command.key;
    job.queue = *queue;
    job.work = command.work;
    job.submittedAt = at;
    job.workspace = command.workspace;
    const WorkspaceSpec* workspace = m_config.workspace(command.workspace);
    job.isBeyondShare = workspace && !m_shares.admit(at, workspace->name, workspace->weight);
    OccurrenceRecord occurrence;
    for (const StepSpec& step : command.work.steps)
        occurrence.steps.push_back({ std::vector<WorkTask>(step.count), 0 });
    job.occurrences.assign(command.work.occurrenceCount(), occurrence);
    m_openJobs.insert(command.key);
    return {};
}

bool WorkTable::isBeyondShare(Time at, const std::string& name) const
{
    const WorkspaceSpec* workspace = m_config.workspace(name);
    return workspace && m_shares.isBeyondShare(at, workspace->name, workspace->weight);
}

WorkTable::Result WorkTable::handle(Time at, const CancelWork& command)
{
    const auto found = m_jobs.find(command.key);
    if (found == m_jobs.end())
        return { m_earlyCancellations.add(at, command.key, command.workspace) ? WorkStatus::UnknownJob : WorkStatus::NoMemory };
    if (!mayUse(command.workspace, found->second))
        return { WorkStatus::UnknownJob };
    if (isEnded(found->second.state))
        return { WorkStatus::Unchanged };
    endJob(at, found->second, WorkState::Cancelled);
    return {};
}

/// Ends a job and drops what only its runs needed. Callers ask for the state of an ended job for
/// minutes, so that the ended jobs outnumber the open ones by far in every copy of the table.
void WorkTable::endJob(Time at, WorkJob& job, WorkState state)
{
    m_endedByCommand.push_back(summaryOf(job));
    m_openJobBytes -= memoryOf(job.work);
    job.occurrences = {};
    job.work.text = {};
    job.state = state;
    job.endedAt = at;
    m_openJobs.erase(job.key);
    m_endedJobs.insert({ at, job.key });
}

void WorkTable::removeExpiredJobs(Time at)
{
    while (!m_endedJobs.empty() && m_endedJobs.begin()->first + config::endedJobRetention < at) {
        m_jobs.erase(m_endedJobs.begin()->second);
        m_endedJobs.erase(m_endedJobs.begin());
    }
    m_earlyCancellations.removeExpired(at);
}

// Configuration.

WorkTable::Result WorkTable::handle(Time, const SetFleetConfig& command)
{
    if (command.config.version <= m_config.version)
        return { WorkStatus::Unchanged };
    m_config = command.config;
    m_shares.retain([&](const std::string& workspace) { return m_config.workspace(workspace) != nullptr; });
    return {};
}

// Workers.

WorkTable::Result WorkTable::handle(Time at, const SetFleetWorker& command)
{
    const WorkerInfo& info = command.info;
    if (!hasRoomFor(info, command.maxWorkers))
        return { WorkStatus::NoMemory };
    std::vector<WorkerNumber> former;
    for (auto& [number, record] : m_workers) {
        if (!record.info.isSameWorker(info))
            continue;
        if (record.info.startedAtMs > info.startedAtMs)
            return { WorkStatus::Unchanged }; // Report of an earlier incarnation.
        if (isSameIncarnation(record.info, info)) {
            record.info = info;
            record.reportSequence = command.reportSequence;
            return {};
        }
        former.push_back(number);
    }
    FleetWorker inheritance = takeInheritance(former, info.id);
    for (const WorkerNumber number : former)
        removeWorker(at, number, true);
    const WorkerNumber number { m_nextWorker++ };
    m_workers[number].info = info;
    m_workers[number].reportSequence = command.reportSequence;
    m_workerById[info.id] = number;
    inherit(number, std::move(inheritance));
    return {};
}

bool WorkTable::hasRoomFor(const WorkerInfo& info, uint32_t maxWorkers) const
{
    return !maxWorkers || m_workers.size() < maxWorkers || std::any_of(m_workers.begin(), m_workers.end(), [&](const auto& entry) { return entry.second.info.isSameWorker(info); });
}

bool WorkTable::displacesWorker(const WorkerInfo& info) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto& entry) { return entry.second.info.isSameWorker(info) && !isSameIncarnation(entry.second.info, info); });
}

WorkTable::Result WorkTable::handle(Time at, const RemoveFleetWorker& command)
{
    if (!m_workers.count(command.worker))
        return { WorkStatus::Unchanged };
    removeWorker(at, command.worker, command.isReplaced);
    return {};
}

void WorkTable::removeWorker(Time at, WorkerNumber number, bool isReplaced)
{
    FleetWorker& record = m_workers.at(number);
    record.formerCrashSuspects.clear();
    for (const PlacedRun& placed : std::vector<PlacedRun>(record.runs))
        requeue(at, { placed.run, {} }, number);
    if (isReplaced && !record.info.isLeaving)
        countCrash(at, record);
    takeCrashSuspects(record);
    const auto byId = m_workerById.find(record.info.id);
    if (byId != m_workerById.end() && byId->second == number)
        m_workerById.erase(byId);
    m_workers.erase(number);
}

// Runs.

WorkTable::Result WorkTable::handle(Time at, const PlaceRuns& command)
{
    for (const RunPlacement& placement : command.placements) {
        const auto found = m_jobs.find(placement.run.task.job);
        const auto worker = m_workers.find(placement.worker);
        if (found == m_jobs.end() || worker == m_workers.end() || isEnded(found->second.state))
            continue;
        WorkTask* task = found->second.task(placement.run.task);
        if (!task || task->phase != TaskPhase::Waiting || placement.run.attempt <= task->attempt)
            continue;
        ++found->second.changes;
        task->phase = TaskPhase::Placed;
        task->attempt = placement.run.attempt;
        task->worker = placement.worker;
        const WorkJob& job = found->second;
        const Resources& size = job.work.steps[placement.run.task.step].size;
        worker->second.runs.push_back({ placement.run, job.workspace, size });
        m_ledger.charge(placement.run, job.workspace, size);
        takeCrashSuspects(worker->second); // It has responded since.
        if (found->second.state == WorkState::Queued)
            found->second.startedAt = at;
        found->second.state = WorkState::Running;
    }
    return {};
}

WorkTable::Result WorkTable::handle(Time at, const RecordRunOutcomes& command)
{
    const auto worker = m_workers.find(command.worker);
    if (worker == m_workers.end())
        return { WorkStatus::Unchanged };
    takeCrashSuspects(worker->second);
    for (const EndedRun& end : command.ends) {
        if (end.number <= worker->second.lastEndNumber)
            continue;
        worker->second.lastEndNumber = end.number;
        recordEnd(at, command.worker, end);
        removeRun(worker->second, end.run);
    }
    return {};
}

void WorkTable::recordEnd(Time at, WorkerNumber worker, const EndedRun& end)
{
    const auto found = m_jobs.find(end.run.task.job);
    if (found == m_jobs.end() || isEnded(found->second.state))
        return;
    WorkJob& job = found->second;
    WorkTask* task = job.task(end.run.task);
    const bool isLatest = task && task->phase == TaskPhase::Placed && task->attempt == end.run.attempt && task->worker == worker;
    if (!isLatest)
        return;
    ++job.changes;
    const StepSpec& step = job.work.steps[end.run.task.step];
    if (end.runOutcome == RunOutcome::Done && !step.isLongRunning) {
        completeTask(at, job, end.run);
        return;
    }
    task->phase = TaskPhase::Waiting;
    storeCheckpoint(job, end.run.task, end.checkpoint);
    if (end.runOutcome != RunOutcome::Failed || step.isLongRunning || !countFailure(job, end.run))
        return;
    job.endedBy = end.run;
    endJob(at, job, WorkState::Failed);
}

/// Stores the checkpoint of a run. All members of a gang resume from the same checkpoint.
void WorkTable::storeCheckpoint(WorkJob& job, const TaskRef& ref, const std::string& checkpoint)
{
    if (checkpoint.empty())
        return;
    if (!job.work.steps[ref.step].isGang) {
        job.task(ref)->checkpoint = checkpoint;
        return;
    }
    for (WorkTask& task : job.occurrences[ref.occurrence].steps[ref.step].tasks)
        task.checkpoint = checkpoint;
}

/// Counts a failure of the task or its gang. Returns true once the queue's limit is reached.
bool WorkTable::countFailure(WorkJob& job, const TaskRun& run)
{
    if (!job.work.steps[run.task.step].isGang)
        return ++job.task(run.task)->failures >= job.queue.maxAttempts;
    StepRecord& step = job.occurrences[run.task.occurrence].steps[run.task.step];
    if (step.lastFailedAttempt == run.attempt)
        return false;
    step.lastFailedAttempt = run.attempt;
    return ++step.gangFailures >= job.queue.maxAttempts;
}

void WorkTable::completeTask(Time at, WorkJob& job, const TaskRun& run)
{
    const TaskRef& ref = run.task;
    OccurrenceRecord& occurrence = job.occurrences[ref.occurrence];
    StepRecord& step = occurrence.steps[ref.step];
    const bool isGang = job.work.steps[ref.step].isGang; // The success of one member completes all of them.
    for (uint32_t i = 0; i < step.tasks.size(); ++i) {
        WorkTask& task = step.tasks[i];
        if ((!isGang && i != ref.index) || task.phase == TaskPhase::Done)
            continue;
        task.phase = TaskPhase::Done;
        task.checkpoint.clear();
        ++step.doneCount;
    }
    if (!step.isDone())
        return;
    if (++occurrence.doneSteps < occurrence.steps.size())
        return;
    if (++job.doneOccurrences < job.occurrences.size())
        return;
    job.endedBy = run;
    endJob(at, job, WorkState::Done);
}

WorkTable::Result WorkTable::handle(Time at, const RequeueLostRuns& command)
{
    for (const LostRun& lost : command.runs)
        requeue(at, lost, command.worker);
    return {};
}

void WorkTable::requeue(Time at, const LostRun& lost, WorkerNumber worker)
{
    const TaskRun& run = lost.run;
    const auto record = m_workers.find(worker);
    if (record != m_workers.end() && !lost.mayBeInherited)
        removeRun(record->second, run);
    const auto found = m_jobs.find(run.task.job);
    if (found == m_jobs.end())
        return;
    WorkTask* task = found->second.task(run.task);
    if (task && task->phase == TaskPhase::Placed && task->attempt == run.attempt && task->worker == worker) {
        ++found->second.changes;
        if (!lost.mayBeInherited)
            task->phase = TaskPhase::Waiting;
        storeCheckpoint(found->second, run.task, lost.checkpoint);
        if (record == m_workers.end())
            return;
        noteCrashSuspect(record->second, *task, lost);
        if (lost.evidence == CrashEvidence::None)
            countFormerCrash(at, record->second, lost);
    }
}

} // namespace eelgrassloft
