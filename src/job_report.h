#pragma once

#include "fleet_events.h"
#include "hash.h"
#include "ready_steps.h"
#include "workspace_room.h"

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

/// Fields of the log line of a task that may have crashed its worker.
inline std::vector<LogField> suspectFields(const SuspectedTask& suspect)
{
    const TaskRef& task = suspect.run.task;
    return { { "job", hexText(task.job.value) }, { "step", std::to_string(task.step) }, { "task", std::to_string(task.index) },
        { "attempt", std::to_string(suspect.run.attempt) }, { "worker", suspect.worker }, { "crashes", std::to_string(suspect.crashes) },
        { "evidence", std::string(name(suspect.evidence)) }, { "alone", suspect.wasAlone ? "yes" : "no" } };
}

/// Fields of the log line of a job that was given up because a task crashed its workers.
inline std::vector<LogField> givenUpFields(const WorkJob& job, const EndedJob& summary)
{
    const TaskRun& run = job.endedBy;
    return { { "job", hexText(job.key.value) }, { "queue", job.queue.name }, { "step", std::to_string(run.task.step) }, { "task", std::to_string(run.task.index) },
        { "attempt", std::to_string(run.attempt) }, { "crashes", std::to_string(summary.crashes) } };
}

/// Logs that a job was not accepted.
inline void logRefusal(FleetStep& step, const WorkTable& table, const SubmitWork& work, WorkStatus reason)
{
    step.log(LogEventKind::JobRefused, { { "job", hexText(work.key.value) }, { "queue", work.queue }, { "reason", std::string(name(reason)) }, { "openJobBytes", std::to_string(table.openJobBytes()) } });
}

/// Names the steps of a new job that wait until the quota of its workspace is raised.
inline void logUnfittingSteps(FleetStep& step, const WorkTable& table, const SubmitWork& work)
{
    for (size_t i = 0; i < work.work.steps.size(); ++i) {
        if (!canEverFitQuota(table.config(), work.workspace, work.work.steps[i]))
            step.log(LogEventKind::QuotaTooSmall, { { "job", hexText(work.key.value) }, { "step", std::to_string(i) }, { "workspace", work.workspace } });
    }
}

} // namespace eelgrassloft
