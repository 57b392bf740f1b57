#include "gang_hold.h"

#include <algorithm>

namespace eelgrassloft {

namespace {

/// Room of a worker with what is being stopped counted as free.
Resources freeAfterStops(const CapacityView::Worker& worker)
{
    Resources freeCapacity = worker.freeCapacity;
    for (const auto& [run, view] : worker.link->runs) {
        if (view.isStopRequested)
            freeCapacity += WorkerView::chargedSize(view);
    }
    return freeCapacity;
}

Resources unpromised(const CapacityView::Worker& worker, const Resources& freeCapacity) { return freeCapacity - componentwiseMin(freeCapacity, worker.promised); }

uint32_t tasksThatFit(uint32_t freeCapacity, uint32_t size) { return size ? freeCapacity / size : config::maxTasksPerJob; }

} // namespace

GangReservation::GangReservation(const std::vector<CapacityView::Worker*>& candidates, const StepSpec& step, uint32_t priority,
    const std::set<WorkerNumber>& before, const std::set<WorkerNumber>& ready)
{
    std::vector<Candidate> all;
    std::vector<Candidate> readyCandidates;
    for (CapacityView::Worker* worker : candidates) {
        Candidate candidate = evaluate(*worker, step, priority);
        candidate.wasReserved = before.count(worker->link->number) > 0;
        all.push_back(candidate);
        if (ready.count(worker->link->number))
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

/// A stop costs a checkpointed run only its restore; one that is nearly done frees its room soon.
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
    candidate.empty = taskCapacity(unpromised(worker, worker.link->info.capacity), step);
    for (const auto& [run, view] : worker.link->runs) {
        if (isPreemptible(view, priority))
            freeCapacity += WorkerView::chargedSize(view);
    }
    candidate.afterPreemption = taskCapacity(unpromised(worker, freeCapacity), step);
    return candidate;
}

/// Takes the workers that hold most tasks until the gang is held whole.
bool GangReservation::choose(const std::vector<Candidate>& candidates, const StepSpec& step, uint32_t Candidate::*count)
{
    std::vector<Candidate> sorted = candidates;
    // Among equals those that already have the most room, so that the fewest runs are stopped.
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
        for (const auto& [run, view] : allotment.worker->link->runs) {
            if (taskCapacity(unpromised(*allotment.worker, freeCapacity), step) >= allotment.tasks)
                break;
            if (!isPreemptible(view, priority))
                continue;
            freeCapacity += WorkerView::chargedSize(view);
            m_victims.push_back({ run, allotment.worker->link->number });
        }
    }
}

} // namespace eelgrassloft
