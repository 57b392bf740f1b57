#include "worker_controller.h"

#include <algorithm>

namespace eelgrassloft {

void sendWorkerReply(NodeStep& step, WorkerCall call, WorkerReply reply)
{
    if (call.host == step.peers.self())
        step.emit(AnswerWorker { call.call, std::move(reply) });
    else if (step.peers.isConnected(call.host))
        step.send(call.host, ForwardedReply { call.call, std::move(reply) });
}

void WorkerController::start(const TaskTable& tasks, Time now)
{
    m_sessions.clear();
    m_deadlines.clear();
    m_commands.clear();
    m_seenChangeCount = tasks.workerChangeCount();
    for (const auto& [workerName, worker] : tasks.workers()) {
        if (worker.state == WorkerState::Lost)
            continue;
        Session& session = m_sessions[workerName];
        session.incarnation = worker.incarnation;
        session.leaseEnd = now + config::taskLease + config::maxClockDrift;
        session.lastKnownState = worker.state;
        schedule(workerName, session);
    }
}

void WorkerController::stop(NodeStep& step)
{
    for (auto& [workerName, session] : m_sessions) {
        if (session.heldReport)
            sendWorkerReply(step, session.heldReport->call, { WorkerReplyStatus::NoLeader, {}, {} });
    }
    m_sessions.clear();
    m_deadlines.clear();
    m_commands.clear();
}

void WorkerController::schedule(const std::string& workerName, Session& session)
{
    m_deadlines.erase({ session.deadline, workerName });
    session.deadline = session.heldReport ? std::min(session.heldReport->until, session.leaseEnd) : session.leaseEnd;
    m_deadlines.insert({ session.deadline, workerName });
}

void WorkerController::report(NodeStep& step, const TaskTable& tasks, const WorkerReport& report, WorkerCall call)
{
    if (!m_mayRenew) {
        sendWorkerReply(step, call, { WorkerReplyStatus::NoLeader, {}, {} });
        return;
    }
    Session& session = m_sessions[report.name];
    const WorkerRecord* record = tasks.worker(report.name);
    const uint64_t known = std::max(session.incarnation, record ? record->incarnation : 0);
    if (report.incarnation < known || (report.incarnation == session.incarnation && report.sequence <= session.sequence)) {
        sendWorkerReply(step, call, { WorkerReplyStatus::Outdated, {}, {} });
        return;
    }
    if (session.heldReport) // The worker stopped waiting for it and sent a newer one.
        sendWorkerReply(step, session.heldReport->call, { WorkerReplyStatus::Outdated, {}, {} });
    session.incarnation = report.incarnation;
    session.sequence = report.sequence;
    session.leaseEnd = step.now + config::taskLease + config::maxClockDrift;
    session.reportedTasks = report.tasks;
    session.heldReport = HeldReport { call, step.now + config::maxReportWait };
    schedule(report.name, session);
    const bool isChanged = !record || record->incarnation != report.incarnation || record->capacity != report.capacity
        || record->rack != report.rack || record->state == WorkerState::Lost
        || report.isLeaving != (record->state == WorkerState::Leaving);
    if (isChanged)
        m_commands.emplace_back(SetWorker { report.name, report.incarnation, report.rack, report.capacity, report.isLeaving });
    if (record && record->incarnation == report.incarnation)
        proposeTaskReports(step, tasks, report);
    answerIfNewCommands(step, tasks, report.name, session);
}

/// Answers the held report at once where there is a command that was not in the last reply. Others,
/// which the worker may still be executing, are repeated only when the reply is due.
void WorkerController::answerIfNewCommands(NodeStep& step, const TaskTable& tasks, const std::string& workerName, Session& session)
{
    std::vector<WorkerCommand> commands = commandsFor(tasks, workerName, session);
    const bool hasNewCommands = std::any_of(commands.begin(), commands.end(), [&](const WorkerCommand& command) {
        return !session.sentCommands.contains({ command.kind, command.task, command.epoch });
    });
    if (hasNewCommands)
        answer(step, workerName, session, std::move(commands));
}

void WorkerController::proposeTaskReports(NodeStep& step, const TaskTable& tasks, const WorkerReport& report)
{
    ReportTasks command;
    for (const WorkerTask& task : report.tasks) {
        if (auto entry = reportedChange(tasks, report, task))
            command.reports.push_back(std::move(*entry));
        checkMemoryUsage(step, tasks, task);
    }
    if (!command.reports.empty())
        m_commands.emplace_back(std::move(command));
}

/// The reported state of a task, where the log does not have it yet.
std::optional<TaskReport> WorkerController::reportedChange(const TaskTable& tasks, const WorkerReport& report, const WorkerTask& task) const
{
    const TaskRecord* record = tasks.task(task.task);
    if (!record || record->epoch != task.epoch || record->worker != report.name || !isOnWorker(record->state))
        return std::nullopt;
    const bool isNew = task.state == TaskState::Running ? record->state == TaskState::Starting : isEnded(task.state);
    if (!isNew)
        return std::nullopt;
    return TaskReport { task.task, task.epoch, task.state, task.detail };
}

void WorkerController::checkMemoryUsage(NodeStep& step, const TaskTable& tasks, const WorkerTask& task)
{
    const TaskRecord* record = tasks.task(task.task);
    if (!record || record->epoch != task.epoch || record->state != TaskState::Running || task.state != TaskState::Running)
        return;
    if (!m_learnedSizes.recordUsage(record->job, record->size, task.usage))
        return;
    step.counters.add(CounterKind::TasksPreempted);
    m_commands.emplace_back(PreemptTasks { { task.task } });
}

std::optional<WorkerCommand> WorkerController::commandFor(const TaskTable& tasks, const std::string& workerName, const WorkerTask& task) const
{
    const TaskRecord* record = tasks.task(task.task);
    const bool isCurrent = record && record->epoch == task.epoch && record->worker == workerName && isOnWorker(record->state);
    if (isEnded(task.state)) {
        if (isCurrent)
            return std::nullopt; // The end of the task is not in the log yet.
        return WorkerCommand { WorkerCommandKind::Forget, task.task, task.epoch, {}, {}, {} };
    }
    if (!isCurrent)
        return WorkerCommand { WorkerCommandKind::Stop, task.task, task.epoch, {}, {}, {} };
    if (record->state == TaskState::Stopping) {
        const bool isPreempted = record->stateAfterStop == TaskState::Queued && tasks.job(record->job)->spec.canCheckpoint;
        return WorkerCommand { isPreempted ? WorkerCommandKind::Checkpoint : WorkerCommandKind::Stop, task.task, task.epoch, {}, {}, {} };
    }
    if (LearnedSizes::exceedsTolerance(task.usage.processorMillis, record->size.processorMillis))
        return WorkerCommand { WorkerCommandKind::Throttle, task.task, task.epoch, {}, {}, record->size };
    return std::nullopt;
}

std::vector<WorkerCommand> WorkerController::commandsFor(const TaskTable& tasks, const std::string& workerName, const Session& session) const
{
    std::vector<WorkerCommand> commands;
    for (const WorkerTask& task : session.reportedTasks) {
        if (auto command = commandFor(tasks, workerName, task))
            commands.push_back(std::move(*command));
    }
    const WorkerRecord* worker = tasks.worker(workerName);
    if (!worker || worker->incarnation != session.incarnation)
        return commands;
    for (const TaskId id : worker->tasks) {
        const TaskRecord& record = *tasks.task(id);
        const bool isReported = std::any_of(session.reportedTasks.begin(), session.reportedTasks.end(),
            [&](const WorkerTask& task) { return task.task == id && task.epoch == record.epoch; });
        if (isReported)
            continue;
        if (record.state == TaskState::Starting)
            commands.push_back({ WorkerCommandKind::Run, id, record.epoch, record.job, tasks.job(record.job)->spec.command, record.size });
        else // Running but not reported: the worker confirms the stop before the task is placed again.
            commands.push_back({ WorkerCommandKind::Stop, id, record.epoch, {}, {}, {} });
    }
    return commands;
}

void WorkerController::answer(NodeStep& step, const std::string& workerName, Session& session, std::vector<WorkerCommand> commands)
{
    const auto status = m_mayRenew ? WorkerReplyStatus::Renewed : WorkerReplyStatus::NoLeader;
    if (!m_mayRenew)
        commands.clear();
    session.sentCommands.clear();
    for (const WorkerCommand& command : commands)
        session.sentCommands.insert({ command.kind, command.task, command.epoch });
    sendWorkerReply(step, session.heldReport->call, { status, config::taskLease, std::move(commands) });
    session.heldReport.reset();
    schedule(workerName, session);
}

void WorkerController::sendNewCommands(NodeStep& step, const TaskTable& tasks)
{
    const auto changes = tasks.workerChangesSince(m_seenChangeCount);
    m_seenChangeCount = tasks.workerChangeCount();
    std::set<std::string> changed;
    if (changes)
        changed.insert(changes->begin(), changes->end());
    for (auto& [workerName, session] : m_sessions) {
        if (changes && !changed.contains(workerName))
            continue;
        if (const WorkerRecord* worker = tasks.worker(workerName))
            logStateChange(step, workerName, *worker, session);
        if (!session.heldReport)
            continue;
        answerIfNewCommands(step, tasks, workerName, session);
    }
}

void WorkerController::logStateChange(NodeStep& step, const std::string& workerName, const WorkerRecord& worker, Session& session)
{
    if (std::exchange(session.lastKnownState, worker.state) == worker.state)
        return;
    if (worker.state == WorkerState::Quarantined) {
        step.counters.add(CounterKind::WorkersQuarantined);
        step.log(LogEventKind::WorkerQuarantined, { { "worker", workerName }, { "jobs", std::to_string(worker.failedJobs.size()) } });
    } else if (worker.state == WorkerState::Ready) {
        step.log(LogEventKind::WorkerJoined, { { "worker", workerName }, { "rack", worker.rack } });
    }
}

void WorkerController::tick(NodeStep& step, const TaskTable& tasks)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= step.now) {
        const std::string workerName = m_deadlines.begin()->second;
        Session& session = m_sessions[workerName];
        if (session.heldReport && session.heldReport->until <= step.now) {
            answer(step, workerName, session, commandsFor(tasks, workerName, session));
            continue;
        }
        if (!m_mayRenew) { // Another leader may have renewed the lease, so it cannot be taken as expired.
            session.leaseEnd = step.now + config::taskLease + config::maxClockDrift;
            schedule(workerName, session);
            continue;
        }
        m_deadlines.erase(m_deadlines.begin());
        const WorkerRecord* worker = tasks.worker(workerName);
        if (worker && worker->state != WorkerState::Lost) {
            step.log(LogEventKind::WorkerLost, { { "worker", workerName }, { "tasks", std::to_string(worker->tasks.size()) } });
            step.counters.add(CounterKind::TasksLost, worker->tasks.size());
            m_commands.emplace_back(MarkWorkerLost { workerName, session.incarnation });
        }
        if (session.heldReport)
            sendWorkerReply(step, session.heldReport->call, { WorkerReplyStatus::NoLeader, {}, {} });
        m_sessions.erase(workerName);
    }
}

} // namespace eelgrassloft
