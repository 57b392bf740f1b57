#pragma once

#include "learned_sizes.h"
#include "node_step.h"
#include "task_table.h"

namespace eelgrassloft {

/// Where a worker's reply goes: this host or the one that passed the report on.
struct WorkerCall {
    HostId host;
    CallId call;
};

/// The leader's dealings with the workers of its data centre: leases, reports and commands.
/// Commands are read off the log's state, so each was in the log before it is sent, and a lost
/// one is simply sent again.
class WorkerController {
public:
    /// Begins a term: every known worker's lease is taken as just renewed.
    void start(const TaskTable& tasks, Time now);
    /// Ends a term: those who wait are told that there is no leader here.
    void stop(NodeStep& step);

    void report(NodeStep& step, const TaskTable& tasks, const WorkerReport& report, WorkerCall call);
    /// Sends commands to the workers whose state changed.
    void sendNewCommands(NodeStep& step, const TaskTable& tasks);
    void tick(NodeStep& step, const TaskTable& tasks);

    /// Commands for the log that reports and silences call for.
    std::vector<TaskCommand> takeCommands() { return std::exchange(m_commands, {}); }
    Time nextDeadline() const { return m_deadlines.empty() ? never : m_deadlines.begin()->first; }
    const LearnedSizes& learnedSizes() const { return m_learnedSizes; }
    void setMayRenew(bool mayRenew) { m_mayRenew = mayRenew; }

private:
    struct HeldReport {
        WorkerCall call;
        Time until {};
    };

    struct Session {
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        Time leaseEnd {};
        Time deadline {}; ///< Of the lease or the held reply.
        std::vector<WorkerTask> reportedTasks;
        std::optional<HeldReport> heldReport;
        std::set<std::tuple<WorkerCommandKind, TaskId, uint32_t>> sentCommands; ///< Commands of the last reply.
        WorkerState lastKnownState = WorkerState::Ready;
    };

    void proposeTaskReports(NodeStep& step, const TaskTable& tasks, const WorkerReport& report);
    std::optional<TaskReport> reportedChange(const TaskTable& tasks, const WorkerReport& report, const WorkerTask& task) const;
    void checkMemoryUsage(NodeStep& step, const TaskTable& tasks, const WorkerTask& task);
    std::vector<WorkerCommand> commandsFor(const TaskTable& tasks, const std::string& workerName, const Session& session) const;
    std::optional<WorkerCommand> commandFor(const TaskTable& tasks, const std::string& workerName, const WorkerTask& task) const;
    void answerIfNewCommands(NodeStep& step, const TaskTable& tasks, const std::string& workerName, Session& session);
    void answer(NodeStep& step, const std::string& workerName, Session& session, std::vector<WorkerCommand> commands);
    void logStateChange(NodeStep& step, const std::string& workerName, const WorkerRecord& worker, Session& session);
    void schedule(const std::string& workerName, Session& session);

    std::map<std::string, Session> m_sessions;
    std::set<std::pair<Time, std::string>> m_deadlines;
    std::vector<TaskCommand> m_commands;
    LearnedSizes m_learnedSizes;
    uint64_t m_seenChangeCount = 0;
    bool m_mayRenew = false;
};

/// Sends a reply to where the report came from.
void sendWorkerReply(NodeStep& step, WorkerCall call, WorkerReply reply);

} // namespace eelgrassloft
