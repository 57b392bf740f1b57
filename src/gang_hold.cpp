#include "gang_hold.h"

#include <algorithm>

namespace eelgrassloft {

namespace {

/// Room of a worker with what is being stopped counted as free.
Resources roomAfterStops(const RoomView::Worker& worker)
{
    Resources room = worker.room;
    for (const auto& [run, view] : worker.link->runs) {
        if (view.isStopWanted)
            room += WorkerLink::countedSize(view);
    }
    return room;
}

Resources unpromised(const RoomView::Worker& worker, const Resources& room) { return room - componentwiseMin(room, worker.promised); }

uint32_t tasksThatFit(uint32_t room, uint32_t size) { return size ? room / size : config::maxTasksPerJob; }

} // namespace

GangHold::GangHold(const std::vector<RoomView::Worker*>& candidates, const StepSpec& step, uint32_t priority,
    const std::set<WorkerNumber>& before, const std::set<WorkerNumber>& ready)
{
    std::vector<Candidate> all;
    std::vector<Candidate> started;
    for (RoomView::Worker* worker : candidates) {
        Candidate candidate = measure(*worker, step, priority);
        candidate.wasHeld = before.count(worker->link->number) > 0;
        all.push_back(candidate);
        if (ready.count(worker->link->number))
            started.push_back(candidate);
    }
    m_isPossibleByStops = choose(started, step, &Candidate::now) || choose(started, step, &Candidate::byStops)
        || choose(all, step, &Candidate::now) || choose(all, step, &Candidate::byStops);
    m_isPossible = m_isPossibleByStops || choose(all, step, &Candidate::empty);
    if (m_isPossibleByStops)
        chooseVictims(step, priority);
}

uint32_t GangHold::holdCount(const Resources& room, const StepSpec& step)
{
    uint32_t count = tasksThatFit(room.processorMillis, step.isBestEffort ? 0 : step.size.processorMillis);
    count = std::min(count, tasksThatFit(room.memoryMiB, step.size.memoryMiB));
    count = std::min(count, tasksThatFit(room.accelerators, step.size.accelerators));
    return step.maxPerWorker ? std::min(count, step.maxPerWorker) : count;
}

/// A stop costs a checkpointed run only its restore; one that is nearly done frees its room soon.
bool GangHold::mayMakeWay(const RunView& run, uint32_t priority)
{
    return run.canCheckpoint && !run.isGang && !run.isStopWanted && run.priority > priority && run.phase == RunPhase::Running
        && run.percent < config::nearlyDonePercent;
}

GangHold::Candidate GangHold::measure(RoomView::Worker& worker, const StepSpec& step, uint32_t priority) const
{
    Resources room = roomAfterStops(worker);
    Candidate candidate;
    candidate.worker = &worker;
    candidate.now = holdCount(unpromised(worker, room), step);
    candidate.empty = holdCount(unpromised(worker, worker.link->info.capacity), step);
    for (const auto& [run, view] : worker.link->runs) {
        if (mayMakeWay(view, priority))
            room += WorkerLink::countedSize(view);
    }
    candidate.byStops = holdCount(unpromised(worker, room), step);
    return candidate;
}

/// Takes the workers that hold most tasks until the gang is held whole.
bool GangHold::choose(const std::vector<Candidate>& candidates, const StepSpec& step, uint32_t Candidate::*count)
{
    std::vector<Candidate> sorted = candidates;
    // Among equals those that already have the most room, so that the fewest runs are stopped.
    std::sort(sorted.begin(), sorted.end(), [&](const Candidate& a, const Candidate& b) {
        return std::make_tuple(a.wasHeld, a.*count, a.worker->room.processorMillis) > std::make_tuple(b.wasHeld, b.*count, b.worker->room.processorMillis);
    });
    m_shares.clear();
    uint32_t missing = step.count;
    for (const Candidate& candidate : sorted) {
        const uint32_t tasks = std::min(missing, candidate.*count);
        if (!tasks)
            continue;
        m_shares.push_back({ candidate.worker, tasks });
        missing -= tasks;
        if (!missing)
            break;
    }
    return !missing;
}

void GangHold::chooseVictims(const StepSpec& step, uint32_t priority)
{
    for (const Share& share : m_shares) {
        Resources room = roomAfterStops(*share.worker);
        for (const auto& [run, view] : share.worker->link->runs) {
            if (holdCount(unpromised(*share.worker, room), step) >= share.tasks)
                break;
            if (!mayMakeWay(view, priority))
                continue;
            room += WorkerLink::countedSize(view);
            m_victims.push_back({ run, share.worker->link->number });
        }
    }
}

} // namespace eelgrassloft
