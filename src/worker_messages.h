#pragma once

#include "eelgrassloft/job.h"

namespace eelgrassloft {

/// A task as its worker reports it: Running, Finished, Failed, or Cancelled for a confirmed stop.
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

/// A worker's report, which renews its lease: all tasks that it runs, and the ended ones until a
/// `Forget` command acknowledges their end.
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
    Checkpoint, ///< Checkpoint the task, then stop it.
    Throttle, ///< Limit the task to the processors that it reserves.
    Forget, ///< The end of the task is in the log; do not report it again.
    Count
};

constexpr NameTable<WorkerCommandKind> nameTable(WorkerCommandKind)
{
    constexpr NameTable<WorkerCommandKind> table { "run", "stop", "checkpoint", "throttle", "forget" };
    return table;
}

/// A command to a worker. It names the task's epoch, so a repeated or stale one has no effect.
struct WorkerCommand {
    WorkerCommandKind kind = WorkerCommandKind::Run;
    TaskId task;
    uint32_t epoch = 0;
    std::string job; ///< Only with `Run`, like `command`.
    std::string command;
    Resources size; ///< With `Run` and `Throttle`.

    static constexpr auto members()
    {
        return std::make_tuple(&WorkerCommand::kind, &WorkerCommand::task, &WorkerCommand::epoch, &WorkerCommand::job,
            &WorkerCommand::command, &WorkerCommand::size);
    }
};

enum class WorkerReplyStatus : uint8_t {
    Renewed, ///< The lease was renewed as of the time when the report was sent.
    NoLeader, ///< The lease was not renewed; the worker reports again.
    Outdated, ///< The leader has a report with a higher sequence or incarnation.
    Count
};

constexpr NameTable<WorkerReplyStatus> nameTable(WorkerReplyStatus)
{
    constexpr NameTable<WorkerReplyStatus> table { "renewed", "no-leader", "outdated" };
    return table;
}

/// Reply to a `WorkerReport`.
struct WorkerReply {
    WorkerReplyStatus status = WorkerReplyStatus::Renewed;
    Duration lease {}; ///< Counted from the time when the report was sent.
    std::vector<WorkerCommand> commands;

    static constexpr auto members()
    {
        return std::make_tuple(&WorkerReply::status, &WorkerReply::lease, &WorkerReply::commands);
    }
};

} // namespace eelgrassloft
