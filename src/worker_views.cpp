#include "worker_views.h"

#include <algorithm>
#include <iterator>

namespace eelgrassloft {

namespace {

constexpr Duration conductMemory = std::chrono::minutes(1); // For the next incarnation of a worker that is gone.

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
    runView.isLongRunning = step->isLongRunning;
    runView.estimate = step->estimate;
    runView.priority = table.job(task.job)->queue.priority;
    runView.isSuspect = table.job(task.job)->needsIsolation(task);
    return runView;
}

} // namespace

void WorkerViews::start(const WorkTable& table, Time now, Duration maxLease)
{
    m_maxLease = maxLease;
    for (const auto& [number, record] : table.workers())
        add(table, record, number, now).lease.assumeGranted(now, maxLease);
}

void WorkerViews::clear()
{
    m_views.clear();
    m_formerWorkers.clear();
    m_schedule.clear();
}

WorkerView& WorkerViews::add(const WorkTable& table, const FleetWorker& record, WorkerNumber number, Time now)
{
    WorkerView& workerView = m_views[number];
    workerView.number = number;
    workerView.info = record.info;
    workerView.lastReport = now;
    workerView.reportSequence = record.reportSequence;
    // Once the worker has responded to the new fencing token, each run that an earlier leader placed
    // is running, has ended, or can't start any more.
    for (const PlacedRun& placed : record.runs) {
        const TaskRun& run = placed.run;
        RunView runView = initialRunView(table, run.task, placed.size);
        runView.phase = RunPhase::Running;
        runView.confirmedAt = runView.progressAt = runView.placedAt = now - config::pollInterval;
        runView.isStopRequested = !table.isCurrentRun(run);
        workerView.addRun(run, std::move(runView));
    }
    schedule(now, number);
    return workerView;
}

size_t WorkerViews::update(const WorkTable& table, Time now)
{
    removeGone(table, now);
    size_t crashed = 0;
    for (const auto& [number, record] : table.workers()) {
        if (WorkerView* known = find(number)) {
            known->info = record.info;
            continue;
        }
        WorkerView& added = add(table, record, number, now);
        stopInheritedRuns(added, now);
        crashed += inheritConduct(added, now);
    }
    return crashed;
}

void WorkerViews::removeGone(const WorkTable& table, Time now)
{
    std::erase_if(m_formerWorkers, [&](const FormerWorker& former) { return now >= former.removedAt + conductMemory; });
    std::erase_if(m_views, [&](const auto& entry) {
        const WorkerView& view = entry.second;
        if (table.worker(entry.first))
            return false;
        m_formerWorkers.push_back({ view.info, view.speed, view.restraint, now });
        return true;
    });
}

/// Takes over what is known of the worker's former incarnation. Returns whether that had not announced its end.
bool WorkerViews::inheritConduct(WorkerView& workerView, Time now)
{
    const auto former = std::find_if(m_formerWorkers.rbegin(), m_formerWorkers.rend(), [&](const FormerWorker& candidate) { return candidate.info.isSameWorker(workerView.info); });
    if (former == m_formerWorkers.rend())
        return false;
    workerView.speed = former->speed;
    workerView.restraint = former->restraint;
    const bool hasCrashed = !former->info.isLeaving;
    if (hasCrashed)
        workerView.restraint.noteLoss(now);
    m_formerWorkers.erase(std::next(former).base());
    return hasCrashed;
}

/// Stops the runs that a new incarnation may have got by orders to the former one. Those orders may still
/// be carried out until the new one has answered the stops.
void WorkerViews::stopInheritedRuns(WorkerView& workerView, Time now) const
{
    if (!workerView.runs.empty())
        workerView.lease.assumeGranted(now, m_maxLease);
    for (auto& [run, runView] : workerView.runs) {
        runView.phase = RunPhase::Starting;
        runView.mayStartLate = true;
        runView.isStopRequested = true;
    }
}

bool WorkerViews::noteReport(WorkerNumber number, uint64_t sequence, Time now, bool isCorrection)
{
    WorkerView* known = find(number);
    if (!known)
        return true;
    if (!isCorrection && sequence < known->reportSequence && now < known->lastReport + config::maxReportDelay)
        return false;
    known->reportSequence = sequence;
    known->lastReport = now;
    return true;
}

WorkerView* WorkerViews::find(WorkerNumber number)
{
    const auto found = m_views.find(number);
    return found == m_views.end() ? nullptr : &found->second;
}

// Runs.

void WorkerViews::reserve(const WorkTable& table, const RunPlacement& placement, std::string ticket)
{
    WorkerView* target = find(placement.worker);
    if (!target)
        return;
    RunView runView = initialRunView(table, placement.run.task, {});
    runView.ticket = std::move(ticket);
    target->addRun(placement.run, std::move(runView));
}

void WorkerViews::completePlacement(const WorkTable& table, Time now, const RunPlacement& placement)
{
    WorkerView* target = find(placement.worker);
    if (!target)
        return;
    auto found = target->runs.find(placement.run);
    if (found == target->runs.end() && table.isCurrentRun(placement.run)) { // Reserved before the dispatcher was restarted.
        target->addRun(placement.run, initialRunView(table, placement.run.task, {}));
        found = target->runs.find(placement.run);
    }
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

void WorkerViews::stopRun(Time now, WorkerNumber worker, const TaskRun& run)
{
    WorkerView* target = find(worker);
    const auto found = target ? target->runs.find(run) : std::map<TaskRun, RunView>::iterator {};
    if (!target || found == target->runs.end())
        return;
    found->second.isStopRequested = true;
    schedule(now, worker);
}

void WorkerViews::stopJob(Time now, JobKey job)
{
    for (auto& [number, workerView] : m_views) {
        auto run = workerView.runs.lower_bound(TaskRun { { job, 0, 0, 0 }, 0 });
        for (; run != workerView.runs.end() && run->first.task.job == job; ++run) {
            run->second.isStopRequested = true;
            schedule(now, number);
        }
    }
}

void WorkerViews::stopGang(Time now, const TaskRun& member)
{
    TaskRun first = member;
    first.task.index = 0;
    first.attempt = 0;
    for (auto& [number, workerView] : m_views) {
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

void noteActiveRuns(const WorkTable& table, WorkerView& workerView, Time now, const std::vector<ReportedRun>& running)
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
        if (!run.isReported) {
            run.reportedSince = now;
            run.firstPercent = listed.percent;
        }
        if (listed.percent != run.percent || !run.isReported)
            run.progressAt = now;
        run.isReported = run.hasStarted = true;
        run.percent = listed.percent;
        if (!listed.checkpoint.empty())
            run.checkpoint = listed.checkpoint;
        run.isStopRequested = run.isStopRequested || !table.isCurrentRun(listed.run);
    }
}

// Schedule.

std::set<WorkerNumber> WorkerViews::takeDue(Time now)
{
    std::set<WorkerNumber> due;
    while (!m_schedule.empty() && m_schedule.begin()->first <= now) {
        due.insert(m_schedule.begin()->second);
        m_schedule.erase(m_schedule.begin());
    }
    return due;
}

} // namespace eelgrassloft
