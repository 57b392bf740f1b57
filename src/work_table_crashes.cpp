#include "work_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

// What the table keeps of the former incarnations of workers: inherited runs, and evidence of crashes.

namespace eelgrassloft {

namespace {

/// Whether those runs that most likely caused a crash belong to one job.
bool areOfOneJob(const std::vector<LostRun>& suspects)
{
    const LostRun* first = nullptr;
    const bool hasStrong = std::any_of(suspects.begin(), suspects.end(), [](const LostRun& lost) { return lost.evidence == CrashEvidence::Strong; });
    for (const LostRun& lost : suspects) {
        if (lost.evidence == CrashEvidence::Late || (hasStrong && lost.evidence != CrashEvidence::Strong))
            continue;
        if (first && first->run.task.job != lost.run.task.job)
            return false;
        first = &lost;
    }
    return true;
}

} // namespace

// Inheritance.

/// Takes what the next incarnation of a worker inherits of the former ones: the runs whose orders it may
/// carry out, as orders name the worker's id only, and what these may have to do with a crash.
FleetWorker WorkTable::takeInheritance(const std::vector<WorkerNumber>& former, const std::string& id)
{
    FleetWorker inheritance;
    for (const WorkerNumber number : former) {
        FleetWorker& record = m_workers.at(number);
        if (record.info.id != id)
            continue;
        std::move(record.runs.begin(), record.runs.end(), std::back_inserter(inheritance.runs));
        record.runs.clear();
        const bool hasOpen = std::any_of(record.crashSuspects.begin(), record.crashSuspects.end(), [](const LostRun& lost) { return lost.mayBeInherited; });
        if (hasOpen)
            inheritance.formerCrashSuspects = record.crashSuspects;
    }
    return inheritance;
}

void WorkTable::inherit(WorkerNumber heir, FleetWorker inheritance)
{
    FleetWorker& record = m_workers[heir];
    record.runs = std::move(inheritance.runs);
    record.formerCrashSuspects = std::move(inheritance.formerCrashSuspects);
    for (const PlacedRun& placed : record.runs) {
        const TaskRun& run = placed.run;
        const auto found = m_jobs.find(run.task.job);
        WorkTask* task = found == m_jobs.end() ? nullptr : found->second.task(run.task);
        if (!task || task->phase != TaskPhase::Placed || task->attempt != run.attempt)
            continue;
        ++found->second.changes;
        task->worker = heir;
    }
}

// Crashes.

/// Notes that a run may have caused the crash of its worker, if the worker has crashed.
void WorkTable::noteCrashSuspect(FleetWorker& worker, WorkTask& task, const LostRun& lost)
{
    if (lost.evidence == CrashEvidence::None || worker.info.isLeaving)
        return;
    worker.crashSuspects.push_back({ lost.run, {}, lost.evidence, lost.mayBeInherited });
    if (lost.evidence != CrashEvidence::Strong || lost.mayBeInherited)
        return;
    ++task.openLosses;
    task.isSuspect = true;
}

/// Takes the runs that may have caused a worker's crash, once it is known whether it has crashed.
std::vector<LostRun> WorkTable::takeCrashSuspects(FleetWorker& worker)
{
    std::vector<LostRun> taken = std::exchange(worker.crashSuspects, {});
    for (const LostRun& lost : taken) {
        const auto found = m_jobs.find(lost.run.task.job);
        WorkTask* task = found == m_jobs.end() ? nullptr : found->second.task(lost.run.task);
        if (!task || lost.evidence != CrashEvidence::Strong || lost.mayBeInherited)
            continue;
        ++found->second.changes;
        --task->openLosses;
    }
    return taken;
}

/// Counts a crash against a task. An unanswered start confirms it only of a task that was isolated.
bool WorkTable::isConfirmedCrash(WorkTask& task, CrashEvidence evidence, bool wasAlone)
{
    if (evidence == CrashEvidence::Late) {
        ++task.lateCrashes;
        return false;
    }
    if (evidence == CrashEvidence::Strong || (wasAlone && task.isSuspect)) {
        ++task.crashes;
        return true;
    }
    task.isSuspect = task.isSuspect || ++task.doubtfulCrashes >= config::doubtfulCrashesToSuspect;
    return false;
}

/// A task is given up after two crashes, if it had started before the last one and no run of another
/// job can have caused that, and after `maxCrashesPerTask` in any case. One that always crashes its
/// workers late can't be told from the others there, and is given up after `maxCrashesBesideOthers`.
bool WorkTable::mustGiveUp(const WorkTask& task, bool isConfirmed, bool isSoleCause)
{
    if (isConfirmed && task.crashes >= (isSoleCause ? config::crashesToGiveUp : config::maxCrashesPerTask))
        return true;
    return task.crashes + task.lateCrashes >= config::maxCrashesBesideOthers;
}

/// Counts the crash of a worker against the tasks that may have caused it, apart from those that may only
/// have started after it.
void WorkTable::countCrash(Time at, FleetWorker& worker)
{
    const std::vector<LostRun> suspects = takeCrashSuspects(worker);
    const bool wasAlone = areOfOneJob(suspects);
    for (const LostRun& lost : suspects) {
        if (!lost.mayBeInherited)
            countCrashAgainst(at, worker, lost, wasAlone);
    }
}

/// Counts the crash of a worker's former incarnation against an inherited run, which the present one turned
/// out not to have.
void WorkTable::countFormerCrash(Time at, FleetWorker& worker, const LostRun& lost)
{
    const std::vector<LostRun>& suspects = worker.formerCrashSuspects;
    const auto suspect = std::find_if(suspects.begin(), suspects.end(), [&](const LostRun& candidate) { return candidate.mayBeInherited && candidate.run == lost.run; });
    if (suspect == suspects.end())
        return;
    countCrashAgainst(at, worker, *suspect, areOfOneJob(suspects));
}

void WorkTable::countCrashAgainst(Time at, const FleetWorker& worker, const LostRun& lost, bool wasAlone)
{
    const auto found = m_jobs.find(lost.run.task.job);
    WorkTask* task = found == m_jobs.end() ? nullptr : found->second.task(lost.run.task);
    if (!task || isEnded(found->second.state) || task->phase == TaskPhase::Done)
        return;
    WorkJob& job = found->second;
    ++job.changes;
    task->isSuspect = task->isSuspect || lost.evidence == CrashEvidence::Strong;
    const bool isConfirmed = isConfirmedCrash(*task, lost.evidence, wasAlone);
    if (lost.evidence != CrashEvidence::Late)
        m_suspectedByCommand.push_back({ lost.run, worker.info.id, task->crashes, lost.evidence, wasAlone });
    if (!mustGiveUp(*task, isConfirmed, wasAlone && lost.evidence == CrashEvidence::Strong))
        return;
    const uint32_t crashes = task->crashes + task->lateCrashes;
    job.endedBy = lost.run;
    endJob(at, job, WorkState::Failed);
    m_endedByCommand.back().crashes = crashes;
}

} // namespace eelgrassloft
