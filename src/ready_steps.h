#pragma once

#include "queue_policy.h"

#include <set>
#include <vector>

namespace eelgrassloft {

/// The steps that can start now. Keeps what it has found out about each open job, so that an update
/// examines only the jobs that have changed since the last one.
class ReadySteps {
public:
    ReadySteps() = default;
    ReadySteps(ReadySteps&&) = default;
    ReadySteps& operator=(ReadySteps&&) = default;
    /// A copy belongs to a node with another table, whose jobs it has to examine anew.
    ReadySteps(const ReadySteps&) { }
    ReadySteps& operator=(const ReadySteps&)
    {
        clear();
        return *this;
    }

    /// Brings the steps up to date with the table. Returns the number of jobs that it had to examine.
    size_t update(const WorkTable& table, Time now);
    /// Forgets all jobs. Needed where the table may have been replaced.
    void clear()
    {
        m_jobs.clear();
        m_usualWork.clear();
        m_configVersion = 0;
    }

    /// Calls `visit` with each step.
    template <typename Visitor>
    void forEach(Visitor&& visit) const
    {
        for (const auto& [key, entry] : m_jobs) {
            for (const ReadyStep& step : entry.steps)
                visit(step);
        }
    }

    /// When the next occurrence of a job becomes due.
    Time nextDue() const { return m_nextDue; }

private:
    struct JobEntry {
        const WorkJob* job = nullptr;
        uint64_t changes = neverExamined; ///< The job's number of changes that `steps` reflects.
        double work = 0; ///< Estimated processor time of one occurrence.
        Time nextDue = never; ///< When the job's next occurrence becomes due.
        std::vector<ReadyStep> steps {};
    };

    static constexpr uint64_t neverExamined = UINT64_MAX;

    void examine(JobEntry& entry, const FleetConfig& config, Time now);
    void addOccurrence(JobEntry& entry, uint32_t index, Time begin);
    static void noteQuota(JobEntry& entry, const FleetConfig& config);
    static void addWaiting(JobEntry& entry, ReadyStep step);
    static bool areDependenciesDone(const OccurrenceRecord& occurrence, const StepSpec& step);

    std::map<JobKey, JobEntry> m_jobs;
    Time m_nextDue = never;
    uint64_t m_configVersion = 0; ///< The configuration that the steps reflect.
    std::map<std::string, double> m_usualWork; ///< Moving average of a job's estimated work, by queue.
};

/// Length of the critical path that starts at the step `from`, by the steps' estimates.
Duration criticalPathLength(const WorkSpec& work, uint32_t from);
/// Of all steps.
Duration criticalPathLength(const WorkSpec& work);

/// Time from submission within which a job should be done.
Duration objectiveOf(const QueueSpec& queue, const WorkSpec& work);
inline Duration objectiveOf(const WorkJob& job) { return objectiveOf(job.queue, job.work); }
/// Time from submission after which a job's result has no value to its caller.
Duration lateLimitOf(const QueueSpec& queue, const WorkSpec& work);

} // namespace eelgrassloft
