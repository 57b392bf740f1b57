#include "worker_dispatcher.h"

#include "hash.h"

#include <algorithm>

namespace eelgrassloft {

namespace {

/// Initial state of a run with the size that its job's step requests, or `unknownSize` if the table
/// has no such step.
RunView initialRunView(const WorkTable& table, const TaskRef& task, const Resources& unknownSize)
{
    RunView runView;
    runView.size = unknownSize;
    const StepSpec* step = table.stepOf(task);
    if (!step)
        return runView;
    runView.size = step->size;
    runView.isBestEffort = step->isBestEffort;
    runView.isGang = step->isGang;
    runView.canCheckpoint = step->canCheckpoint;
    runView.priority = table.job(task.job)->queue.priority;
    runView.isSuspect = table.job(task.job)->needsIsolation(task);
    return runView;
}

} // namespace

WorkerView* WorkerDispatcher::workerView(WorkerNumber number)
{
    const auto found = m_workerViews.find(number);
    return found == m_workerViews.end() ? nullptr : &found->second;
}

void WorkerDispatcher::start(const WorkTable& table, Time now, uint64_t fencingToken)
{
    stop();
    m_fencingToken = fencingToken;
    for (const auto& [number, record] : table.workers())
        addWorker(table, record, number, now, false);
}

void WorkerDispatcher::stop()
{
    m_workerViews.clear();
    m_calls.clear();
    m_schedule.clear();
    m_commands.clear();
    m_startedJobs.clear();
    m_routes.clearCalls();
}

void WorkerDispatcher::addWorker(const WorkTable& table, const FleetWorker& record, WorkerNumber number, Time now, bool isNew)
{
    WorkerView& workerView = m_workerViews[number];
    workerView.number = number;
    workerView.info = record.info;
    workerView.lastReport = now;
    workerView.reportSequence = record.reportSequence;
    if (!isNew)
        workerView.lease.assumeGranted(now, m_settings.maxLease); // By an earlier leader.
    // Once the worker has responded to the new fencing token, each run that an earlier leader placed
    // is running, has ended, or can't start any more.
    for (const TaskRun& run : record.runs) {
        RunView runView = initialRunView(table, run.task, {});
        runView.phase = RunPhase::Running;
        runView.isInherited = true;
        runView.confirmedAt = runView.progressAt = runView.placedAt = now - config::pollInterval;
        runView.isStopRequested = !table.isCurrentRun(run);
        workerView.addRun(run, std::move(runView));
    }
    schedule(now, number);
}

void WorkerDispatcher::updateWorkers(const WorkTable& table, Time now)
{
    std::erase_if(m_workerViews, [&](const auto& entry) { return !table.worker(entry.first); });
    for (const auto& [number, record] : table.workers()) {
        if (WorkerView* known = workerView(number))
            known->info = record.info;
        else
            addWorker(table, record, number, now, true);
    }
}

bool WorkerDispatcher::noteWorkerReport(WorkerNumber number, uint64_t sequence, Time now)
{
    WorkerView* known = workerView(number);
    if (!known)
        return true;
    if (sequence < known->reportSequence && now < known->lastReport + config::maxReportDelay)
        return false;
    known->reportSequence = sequence;
    known->lastReport = now;
    return true;
}

void WorkerDispatcher::stopJob(Time now, JobKey job)
{
    for (auto& [number, workerView] : m_workerViews) {
        auto run = workerView.runs.lower_bound(TaskRun { { job, 0, 0, 0 }, 0 });
        for (; run != workerView.runs.end() && run->first.task.job == job; ++run) {
            run->second.isStopRequested = true;
            schedule(now, number);
        }
    }
}

void WorkerDispatcher::stopGang(const WorkTable&, Time now, const TaskRun& member)
{
    TaskRun first = member;
    first.task.index = 0;
    first.attempt = 0;
    for (auto& [number, workerView] : m_workerViews) {
        auto run = workerView.runs.lower_bound(first);
        for (; run != workerView.runs.end(); ++run) {
            const TaskRef& task = run->first.task;
            if (task.job != member.task.job || task.occurrence != member.task.occurrence || task.step != member.task.step)
                break;
            if (run->first.attempt != member.attempt)
                continue;
            run->second.isStopRequested = true;
            schedule(now, number);
        }
    }
}

// Placements.

void WorkerDispatcher::reserve(const WorkTable& table, const RunPlacement& placement, std::string ticket)
{
    WorkerView* target = workerView(placement.worker);
    if (!target)
        return;
    RunView runView = initialRunView(table, placement.run.task, {});
    runView.ticket = std::move(ticket);
    target->addRun(placement.run, std::move(runView));
}

void WorkerDispatcher::completePlacement(const WorkTable& table, Time now, const RunPlacement& placement)
{
    WorkerView* target = workerView(placement.worker);
    if (!target)
        return;
    const auto found = target->runs.find(placement.run);
    if (found == target->runs.end() || found->second.phase != RunPhase::Reserved)
        return;
    if (!table.isCurrentRun(placement.run)) {
        target->removeRun(placement.run);
        return;
    }
    found->second.phase = RunPhase::Starting;
    found->second.placedAt = now;
    schedule(now, placement.worker);
}

void WorkerDispatcher::stopRun(Time now, WorkerNumber worker, const TaskRun& run)
{
    WorkerView* target = workerView(worker);
    const auto found = target ? target->runs.find(run) : std::map<TaskRun, RunView>::iterator {};
    if (!target || found == target->runs.end())
        return;
    found->second.isStopRequested = true;
    schedule(now, worker);
}

void WorkerDispatcher::hostDown(FleetStep& step, const WorkTable& table, HostId host)
{
    handleUnansweredRelays(step, table, m_routes.hostDown(host));
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
    m_routes.removeCall(id);
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const Call call = found->second;
    m_calls.erase(found);
    ++m_counters.orders[call.kind][response.outcome];
    if (call.kind != OrderKind::Poll && response.outcome != OrderOutcome::NoResponse)
        step.measure(FleetTimer::OrderRoundTrip, step.now - call.sentAt);
    WorkerView* target = workerView(call.worker);
    if (!target)
        return;
    const bool isOtherIncarnation = response.outcome == OrderOutcome::OtherIncarnation || (response.startedAtMs && *response.startedAtMs != target->info.startedAtMs);
    if (isOtherIncarnation) {
        endIncarnation(table, *target, step.now);
        return;
    }
    if (response.clockMs)
        target->lease.updateClock(step.now, *response.clockMs);
    if (response.outcome != OrderOutcome::NoResponse) {
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
    schedule(step.now, call.worker);
}

void WorkerDispatcher::handleStartResponse(FleetStep& step, const WorkTable& table, WorkerView& workerView, const Call& call, const OrderResponse& response)
{
    const auto found = workerView.runs.find(call.run);
    if (found == workerView.runs.end())
        return;
    RunView& run = found->second;
    run.isOrderPending = false;
    workerView.hasUnansweredStart = response.outcome == OrderOutcome::NoResponse;
    if (response.outcome != OrderOutcome::Accepted)
        logRun(step, LogEventKind::OrderRefused, workerView, call.run, name(response.outcome));
    switch (response.outcome) {
    case OrderOutcome::Accepted:
    case OrderOutcome::Outdated: // The run has ended; the next poll reports its outcome.
        if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Running;
            run.confirmedAt = run.progressAt = step.now;
            markStarted(table, call.run.task.job);
            step.measure(FleetTimer::CommitToStart, step.now - run.placedAt);
        }
        break;
    case OrderOutcome::LeaseExpired:
        run.nextOrder = step.now + config::orderRetryInterval / 4;
        break;
    case OrderOutcome::Fenced:
        run.nextOrder = step.now + config::orderRetryInterval;
        break;
    case OrderOutcome::NoResponse:
        run.mayStartLate = true;
        run.nextOrder = step.now + config::orderRetryInterval;
        break;
    default:
        if (run.phase == RunPhase::Starting)
            handleRefusedStart(table, workerView, step.now, call.run);
        break;
    }
}

/// Handles a refused start. If an earlier order for the run had no response, it may still be carried
/// out, so the run is stopped before it counts as not started.
void WorkerDispatcher::handleRefusedStart(const WorkTable& table, WorkerView& workerView, Time now, const TaskRun& run)
{
    RunView& runView = workerView.runs.at(run);
    if (runView.mayStartLate) {
        runView.isStopRequested = true;
        runView.nextOrder = now;
        return;
    }
    requeue(table, workerView, now, { run });
}

void WorkerDispatcher::handleStopResponse(FleetStep& step, WorkerView& workerView, const Call& call, const OrderResponse& response)
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
void WorkerDispatcher::noteBrokenPoll(WorkerView& workerView, const Call& call, Time now)
{
    if (now >= call.sentAt + call.timeout)
        return;
    workerView.noteAlive(now);
    workerView.brokenAt = now;
}

void WorkerDispatcher::handlePollResponse(FleetStep& step, const WorkTable& table, WorkerView& workerView, const Call& call, const OrderResponse& response)
{
    workerView.isPollPending = false;
    if (response.outcome != OrderOutcome::Accepted) {
        if (!std::exchange(workerView.isUnresponsive, true)) {
            workerView.unresponsiveSince = call.sentAt;
            if (response.outcome == OrderOutcome::NoResponse)
                noteBrokenPoll(workerView, call, step.now);
            step.log(LogEventKind::WorkerUnresponsive, { { "worker", workerView.info.id }, { "runs", std::to_string(workerView.runs.size()) }, { "outcome", std::string(name(response.outcome)) } });
        }
        workerView.nextPoll = step.now + config::orderRetryInterval;
        return;
    }
    if (std::exchange(workerView.isUnresponsive, false))
        step.log(LogEventKind::WorkerResponsive, { { "worker", workerView.info.id }, { "silentMs", std::to_string((step.now - workerView.unresponsiveSince) / std::chrono::milliseconds(1)) } });
    workerView.hasUnansweredStart = false;
    workerView.endsAcknowledged = std::max(workerView.endsAcknowledged, call.acknowledgedEnd);
    workerView.nextPoll = std::max(step.now, call.sentAt + config::pollInterval);
    processEnds(step, table, workerView, response.ends);
    processActiveRuns(table, workerView, step.now, response.running);
    requeueUnlisted(step, table, workerView, call.sentAt, response);
    stopStuckRuns(step, table, workerView);
    workerView.isSynced = true;
}

/// Stops runs that are reported without making progress, and quarantines their worker. The members
/// of a gang stall together, so their worker need not be the cause and isn't quarantined.
void WorkerDispatcher::stopStuckRuns(FleetStep& step, const WorkTable& table, WorkerView& workerView)
{
    for (auto& [run, runView] : workerView.runs) {
        const StepSpec* spec = table.stepOf(run.task);
        const bool isWatched = spec && !spec->isLongRunning && !spec->isBestEffort && runView.isReported && !runView.isStopRequested
            && runView.percent < 100 && !(runView.isGang && !runView.percent);
        const Duration stuckTimeout = runView.isGang ? config::stuckRunTimeout * 2 : config::stuckRunTimeout;
        if (!isWatched || step.now < runView.progressAt + stuckTimeout)
            continue;
        runView.isStopRequested = true;
        if (runView.isGang)
            stopGang(table, step.now, run);
        else
            quarantine(step, workerView);
    }
}

void WorkerDispatcher::quarantine(FleetStep& step, WorkerView& workerView)
{
    workerView.quarantinedUntil = step.now + config::quarantineDuration;
    workerView.isOnProbation = true;
    m_counters.add(FleetCounter::WorkersQuarantined);
    step.log(LogEventKind::WorkerQuarantined, { { "worker", workerView.info.id }, { "jobs", std::to_string(workerView.failedJobs.size()) } });
}

void WorkerDispatcher::processEnds(FleetStep& step, const WorkTable& table, WorkerView& workerView, const std::vector<EndedRun>& ends)
{
    RecordRunOutcomes command { workerView.number, {} };
    for (const EndedRun& end : ends) {
        if (end.number <= workerView.endsProposed)
            continue;
        workerView.endsProposed = end.number;
        trackFailures(step, workerView, end);
        markStarted(table, end.run.task.job);
        workerView.removeRun(end.run);
        command.ends.push_back(end);
    }
    const FleetWorker* record = table.worker(workerView.number);
    if (!command.ends.empty() && record)
        m_commands.push_back(std::move(command));
}

/// Tracks consecutive failures, and quarantines a worker on which the runs of distinct jobs fail.
void WorkerDispatcher::trackFailures(FleetStep& step, WorkerView& workerView, const EndedRun& end)
{
    if (end.runOutcome == RunOutcome::Done) {
        workerView.failedJobs.clear();
        workerView.isOnProbation = false;
        return;
    }
    if (end.runOutcome != RunOutcome::Failed)
        return;
    logRun(step, LogEventKind::RunFailed, workerView, end.run, name(end.runOutcome));
    const JobKey job = end.run.task.job;
    if (std::find(workerView.failedJobs.begin(), workerView.failedJobs.end(), job) == workerView.failedJobs.end())
        workerView.failedJobs.push_back(job);
    if (workerView.failedJobs.size() < config::failuresToQuarantine && !workerView.isOnProbation)
        return;
    quarantine(step, workerView);
}

void WorkerDispatcher::processActiveRuns(const WorkTable& table, WorkerView& workerView, Time now, const std::vector<ReportedRun>& running)
{
    for (const ReportedRun& listed : running) {
        auto found = workerView.runs.find(listed.run);
        if (found == workerView.runs.end()) {
            RunView runView = initialRunView(table, listed.run.task, workerView.info.capacity);
            runView.isStopRequested = true;
            runView.progressAt = runView.placedAt = now;
            workerView.addRun(listed.run, std::move(runView));
            found = workerView.runs.find(listed.run);
        }
        RunView& run = found->second;
        if (run.phase == RunPhase::Starting || run.phase == RunPhase::Reserved) {
            run.phase = RunPhase::Running;
            run.confirmedAt = now;
        }
        if (listed.percent != run.percent || !run.isReported)
            run.progressAt = now;
        run.isReported = true;
        markStarted(table, listed.run.task.job);
        run.percent = listed.percent;
        if (!listed.checkpoint.empty())
            run.checkpoint = listed.checkpoint;
        run.isStopRequested = run.isStopRequested || !table.isCurrentRun(listed.run);
    }
}

/// Requeues runs that were confirmed before the poll was sent but are reported neither as running
/// nor as ended: they don't exist on the worker and can't start any more.
void WorkerDispatcher::requeueUnlisted(FleetStep& step, const WorkTable& table, WorkerView& workerView, Time pollSentAt, const OrderResponse& response)
{
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
    if (!missing.empty())
        requeue(table, workerView, step.now, missing);
}

/// Requeues runs that were lost. If the worker `mayHaveCrashed`, the log keeps those that may be the cause.
void WorkerDispatcher::requeue(const WorkTable& table, WorkerView& workerView, Time now, const std::vector<TaskRun>& runs, bool mayHaveCrashed)
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
            stopGang(table, now, run);
    }
    m_counters.add(FleetCounter::RunsLost, command.runs.size());
    if (!command.runs.empty())
        m_commands.push_back(std::move(command));
}

void WorkerDispatcher::logRun(FleetStep& step, LogEventKind kind, const WorkerView& workerView, const TaskRun& run, std::string_view reason)
{
    const TaskRef& task = run.task;
    step.log(kind, { { "job", hexText(task.job.value) }, { "step", std::to_string(task.step) }, { "task", std::to_string(task.index) }, { "attempt", std::to_string(run.attempt) }, { "worker", workerView.info.id }, { "reason", std::string(reason) }, { "fence", std::to_string(m_fencingToken) } });
}

void WorkerDispatcher::requeueAll(const WorkTable& table, WorkerView& workerView, Time now)
{
    std::vector<TaskRun> runs;
    for (const auto& [run, runView] : workerView.runs) {
        if (runView.phase != RunPhase::Reserved)
            runs.push_back(run);
    }
    requeue(table, workerView, now, runs, true);
}

void WorkerDispatcher::endIncarnation(const WorkTable& table, WorkerView& workerView, Time now)
{
    requeueAll(table, workerView, now);
    m_commands.push_back(RemoveFleetWorker { workerView.number, true });
    workerView.isSynced = false;
    workerView.isUnresponsive = true;
    workerView.isPollPending = true; // Sends nothing more before the log has removed the worker.
}

void WorkerDispatcher::endFormerIncarnations(const WorkTable& table, Time now, const WorkerInfo& info)
{
    for (auto& [number, former] : m_workerViews) {
        if (!former.runs.empty() && former.info.startedAtMs < info.startedAtMs && former.info.isSameWorker(info))
            requeueAll(table, former, now);
    }
}

/// Whether the worker's next incarnation may still show that the worker has crashed.
bool WorkerDispatcher::awaitsNextIncarnation(const WorkTable& table, const WorkerView& workerView, Time now) const
{
    const FleetWorker* record = table.worker(workerView.number);
    return record && !record->crashSuspects.empty() && now < workerView.lastReport + config::crashEvidenceLifetime;
}

// Orders.

void WorkerDispatcher::tick(FleetStep& step, const WorkTable& table)
{
    handleUnansweredRelays(step, table, m_routes.takeOverdue(step.now));
    std::set<WorkerNumber> due;
    while (!m_schedule.empty() && m_schedule.begin()->first <= step.now) {
        due.insert(m_schedule.begin()->second);
        m_schedule.erase(m_schedule.begin());
    }
    for (const WorkerNumber number : due) {
        if (WorkerView* target = workerView(number))
            serviceWorker(step, table, *target);
    }
}

void WorkerDispatcher::serviceWorker(FleetStep& step, const WorkTable& table, WorkerView& workerView)
{
    if (workerView.isUnresponsive && !workerView.runs.empty() && workerView.lease.isExpired(step.now)) {
        m_counters.add(FleetCounter::WorkersLost);
        step.log(LogEventKind::WorkerLost, { { "worker", workerView.info.id }, { "runs", std::to_string(workerView.runs.size()) } });
        for (const auto& [run, runView] : workerView.runs)
            logRun(step, LogEventKind::RunLost, workerView, run, "lease-over");
        requeueAll(table, workerView, step.now);
        workerView.isSynced = false;
    }
    if (workerView.isUnresponsive && workerView.runs.empty() && step.now > workerView.lastReport + config::fleetPeerTimeout * 5) {
        if (awaitsNextIncarnation(table, workerView, step.now)) {
            schedule(step.now + config::idlePlanPeriod, workerView.number);
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
            schedule(workerView.nextPoll, workerView.number);
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
        if (step.now < runView.nextOrder) {
            schedule(runView.nextOrder, workerView.number);
            continue;
        }
        WorkerOrder order;
        order.run = run;
        if (runView.isStopRequested || !table.isCurrentRun(run)) {
            runView.isStopRequested = true;
            order.kind = OrderKind::Stop;
        } else {
            // The worker's capacity may have shrunk since the run was placed.
            if (!workerView.admitStart(occupied, runView)) {
                withoutCapacity.push_back(run);
                continue;
            }
            const WorkJob& job = *table.job(run.task.job);
            order.kind = OrderKind::Start;
            order.text = job.work.text;
            order.checkpoint = job.task(run.task)->checkpoint;
            order.ticket = runView.ticket;
            order.leaseEndMs = leaseFor(workerView, step.now);
        }
        runView.isOrderPending = true;
        const Call call { workerView.number, order.kind, run, step.now, config::orderTimeout, 0 };
        send(step, workerView, call, std::move(order));
    }
    for (const TaskRun& run : lateMembers)
        stopGang(table, step.now, run);
    for (const TaskRun& run : withoutCapacity) {
        logRun(step, LogEventKind::OrderRefused, workerView, run, "capacity-shrunk");
        m_counters.add(FleetCounter::StartsWithdrawn);
        handleRefusedStart(table, workerView, step.now, run);
        schedule(step.now, workerView.number);
    }
}

/// Doesn't extend the lease of an unresponsive worker, as its runs could then never be requeued.
int64_t WorkerDispatcher::leaseFor(WorkerView& workerView, Time now) const
{
    return workerView.isUnresponsive ? workerView.lease.endMs() : workerView.lease.extend(now, m_settings.maxLease);
}

void WorkerDispatcher::sendPoll(FleetStep& step, const WorkTable& table, WorkerView& workerView)
{
    const FleetWorker* record = table.worker(workerView.number);
    if (!record)
        return;
    WorkerOrder order;
    order.kind = OrderKind::Poll;
    order.acknowledgedEnd = record->lastEndNumber;
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

void WorkerDispatcher::send(FleetStep& step, const WorkerView& workerView, Call call, WorkerOrder order)
{
    order.fencingToken = m_fencingToken;
    const CallId id { m_nextCall++ };
    m_calls[id] = call;
    const HostId host = m_routes.hostFor(workerView.info.dataCentre, m_workerViews.size(), step.now);
    if (!host.isValid()) {
        step.emit(CallWorker { id, workerView.info.id, workerView.info.address, std::move(order) });
        return;
    }
    m_counters.add(FleetCounter::CallsRelayed);
    m_routes.addCall(host, id, step.now + order.maxWait + config::orderTimeout + config::relayMargin);
    step.send(host, WorkerCallRequest { id.value, workerView.info.id, workerView.info.address, std::move(order) });
}

} // namespace eelgrassloft
