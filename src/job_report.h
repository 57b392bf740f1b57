#pragma once

#include "hash.h"
#include "ready_steps.h"

#include "eelgrassloft/effects.h"

namespace eelgrassloft {

/// Fields of the log line of an ended job: its final state, how long it waited and took, the highest
/// attempt of any task, the number of failures of all tasks, and its last run.
inline std::vector<LogField> jobEndFields(const WorkTable& table, const WorkJob& job, const EndedJob& summary)
{
    const FleetWorker* lastWorker = table.worker(summary.lastWorker);
    const auto milliseconds = [](Duration duration) { return std::to_string(duration / std::chrono::milliseconds(1)); };
    const bool wasStarted = job.startedAt != Time {};
    return { { "job", hexText(job.key.value) }, { "queue", job.queue.name }, { "state", std::string(name(job.state)) },
        { "waitedMs", wasStarted ? milliseconds(job.startedAt - job.submittedAt) : "never-started" },
        { "tookMs", milliseconds(job.endedAt - job.submittedAt) }, { "objectiveMs", milliseconds(objectiveOf(job)) },
        { "attempts", std::to_string(summary.attempts) }, { "failures", std::to_string(summary.failures) }, { "lastStep", std::to_string(job.endedBy.task.step) },
        { "lastTask", std::to_string(job.endedBy.task.index) }, { "lastWorker", lastWorker ? lastWorker->info.id : "none" } };
}

} // namespace eelgrassloft
