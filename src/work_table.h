#pragma once

#include "eelgrassloft/work.h"

#include <map>
#include <set>

namespace eelgrassloft {

enum class TaskPhase : uint8_t {
    Waiting,
    Placed, ///< Given to a worker; it may run there.
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
    uint32_t attempt = 0; ///< Of the latest placement; 0 before the first.
    WorkerNumber worker; ///< Of the latest placement.
    std::string checkpoint; ///< Empty for none.

    static constexpr auto members()
    {
        return std::make_tuple(&WorkTask::phase, &WorkTask::failures, &WorkTask::attempt, &WorkTask::worker, &WorkTask::checkpoint);
    }
};

struct StepRecord {
    std::vector<WorkTask> tasks;
    uint32_t doneCount = 0;
    uint32_t gangFailures = 0; ///< Attempts of the gang of which a member failed.
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
    QueueSpec queue; ///< As it was when the job was handed in.
    WorkSpec work;
    WorkState state = WorkState::Queued;
    Time submittedAt {};
    Time startedAt {}; ///< Of the first placement.
    Time endedAt {};
    TaskRun endedBy; ///< The run whose end was the job's; none where it was cancelled.
    std::vector<OccurrenceRecord> occurrences;
    uint32_t doneOccurrences = 0;

    static constexpr auto members()
    {
        return std::make_tuple(&WorkJob::key, &WorkJob::queue, &WorkJob::work, &WorkJob::state, &WorkJob::submittedAt,
            &WorkJob::startedAt, &WorkJob::endedAt, &WorkJob::endedBy, &WorkJob::occurrences, &WorkJob::doneOccurrences);
    }

    /// Whether some task has been done or has failed.
    bool hasFinishedRuns() const;

    /// The task's record; null where the job has no such task.
    WorkTask* task(const TaskRef& ref)
    {
        if (ref.occurrence >= occurrences.size() || ref.step >= occurrences[ref.occurrence].steps.size())
            return nullptr;
        auto& tasks = occurrences[ref.occurrence].steps[ref.step].tasks;
        return ref.index < tasks.size() ? &tasks[ref.index] : nullptr;
    }
    const WorkTask* task(const TaskRef& ref) const { return const_cast<WorkJob*>(this)->task(ref); }
};

struct FleetWorker {
    WorkerInfo info;
    uint64_t lastEndNumber = 0; ///< Number of the last end that was recorded; ends up to it may be forgotten.
    std::vector<TaskRun> runs; ///< Placed here and not known to have ended.

    static constexpr auto members() { return std::make_tuple(&FleetWorker::info, &FleetWorker::lastEndNumber, &FleetWorker::runs); }
};

// Commands.

struct SubmitWork {
    JobKey key;
    std::string queue;
    WorkSpec work;

    static constexpr auto members() { return std::make_tuple(&SubmitWork::key, &SubmitWork::queue, &SubmitWork::work); }
};

struct CancelWork {
    JobKey key;

    static constexpr auto members() { return std::make_tuple(&CancelWork::key); }
};

struct SetFleetConfig {
    FleetConfig config;

    static constexpr auto members() { return std::make_tuple(&SetFleetConfig::config); }
};

struct SetFleetWorker {
    WorkerInfo info;

    static constexpr auto members() { return std::make_tuple(&SetFleetWorker::info); }
};

/// The life of a worker is over; nothing runs there any more.
struct RemoveFleetWorker {
    WorkerNumber worker;

    static constexpr auto members() { return std::make_tuple(&RemoveFleetWorker::worker); }
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

/// One end that a worker listed.
struct EndedRun {
    uint64_t number = 0; ///< Increases within one life of the worker.
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

struct LostRun {
    TaskRun run;
    std::string checkpoint; ///< Latest one that the worker listed; empty for none.

    static constexpr auto members() { return std::make_tuple(&LostRun::run, &LostRun::checkpoint); }
};

/// Runs that surely neither run nor will run on the worker; they count as no failures.
struct RequeueLostRuns {
    WorkerNumber worker;
    std::vector<LostRun> runs;

    static constexpr auto members() { return std::make_tuple(&RequeueLostRuns::worker, &RequeueLostRuns::runs); }
};

using WorkCommand = std::variant<SubmitWork, CancelWork, SetFleetConfig, SetFleetWorker, RemoveFleetWorker, PlaceRuns, RecordRunOutcomes, RequeueLostRuns>;

enum class WorkStatus : uint8_t {
    Applied,
    Unchanged, ///< Nothing changed: the same command was applied before, or a newer one.
    UnknownQueue,
    UnknownJob,
    Count
};

constexpr NameTable<WorkStatus> nameTable(WorkStatus)
{
    constexpr NameTable<WorkStatus> table { "applied", "known", "unknown-queue", "unknown-job" };
    return table;
}

struct WorkResult {
    WorkStatus status = WorkStatus::Applied;

    static constexpr auto members() { return std::make_tuple(&WorkResult::status); }
};

/// State of the fleet behind its replicated log: configuration, workers, jobs and where their
/// tasks were placed. Commands are checked against the state they meet, so that late and repeated
/// ones change nothing.
class WorkTable {
public:
    using Command = WorkCommand;
    using Result = WorkResult;

    static constexpr auto members()
    {
        return std::make_tuple(&WorkTable::m_config, &WorkTable::m_workers, &WorkTable::m_nextWorker, &WorkTable::m_jobs);
    }

    Result apply(Time at, const Command& command);

    /// Restores what follows from the members after they were decoded.
    void rebuild();
    size_t recordCount() const { return m_jobs.size() * 4 + m_workers.size(); }

    const FleetConfig& config() const { return m_config; }
    const std::map<WorkerNumber, FleetWorker>& workers() const { return m_workers; }
    const std::map<JobKey, WorkJob>& jobs() const { return m_jobs; }
    /// Jobs that have not ended.
    const std::set<JobKey>& openJobs() const { return m_openJobs; }

    const WorkJob* job(JobKey key) const;
    const FleetWorker* worker(WorkerNumber number) const;
    const StepSpec* stepOf(const TaskRef& task) const;
    /// Whether the run is the task's latest one and the job still wants it.
    bool isCurrentRun(const TaskRun& run) const;
    /// Number of the worker's present life; invalid where it is not known.
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

    void recordEnd(Time at, WorkerNumber worker, const EndedRun& end);
    void storeCheckpoint(WorkJob& job, const TaskRef& task, const std::string& checkpoint);
    bool countFailure(WorkJob& job, const TaskRun& run);
    void completeTask(Time at, WorkJob& job, const TaskRun& run);
    void endJob(Time at, WorkJob& job, WorkState state);
    void requeue(const LostRun& lost, WorkerNumber worker);
    void removeWorker(WorkerNumber number);
    void removeExpiredJobs(Time at);

    FleetConfig m_config;
    std::map<WorkerNumber, FleetWorker> m_workers;
    uint32_t m_nextWorker = 1;
    std::map<JobKey, WorkJob> m_jobs;

    std::set<JobKey> m_openJobs;
    std::map<std::string, WorkerNumber> m_workerById;
    std::multimap<Time, JobKey> m_endedJobs;
};

} // namespace eelgrassloft
