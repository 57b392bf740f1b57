#pragma once

#include "hash.h"
#include "work_planner.h"

#include "eelgrassloft/effects.h"

namespace eelgrassloft {

/// Worker of the run that ended the job, or "none" if it is unknown.
inline std::string lastWorkerOf(const WorkTable& table, const WorkJob& job)
{
    const WorkTask* task = job.endedBy.attempt ? job.task(job.endedBy.task) : nullptr;
    const FleetWorker* worker = task ? table.worker(task->worker) : nullptr;
    return worker ? worker->info.id : "none";
}

/// Fields of the log line of an ended job: its final state, how long it waited and took, the highest
/// attempt of any task, the number of failures of all tasks, and its last run.
inline std::vector<LogField> jobEndFields(const WorkTable& table, const WorkJob& job)
{
    uint32_t attempts = 0;
    uint32_t failures = 0;
    for (const OccurrenceRecord& occurrence : job.occurrences) {
        for (const StepRecord& record : occurrence.steps) {
            failures += record.gangFailures;
            for (const WorkTask& task : record.tasks) {
                attempts = std::max(attempts, task.attempt);
                failures += task.failures;
            }
        }
    }
    const auto milliseconds = [](Duration duration) { return std::to_string(duration / std::chrono::milliseconds(1)); };
    const bool wasStarted = job.startedAt != Time {};
    return { { "job", hexText(job.key.value) }, { "queue", job.queue.name }, { "state", std::string(name(job.state)) },
        { "waitedMs", wasStarted ? milliseconds(job.startedAt - job.submittedAt) : "never-started" },
        { "tookMs", milliseconds(job.endedAt - job.submittedAt) }, { "objectiveMs", milliseconds(objectiveOf(job)) },
        { "attempts", std::to_string(attempts) }, { "failures", std::to_string(failures) }, { "lastStep", std::to_string(job.endedBy.task.step) },
        { "lastTask", std::to_string(job.endedBy.task.index) }, { "lastWorker", lastWorkerOf(table, job) } };
}

} // namespace eelgrassloft
