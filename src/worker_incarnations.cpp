#include "worker_dispatcher.h"

// What the dispatcher does when a worker has started again.

namespace eelgrassloft {

/// Notes that a later incarnation has responded to an order, by its clock. The next poll confirms it.
void WorkerDispatcher::noteNextIncarnation(FleetStep& step, WorkerView& workerView, const PendingWorkerCall& call)
{
    step.log(LogEventKind::WorkerClockWentBack, { { "worker", workerView.info.id }, { "order", std::string(name(call.kind)) }, { "runs", std::to_string(workerView.runs.size()) } });
    workerView.nextPoll = step.now;
    const auto found = workerView.runs.find(call.run);
    if (call.kind == OrderKind::Start && found != workerView.runs.end())
        found->second.isOfNextIncarnation = true;
}

/// Requeues the runs of an incarnation that has ended, except those that the next one under the same id
/// may have. Of these, the log only keeps what they may have to do with a crash. Returns whether there
/// are such runs.
bool WorkerDispatcher::requeueEnded(WorkerView& workerView, Time now)
{
    std::vector<TaskRun> ended;
    RequeueLostRuns inherited { workerView.number, {} };
    for (const auto& [run, runView] : workerView.runs) {
        if (runView.phase == RunPhase::Reserved)
            continue;
        if (runView.mayBeInherited(workerView.upAt))
            inherited.runs.push_back({ run, runView.checkpoint, runView.crashEvidence(workerView.aliveUntil, workerView.brokenAt), true });
        else
            ended.push_back(run);
    }
    requeue(workerView, now, ended, true);
    for (const LostRun& lost : inherited.runs) {
        if (workerView.runs.at(lost.run).isGang)
            m_workerViews.stopGang(now, lost.run);
    }
    const bool hasInherited = !inherited.runs.empty();
    if (hasInherited)
        m_commands.push_back(std::move(inherited));
    return hasInherited;
}

/// Ends a view whose worker has another incarnation. With another id it carries out no orders to this one;
/// under the same id it may have, so that the record of such runs stays until its first report.
void WorkerDispatcher::endIncarnation(WorkerView& workerView, Time now, OrderOutcome outcome)
{
    bool hasInherited = false;
    if (outcome == OrderOutcome::OtherIncarnation)
        requeueAll(workerView, now);
    else
        hasInherited = requeueEnded(workerView, now);
    if (!hasInherited)
        m_commands.push_back(RemoveFleetWorker { workerView.number, true });
    workerView.isSynced = false;
    workerView.isUnresponsive = true;
    workerView.hasEnded = true;
    workerView.lease.assumeGranted(now, m_settings.maxLease);
    m_workerViews.schedule(workerView.lease.latestExpiry(), workerView.number);
}

/// Gives up waiting for a report of the next incarnation once its lease on the remaining runs has ended.
void WorkerDispatcher::serviceEnded(WorkerView& workerView, Time now)
{
    if (!workerView.lease.isExpired(now))
        return;
    std::vector<TaskRun> runs;
    for (const auto& [run, runView] : workerView.runs)
        runs.push_back(run);
    requeue(workerView, now, runs);
    m_commands.push_back(RemoveFleetWorker { workerView.number, true });
}

void WorkerDispatcher::endFormerIncarnations(Time now, const WorkerInfo& info)
{
    for (auto& [number, former] : m_workerViews.all()) {
        if (former.hasEnded || former.runs.empty() || former.info.startedAtMs >= info.startedAtMs || !former.info.isSameWorker(info))
            continue;
        if (former.info.id == info.id)
            requeueEnded(former, now);
        else
            requeueAll(former, now);
    }
}

/// Whether the worker's next incarnation may still show that the worker has crashed.
bool WorkerDispatcher::awaitsNextIncarnation(const WorkTable& table, const WorkerView& workerView, Time now) const
{
    const FleetWorker* record = table.worker(workerView.number);
    return record && !record->crashSuspects.empty() && now < workerView.lastReport + config::crashEvidenceLifetime;
}

} // namespace eelgrassloft
