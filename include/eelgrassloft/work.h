#pragma once

#include "eelgrassloft/handle.h"
#include "eelgrassloft/name_table.h"
#include "eelgrassloft/record.h"
#include "eelgrassloft/resources.h"
#include "eelgrassloft/workspace.h"

#include <string>
#include <vector>

/// Jobs that callers submit, the queues that hold them, and the workers that run them.
namespace eelgrassloft {

/// Identifier of a job, chosen by its caller.
using JobKey = Handle<struct JobKeyTag, uint64_t>;
/// One incarnation of a worker, numbered by the log in the order of first reports.
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

/// One attempt to run a task. The attempts of a task are numbered from 1.
struct TaskRun {
    TaskRef task;
    uint32_t attempt = 0;

    static constexpr auto members() { return std::make_tuple(&TaskRun::task, &TaskRun::attempt); }

    friend auto operator<=>(const TaskRun&, const TaskRun&) = default;
};

/// A group of identical tasks of a job.
struct StepSpec {
    uint32_t count = 1;
    Resources size; ///< Of each task.
    Duration estimate {}; ///< Rough running time of each task.
    std::vector<uint32_t> deps; ///< Earlier steps that must finish before this one starts.
    bool isGang = false; ///< All tasks start together or none does.
    bool isRackLocal = false;
    std::string label; ///< Label that the worker must have; empty for any worker.
    std::string dataRack; ///< Rack that holds the input data; empty for no preference.
    uint32_t maxPerWorker = 0; ///< 0: no limit.
    bool canCheckpoint = false;
    bool isSpeculative = false; ///< Copies of a task may run in parallel.
    bool isLongRunning = false; ///< Runs until the job is cancelled.
    std::string image;
    Duration tailLatencyTarget {}; ///< Target of the tail latency of a long-running service; 0 for none.
    bool isBestEffort = false; ///< Runs on processors that other tasks leave unused.
    uint32_t maxUnavailable = 0; ///< 0: no limit.

    static constexpr auto members()
    {
        return std::make_tuple(&StepSpec::count, &StepSpec::size, &StepSpec::estimate, &StepSpec::deps, &StepSpec::isGang,
            &StepSpec::isRackLocal, &StepSpec::label, &StepSpec::dataRack, &StepSpec::maxPerWorker,
            &StepSpec::canCheckpoint, &StepSpec::isSpeculative, &StepSpec::isLongRunning, &StepSpec::image,
            &StepSpec::tailLatencyTarget, &StepSpec::isBestEffort, &StepSpec::maxUnavailable);
    }
};

/// A job as its caller submits it.
struct WorkSpec {
    std::string text; ///< Opaque payload, passed to the workers unchanged.
    std::vector<StepSpec> steps;
    uint32_t repeats = 0; ///< Number of occurrences of a periodic job; 0 for a job that runs once and has no due time.
    Time firstDue {};
    Duration period {};

    static constexpr auto members()
    {
        return std::make_tuple(&WorkSpec::text, &WorkSpec::steps, &WorkSpec::repeats, &WorkSpec::firstDue, &WorkSpec::period);
    }

    uint32_t occurrenceCount() const { return repeats ? repeats : 1; }
    Time dueTime(uint32_t occurrence) const { return repeats ? firstDue + period * occurrence : Time {}; }
};

/// Time that the advice service takes to decide on a step, and the validity of its tickets.
struct AdviceTiming {
    Duration decisionTime {}; ///< For the call itself.
    Duration timePerWorker {}; ///< In addition, for each worker that the call names.
    Duration validity {}; ///< Of a ticket.

    static constexpr auto members() { return std::make_tuple(&AdviceTiming::decisionTime, &AdviceTiming::timePerWorker, &AdviceTiming::validity); }

    friend bool operator==(const AdviceTiming&, const AdviceTiming&) = default;
};

/// A queue of jobs, selected by host name and path.
struct QueueSpec {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service; ///< Name of the pool whose workers run the tasks.
    uint32_t priority = 0; ///< Lower values are placed first, and may preempt higher ones.
    uint32_t maxAttempts = 1; ///< Failures of a task after which its job fails.
    double stretch = 1; ///< A job should end within `stretch` times its critical path, plus `targetLatency`.
    Duration targetLatency {};
    std::optional<AdviceTiming> advice;
    bool isPublic = false; ///< Whether calls need no key even if the configuration has workspaces.

    static constexpr auto members()
    {
        return std::make_tuple(&QueueSpec::name, &QueueSpec::host, &QueueSpec::pathPrefix, &QueueSpec::service,
            &QueueSpec::priority, &QueueSpec::maxAttempts, &QueueSpec::stretch, &QueueSpec::targetLatency, &QueueSpec::advice,
            &QueueSpec::isPublic);
    }

    friend bool operator==(const QueueSpec&, const QueueSpec&) = default;
};

/// A pool of workers.
struct PoolSpec {
    std::string name;
    bool hasAdmissionControl = false; ///< Its workers reject a run that exceeds their free capacity.
    bool isStandby = false;

    static constexpr auto members() { return std::make_tuple(&PoolSpec::name, &PoolSpec::hasAdmissionControl, &PoolSpec::isStandby); }
};

/// Configuration of the queues, pools and workspaces. The one with the highest version is in force.
struct FleetConfig {
    uint64_t version = 0; ///< 0: no configuration yet.
    std::string text; ///< The operator's document, unchanged.
    std::vector<QueueSpec> queues;
    std::vector<PoolSpec> pools;
    uint64_t maxBodyBytes = 0;
    std::vector<WorkspaceSpec> workspaces; ///< Empty: calls need no key.

    static constexpr auto members()
    {
        return std::make_tuple(&FleetConfig::version, &FleetConfig::text, &FleetConfig::queues, &FleetConfig::pools, &FleetConfig::maxBodyBytes,
            &FleetConfig::workspaces);
    }

    const QueueSpec* queue(const std::string& name) const
    {
        for (const QueueSpec& candidate : queues) {
            if (candidate.name == name)
                return &candidate;
        }
        return nullptr;
    }

    const PoolSpec* pool(const std::string& name) const
    {
        for (const PoolSpec& candidate : pools) {
            if (candidate.name == name)
                return &candidate;
        }
        return nullptr;
    }

    const WorkspaceSpec* workspace(const std::string& name) const
    {
        for (const WorkspaceSpec& candidate : workspaces) {
            if (candidate.name == name)
                return &candidate;
        }
        return nullptr;
    }

    /// Returns the workspace that holds the key, or null.
    const WorkspaceSpec* workspaceOfKey(std::string_view key) const
    {
        for (const WorkspaceSpec& candidate : workspaces) {
            if (candidate.hasKey(key))
                return &candidate;
        }
        return nullptr;
    }

    /// Returns the queue of `host` with the longest prefix of `path`, or null.
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

/// One incarnation of a worker, as the worker reports it.
struct WorkerInfo {
    std::string id;
    int64_t startedAtMs = 0; ///< Start of this incarnation, in Unix milliseconds.
    std::string machine; ///< Stays the same across incarnations; empty if not reported.
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

    /// Whether both are incarnations of one worker.
    bool isSameWorker(const WorkerInfo& other) const
    {
        return id == other.id || address == other.address || (!machine.empty() && machine == other.machine);
    }

    bool hasLabel(const std::string& label) const
    {
        for (const std::string& candidate : labels) {
            if (candidate == label)
                return true;
        }
        return false;
    }
};

/// State of a submitted job, as its caller sees it.
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

/// Result of a run on a worker.
enum class RunOutcome : uint8_t {
    Done,
    Failed,
    Stopped, ///< By an order.
    Lapsed, ///< Its lease expired.
    Broken, ///< Another member of its gang ended.
    Alone, ///< The other members of its gang did not start in time.
    Count
};

constexpr NameTable<RunOutcome> nameTable(RunOutcome)
{
    constexpr NameTable<RunOutcome> table { "done", "failed", "stopped", "lapsed", "broken", "alone" };
    static_assert(detail::isComplete<RunOutcome>(table));
    return table;
}

} // namespace eelgrassloft
