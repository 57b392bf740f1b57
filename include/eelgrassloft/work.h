#pragma once

#include "eelgrassloft/handle.h"
#include "eelgrassloft/name_table.h"
#include "eelgrassloft/record.h"
#include "eelgrassloft/resources.h"

#include <string>
#include <vector>

/// Jobs that callers hand in, the queues they wait in, and the workers that are called to run them.
namespace eelgrassloft {

/// A job, named by its caller.
using JobKey = Handle<struct JobKeyTag, uint64_t>;
/// One life of a worker, numbered by the log in the order of their first reports.
using WorkerNumber = Handle<struct WorkerNumberTag>;

/// One task of one occurrence of a job.
struct TaskRef {
    JobKey job;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;

    static constexpr auto members() { return std::make_tuple(&TaskRef::job, &TaskRef::occurrence, &TaskRef::step, &TaskRef::index); }

    friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

/// One attempt to run a task. Attempts of a task are numbered from 1.
struct TaskRun {
    TaskRef task;
    uint32_t attempt = 0;

    static constexpr auto members() { return std::make_tuple(&TaskRun::task, &TaskRun::attempt); }

    friend auto operator<=>(const TaskRun&, const TaskRun&) = default;
};

/// A group of equal tasks of a job.
struct StepSpec {
    uint32_t count = 1;
    Resources size; ///< Of each task.
    Duration estimate {}; ///< Of each task's run; rough.
    std::vector<uint32_t> deps; ///< Earlier steps that must be finished first.
    bool isGang = false; ///< All tasks start together or not at all.
    bool isRackLocal = false;
    std::string label; ///< Required of the worker; empty for any.
    std::string dataRack; ///< Where the input is; empty for anywhere.
    uint32_t maxPerWorker = 0; ///< 0: no limit.
    bool canCheckpoint = false;
    bool isSpeculative = false; ///< Copies may run in parallel.
    bool isLongRunning = false; ///< Runs until the job is cancelled.
    std::string image;
    Duration tailLatencyTarget {}; ///< Of the response time of a task that serves; 0 for none.
    bool isBestEffort = false; ///< Takes processors that others leave unused.
    uint32_t maxUnavailable = 0; ///< 0: no limit.

    static constexpr auto members()
    {
        return std::make_tuple(&StepSpec::count, &StepSpec::size, &StepSpec::estimate, &StepSpec::deps, &StepSpec::isGang,
            &StepSpec::isRackLocal, &StepSpec::label, &StepSpec::dataRack, &StepSpec::maxPerWorker,
            &StepSpec::canCheckpoint, &StepSpec::isSpeculative, &StepSpec::isLongRunning, &StepSpec::image,
            &StepSpec::tailLatencyTarget, &StepSpec::isBestEffort, &StepSpec::maxUnavailable);
    }
};

/// What a caller hands in.
struct WorkSpec {
    std::string text; ///< Passed to the workers as it is.
    std::vector<StepSpec> steps;
    uint32_t repeats = 0; ///< Number of occurrences; 0 for a job without times.
    Time firstDue {};
    Duration period {};

    static constexpr auto members()
    {
        return std::make_tuple(&WorkSpec::text, &WorkSpec::steps, &WorkSpec::repeats, &WorkSpec::firstDue, &WorkSpec::period);
    }

    uint32_t occurrenceCount() const { return repeats ? repeats : 1; }
    Time dueTime(uint32_t occurrence) const { return repeats ? firstDue + period * occurrence : Time {}; }
};

/// What the advice service needs to decide on a step of a queue.
struct AdviceTiming {
    Duration decisionTime {};
    Duration timePerWorker {};
    Duration validity {}; ///< Of a ticket.

    static constexpr auto members() { return std::make_tuple(&AdviceTiming::decisionTime, &AdviceTiming::timePerWorker, &AdviceTiming::validity); }
};

/// A queue of jobs, selected by host name and path.
struct QueueSpec {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service; ///< Whose workers run the tasks.
    uint32_t priority = 0; ///< Lower goes first, and may stop others.
    uint32_t maxAttempts = 1; ///< Failures of a task before its job fails.
    double stretch = 1; ///< Objective of a job: this times its longest chain, and `targetLatency` more.
    Duration targetLatency {};
    std::optional<AdviceTiming> advice;

    static constexpr auto members()
    {
        return std::make_tuple(&QueueSpec::name, &QueueSpec::host, &QueueSpec::pathPrefix, &QueueSpec::service,
            &QueueSpec::priority, &QueueSpec::maxAttempts, &QueueSpec::stretch, &QueueSpec::targetLatency, &QueueSpec::advice);
    }
};

/// A pool of workers.
struct PoolSpec {
    std::string name;
    bool hasAdmissionControl = false; ///< Its workers refuse what does not fit.
    bool isStandby = false;

    static constexpr auto members() { return std::make_tuple(&PoolSpec::name, &PoolSpec::hasAdmissionControl, &PoolSpec::isStandby); }
};

/// Queues and pools in force. The highest version wins.
struct FleetConfig {
    uint64_t version = 0; ///< 0: none yet.
    std::string text; ///< As the operator sent it.
    std::vector<QueueSpec> queues;
    std::vector<PoolSpec> pools;
    uint64_t maxBodyBytes = 0;

    static constexpr auto members()
    {
        return std::make_tuple(&FleetConfig::version, &FleetConfig::text, &FleetConfig::queues, &FleetConfig::pools, &FleetConfig::maxBodyBytes);
    }

    const QueueSpec* queue(const std::string& name) const
    {
        for (const QueueSpec& candidate : queues) {
            if (candidate.name == name)
                return &candidate;
        }
        return nullptr;
    }

    /// Queue of the longest prefix of `path` among those of `host`.
    const QueueSpec* queueAt(std::string_view host, std::string_view path) const
    {
        const QueueSpec* best = nullptr;
        for (const QueueSpec& candidate : queues) {
            const bool isMatch = candidate.host == host && path.starts_with(candidate.pathPrefix);
            if (isMatch && (!best || candidate.pathPrefix.size() > best->pathPrefix.size()))
                best = &candidate;
        }
        return best;
    }
};

/// One life of a worker, as it reports itself.
struct WorkerInfo {
    std::string id;
    int64_t startedAtMs = 0; ///< Start of this life, in Unix milliseconds.
    std::string machine; ///< Stays the same across lives; empty where not told.
    std::string address; ///< `IP:PORT` for calls.
    std::string pool;
    std::string dataCentre;
    Resources capacity;
    std::vector<std::string> labels;
    bool isLeaving = false;

    static constexpr auto members()
    {
        return std::make_tuple(&WorkerInfo::id, &WorkerInfo::startedAtMs, &WorkerInfo::machine, &WorkerInfo::address, &WorkerInfo::pool,
            &WorkerInfo::dataCentre, &WorkerInfo::capacity, &WorkerInfo::labels, &WorkerInfo::isLeaving);
    }

    friend bool operator==(const WorkerInfo&, const WorkerInfo&) = default;

    bool hasLabel(const std::string& label) const
    {
        for (const std::string& candidate : labels) {
            if (candidate == label)
                return true;
        }
        return false;
    }
};

enum class WorkState : uint8_t {
    Queued,
    Running,
    Done,
    Failed,
    Cancelled,
    Count
};

constexpr NameTable<WorkState> nameTable(WorkState)
{
    constexpr NameTable<WorkState> table { "queued", "running", "done", "failed", "cancelled" };
    static_assert(detail::isComplete<WorkState>(table));
    return table;
}

constexpr bool isEnded(WorkState state) { return state == WorkState::Done || state == WorkState::Failed || state == WorkState::Cancelled; }

/// How a run on a worker ended.
enum class RunOutcome : uint8_t {
    Done,
    Failed,
    Stopped, ///< On an order.
    Lapsed, ///< Its lease ran out.
    Broken, ///< Another member of its gang ended.
    Alone, ///< The other members of its gang did not come.
    Count
};

constexpr NameTable<RunOutcome> nameTable(RunOutcome)
{
    constexpr NameTable<RunOutcome> table { "done", "failed", "stopped", "lapsed", "broken", "alone" };
    static_assert(detail::isComplete<RunOutcome>(table));
    return table;
}

} // namespace eelgrassloft
