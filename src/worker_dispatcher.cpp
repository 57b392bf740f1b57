#include "worker_dispatcher.h"

#include "hash.h"
#include "worker_fence.h"

#include <algorithm>

namespace eelgrassloft {

void WorkerDispatcher::start(const WorkTable& table, Time now, uint64_t term)
{
    stop();
    m_term = term;
    m_workerViews.start(table, now, m_settings.maxLease);
}

void WorkerDispatcher::stop()
{
    m_workerViews.clear();
    m_speedLearner.clear();
    m_calls.clear();
    m_commands.clear();
    m_startedJobs.clear();
    m_stuckStops.clear();
}

void WorkerDispatcher::forget(JobKey job)
{
    m_startedJobs.erase(job);
    const auto isOfJob = [&](const auto& entry) { return entry.first.job == job; };
    auto i = m_stuckStops.lower_bound(TaskRef { job, 0, 0, 0 });
    while (i != m_stuckStops.end() && isOfJob(*i))
        i = m_stuckStops.erase(i);
}

void WorkerDispatcher::hostDown(FleetStep& step, const WorkTable& table, HostId host)
{
    handleUnansweredRelays(step, table, m_calls.hostDown(host));
}

/// Treats calls whose relay did not respond like calls to an unresponsive worker: they may still be
/// carried out.
void WorkerDispatcher::handleUnansweredRelays(FleetStep& step, const WorkTable& table, const std::set<CallId>& calls)
{
    m_counters.add(FleetCounter::RelaysUnanswered, calls.size());
    for (const CallId call : calls)
        handleResponse(step, table, call, {});
}

/// Marks the job as started. Workers may report runs and ends after their job has ended and was
/// removed, so only open jobs are marked.
void WorkerDispatcher::markStarted(const WorkTable& table, JobKey job)
{
    if (table.openJobs().count(job))
        m_startedJobs.insert(job);
}

// Responses.

void WorkerDispatcher::handleResponse(FleetStep& step, const WorkTable& table, CallId id, const OrderResponse& response)
{
    const std::optional<PendingWorkerCall> pending = m_calls.take(id);
    if (!pending)
        return;
    const PendingWorkerCall& call = *pending;
    ++m_counters.orders[call.kind][response.outcome];
    if (call.kind != OrderKind::Poll && isResponse(response.outcome))
        step.measure(FleetTimer::OrderRoundTrip, step.now - call.sentAt);
    WorkerView* target = m_workerViews.find(call.worker);
    if (!target)
        return;
    const bool isOtherIncarnation = response.outcome == OrderOutcome::OtherIncarnation || (response.startedAtMs && *response.startedAtMs != target->info.startedAtMs);
    if (isOtherIncarnation) {
        if (!target->hasEnded)
            endIncarnation(*target, step.now, response.outcome);
        return;
    }
    const bool isClockBehind = response.clockMs && target->lease.isOfNextIncarnation(call.sentAt, *response.clockMs);
    if (isClockBehind && call.kind != OrderKind::Poll)
        noteNextIncarnation(step, *target, call);
    else if (response.clockMs)
        target->lease.updateClock(step.now, *response.clockMs);
    if (isResponse(response.outcome)) {
        target->noteAlive(step.now);
        target->brokenAt = never;
    }
    switch (call.kind) {
    case OrderKind::Start:
        handleStartResponse(step, table, *target, call, response);
        break;
    case OrderKind::Stop:
        handleStopResponse(step, *target, call, response);
        break;
    default:
        handlePollResponse(step, table, *target, call, response);
        break;
    }
    m_workerViews.schedule(step.now, call.worker);
}

void WorkerDispatcher::handleStartResponse(FleetStep& step, const WorkTable& table, WorkerView& workerView, const PendingWorkerCall& call, const OrderResponse& response)
{
    const auto found = workerView.runs.find(call.run);
    if (found == workerView.runs.end())
        return;
    RunView& run = found->second;
    run.isOrderPending = false;
    workerView.hasUnansweredStart = !isResponse(response.outcome);
    run.unanswered = workerView.hasUnansweredStart ? run.unanswered + (step.now - call.sentAt) + config::orderRetryInterval : Duration {};
    if (response.outcome != OrderOutcome::Accepted)
        logRun(step, LogEventKind::OrderRefused, workerView, call.run, name(response.outcome));
    switch (response.outcome) {
    case OrderOutcome::Accepted:
    case OrderOutcome::Outdated: // The run has ended; the next poll reports its outcome.
        if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Running;
            run.hasStarted = true;
            run.confirmedAt = run.progressAt = step.now;
            markStarted(table, call.run.task.job);
            step.measure(FleetTimer::CommitToStart, step.now - run.placedAt);
        }
        break;
    case OrderOutcome::LeaseExpired:
        run.nextOrder = step.now + config::orderRetryInterval / 4;
        break;
    case OrderOutcome::Fenced:
    case OrderOutcome::NotSent:
        run.nextOrder = step.now + config::orderRetryInterval;
        break;
    case OrderOutcome::NoResponse:
        run.mayStartLate = true;
        run.nextOrder = step.now + config::orderRetryInterval;
        break;
    default:
        if (run.phase == RunPhase::Starting)
            handleRefusedStart(workerView, step.now, call.run);
        break;
    }
}

/// Handles a refused start. If an earlier order for the run had no response, it may still be carried
/// out, so the run is stopped before it counts as not started.
void WorkerDispatcher::handleRefusedStart(WorkerView& workerView, Time now, const TaskRun& run)
{
    RunView& runView = workerView.runs.at(run);
    if (runView.mayStartLate) {
        runView.isStopRequested = true;
        runView.nextOrder = now;
        return;
    }
    requeue(workerView, now, { run });
}

void WorkerDispatcher::handleStopResponse(FleetStep& step, WorkerView& workerView, const PendingWorkerCall& call, const OrderResponse& response)
{
    const auto found = workerView.runs.find(call.run);
    if (found == workerView.runs.end())
        return;
    RunView& run = found->second;
    run.isOrderPending = false;
    if (response.outcome == OrderOutcome::Accepted || response.outcome == OrderOutcome::Outdated) {
        run.phase = RunPhase::Stopping;
        run.confirmedAt = step.now;
    } else {
        run.nextOrder = step.now + config::orderRetryInterval;
    }
}

/// A poll that fails long before its timeout shows when the connection broke, and so when the
/// worker's process ended, if it did.
void WorkerDispatcher::noteBrokenPoll(WorkerView& workerView, const PendingWorkerCall& call, OrderOutcome outcome, Time now)
{
    const Duration timeout = outcome == OrderOutcome::NotSent ? std::min(call.timeout, config::outgoingConnectTimeout) : call.timeout;
    if (now >= call.sentAt + timeout)
        return;
    workerView.noteAlive(now);
    workerView.brokenAt = now;
}

void WorkerDispatcher::handlePollResponse(FleetStep& step, const WorkTable& table, WorkerView& workerView, const PendingWorkerCall& call, const OrderResponse& response)
{
    workerView.isPollPending = false;
    if (response.outcome != OrderOutcome::Accepted) {
        if (!std::exchange(workerView.isUnresponsive, true)) {
            workerView.unresponsiveSince = call.sentAt;
            if (!isResponse(response.outcome))
                noteBrokenPoll(workerView, call, response.outcome, step.now);
            step.log(LogEventKind::WorkerUnresponsive, { { "worker", workerView.info.id }, { "runs", std::to_string(workerView.runs.size()) }, { "outcome", std::string(name(response.outcome)) } });
        }
        workerView.nextPoll = step.now + config::orderRetryInterval;
        return;
    }
    if (std::exchange(workerView.isUnresponsive, false))
        step.log(LogEventKind::WorkerResponsive, { { "worker", workerView.info.id }, { "silentMs", std::to_string((step.now - workerView.unresponsiveSince) / std::chrono::milliseconds(1)) } });
    workerView.hasUnansweredStart = false;
    workerView.upAt = std::max(workerView.upAt, call.sentAt);
    workerView.endsAcknowledged = std::max(workerView.endsAcknowledged, call.acknowledgedEnd);
    workerView.nextPoll = std::max(step.now, call.sentAt + config::pollInterval);
    processEnds(step, table, workerView, response.ends);
    noteActiveRuns(table, workerView, step.now, response.running);
    m_speedLearner.noteProgress(table, workerView, step.now, response.running);
    workerView.noteLastingRuns(step.now);
    for (const ReportedRun& listed : response.running)
        markStarted(table, listed.run.task.job);
    requeueUnlisted(step, workerView, call.sentAt, response);
    stopStuckRuns(step, table, workerView);
    workerView.isSynced = true;
    workerView.restraint.noteResponse(step.now);
}

/// Stops runs that are reported without making progress, and quarantines their worker. The members
/// of a gang stall together, so their worker need not be the cause and isn't quarantined.
void WorkerDispatcher::stopStuckRuns(FleetStep& step, const WorkTable& table, WorkerView& workerView)
{
    for (auto& [run, runView] : workerView.runs) {
        const StepSpec* spec = table.stepOf(run.task);
        TaskRef stopped = run.task;
        if (runView.isGang)
            stopped.index = 0; // Its members stall and stop together.
        const auto earlierStops = m_stuckStops.find(stopped);
        if (!spec || !runView.isStuck(*spec, earlierStops == m_stuckStops.end() ? 0 : earlierStops->second, step.now))
            continue;
        logRun(step, LogEventKind::RunStuck, workerView, run, "no-progress");
        ++m_stuckStops[stopped];
        runView.isStopRequested = true;
        if (runView.isGang)
            m_workerViews.stopGang(step.now, run);
        else
            quarantine(step, workerView);
    }
}

void WorkerDispatcher::quarantine(FleetStep& step, WorkerView& workerView)
{
    workerView.quarantine(step.now);
    m_counters.add(FleetCounter::WorkersQuarantined);
    step.log(LogEventKind::WorkerQuarantined, { { "worker", workerView.info.id }, { "jobs", std::to_string(workerView.failedJobs.size()) } });
}

void WorkerDispatcher::restrain(WorkerView& workerView, Time now)
{
    workerView.restraint.noteLoss(now);
    m_counters.add(FleetCounter::WorkersRestrained);
}

void WorkerDispatcher::processEnds(FleetStep& step, const WorkTable& table, WorkerView& workerView, const std::vector<EndedRun>& ends)
{
    RecordRunOutcomes command { workerView.number, {} };
    for (const EndedRun& end : ends) {
        if (end.number <= workerView.endsProposed)
            continue;
        workerView.endsProposed = end.number;
        if (end.runOutcome == RunOutcome::Failed)
            logRun(step, LogEventKind::RunFailed, workerView, end.run, name(end.runOutcome));
        const auto ended = workerView.runs.find(end.run);
        if (workerView.noteOutcome(step.now, end, ended == workerView.runs.end() ? nullptr : &ended->second))
            quarantine(step, workerView);
        if (ended != workerView.runs.end())
            m_speedLearner.noteEnd(table, workerView, step.now, end, ended->second);
        markStarted(table, end.run.task.job);
        workerView.removeRun(end.run);
        command.ends.push_back(end);
    }
    const FleetWorker* record = table.worker(workerView.number);
    if (!command.ends.empty() && record)
        m_commands.push_back(std::move(command));
}

/// Requeues runs that were confirmed before the poll was sent but are reported neither as running
/// nor as ended: they don't exist on the worker and can't start any more. A response that may leave out
/// ends doesn't show that.
void WorkerDispatcher::requeueUnlisted(FleetStep& step, WorkerView& workerView, Time pollSentAt, const OrderResponse& response)
{
    if (response.mayHaveMoreEnds)
        return;
    std::set<TaskRun> listed;
    for (const ReportedRun& run : response.running)
        listed.insert(run.run);
    std::vector<TaskRun> missing;
    for (const auto& [run, runView] : workerView.runs) {
        const bool isConfirmed = runView.phase == RunPhase::Running || runView.phase == RunPhase::Stopping;
        if (isConfirmed && runView.confirmedAt < pollSentAt && !listed.count(run))
            missing.push_back(run);
    }
    for (const TaskRun& run : missing)
        logRun(step, LogEventKind::RunLost, workerView, run, "not-listed");
    if (missing.empty())
        return;
    requeue(workerView, step.now, missing);
    restrain(workerView, step.now);
}

/// Requeues runs that were lost. If the worker `mayHaveCrashed`, the log keeps those that may be the cause.
void WorkerDispatcher::requeue(WorkerView& workerView, Time now, const std::vector<TaskRun>& runs, bool mayHaveCrashed)
{
    RequeueLostRuns command { workerView.number, {} };
    for (const TaskRun& run : runs) {
        const auto found = workerView.runs.find(run);
        if (found == workerView.runs.end())
            continue;
        command.runs.push_back({ run, found->second.checkpoint, mayHaveCrashed ? found->second.crashEvidence(workerView.aliveUntil, workerView.brokenAt) : CrashEvidence::None });
        const bool isGang = found->second.isGang;
        workerView.removeRun(run);
        if (isGang)
            m_workerViews.stopGang(now, run);
    }
    m_counters.add(FleetCounter::RunsLost, command.runs.size());
    if (!command.runs.empty())
        m_commands.push_back(std::move(command));
}

void WorkerDispatcher::logRun(FleetStep& step, LogEventKind kind, const WorkerView& workerView, const TaskRun& run, std::string_view reason)
{
    const TaskRef& task = run.task;
    step.log(kind, { { "job", hexText(task.job.value) }, { "step", std::to_string(task.step) }, { "task", std::to_string(task.index) }, { "attempt", std::to_string(run.attempt) }, { "worker", workerView.info.id }, { "reason", std::string(reason) }, { "fence", std::to_string(workerFence(m_term, workerView.number)) } });
}

void WorkerDispatcher::requeueAll(WorkerView& workerView, Time now)
{
    std::vector<TaskRun> runs;
    for (const auto& [run, runView] : workerView.runs) {
        if (runView.phase != RunPhase::Reserved)
            runs.push_back(run);
    }
    requeue(workerView, now, runs, true);
}

// Orders.

void WorkerDispatcher::tick(FleetStep& step, const WorkTable& table)
{
    handleUnansweredRelays(step, table, m_calls.takeOverdue(step.now));
    for (const WorkerNumber number : m_workerViews.takeDue(step.now)) {
        if (WorkerView* target = m_workerViews.find(number))
            serviceWorker(step, table, *target);
    }
}

void WorkerDispatcher::serviceWorker(FleetStep& step, const WorkTable& table, WorkerView& workerView)
{
    if (workerView.hasEnded) {
        serviceEnded(workerView, step.now);
        return;
    }
    if (workerView.isUnresponsive && !workerView.runs.empty() && workerView.lease.isExpired(step.now)) {
        m_counters.add(FleetCounter::WorkersLost);
        step.log(LogEventKind::WorkerLost, { { "worker", workerView.info.id }, { "runs", std::to_string(workerView.runs.size()) } });
        for (const auto& [run, runView] : workerView.runs)
            logRun(step, LogEventKind::RunLost, workerView, run, "lease-over");
        requeueAll(workerView, step.now);
        restrain(workerView, step.now);
        workerView.isSynced = false;
    }
    if (workerView.isUnresponsive && workerView.runs.empty() && step.now > workerView.lastReport + config::fleetPeerTimeout * 5) {
        if (awaitsNextIncarnation(table, workerView, step.now)) {
            m_workerViews.schedule(step.now + config::idlePlanPeriod, workerView.number);
            return;
        }
        m_commands.push_back(RemoveFleetWorker { workerView.number });
        return;
    }
    sendOrders(step, table, workerView);
    if (!workerView.isPollPending && needsPoll(table, workerView)) {
        if (step.now >= workerView.nextPoll)
            sendPoll(step, table, workerView);
        else
            m_workerViews.schedule(workerView.nextPoll, workerView.number);
    }
}

bool WorkerDispatcher::needsPoll(const WorkTable& table, const WorkerView& workerView) const
{
    if (!workerView.isSynced || workerView.isUnresponsive || !workerView.runs.empty())
        return true;
    const FleetWorker* record = table.worker(workerView.number);
    return record && record->lastEndNumber > workerView.endsAcknowledged;
}

void WorkerDispatcher::sendOrders(FleetStep& step, const WorkTable& table, WorkerView& workerView)
{
    std::vector<TaskRun> lateMembers;
    std::vector<TaskRun> withoutCapacity;
    std::vector<TaskRun> undelivered;
    Resources occupied = workerView.occupied();
    const Duration memberStartTimeout = m_settings.gangTimeout - config::orderTimeout;
    for (auto& [run, runView] : workerView.runs) {
        const bool isLateMember = runView.isGang && runView.phase == RunPhase::Starting && !runView.isStopRequested && step.now >= runView.placedAt + memberStartTimeout;
        if (isLateMember)
            lateMembers.push_back(run);
        if (runView.phase == RunPhase::Reserved || runView.phase == RunPhase::Stopping || runView.isOrderPending)
            continue;
        if (!runView.isStopRequested && runView.phase == RunPhase::Running)
            continue;
        const bool isStart = !runView.isStopRequested && table.isCurrentRun(run);
        // The next incarnation under the same id would carry out the start of a run that is then placed anew.
        if (isStart && workerView.isUnresponsive)
            continue;
        if (isStart && !workerView.isSynced)
            continue; // Its lease is in terms of the worker's clock, which is not known yet.
        if (step.now < runView.nextOrder) {
            m_workerViews.schedule(runView.nextOrder, workerView.number);
            continue;
        }
        if (isStart && runView.isUndelivered()) {
            undelivered.push_back(run);
            continue;
        }
        // The worker's capacity may have shrunk since the run was placed.
        if (isStart && !workerView.admitStart(occupied, runView)) {
            withoutCapacity.push_back(run);
            continue;
        }
        runView.isStopRequested = !isStart;
        WorkerOrder order;
        if (isStart)
            order = startOrder(table, workerView, run, step.now);
        else
            order.kind = OrderKind::Stop;
        order.run = run;
        runView.isOrderPending = true;
        const PendingWorkerCall call { workerView.number, order.kind, run, step.now, config::orderTimeout, 0 };
        send(step, workerView, call, std::move(order));
    }
    for (const TaskRun& run : lateMembers)
        m_workerViews.stopGang(step.now, run);
    giveUpStarts(step, workerView, undelivered);
    for (const TaskRun& run : withoutCapacity) {
        logRun(step, LogEventKind::OrderRefused, workerView, run, "capacity-shrunk");
        m_counters.add(FleetCounter::StartsWithdrawn);
        handleRefusedStart(workerView, step.now, run);
        m_workerViews.schedule(step.now, workerView.number);
    }
}

WorkerOrder WorkerDispatcher::startOrder(const WorkTable& table, WorkerView& workerView, const TaskRun& run, Time now) const
{
    const WorkJob& job = *table.job(run.task.job);
    WorkerOrder order;
    order.kind = OrderKind::Start;
    order.text = job.work.text;
    order.checkpoint = job.task(run.task)->checkpoint;
    order.ticket = workerView.runs.at(run).ticket;
    order.leaseEndMs = leaseFor(workerView, now);
    return order;
}

/// Gives up starts that get no response although the worker answers polls, so that their tasks can be placed elsewhere.
/// The quarantine keeps them, and others, from being placed on this worker again at once.
void WorkerDispatcher::giveUpStarts(FleetStep& step, WorkerView& workerView, const std::vector<TaskRun>& undelivered)
{
    if (undelivered.empty())
        return;
    for (const TaskRun& run : undelivered) {
        logRun(step, LogEventKind::OrderRefused, workerView, run, "undelivered");
        m_counters.add(FleetCounter::StartsUndelivered);
        if (workerView.runs.at(run).isGang)
            m_workerViews.stopGang(step.now, run);
        handleRefusedStart(workerView, step.now, run);
    }
    m_workerViews.schedule(step.now, workerView.number);
    quarantine(step, workerView);
}

/// Doesn't extend the lease of an unresponsive worker, as its runs could then never be requeued.
int64_t WorkerDispatcher::leaseFor(WorkerView& workerView, Time now) const
{
    return workerView.isUnresponsive ? workerView.lease.endMs() : workerView.lease.extend(now, m_settings.maxLease);
}

/// An acknowledgement is sent until it was answered, and only to a worker that has just responded: the
/// next incarnation would take it for one of its own ends, whose numbers begin anew.
uint64_t WorkerDispatcher::endToAcknowledge(const FleetWorker& record, const WorkerView& workerView)
{
    const bool isDue = workerView.isSynced && !workerView.isUnresponsive && record.lastEndNumber > workerView.endsAcknowledged;
    return isDue ? record.lastEndNumber : 0;
}

void WorkerDispatcher::sendPoll(FleetStep& step, const WorkTable& table, WorkerView& workerView)
{
    const FleetWorker* record = table.worker(workerView.number);
    if (!record)
        return;
    WorkerOrder order;
    order.kind = OrderKind::Poll;
    order.acknowledgedEnd = endToAcknowledge(*record, workerView);
    // The first poll only reads the worker's clock, in terms of which leases are granted.
    if (workerView.lease.isClockKnown() && !workerView.runs.empty())
        order.leaseEndMs = leaseFor(workerView, step.now);
    const bool mayWait = workerView.isSynced && !workerView.isUnresponsive && !workerView.runs.empty();
    if (mayWait)
        order.maxWait = workerView.isolatedRuns ? config::crashProofTime : config::maxPollWait;
    workerView.isPollPending = true;
    const uint64_t acknowledgedEnd = order.acknowledgedEnd;
    const Duration timeout = config::orderTimeout + order.maxWait;
    send(step, workerView, { workerView.number, OrderKind::Poll, {}, step.now, timeout, acknowledgedEnd }, std::move(order));
}

void WorkerDispatcher::send(FleetStep& step, const WorkerView& workerView, const PendingWorkerCall& call, WorkerOrder order)
{
    order.fencingToken = workerFence(m_term, workerView.number);
    if (m_calls.send(step, workerView.info, m_workerViews.all().size(), call, std::move(order)))
        m_counters.add(FleetCounter::CallsRelayed);
}

} // namespace eelgrassloft
