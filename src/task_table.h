#pragma once

#include "eelgrassloft/job.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>

namespace eelgrassloft {

/// Replicated state of one task of a job.
struct TaskRecord {
    std::string job;
    uint32_t indexInJob = 0;
    TaskState state = TaskState::Queued;
    TaskState stateAfterStop = TaskState::Queued; ///< State that the task enters once its stop is confirmed.
    uint32_t epoch = 0; ///< Fencing token, raised by each placement; reports and commands of another epoch are ignored.
    uint32_t failures = 0;
    std::string worker;
    uint64_t workerIncarnation = 0;
    Resources size; ///< Reservation on the worker.
    std::string detail; ///< Last message that a worker reported for the task.

    static constexpr auto members()
    {
        return std::make_tuple(&TaskRecord::job, &TaskRecord::indexInJob, &TaskRecord::state, &TaskRecord::stateAfterStop,
            &TaskRecord::epoch, &TaskRecord::failures, &TaskRecord::worker, &TaskRecord::workerIncarnation,
            &TaskRecord::size, &TaskRecord::detail);
    }
};

/// Replicated state of a job. Fields marked as derived are rebuilt from the tasks, not stored.
struct JobRecord {
    JobSpec spec;
    std::vector<TaskId> tasks;
    bool isCancelled = false;
    bool isRemoved = false; ///< No longer in the manifest; the record is erased once its tasks have ended.
    uint32_t activeTasks = 0; ///< Tasks that occupy a worker, replaced ones included. Derived.

    static constexpr auto members()
    {
        return std::make_tuple(&JobRecord::spec, &JobRecord::tasks, &JobRecord::isCancelled, &JobRecord::isRemoved);
    }
};

/// Replicated state of a worker. Fields marked as derived are rebuilt from the tasks, not stored.
struct WorkerRecord {
    uint64_t incarnation = 0;
    std::string rack;
    Resources capacity;
    Resources committed; ///< Sum of the sizes of the tasks that occupy this worker.
    WorkerState state = WorkerState::Ready;
    Time quarantinedUntil {};
    std::vector<std::string> failedJobs; ///< Distinct jobs whose tasks failed here since the last success.
    TaskId trial; ///< Task that was placed here after the quarantine, to see if it fails too; invalid if there is none.
    Time serviceSince = never; ///< When the trial was reported as running, if it is a service's.
    std::set<TaskId> tasks; ///< Tasks that occupy this worker. Derived.
    Resources preemptible; ///< Sum of the sizes of the tasks that urgent ones may preempt. Derived.

    static constexpr auto members()
    {
        return std::make_tuple(&WorkerRecord::incarnation, &WorkerRecord::rack, &WorkerRecord::capacity,
            &WorkerRecord::committed, &WorkerRecord::state, &WorkerRecord::quarantinedUntil, &WorkerRecord::failedJobs, &WorkerRecord::trial,
            &WorkerRecord::serviceSince);
    }

    /// Free capacity; nothing where the worker lowered its capacity below what is committed.
    Resources freeCapacity() const { return committed.fitsIn(capacity) ? capacity - committed : Resources {}; }

    bool hasCapacityFor(const Resources& size) const { return committed.fitsIn(capacity) && size.fitsIn(capacity - committed); }

    /// Whether its quarantine has ended and its probation has begun, over or not.
    bool hasLeftQuarantine(Time now) const { return state == WorkerState::Quarantined && now >= quarantinedUntil; }
    /// Whether its probation is over: a service task has been at work for long enough, or nothing failed for
    /// as long as a probation may last. Both come by time alone; the next placement makes it `Ready`.
    bool hasPassedProbation(Time now) const
    {
        const bool isProven = serviceSince != never && now >= serviceSince + config::serviceProof;
        return hasLeftQuarantine(now) && (isProven || now >= quarantinedUntil + config::maxWorkerProbation);
    }
    void endTrial()
    {
        trial = {};
        serviceSince = never;
    }
    /// Whether a plan may give it a task on trial.
    bool awaitsTrial(Time now) const { return hasLeftQuarantine(now) && !trial.isValid(); }
    /// Whether the state allows a placement. One that was planned before the quarantine is on trial too.
    bool admitsPlacements(Time now) const
    {
        return state == WorkerState::Ready || (state == WorkerState::Quarantined && !trial.isValid()) || hasPassedProbation(now);
    }
};

/// Changes the reservation of a queued task to the size learned from its usage.
struct ResizeTask {
    TaskId task;
    Resources size;

    static constexpr auto members() { return std::make_tuple(&ResizeTask::task, &ResizeTask::size); }
};

/// Applies the difference between the cell's manifest and the jobs and quotas of this data centre.
struct SyncJobs {
    uint64_t cellRevision = 0;
    std::vector<JobSpec> setJobs;
    std::vector<std::string> removeJobs;
    std::vector<TeamQuota> setTeams;
    std::vector<std::string> removeTeams;

    static constexpr auto members()
    {
        return std::make_tuple(&SyncJobs::cellRevision, &SyncJobs::setJobs, &SyncJobs::removeJobs, &SyncJobs::setTeams,
            &SyncJobs::removeTeams);
    }
};

/// Registers a worker or updates what it reports of itself.
struct SetWorker {
    std::string name;
    uint64_t incarnation = 0;
    std::string rack;
    Resources capacity;
    bool isLeaving = false;

    static constexpr auto members()
    {
        return std::make_tuple(&SetWorker::name, &SetWorker::incarnation, &SetWorker::rack, &SetWorker::capacity, &SetWorker::isLeaving);
    }
};

/// Marks a worker as lost. Its lease has expired, so its tasks have stopped and are queued again.
struct MarkWorkerLost {
    std::string name;
    uint64_t incarnation = 0;

    static constexpr auto members() { return std::make_tuple(&MarkWorkerLost::name, &MarkWorkerLost::incarnation); }
};

/// Assigns a queued task to one incarnation of a worker.
struct Placement {
    TaskId task;
    uint32_t epoch = 0; ///< The task's epoch after the placement.
    std::string worker;
    uint64_t workerIncarnation = 0;

    static constexpr auto members()
    {
        return std::make_tuple(&Placement::task, &Placement::epoch, &Placement::worker, &Placement::workerIncarnation);
    }
};

/// Places tasks: each on its own, or all or none with `isAllOrNothing`.
struct PlaceTasks {
    std::vector<Placement> placements;
    bool isAllOrNothing = false;

    static constexpr auto members() { return std::make_tuple(&PlaceTasks::placements, &PlaceTasks::isAllOrNothing); }
};

/// State of a task as its worker reported it: Running, Finished, Failed, or Cancelled for a confirmed stop.
struct TaskReport {
    TaskId task;
    uint32_t epoch = 0;
    TaskState state = TaskState::Running;
    std::string detail;

    static constexpr auto members()
    {
        return std::make_tuple(&TaskReport::task, &TaskReport::epoch, &TaskReport::state, &TaskReport::detail);
    }
};

struct ReportTasks {
    std::vector<TaskReport> reports;

    static constexpr auto members() { return std::make_tuple(&ReportTasks::reports); }
};

/// Stops tasks in favour of others; they are queued again once stopped.
struct PreemptTasks {
    std::vector<TaskId> tasks;

    static constexpr auto members() { return std::make_tuple(&PreemptTasks::tasks); }
};

struct CancelJobs {
    std::vector<std::string> jobs;

    static constexpr auto members() { return std::make_tuple(&CancelJobs::jobs); }
};

using TaskCommand = std::variant<SyncJobs, SetWorker, MarkWorkerLost, PlaceTasks, ReportTasks, PreemptTasks, CancelJobs, ResizeTask>;

/// Reply to a `TaskCommand`.
struct TaskCommandResult {
    uint32_t accepted = 0;
    uint32_t refused = 0; ///< Parts of the command that the current state does not allow.

    static constexpr auto members() { return std::make_tuple(&TaskCommandResult::accepted, &TaskCommandResult::refused); }
};

/// Jobs, tasks and workers of one data centre. Part of its replicated state: every change is a
/// log entry. Each command is validated against the current state, so a stale one has no effect.
class TaskTable {
public:
    TaskCommandResult apply(Time at, const TaskCommand& command);

    uint64_t cellRevision() const { return m_cellRevision; }
    const std::map<std::string, JobRecord>& jobs() const { return m_jobs; }
    const std::map<TaskId, TaskRecord>& tasks() const { return m_tasks; }
    const std::map<std::string, WorkerRecord>& workers() const { return m_workers; }
    const std::set<TaskId>& queued(Urgency urgency) const { return m_queued[urgency]; }

    /// Number of worker changes that this member has applied so far.
    uint64_t workerChangeCount() const { return m_firstWorkerChange + m_workerChanges.size(); }
    /// Names of the workers in the changes after the first `count`, or nothing where these changes are
    /// no longer remembered.
    std::optional<std::vector<std::string>> workerChangesSince(uint64_t count) const;

    const TaskRecord* task(TaskId id) const;
    const JobRecord* job(const std::string& jobName) const;
    const WorkerRecord* worker(const std::string& workerName) const;

    const std::map<std::string, TeamQuota>& teams() const { return m_teams; }
    /// Resource limit of a team, or null where it has none.
    const Resources* quota(const std::string& team) const;
    /// Sum of the sizes of a team's tasks that occupy workers.
    Resources teamUsage(const std::string& team) const;

    /// Whether an urgent task may preempt this one.
    bool isPreemptible(const TaskRecord& task) const;

    /// Rebuilds the derived data after the records were decoded from a snapshot.
    void rebuild();

    static constexpr auto members()
    {
        return std::make_tuple(&TaskTable::m_cellRevision, &TaskTable::m_nextTask, &TaskTable::m_jobs,
            &TaskTable::m_tasks, &TaskTable::m_workers, &TaskTable::m_teams);
    }

private:
    TaskCommandResult handle(Time at, const SyncJobs& command);
    TaskCommandResult handle(Time at, const SetWorker& command);
    TaskCommandResult handle(Time at, const MarkWorkerLost& command);
    TaskCommandResult handle(Time at, const PlaceTasks& command);
    TaskCommandResult handle(Time at, const ReportTasks& command);
    TaskCommandResult handle(Time at, const PreemptTasks& command);
    TaskCommandResult handle(Time at, const CancelJobs& command);
    TaskCommandResult handle(Time at, const ResizeTask& command);

    void setJob(const JobSpec& spec);
    void addTasks(JobRecord& job);
    void cancelJob(JobRecord& job);
    void stopTask(TaskId id, TaskState stateAfterStop);
    bool canPlace(Time at, const Placement& placement) const;
    void place(Time at, const Placement& placement);
    bool applyReport(Time at, const TaskReport& report);
    void applyFailure(Time at, TaskId id, const std::string& detail);
    void recordWorkerFailure(Time at, WorkerRecord& worker, TaskId id);
    static void recordWorkerSuccess(WorkerRecord& worker);
    void detachFromWorker(TaskId id, TaskRecord& task);
    void setState(TaskId id, TaskRecord& task, TaskState state);
    void attachToWorker(TaskId id, const TaskRecord& task);
    void recordWorkerChange(const std::string& workerName);
    void releaseWorkerTasks(WorkerRecord& worker);
    void eraseEndedTask(const std::string& jobName, TaskId id);
    void eraseJobIfEnded(const std::string& jobName);
    void checkCommitted(const WorkerRecord& worker) const;

    uint64_t m_cellRevision = 0;
    uint64_t m_nextTask = 1;
    std::map<std::string, JobRecord> m_jobs;
    std::map<TaskId, TaskRecord> m_tasks;
    std::map<std::string, WorkerRecord> m_workers;
    std::map<std::string, TeamQuota> m_teams;
    EnumArray<Urgency, std::set<TaskId>> m_queued; ///< Derived.
    std::deque<std::string> m_workerChanges; ///< Names of the workers in the latest changes, oldest first. Derived.
    uint64_t m_firstWorkerChange = 0; ///< Number of the oldest change in `m_workerChanges`. Derived.
    std::map<std::string, Resources> m_teamUsage; ///< Derived.
};

} // namespace eelgrassloft
