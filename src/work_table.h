#pragma once

#include "early_cancellations.h"
#include "share_meter.h"
#include "workspace_ledger.h"

#include "eelgrassloft/config.h"
#include "eelgrassloft/work.h"

#include <map>
#include <set>

namespace eelgrassloft {

enum class TaskPhase : uint8_t {
    Waiting,
    Placed, ///< Assigned to a worker, which may run it.
    Done,
    Count
};

constexpr NameTable<TaskPhase> nameTable(TaskPhase)
{
    constexpr NameTable<TaskPhase> table { "waiting", "placed", "done" };
    return table;
}

struct WorkTask {
    TaskPhase phase = TaskPhase::Waiting;
    uint32_t failures = 0;
    uint32_t attempt = 0; ///< Number of the latest run; 0 before the first placement.
    WorkerNumber worker; ///< Worker of the latest run.
    std::string checkpoint; ///< Latest checkpoint; empty if there is none.
    uint32_t crashes = 0; ///< Workers that crashed just after a run of the task had started there.
    uint32_t doubtfulCrashes = 0; ///< Workers that crashed when a start order had no response yet.
    uint32_t lateCrashes = 0; ///< Workers that crashed when a run of the task had been at work there for a while.
    uint32_t openLosses = 0; ///< Lost workers of which it is not known yet whether they crashed, and that the task may have crashed.
    bool isSuspect = false; ///< Whether the task has to run apart from others until it has proved harmless.

    static constexpr auto members()
    {
        return std::make_tuple(&WorkTask::phase, &WorkTask::failures, &WorkTask::attempt, &WorkTask::worker, &WorkTask::checkpoint,
            &WorkTask::crashes, &WorkTask::doubtfulCrashes, &WorkTask::lateCrashes, &WorkTask::openLosses, &WorkTask::isSuspect);
    }

    /// Whether the task has to wait until it is known which of the workers lost under it have crashed.
    bool isHeld() const { return openLosses && crashes + openLosses >= config::maxCrashesPerTask; }
};

struct StepRecord {
    std::vector<WorkTask> tasks;
    uint32_t doneCount = 0;
    uint32_t gangFailures = 0; ///< Attempts of the gang in which a member failed.
    uint32_t lastFailedAttempt = 0;

    static constexpr auto members()
    {
        return std::make_tuple(&StepRecord::tasks, &StepRecord::doneCount, &StepRecord::gangFailures, &StepRecord::lastFailedAttempt);
    }

    bool isDone() const { return doneCount == tasks.size(); }
};

struct OccurrenceRecord {
    std::vector<StepRecord> steps;
    uint32_t doneSteps = 0;

    static constexpr auto members() { return std::make_tuple(&OccurrenceRecord::steps, &OccurrenceRecord::doneSteps); }
};

struct WorkJob {
    JobKey key;
    QueueSpec queue; ///< The queue's settings when the job was submitted.
    WorkSpec work;
    WorkState state = WorkState::Queued;
    Time submittedAt {};
    Time startedAt {}; ///< Time of the first placement.
    Time endedAt {};
    TaskRun endedBy; ///< The run that ended the job; attempt 0 if the job was cancelled.
    std::vector<OccurrenceRecord> occurrences; ///< Empty once the job has ended.
    uint32_t doneOccurrences = 0;
    std::string workspace; ///< Of the caller that submitted the job; empty for none.
    bool isBeyondShare = false; ///< Whether the job exceeded the weight of its workspace when it was submitted.
    uint64_t changes = 0; ///< Number of changes to the tasks, for what is derived from them; not part of the stored state.

    static constexpr auto members()
    {
        return std::make_tuple(&WorkJob::key, &WorkJob::queue, &WorkJob::work, &WorkJob::state, &WorkJob::submittedAt,
            &WorkJob::startedAt, &WorkJob::endedAt, &WorkJob::endedBy, &WorkJob::occurrences, &WorkJob::doneOccurrences,
            &WorkJob::workspace, &WorkJob::isBeyondShare);
    }

    /// Whether any run of the job has succeeded or failed.
    bool hasFinishedRuns() const;
    /// Whether the task has to run on a worker without other runs that could crash it. All members of a
    /// gang share the suspicion.
    bool needsIsolation(const TaskRef& task) const;

    /// Returns the record of a task, or null if the job has no such task.
    WorkTask* task(const TaskRef& ref)
    {
        if (ref.occurrence >= occurrences.size() || ref.step >= occurrences[ref.occurrence].steps.size())
            return nullptr;
        auto& tasks = occurrences[ref.occurrence].steps[ref.step].tasks;
        return ref.index < tasks.size() ? &tasks[ref.index] : nullptr;
    }
    const WorkTask* task(const TaskRef& ref) const { return const_cast<WorkJob*>(this)->task(ref); }
};

/// Whether a run that was lost with its worker may have caused the worker's crash.
enum class CrashEvidence : uint8_t {
    None, ///< It can't have started.
    Late, ///< It had been at work on the worker for a while.
    Weak, ///< Its start had no response.
    Strong, ///< It had just started.
    Count
};

constexpr NameTable<CrashEvidence> nameTable(CrashEvidence)
{
    constexpr NameTable<CrashEvidence> table { "none", "late", "weak", "strong" };
    return table;
}

struct LostRun {
    TaskRun run;
    std::string checkpoint; ///< Latest one that the worker reported; empty if there is none.
    CrashEvidence evidence = CrashEvidence::None; ///< In case the worker has crashed.
    bool mayBeInherited = false; ///< Whether the worker's next incarnation may run it, so that its task is not requeued yet.

    static constexpr auto members() { return std::make_tuple(&LostRun::run, &LostRun::checkpoint, &LostRun::evidence, &LostRun::mayBeInherited); }
};

/// A run on a worker, with what its workspace is charged for it. The charge has to outlive the record of the job.
struct PlacedRun {
    TaskRun run;
    std::string workspace; ///< Of the job; empty for none.
    Resources size;

    static constexpr auto members() { return std::make_tuple(&PlacedRun::run, &PlacedRun::workspace, &PlacedRun::size); }
};

struct FleetWorker {
    WorkerInfo info;
    uint64_t lastEndNumber = 0; ///< Number of the last recorded end; the worker may forget ends up to it.
    std::vector<PlacedRun> runs; ///< Runs placed on the worker and not known to have ended.
    uint64_t reportSequence = 0; ///< Number of the report that `info` is from.
    std::vector<LostRun> crashSuspects; ///< Lost runs that may have caused the worker's crash, if it has crashed.
    std::vector<LostRun> formerCrashSuspects; ///< Those of the former incarnation's crash, as long as inherited runs are among them.

    static constexpr auto members()
    {
        return std::make_tuple(&FleetWorker::info, &FleetWorker::lastEndNumber, &FleetWorker::runs, &FleetWorker::reportSequence, &FleetWorker::crashSuspects,
            &FleetWorker::formerCrashSuspects);
    }
};

// Commands.

struct SubmitWork {
    JobKey key;
    std::string queue;
    WorkSpec work;
    std::string workspace {}; ///< Of the caller; empty for none.

    static constexpr auto members() { return std::make_tuple(&SubmitWork::key, &SubmitWork::queue, &SubmitWork::work, &SubmitWork::workspace); }
};

/// Ends a job. One that was not submitted yet is not accepted any more, as its submission may be on its way.
struct CancelWork {
    JobKey key;
    std::string workspace {}; ///< Of the caller; empty for none. A job of another one is left as it is.

    static constexpr auto members() { return std::make_tuple(&CancelWork::key, &CancelWork::workspace); }
};

struct SetFleetConfig {
    FleetConfig config;

    static constexpr auto members() { return std::make_tuple(&SetFleetConfig::config); }
};

/// Adds a worker, or a new incarnation of it. A former incarnation that had not announced its end
/// has crashed. An incarnation under the same id inherits the runs that have not been requeued, as it
/// may have carried out the orders to start them.
struct SetFleetWorker {
    WorkerInfo info;
    uint64_t reportSequence = 0;
    uint32_t maxWorkers = 0; ///< If there are as many, a further worker is refused; 0: no limit.

    static constexpr auto members() { return std::make_tuple(&SetFleetWorker::info, &SetFleetWorker::reportSequence, &SetFleetWorker::maxWorkers); }
};

/// Removes an incarnation of a worker that has ended, so that nothing runs on it any more.
struct RemoveFleetWorker {
    WorkerNumber worker;
    bool isReplaced = false; ///< Whether a later incarnation has responded in its place.

    static constexpr auto members() { return std::make_tuple(&RemoveFleetWorker::worker, &RemoveFleetWorker::isReplaced); }
};

struct RunPlacement {
    TaskRun run;
    WorkerNumber worker;

    static constexpr auto members() { return std::make_tuple(&RunPlacement::run, &RunPlacement::worker); }
};

struct PlaceRuns {
    std::vector<RunPlacement> placements;

    static constexpr auto members() { return std::make_tuple(&PlaceRuns::placements); }
};

/// End of a run as reported by its worker.
struct EndedRun {
    uint64_t number = 0; ///< Increases within one incarnation of the worker.
    TaskRun run;
    RunOutcome runOutcome = RunOutcome::Done;
    std::string checkpoint;

    static constexpr auto members() { return std::make_tuple(&EndedRun::number, &EndedRun::run, &EndedRun::runOutcome, &EndedRun::checkpoint); }
};

struct RecordRunOutcomes {
    WorkerNumber worker;
    std::vector<EndedRun> ends;

    static constexpr auto members() { return std::make_tuple(&RecordRunOutcomes::worker, &RecordRunOutcomes::ends); }
};

/// Requeues the tasks of runs that are certainly not active on the worker and can't start there any
/// more. Lost runs don't count as failures.
struct RequeueLostRuns {
    WorkerNumber worker;
    std::vector<LostRun> runs;

    static constexpr auto members() { return std::make_tuple(&RequeueLostRuns::worker, &RequeueLostRuns::runs); }
};

using WorkCommand = std::variant<SubmitWork, CancelWork, SetFleetConfig, SetFleetWorker, RemoveFleetWorker, PlaceRuns, RecordRunOutcomes, RequeueLostRuns>;

enum class WorkStatus : uint8_t {
    Applied,
    Unchanged, ///< Nothing changed: the same command or a newer one was applied before.
    UnknownQueue,
    UnknownJob, ///< Nothing was there to cancel, and the job won't be accepted.
    CancelledEarly, ///< The job was cancelled before it was submitted.
    NoMemory, ///< There is no room for the job, its cancellation or the worker.
    NameTaken, ///< Another workspace has a job of this name.
    Count
};

constexpr NameTable<WorkStatus> nameTable(WorkStatus)
{
    constexpr NameTable<WorkStatus> table { "applied", "known", "unknown-queue", "unknown-job", "cancelled-early", "no-memory", "name-taken" };
    return table;
}

/// How the runs of a job went that has ended.
struct EndedJob {
    JobKey key;
    uint32_t attempts = 0; ///< Highest attempt of any task.
    uint32_t failures = 0; ///< Of all tasks.
    uint32_t crashes = 0; ///< Of workers under the task for which the job was given up; 0 if it was not.
    WorkerNumber lastWorker; ///< Worker of the run that ended the job; invalid if none did.

    static constexpr auto members()
    {
        return std::make_tuple(&EndedJob::key, &EndedJob::attempts, &EndedJob::failures, &EndedJob::crashes, &EndedJob::lastWorker);
    }
};

/// A task that may have crashed its worker.
struct SuspectedTask {
    TaskRun run;
    std::string worker; ///< Id of the worker.
    uint32_t crashes = 0; ///< Of workers under the task.
    CrashEvidence evidence = CrashEvidence::None;
    bool wasAlone = false; ///< Whether no run of another job may have caused the crash.

    static constexpr auto members()
    {
        return std::make_tuple(&SuspectedTask::run, &SuspectedTask::worker, &SuspectedTask::crashes, &SuspectedTask::evidence, &SuspectedTask::wasAlone);
    }
};

struct WorkResult {
    WorkStatus status = WorkStatus::Applied;
    std::vector<EndedJob> ended {}; ///< Jobs that the command ended.
    std::vector<SuspectedTask> suspected {}; ///< Tasks that may have caused a crash that the command shows.

    static constexpr auto members() { return std::make_tuple(&WorkResult::status, &WorkResult::ended, &WorkResult::suspected); }
};

/// State machine of the fleet's replicated log: configuration, workers, jobs and the placements of
/// their tasks. Commands are validated against the current state, so stale and repeated commands
/// have no effect.
class WorkTable {
public:
    using Command = WorkCommand;
    using Result = WorkResult;

    static constexpr auto members()
    {
        return std::make_tuple(&WorkTable::m_config, &WorkTable::m_workers, &WorkTable::m_nextWorker, &WorkTable::m_jobs, &WorkTable::m_earlyCancellations,
            &WorkTable::m_shares);
    }

    Result apply(Time at, const Command& command);

    /// Rebuilds the indexes from the decoded members.
    void rebuild();
    size_t recordCount() const { return m_jobs.size() * 4 + m_workers.size() + m_earlyCancellations.size(); }

    const FleetConfig& config() const { return m_config; }
    const std::map<WorkerNumber, FleetWorker>& workers() const { return m_workers; }
    const std::map<JobKey, WorkJob>& jobs() const { return m_jobs; }
    /// Memory that open jobs take, as counted against `config::maxOpenJobBytes`.
    uint64_t openJobBytes() const { return m_openJobBytes; }
    /// Jobs that have not ended.
    const std::set<JobKey>& openJobs() const { return m_openJobs; }

    const WorkJob* job(JobKey key) const;
    /// Whether the job of a workspace was cancelled before it was submitted.
    bool isCancelledEarly(JobKey key, const std::string& workspace) const { return m_earlyCancellations.contains(key, workspace); }
    /// Whether a caller that acts for a workspace, or for none, may see and cancel the job.
    bool mayUse(const std::string& workspace, const WorkJob& job) const;
    /// Whether a job that the workspace submits now would be beyond its share.
    bool isBeyondShare(Time at, const std::string& workspace) const;
    /// What the workspaces have on the workers.
    const WorkspaceLedger& ledger() const { return m_ledger; }
    const FleetWorker* worker(WorkerNumber number) const;
    const StepSpec* stepOf(const TaskRef& task) const;
    /// Whether the run is the latest one of its task, and its job has not ended.
    bool isCurrentRun(const TaskRun& run) const;
    /// Whether a report of this worker would end the record of another one, of which it claims the id,
    /// the address or the machine.
    bool displacesWorker(const WorkerInfo& info) const;
    /// Whether the worker or a former incarnation of it is known, or there are fewer than `maxWorkers`; 0: no limit.
    bool hasRoomFor(const WorkerInfo& info, uint32_t maxWorkers) const;
    /// Number of the worker's current incarnation; invalid if the worker is unknown.
    WorkerNumber findWorker(const std::string& id) const;

private:
    Result handle(Time at, const SubmitWork& command);
    Result handle(Time at, const CancelWork& command);
    Result handle(Time at, const SetFleetConfig& command);
    Result handle(Time at, const SetFleetWorker& command);
    Result handle(Time at, const RemoveFleetWorker& command);
    Result handle(Time at, const PlaceRuns& command);
    Result handle(Time at, const RecordRunOutcomes& command);
    Result handle(Time at, const RequeueLostRuns& command);

    void removeRun(FleetWorker& worker, const TaskRun& run);
    void recordEnd(Time at, WorkerNumber worker, const EndedRun& end);
    void storeCheckpoint(WorkJob& job, const TaskRef& task, const std::string& checkpoint);
    bool countFailure(WorkJob& job, const TaskRun& run);
    void completeTask(Time at, WorkJob& job, const TaskRun& run);
    void endJob(Time at, WorkJob& job, WorkState state);
    void requeue(Time at, const LostRun& lost, WorkerNumber worker);
    void removeWorker(Time at, WorkerNumber number, bool isReplaced);
    FleetWorker takeInheritance(const std::vector<WorkerNumber>& former, const std::string& id);
    void inherit(WorkerNumber heir, FleetWorker inheritance);
    void noteCrashSuspect(FleetWorker& worker, WorkTask& task, const LostRun& lost);
    std::vector<LostRun> takeCrashSuspects(FleetWorker& worker);
    void countCrash(Time at, FleetWorker& worker);
    void countFormerCrash(Time at, FleetWorker& worker, const LostRun& lost);
    void countCrashAgainst(Time at, const FleetWorker& worker, const LostRun& lost, bool wasAlone);
    static bool isConfirmedCrash(WorkTask& task, CrashEvidence evidence, bool wasAlone);
    static bool mustGiveUp(const WorkTask& task, bool isConfirmed, bool isSoleCause);
    void removeExpiredJobs(Time at);

    FleetConfig m_config;
    std::map<WorkerNumber, FleetWorker> m_workers;
    uint32_t m_nextWorker = 1;
    std::map<JobKey, WorkJob> m_jobs;
    EarlyCancellations m_earlyCancellations;
    ShareMeter m_shares;

    std::set<JobKey> m_openJobs;
    WorkspaceLedger m_ledger;
    uint64_t m_openJobBytes = 0;
    std::map<std::string, WorkerNumber> m_workerById;
    std::multimap<Time, JobKey> m_endedJobs;
    std::vector<EndedJob> m_endedByCommand; ///< Jobs that the command being applied has ended.
    std::vector<SuspectedTask> m_suspectedByCommand; ///< Tasks that the command being applied has shown to be suspects.
};

} // namespace eelgrassloft
