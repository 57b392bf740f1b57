#pragma once

#include "eelgrassloft/config.h"
#include "eelgrassloft/handle.h"
#include "eelgrassloft/name_table.h"
#include "eelgrassloft/record.h"
#include "eelgrassloft/resources.h"

#include <string>
#include <utility>

namespace eelgrassloft {

/// How the tasks of a job are placed and how they end.
enum class JobKind : uint8_t {
    Service, ///< Runs until it is removed; spread over racks.
    Batch, ///< Each task runs once; packed tightly.
    AllAtOnce, ///< A gang: all tasks start together or none does.
    Count
};

constexpr NameTable<JobKind> nameTable(JobKind)
{
    constexpr NameTable<JobKind> table { "service", "batch", "all-at-once" };
    return table;
}

/// Priority class of a job; lower values are placed first.
enum class Urgency : uint8_t {
    Urgent,
    Normal,
    Patient,
    Count
};

constexpr NameTable<Urgency> nameTable(Urgency)
{
    constexpr NameTable<Urgency> table { "urgent", "normal", "patient" };
    return table;
}

/// What happens to a job whose data centre is partitioned from the cell.
enum class PartitionPolicy : uint8_t {
    Keep, ///< Its tasks stay there.
    Move, ///< Not supported yet; a manifest with this value is rejected.
    Count
};

constexpr NameTable<PartitionPolicy> nameTable(PartitionPolicy)
{
    constexpr NameTable<PartitionPolicy> table { "keep", "move" };
    return table;
}

/// State of a task in the log of its data centre.
enum class TaskState : uint8_t {
    Queued,
    Starting, ///< Placed; the worker has not yet confirmed the start.
    Running,
    Stopping, ///< The worker was told to stop it and has not yet confirmed that.
    Finished,
    Failed,
    Cancelled,
    Count
};

constexpr NameTable<TaskState> nameTable(TaskState)
{
    constexpr NameTable<TaskState> table { "queued", "starting", "running", "stopping", "finished", "failed",
        "cancelled" };
    static_assert(detail::isComplete<TaskState>(table));
    return table;
}

/// Whether a task in this state occupies capacity on its worker.
constexpr bool isOnWorker(TaskState state)
{
    return state == TaskState::Starting || state == TaskState::Running || state == TaskState::Stopping;
}

constexpr bool isEnded(TaskState state)
{
    return state == TaskState::Finished || state == TaskState::Failed || state == TaskState::Cancelled;
}

/// Why a task waits, as `eelgrassctl explain` shows it.
enum class WaitReason : uint8_t {
    None,
    NotTriedYet,
    NoWorkerFits, ///< No worker of the data centre is large enough, even empty.
    InsufficientCapacity,
    QuotaReached,
    NotEnoughTogether, ///< The tasks of an all-at-once job do not all fit at the same time.
    WaitingForPreemption,
    Count
};

constexpr NameTable<WaitReason> nameTable(WaitReason)
{
    constexpr NameTable<WaitReason> table { "none", "not-tried-yet", "no-worker-fits", "no-room",
        "quota-reached", "not-enough-together", "waiting-for-preemption" };
    static_assert(detail::isComplete<WaitReason>(table));
    return table;
}

/// State of a worker in the log of its data centre.
enum class WorkerState : uint8_t {
    Ready,
    Lost, ///< Its lease expired without a report.
    Quarantined, ///< Its tasks keep failing; after a pause it gets one task at a time.
    Leaving,
    Count
};

constexpr NameTable<WorkerState> nameTable(WorkerState)
{
    constexpr NameTable<WorkerState> table { "ready", "lost", "set-aside", "leaving" };
    return table;
}

/// One job of a manifest.
struct JobSpec {
    std::string name;
    JobKind kind = JobKind::Batch;
    Urgency urgency = Urgency::Normal;
    PartitionPolicy onPartition = PartitionPolicy::Keep;
    std::string team;
    std::string dataCentre; ///< Empty: chosen by the cell.
    std::string command; ///< What the worker runs.
    Resources size; ///< Of each task.
    uint32_t tasks = 1;
    bool canCheckpoint = false;

    static constexpr auto members()
    {
        return std::make_tuple(&JobSpec::name, &JobSpec::kind, &JobSpec::urgency, &JobSpec::onPartition, &JobSpec::team,
            &JobSpec::dataCentre, &JobSpec::command, &JobSpec::size, &JobSpec::tasks, &JobSpec::canCheckpoint);
    }

    friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

class JobSpecBuilder {
public:
    explicit JobSpecBuilder(std::string name) { m_spec.name = std::move(name); }

    JobSpecBuilder& kind(JobKind value) { return set(m_spec.kind, value); }
    JobSpecBuilder& urgency(Urgency value) { return set(m_spec.urgency, value); }
    JobSpecBuilder& team(std::string value) { return set(m_spec.team, std::move(value)); }
    JobSpecBuilder& dataCentre(std::string value) { return set(m_spec.dataCentre, std::move(value)); }
    JobSpecBuilder& command(std::string value) { return set(m_spec.command, std::move(value)); }
    JobSpecBuilder& size(Resources value) { return set(m_spec.size, value); }
    JobSpecBuilder& tasks(uint32_t value) { return set(m_spec.tasks, value); }
    JobSpecBuilder& canCheckpoint(bool value) { return set(m_spec.canCheckpoint, value); }
    JobSpec build() const { return m_spec; }

private:
    template <typename T>
    JobSpecBuilder& set(T& field, T value)
    {
        field = std::move(value);
        return *this;
    }

    JobSpec m_spec;
};

/// Upper bound of the resources that all tasks of a team occupy together in one data centre.
struct TeamQuota {
    std::string team;
    Resources limit;

    static constexpr auto members() { return std::make_tuple(&TeamQuota::team, &TeamQuota::limit); }

    friend bool operator==(const TeamQuota&, const TeamQuota&) = default;
};

/// Limits of one request service.
struct ServiceLimits {
    std::string name;
    uint32_t maxQueued = config::maxQueuedRequests; ///< Per entry host.

    static constexpr auto members() { return std::make_tuple(&ServiceLimits::name, &ServiceLimits::maxQueued); }

    friend bool operator==(const ServiceLimits&, const ServiceLimits&) = default;
};

/// Desired state of the system: all jobs that should run, with the quotas and limits that apply to them.
struct Manifest {
    std::vector<TeamQuota> teams;
    std::vector<ServiceLimits> services;
    std::vector<JobSpec> jobs;

    static constexpr auto members() { return std::make_tuple(&Manifest::teams, &Manifest::services, &Manifest::jobs); }
};

/// Difference between two manifests. Names are unique within each list.
struct ManifestDiff {
    std::vector<TeamQuota> setTeams;
    std::vector<std::string> removeTeams;
    std::vector<ServiceLimits> setServices;
    std::vector<std::string> removeServices;
    std::vector<JobSpec> setJobs;
    std::vector<std::string> removeJobs;

    static constexpr auto members()
    {
        return std::make_tuple(&ManifestDiff::setTeams, &ManifestDiff::removeTeams, &ManifestDiff::setServices,
            &ManifestDiff::removeServices, &ManifestDiff::setJobs, &ManifestDiff::removeJobs);
    }

    bool isEmpty() const
    {
        return setTeams.empty() && removeTeams.empty() && setServices.empty() && removeServices.empty()
            && setJobs.empty() && removeJobs.empty();
    }
};

} // namespace eelgrassloft
