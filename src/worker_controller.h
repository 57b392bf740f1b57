#pragma once

#include "learned_sizes.h"
#include "node_step.h"
#include "task_table.h"

namespace eelgrassloft {

/// Address of a worker's reply: the host that received the report, and its call there.
struct WorkerCall {
    HostId host;
    CallId call;
};

/// The leader's side of the worker protocol in its data centre: leases, reports and commands.
/// Commands follow from the difference between the log's state and the last report, so every
/// command is in the log before it is sent, and a lost one is sent again.
class WorkerController {
public:
    /// Begins a term. A former leader may have renewed any worker's lease just before, so all count
    /// as renewed now.
    void start(const TaskTable& tasks, Time now);
    /// Ends a term: answers all held reports with `WorkerReplyStatus::NoLeader`.
    void stop(NodeStep& step);

    /// Renews the worker's lease, turns what changed into commands for the log, and holds the report
    /// until there is a command for the worker.
    void report(NodeStep& step, const TaskTable& tasks, const WorkerReport& report, WorkerCall call);
    /// Sends new commands to the workers that changed, in answer to their held reports.
    void sendNewCommands(NodeStep& step, const TaskTable& tasks);
    /// Answers the held reports that are due, and marks workers as lost whose lease has expired.
    void tick(NodeStep& step, const TaskTable& tasks);

    /// Commands for the log that follow from reports and expired leases.
    std::vector<TaskCommand> takeCommands() { return std::exchange(m_commands, {}); }
    Time nextDeadline() const { return m_deadlines.empty() ? never : m_deadlines.begin()->first; }
    const LearnedSizes& learnedSizes() const { return m_learnedSizes; }
    void setMayRenew(bool mayRenew) { m_mayRenew = mayRenew; }

private:
    /// A report that is answered later, so that a command can be sent as soon as there is one.
    struct HeldReport {
        WorkerCall call;
        Time until {}; ///< When it is answered at the latest.
    };

    /// State of one worker since this leader's term began.
    struct Session {
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        Time leaseEnd {};
        Time deadline {}; ///< Earlier of the lease's end and the time at which the held report is answered.
        std::vector<WorkerTask> reportedTasks; ///< Tasks in the last report.
        std::optional<HeldReport> heldReport;
        std::set<std::tuple<WorkerCommandKind, TaskId, uint32_t>> sentCommands; ///< Commands in the last reply.
        WorkerState lastKnownState = WorkerState::Ready; ///< To log each change of the state once.
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

/// Sends a reply to the host that received the report.
void sendWorkerReply(NodeStep& step, WorkerCall call, WorkerReply reply);

} // namespace eelgrassloft
