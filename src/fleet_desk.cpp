#include "fleet_desk.h"

#include "hash.h"

#include <algorithm>

namespace eelgrassloft {

namespace {

/// View of a run of a task as its job describes it; a run of an unknown job takes `whole`.
RunView viewOf(const WorkTable& table, const TaskRef& task, const Resources& whole)
{
    RunView view;
    view.size = whole;
    const StepSpec* step = table.stepOf(task);
    if (!step)
        return view;
    view.size = step->size;
    view.isBestEffort = step->isBestEffort;
    view.isGang = step->isGang;
    view.canCheckpoint = step->canCheckpoint;
    view.priority = table.job(task.job)->queue.priority;
    return view;
}

} // namespace

WorkerLink* FleetDesk::link(WorkerNumber number)
{
    const auto found = m_links.find(number);
    return found == m_links.end() ? nullptr : &found->second;
}

void FleetDesk::start(const WorkTable& table, Time now, uint64_t fence)
{
    stop();
    m_fence = fence;
    for (const auto& [number, record] : table.workers())
        addLink(table, record, number, now, false);
}

void FleetDesk::stop()
{
    m_links.clear();
    m_calls.clear();
    m_schedule.clear();
    m_commands.clear();
    m_begun.clear();
    m_routes.clearCalls();
}

void FleetDesk::addLink(const WorkTable& table, const FleetWorker& record, WorkerNumber number, Time now, bool isFresh)
{
    WorkerLink& link = m_links[number];
    link.number = number;
    link.info = record.info;
    link.lastReport = now;
    if (!isFresh)
        link.lease.assumeGiven(now, m_settings.maxLease);
    // Runs that an earlier leader placed are there, have ended, or can't start any more once the
    // worker has answered under the new fence.
    for (const TaskRun& run : record.runs) {
        RunView view = viewOf(table, run.task, {});
        view.phase = RunPhase::Running;
        view.confirmedAt = view.progressAt = view.placedAt = now - config::pollInterval;
        view.isStopWanted = !table.isWanted(run);
        link.addRun(run, std::move(view));
    }
    schedule(now, number);
}

void FleetDesk::workersChanged(const WorkTable& table, Time now)
{
    std::erase_if(m_links, [&](const auto& entry) { return !table.worker(entry.first); });
    for (const auto& [number, record] : table.workers()) {
        if (WorkerLink* known = link(number))
            known->info = record.info;
        else
            addLink(table, record, number, now, true);
    }
}

void FleetDesk::workerReported(WorkerNumber number, Time now)
{
    if (WorkerLink* known = link(number))
        known->lastReport = now;
}

void FleetDesk::jobEnded(Time now, JobKey job)
{
    for (auto& [number, link] : m_links) {
        auto run = link.runs.lower_bound(TaskRun { { job, 0, 0, 0 }, 0 });
        for (; run != link.runs.end() && run->first.task.job == job; ++run) {
            run->second.isStopWanted = true;
            schedule(now, number);
        }
    }
}

void FleetDesk::stopGang(const WorkTable&, Time now, const TaskRun& member)
{
    TaskRun first = member;
    first.task.index = 0;
    first.attempt = 0;
    for (auto& [number, link] : m_links) {
        auto run = link.runs.lower_bound(first);
        for (; run != link.runs.end(); ++run) {
            const TaskRef& task = run->first.task;
            if (task.job != member.task.job || task.occurrence != member.task.occurrence || task.step != member.task.step)
                break;
            if (run->first.attempt != member.attempt)
                continue;
            run->second.isStopWanted = true;
            schedule(now, number);
        }
    }
}

// Placements.

void FleetDesk::reserve(const WorkTable& table, const RunPlacement& placement, std::string ticket)
{
    WorkerLink* target = link(placement.worker);
    if (!target)
        return;
    RunView view = viewOf(table, placement.run.task, {});
    view.ticket = std::move(ticket);
    target->addRun(placement.run, std::move(view));
}

void FleetDesk::placed(const WorkTable& table, Time now, const RunPlacement& placement)
{
    WorkerLink* target = link(placement.worker);
    if (!target)
        return;
    const auto found = target->runs.find(placement.run);
    if (found == target->runs.end() || found->second.phase != RunPhase::Reserved)
        return;
    if (!table.isWanted(placement.run)) {
        target->removeRun(placement.run);
        return;
    }
    found->second.phase = RunPhase::Starting;
    found->second.placedAt = now;
    schedule(now, placement.worker);
}

void FleetDesk::stopRun(Time now, WorkerNumber worker, const TaskRun& run)
{
    WorkerLink* target = link(worker);
    const auto found = target ? target->runs.find(run) : std::map<TaskRun, RunView>::iterator {};
    if (!target || found == target->runs.end())
        return;
    found->second.isStopWanted = true;
    schedule(now, worker);
}

void FleetDesk::hostDown(FleetStep& step, const WorkTable& table, HostId host)
{
    relaysUnanswered(step, table, m_routes.hostDown(host));
}

/// What the hosts in between did with the calls is not known, as with a worker that is silent.
void FleetDesk::relaysUnanswered(FleetStep& step, const WorkTable& table, const std::set<CallId>& calls)
{
    m_counters.add(FleetCounter::RelaysUnanswered, calls.size());
    for (const CallId call : calls)
        answered(step, table, call, {});
}

/// Ends and runs may be listed after their job has ended and was forgotten.
void FleetDesk::noteBegun(const WorkTable& table, JobKey job)
{
    if (table.openJobs().count(job))
        m_begun.insert(job);
}

// Answers.

void FleetDesk::answered(FleetStep& step, const WorkTable& table, CallId id, const WorkerAnswer& answer)
{
    m_routes.answered(id);
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const Call call = found->second;
    m_calls.erase(found);
    ++m_counters.orders[call.kind][answer.outcome];
    if (call.kind != OrderKind::Look && answer.outcome != OrderOutcome::Silent)
        step.measure(FleetTimer::OrderRoundTrip, step.now - call.sentAt);
    WorkerLink* target = link(call.worker);
    if (!target)
        return;
    const bool isOtherLife = answer.outcome == OrderOutcome::OtherLife || (answer.startedAtMs && *answer.startedAtMs != target->info.startedAtMs);
    if (isOtherLife) {
        lifeOver(table, *target, step.now);
        return;
    }
    if (answer.clockMs)
        target->lease.sawClock(step.now, *answer.clockMs);
    switch (call.kind) {
    case OrderKind::Start:
        startAnswered(step, table, *target, call, answer);
        break;
    case OrderKind::Stop:
        stopAnswered(step, *target, call, answer);
        break;
    default:
        lookAnswered(step, table, *target, call, answer);
        break;
    }
    schedule(step.now, call.worker);
}

void FleetDesk::startAnswered(FleetStep& step, const WorkTable& table, WorkerLink& link, const Call& call, const WorkerAnswer& answer)
{
    const auto found = link.runs.find(call.run);
    if (found == link.runs.end())
        return;
    RunView& run = found->second;
    run.hasOrder = false;
    link.isDoubtful = answer.outcome == OrderOutcome::Silent;
    if (answer.outcome != OrderOutcome::Accepted)
        logRun(step, LogEventKind::OrderRefused, link, call.run, name(answer.outcome));
    switch (answer.outcome) {
    case OrderOutcome::Accepted:
    case OrderOutcome::Outdated: // It has ended here: the next look tells how.
        if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Running;
            run.confirmedAt = run.progressAt = step.now;
            noteBegun(table, call.run.task.job);
            step.measure(FleetTimer::CommitToStart, step.now - run.placedAt);
        }
        break;
    case OrderOutcome::LeaseOver:
        run.nextOrder = step.now + config::orderRetryInterval / 4;
        break;
    case OrderOutcome::Fenced:
        run.nextOrder = step.now + config::orderRetryInterval;
        break;
    case OrderOutcome::Silent:
        run.wasSilent = true;
        run.nextOrder = step.now + config::orderRetryInterval;
        break;
    default:
        if (run.phase == RunPhase::Starting)
            notStarted(table, link, step.now, call.run);
        break;
    }
}

/// The worker refused a start. An earlier order for the run that was not answered may still be
/// carried out, so the run must be stopped before it counts as not started.
void FleetDesk::notStarted(const WorkTable& table, WorkerLink& link, Time now, const TaskRun& run)
{
    RunView& view = link.runs.at(run);
    if (view.wasSilent) {
        view.isStopWanted = true;
        view.nextOrder = now;
        return;
    }
    lose(table, link, now, { run });
}

void FleetDesk::stopAnswered(FleetStep& step, WorkerLink& link, const Call& call, const WorkerAnswer& answer)
{
    const auto found = link.runs.find(call.run);
    if (found == link.runs.end())
        return;
    RunView& run = found->second;
    run.hasOrder = false;
    if (answer.outcome == OrderOutcome::Accepted || answer.outcome == OrderOutcome::Outdated) {
        run.phase = RunPhase::Stopping;
        run.confirmedAt = step.now;
    } else {
        run.nextOrder = step.now + config::orderRetryInterval;
    }
}

void FleetDesk::lookAnswered(FleetStep& step, const WorkTable& table, WorkerLink& link, const Call& call, const WorkerAnswer& answer)
{
    link.hasLook = false;
    if (answer.outcome != OrderOutcome::Accepted) {
        if (!std::exchange(link.isSilent, true)) {
            link.silentSince = call.sentAt;
            step.log(LogEventKind::WorkerUnresponsive, { { "worker", link.info.id }, { "runs", std::to_string(link.runs.size()) }, { "outcome", std::string(name(answer.outcome)) } });
        }
        link.nextLook = step.now + config::orderRetryInterval;
        return;
    }
    if (std::exchange(link.isSilent, false))
        step.log(LogEventKind::WorkerResponsive, { { "worker", link.info.id }, { "silentMs", std::to_string((step.now - link.silentSince) / std::chrono::milliseconds(1)) } });
    link.isDoubtful = false;
    link.endsForgotten = std::max(link.endsForgotten, call.endsRecorded);
    link.nextLook = std::max(step.now, call.sentAt + config::pollInterval);
    takeEnds(step, table, link, answer.ends);
    takeRunning(table, link, step.now, answer.running);
    loseUnlisted(step, table, link, call.sentAt, answer);
    stopStuck(step, table, link);
    link.isSynced = true;
}

/// Runs that make no progress while they are listed go elsewhere, and their worker is set aside.
/// The members of a gang stand still together, so theirs need not be the worker to blame.
void FleetDesk::stopStuck(FleetStep& step, const WorkTable& table, WorkerLink& link)
{
    for (auto& [run, view] : link.runs) {
        const StepSpec* spec = table.stepOf(run.task);
        const bool isWatched = spec && !spec->isLongRunning && !spec->isBestEffort && view.isListed && !view.isStopWanted
            && view.percent < 100 && !(view.isGang && !view.percent);
        const Duration patience = view.isGang ? config::stuckRunTimeout * 2 : config::stuckRunTimeout;
        if (!isWatched || step.now < view.progressAt + patience)
            continue;
        view.isStopWanted = true;
        if (view.isGang)
            stopGang(table, step.now, run);
        else
            setAside(step, link);
    }
}

void FleetDesk::setAside(FleetStep& step, WorkerLink& link)
{
    link.setAsideUntil = step.now + config::quarantineDuration;
    link.isOnProbation = true;
    m_counters.add(FleetCounter::WorkersQuarantined);
    step.log(LogEventKind::WorkerQuarantined, { { "worker", link.info.id }, { "jobs", std::to_string(link.failedJobs.size()) } });
}

void FleetDesk::takeEnds(FleetStep& step, const WorkTable& table, WorkerLink& link, const std::vector<ListedEnd>& ends)
{
    RecordEnds command { link.number, {} };
    for (const ListedEnd& end : ends) {
        if (end.number <= link.endsProposed)
            continue;
        link.endsProposed = end.number;
        noteEnd(step, link, end);
        noteBegun(table, end.run.task.job);
        link.removeRun(end.run);
        command.ends.push_back(end);
    }
    const FleetWorker* record = table.worker(link.number);
    if (!command.ends.empty() && record)
        m_commands.push_back(std::move(command));
}

/// Follows the failures of a worker: one that fails what distinct jobs start on it is set aside.
void FleetDesk::noteEnd(FleetStep& step, WorkerLink& link, const ListedEnd& end)
{
    if (end.how == RunOutcome::Done) {
        link.failedJobs.clear();
        link.isOnProbation = false;
        return;
    }
    if (end.how != RunOutcome::Failed)
        return;
    logRun(step, LogEventKind::RunFailed, link, end.run, name(end.how));
    const JobKey job = end.run.task.job;
    if (std::find(link.failedJobs.begin(), link.failedJobs.end(), job) == link.failedJobs.end())
        link.failedJobs.push_back(job);
    if (link.failedJobs.size() < config::failuresToQuarantine && !link.isOnProbation)
        return;
    setAside(step, link);
}

void FleetDesk::takeRunning(const WorkTable& table, WorkerLink& link, Time now, const std::vector<ListedRun>& running)
{
    for (const ListedRun& listed : running) {
        auto found = link.runs.find(listed.run);
        if (found == link.runs.end()) {
            RunView view = viewOf(table, listed.run.task, link.info.capacity);
            view.isStopWanted = true;
            view.progressAt = view.placedAt = now;
            link.addRun(listed.run, std::move(view));
            found = link.runs.find(listed.run);
        }
        RunView& run = found->second;
        if (run.phase == RunPhase::Starting || run.phase == RunPhase::Reserved) {
            run.phase = RunPhase::Running;
            run.confirmedAt = now;
        }
        if (listed.percent != run.percent || !run.isListed)
            run.progressAt = now;
        run.isListed = true;
        noteBegun(table, listed.run.task.job);
        run.percent = listed.percent;
        if (!listed.checkpoint.empty())
            run.checkpoint = listed.checkpoint;
        run.isStopWanted = run.isStopWanted || !table.isWanted(listed.run);
    }
}

/// A run that was confirmed before the look was sent, and is neither listed as running nor as
/// ended, is not there and cannot start any more.
void FleetDesk::loseUnlisted(FleetStep& step, const WorkTable& table, WorkerLink& link, Time lookSentAt, const WorkerAnswer& answer)
{
    std::set<TaskRun> listed;
    for (const ListedRun& run : answer.running)
        listed.insert(run.run);
    std::vector<TaskRun> gone;
    for (const auto& [run, view] : link.runs) {
        const bool isConfirmed = view.phase == RunPhase::Running || view.phase == RunPhase::Stopping;
        if (isConfirmed && view.confirmedAt < lookSentAt && !listed.count(run))
            gone.push_back(run);
    }
    for (const TaskRun& run : gone)
        logRun(step, LogEventKind::RunLost, link, run, "not-listed");
    if (!gone.empty())
        lose(table, link, step.now, gone);
}

void FleetDesk::lose(const WorkTable& table, WorkerLink& link, Time now, const std::vector<TaskRun>& runs)
{
    LoseRuns command { link.number, {} };
    for (const TaskRun& run : runs) {
        const auto found = link.runs.find(run);
        if (found == link.runs.end())
            continue;
        command.runs.push_back({ run, found->second.checkpoint });
        const bool isGang = found->second.isGang;
        link.removeRun(run);
        if (isGang)
            stopGang(table, now, run);
    }
    m_counters.add(FleetCounter::RunsLost, command.runs.size());
    if (!command.runs.empty())
        m_commands.push_back(std::move(command));
}

void FleetDesk::logRun(FleetStep& step, LogEventKind kind, const WorkerLink& link, const TaskRun& run, std::string_view reason)
{
    const TaskRef& task = run.task;
    step.log(kind, { { "job", hexText(task.job.value) }, { "step", std::to_string(task.step) }, { "task", std::to_string(task.index) }, { "attempt", std::to_string(run.attempt) }, { "worker", link.info.id }, { "reason", std::string(reason) }, { "fence", std::to_string(m_fence) } });
}

void FleetDesk::loseAll(const WorkTable& table, WorkerLink& link, Time now)
{
    std::vector<TaskRun> runs;
    for (const auto& [run, view] : link.runs) {
        if (view.phase != RunPhase::Reserved)
            runs.push_back(run);
    }
    lose(table, link, now, runs);
}

void FleetDesk::lifeOver(const WorkTable& table, WorkerLink& link, Time now)
{
    loseAll(table, link, now);
    m_commands.push_back(RemoveFleetWorker { link.number });
    link.isSynced = false;
    link.isSilent = true;
    link.hasLook = true; // Until the log has removed it, nothing more is sent there.
}

// Orders.

void FleetDesk::tick(FleetStep& step, const WorkTable& table)
{
    relaysUnanswered(step, table, m_routes.takeOverdue(step.now));
    std::set<WorkerNumber> due;
    while (!m_schedule.empty() && m_schedule.begin()->first <= step.now) {
        due.insert(m_schedule.begin()->second);
        m_schedule.erase(m_schedule.begin());
    }
    for (const WorkerNumber number : due) {
        if (WorkerLink* target = link(number))
            serve(step, table, *target);
    }
}

void FleetDesk::serve(FleetStep& step, const WorkTable& table, WorkerLink& link)
{
    if (link.isSilent && !link.runs.empty() && link.lease.isSurelyOver(step.now)) {
        m_counters.add(FleetCounter::WorkersLost);
        step.log(LogEventKind::WorkerLost, { { "worker", link.info.id }, { "runs", std::to_string(link.runs.size()) } });
        for (const auto& [run, view] : link.runs)
            logRun(step, LogEventKind::RunLost, link, run, "lease-over");
        loseAll(table, link, step.now);
        link.isSynced = false;
    }
    if (link.isSilent && link.runs.empty() && step.now > link.lastReport + config::fleetLinkTimeout * 5) {
        m_commands.push_back(RemoveFleetWorker { link.number });
        return;
    }
    sendOrders(step, table, link);
    if (!link.hasLook && wantsLook(table, link)) {
        if (step.now >= link.nextLook)
            sendLook(step, table, link);
        else
            schedule(link.nextLook, link.number);
    }
}

bool FleetDesk::wantsLook(const WorkTable& table, const WorkerLink& link) const
{
    if (!link.isSynced || link.isSilent || !link.runs.empty())
        return true;
    const FleetWorker* record = table.worker(link.number);
    return record && record->lastEnd > link.endsForgotten;
}

void FleetDesk::sendOrders(FleetStep& step, const WorkTable& table, WorkerLink& link)
{
    std::vector<TaskRun> unwanted;
    const Duration gangPatience = m_settings.gangTimeout - config::orderTimeout;
    for (auto& [run, view] : link.runs) {
        const bool isLateMember = view.isGang && view.phase == RunPhase::Starting && !view.isStopWanted && step.now >= view.placedAt + gangPatience;
        if (isLateMember)
            unwanted.push_back(run);
        if (view.phase == RunPhase::Reserved || view.phase == RunPhase::Stopping || view.hasOrder)
            continue;
        if (!view.isStopWanted && view.phase == RunPhase::Running)
            continue;
        if (step.now < view.nextOrder) {
            schedule(view.nextOrder, link.number);
            continue;
        }
        WorkerOrder order;
        order.run = run;
        if (view.isStopWanted || !table.isWanted(run)) {
            view.isStopWanted = true;
            order.kind = OrderKind::Stop;
        } else {
            const WorkJob& job = *table.job(run.task.job);
            order.kind = OrderKind::Start;
            order.text = job.work.text;
            order.checkpoint = job.task(run.task)->checkpoint;
            order.ticket = view.ticket;
            order.leaseEndMs = leaseFor(link, step.now);
        }
        view.hasOrder = true;
        const Call call { link.number, order.kind, run, step.now, 0 };
        send(step, link, call, std::move(order));
    }
    for (const TaskRun& run : unwanted)
        stopGang(table, step.now, run);
}

/// A silent worker gets no longer lease: its runs could never be given up.
int64_t FleetDesk::leaseFor(WorkerLink& link, Time now) const
{
    return link.isSilent ? link.lease.endMs() : link.lease.extend(now, m_settings.maxLease);
}

void FleetDesk::sendLook(FleetStep& step, const WorkTable& table, WorkerLink& link)
{
    const FleetWorker* record = table.worker(link.number);
    if (!record)
        return;
    WorkerOrder order;
    order.kind = OrderKind::Look;
    order.endsRecorded = record->lastEnd;
    // The first look only reads the clock; a lease is given on the answer's clock.
    if (link.lease.isClockKnown() && !link.runs.empty())
        order.leaseEndMs = leaseFor(link, step.now);
    const bool mayWait = link.isSynced && !link.isSilent && !link.runs.empty();
    order.hold = mayWait ? config::maxPollWait : Duration {};
    link.hasLook = true;
    const uint64_t endsRecorded = order.endsRecorded;
    send(step, link, { link.number, OrderKind::Look, {}, step.now, endsRecorded }, std::move(order));
}

void FleetDesk::send(FleetStep& step, const WorkerLink& link, Call call, WorkerOrder order)
{
    order.fence = m_fence;
    const CallId id { m_nextCall++ };
    m_calls[id] = call;
    const HostId host = m_routes.hostFor(link.info.dataCentre, m_links.size(), step.now);
    if (!host.isValid()) {
        step.emit(CallWorker { id, link.info.id, link.info.address, std::move(order) });
        return;
    }
    m_counters.add(FleetCounter::CallsRelayed);
    m_routes.called(host, id, step.now + order.hold + config::orderTimeout + config::relayMargin);
    step.send(host, WorkerCallRequest { id.value, link.info.id, link.info.address, std::move(order) });
}

} // namespace eelgrassloft
