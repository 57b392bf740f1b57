#pragma once

#include "eelgrassloft/job.h"

namespace eelgrassloft {

/// A task as its worker sees it: Running, Finished, Failed, or Cancelled for a confirmed stop.
struct WorkerTask {
    TaskId task;
    uint32_t epoch = 0;
    TaskState state = TaskState::Running;
    Resources usage;
    std::string detail;

    static constexpr auto members()
    {
        return std::make_tuple(&WorkerTask::task, &WorkerTask::epoch, &WorkerTask::state, &WorkerTask::usage, &WorkerTask::detail);
    }
};

/// Everything that a worker runs, and what ended and is not yet forgotten. Renews its lease.
struct WorkerReport {
    std::string name;
    uint64_t incarnation = 0; ///< Rises with each start of the worker's process.
    uint64_t sequence = 0; ///< Rises with each report of an incarnation.
    std::string rack;
    Resources capacity;
    bool isLeaving = false;
    std::vector<WorkerTask> tasks;

    static constexpr auto members()
    {
        return std::make_tuple(&WorkerReport::name, &WorkerReport::incarnation, &WorkerReport::sequence,
            &WorkerReport::rack, &WorkerReport::capacity, &WorkerReport::isLeaving, &WorkerReport::tasks);
    }
};

enum class WorkerCommandKind : uint8_t {
    Run,
    Stop,
    Checkpoint, ///< Save the task's work, then stop it.
    Throttle, ///< Hold the task to its reserved processors.
    Forget, ///< The end of the task is recorded; report it no longer.
    Count
};

constexpr NameTable<WorkerCommandKind> nameTable(WorkerCommandKind)
{
    constexpr NameTable<WorkerCommandKind> table { "run", "stop", "checkpoint", "throttle", "forget" };
    return table;
}

/// A command names its task and epoch, so a repeated or late one does no harm.
struct WorkerCommand {
    WorkerCommandKind kind = WorkerCommandKind::Run;
    TaskId task;
    uint32_t epoch = 0;
    std::string job; ///< Run only, like the next two.
    std::string command;
    Resources size;

    static constexpr auto members()
    {
        return std::make_tuple(&WorkerCommand::kind, &WorkerCommand::task, &WorkerCommand::epoch, &WorkerCommand::job,
            &WorkerCommand::command, &WorkerCommand::size);
    }
};

enum class WorkerReplyStatus : uint8_t {
    Renewed, ///< The lease runs from the time when the report was sent.
    NoLeader, ///< Nothing was renewed; report again.
    Outdated, ///< A newer report or incarnation is known.
    Count
};

constexpr NameTable<WorkerReplyStatus> nameTable(WorkerReplyStatus)
{
    constexpr NameTable<WorkerReplyStatus> table { "renewed", "no-leader", "outdated" };
    return table;
}

struct WorkerReply {
    WorkerReplyStatus status = WorkerReplyStatus::Renewed;
    Duration lease {};
    std::vector<WorkerCommand> commands;

    static constexpr auto members()
    {
        return std::make_tuple(&WorkerReply::status, &WorkerReply::lease, &WorkerReply::commands);
    }
};

} // namespace eelgrassloft
