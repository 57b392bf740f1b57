#include "gang_reservation.h"

#include <algorithm>

namespace eelgrassloft {

namespace {

/// Free capacity of a worker once the runs that are being stopped have ended.
Resources freeAfterStops(const CapacityView::Worker& worker)
{
    Resources freeCapacity = worker.freeCapacity;
    for (const auto& [run, runView] : worker.view->runs) {
        if (runView.isStopRequested)
            freeCapacity += WorkerView::chargedSize(runView);
    }
    return freeCapacity;
}

Resources unpromised(const CapacityView::Worker& worker, const Resources& freeCapacity) { return freeCapacity - componentwiseMin(freeCapacity, worker.promised); }

uint32_t tasksThatFit(uint32_t freeCapacity, uint32_t size) { return size ? freeCapacity / size : config::maxTasksPerJob; }

} // namespace

GangReservation::GangReservation(const std::vector<CapacityView::Worker*>& candidates, const StepSpec& step, uint32_t priority,
    const std::set<WorkerNumber>& previouslyReserved, const std::set<WorkerNumber>& ready)
{
    std::vector<Candidate> all;
    std::vector<Candidate> readyCandidates;
    for (CapacityView::Worker* worker : candidates) {
        Candidate candidate = evaluate(*worker, step, priority);
        candidate.wasReserved = previouslyReserved.count(worker->view->number) > 0;
        all.push_back(candidate);
        if (ready.count(worker->view->number))
            readyCandidates.push_back(candidate);
    }
    m_isPossibleByPreemption = choose(readyCandidates, step, &Candidate::now) || choose(readyCandidates, step, &Candidate::afterPreemption)
        || choose(all, step, &Candidate::now) || choose(all, step, &Candidate::afterPreemption);
    m_isPossible = m_isPossibleByPreemption || choose(all, step, &Candidate::empty);
    if (m_isPossibleByPreemption)
        chooseVictims(step, priority);
}

uint32_t GangReservation::taskCapacity(const Resources& freeCapacity, const StepSpec& step)
{
    uint32_t count = tasksThatFit(freeCapacity.processorMillis, step.isBestEffort ? 0 : step.size.processorMillis);
    count = std::min(count, tasksThatFit(freeCapacity.memoryMiB, step.size.memoryMiB));
    count = std::min(count, tasksThatFit(freeCapacity.accelerators, step.size.accelerators));
    return step.maxPerWorker ? std::min(count, step.maxPerWorker) : count;
}

/// Whether a gang of this priority may preempt the run. A checkpointed run only loses the time of
/// its restore. A run that is nearly done frees its capacity soon anyway.
bool GangReservation::isPreemptible(const RunView& run, uint32_t priority)
{
    return run.canCheckpoint && !run.isGang && !run.isStopRequested && run.priority > priority && run.phase == RunPhase::Running
        && run.percent < config::nearlyDonePercent;
}

GangReservation::Candidate GangReservation::evaluate(CapacityView::Worker& worker, const StepSpec& step, uint32_t priority) const
{
    Resources freeCapacity = freeAfterStops(worker);
    Candidate candidate;
    candidate.worker = &worker;
    candidate.now = taskCapacity(unpromised(worker, freeCapacity), step);
    candidate.empty = taskCapacity(unpromised(worker, worker.view->info.capacity), step);
    for (const auto& [run, runView] : worker.view->runs) {
        if (isPreemptible(runView, priority))
            freeCapacity += WorkerView::chargedSize(runView);
    }
    candidate.afterPreemption = taskCapacity(unpromised(worker, freeCapacity), step);
    return candidate;
}

/// Allots the gang's tasks to the candidates, each of which fits `count` tasks. Returns whether the
/// whole gang fits.
bool GangReservation::choose(const std::vector<Candidate>& candidates, const StepSpec& step, uint32_t Candidate::*count)
{
    std::vector<Candidate> sorted = candidates;
    // Prefers workers reserved before, then those that fit more tasks, then those with more free
    // capacity, where fewer runs need to be stopped.
    std::sort(sorted.begin(), sorted.end(), [&](const Candidate& a, const Candidate& b) {
        return std::make_tuple(a.wasReserved, a.*count, a.worker->freeCapacity.processorMillis) > std::make_tuple(b.wasReserved, b.*count, b.worker->freeCapacity.processorMillis);
    });
    m_allotments.clear();
    uint32_t missing = step.count;
    for (const Candidate& candidate : sorted) {
        const uint32_t tasks = std::min(missing, candidate.*count);
        if (!tasks)
            continue;
        m_allotments.push_back({ candidate.worker, tasks });
        missing -= tasks;
        if (!missing)
            break;
    }
    return !missing;
}

void GangReservation::chooseVictims(const StepSpec& step, uint32_t priority)
{
    for (const Allotment& allotment : m_allotments) {
        Resources freeCapacity = freeAfterStops(*allotment.worker);
        for (const auto& [run, runView] : allotment.worker->view->runs) {
            if (taskCapacity(unpromised(*allotment.worker, freeCapacity), step) >= allotment.tasks)
                break;
            if (!isPreemptible(runView, priority))
                continue;
            freeCapacity += WorkerView::chargedSize(runView);
            m_victims.push_back({ run, allotment.worker->view->number });
        }
    }
}

} // namespace eelgrassloft
