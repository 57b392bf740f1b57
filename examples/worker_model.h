#pragma once

#include "worker_messages.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassloft::examples {

/// State change of a task on a worker.
struct WorkerEvent {
    std::string what; ///< started, finished, failed, stopped or lease-ended.
    TaskId task;
    uint32_t epoch = 0;
    std::string job;
};

/// Simulated worker that runs in virtual time. A task's command is `sleep MILLISECONDS`, `fail`,
/// `use MEBIBYTES` for a service with that memory usage, or anything else for a service that uses
/// what it reserved.
class WorkerModel {
public:
    WorkerModel(std::string name, uint64_t incarnation, std::string rack, Resources capacity)
        : m_name(std::move(name))
        , m_incarnation(incarnation)
        , m_rack(std::move(rack))
        , m_capacity(capacity)
    {
    }

    const std::string& name() const { return m_name; }
    void setLeaving() { m_isLeaving = true; }
    /// Makes every task that starts from now on fail immediately.
    void setFailing(bool isFailing) { m_isFailing = isFailing; }
    /// Sets the time from a stop command to the confirmed stop.
    void setStopDelay(Duration value) { m_stopDelay = value; }

    /// Ends the tasks that are due by `now`, and all tasks once the lease has expired.
    void advance(Time now)
    {
        for (auto& [id, task] : m_tasks) {
            if (task.state != TaskState::Running)
                continue;
            if (now >= m_leaseEnd)
                end(id, task, TaskState::Cancelled, "lease-ended");
            else if (now >= task.stopsAt)
                end(id, task, TaskState::Cancelled, "stopped");
            else if (task.willFail)
                end(id, task, TaskState::Failed, "failed");
            else if (now >= task.endsAt)
                end(id, task, TaskState::Finished, "finished");
        }
    }

    WorkerReport report(Time now)
    {
        advance(now);
        WorkerReport report { m_name, m_incarnation, ++m_sequence, m_rack, m_capacity, m_isLeaving, {} };
        for (const auto& [id, task] : m_tasks)
            report.tasks.push_back({ id, task.epoch, task.state, task.usage, {} });
        return report;
    }

    /// Executes the commands of the reply to the report sent at `sentAt`. Returns whether the lease was renewed.
    bool handleReply(Time now, Time sentAt, const WorkerReply& reply)
    {
        if (reply.status != WorkerReplyStatus::Renewed)
            return false;
        advance(now);
        m_leaseEnd = std::max(m_leaseEnd, sentAt + reply.lease);
        for (const WorkerCommand& command : reply.commands)
            execute(now, command);
        return true;
    }

    /// Returns the events since the last call, in order.
    std::vector<WorkerEvent> takeEvents() { return std::exchange(m_events, {}); }

    /// Returns the time at which the next task may change its state without a command.
    Time nextTransition() const
    {
        Time next = m_tasks.empty() ? never : m_leaseEnd;
        for (const auto& [id, task] : m_tasks) {
            if (task.state == TaskState::Running)
                next = std::min({ next, task.endsAt, task.stopsAt });
        }
        return next;
    }

private:
    struct Task {
        uint32_t epoch = 0;
        std::string job;
        TaskState state = TaskState::Running;
        Time endsAt = never;
        Time stopsAt = never;
        Resources usage;
        bool willFail = false;
    };

    void end(TaskId id, Task& task, TaskState state, const char* what)
    {
        task.state = state;
        m_events.push_back({ what, id, task.epoch, task.job });
    }

    void execute(Time now, const WorkerCommand& command)
    {
        const auto found = m_tasks.find(command.task);
        const bool isKnown = found != m_tasks.end() && found->second.epoch >= command.epoch;
        if (command.kind == WorkerCommandKind::Run && !isKnown)
            start(now, command);
        else if (command.kind == WorkerCommandKind::Forget && isKnown && found->second.epoch == command.epoch && found->second.state != TaskState::Running)
            m_tasks.erase(found);
        else if (command.kind == WorkerCommandKind::Stop || command.kind == WorkerCommandKind::Checkpoint)
            stop(now, command);
    }

    void start(Time now, const WorkerCommand& command)
    {
        Task& task = m_tasks[command.task];
        task = {};
        task.epoch = command.epoch;
        task.job = command.job;
        task.usage = command.size;
        task.willFail = m_isFailing || command.command == "fail";
        if (command.command.starts_with("sleep "))
            task.endsAt = now + std::chrono::milliseconds(std::stoul(command.command.substr(6)));
        if (command.command.starts_with("use "))
            task.usage.memoryMiB = static_cast<uint32_t>(std::stoul(command.command.substr(4)));
        m_events.push_back({ "started", command.task, task.epoch, task.job });
    }

    /// Lists a task that never started here as stopped, so that a delayed start command cannot start it.
    void stop(Time now, const WorkerCommand& command)
    {
        const auto [found, isNew] = m_tasks.try_emplace(command.task);
        Task& task = found->second;
        if (isNew || task.epoch < command.epoch) {
            task = {};
            task.epoch = command.epoch;
            task.state = TaskState::Cancelled;
        } else if (task.epoch == command.epoch && task.state == TaskState::Running) {
            task.stopsAt = std::min(task.stopsAt, now + m_stopDelay);
            advance(now);
        }
    }

    std::string m_name;
    uint64_t m_incarnation;
    std::string m_rack;
    Resources m_capacity;
    bool m_isLeaving = false;
    bool m_isFailing = false;
    Duration m_stopDelay {};
    uint64_t m_sequence = 0;
    Time m_leaseEnd {};
    std::map<TaskId, Task> m_tasks;
    std::vector<WorkerEvent> m_events;
};

} // namespace eelgrassloft::examples
