#include "gang_reservation.h"

#include <algorithm>

namespace eelgrassloft {

namespace {

Resources unpromised(const CapacityView::Worker& worker, const Resources& freeCapacity) { return freeCapacity - componentwiseMin(freeCapacity, worker.promised); }

uint32_t tasksThatFit(uint32_t freeCapacity, uint32_t size) { return size ? freeCapacity / size : config::maxTasksPerJob; }

} // namespace

// Candidates.

bool GangCandidate::isPreemptible(const RunView& run, uint32_t priority)
{
    return run.canCheckpoint && !run.isGang && !run.isStopRequested && run.priority > priority && run.phase == RunPhase::Running
        && run.percent < config::nearlyDonePercent;
}

void GangCandidate::addFits(const StepSpec& step, uint32_t priority, Time now)
{
    const auto tasksIn = [&](const Resources& capacity) { return GangReservation::taskCapacity(unpromised(*m_worker, capacity), step); };
    Resources freeCapacity = m_worker->freeCapacity;
    m_fits.push_back({ now, tasksIn(freeCapacity) });
    Resources preemptible;
    for (const auto& [run, runView] : m_worker->view->runs) {
        if (runView.isStopRequested || isPreemptible(runView, priority))
            preemptible += WorkerView::chargedSize(runView);
    }
    m_afterPreemption = tasksIn(freeCapacity + preemptible);
    for (const CapacityView::Release& release : *m_worker->releases) {
        freeCapacity += release.size;
        const uint32_t tasks = tasksIn(freeCapacity);
        if (tasks <= m_fits.back().tasks)
            continue;
        if (release.at <= now)
            m_fits.back().tasks = tasks;
        else
            m_fits.push_back({ release.at, tasks });
    }
}

// Reservation.

GangReservation::GangReservation(const std::vector<GangCandidate>& candidates, const StepSpec& step, uint32_t priority, Duration patience, Time now)
    : m_step(step)
    , m_now(now)
{
    const auto isUsable = [](const GangCandidate& candidate, Time at) { return at + config::gangStartMargin <= candidate.usableUntil(); };
    // Without new tickets, if that needs no long wait.
    Choice choice = earliest(candidates, isUsable);
    if (choice.startsAt <= now + std::max(patience, Duration {})) {
        take(std::move(choice));
        return;
    }
    // What was reserved before, so that the gang keeps the capacity freed for it.
    Choice any = earliest(candidates, [](const GangCandidate&, Time) { return true; });
    Choice reserved = earliest(candidates, [](const GangCandidate& candidate, Time) { return candidate.wasReserved(); });
    if (reserved.startsAt != never && reserved.startsAt <= any.startsAt + config::reservationSwitchGain)
        any = std::move(reserved);
    if (any.startsAt > now + std::max(patience, Duration {})) {
        choice = byPreemption(candidates, [&](const GangCandidate& candidate) { return isUsable(candidate, now + config::preemptionTime); });
        if (choice.startsAt == never)
            choice = byPreemption(candidates, [](const GangCandidate&) { return true; });
        if (choice.startsAt != never) {
            m_withoutPreemption = std::move(any);
            take(std::move(choice));
            chooseVictims(priority);
            return;
        }
    }
    take(std::move(any));
}

void GangReservation::waitForCapacity()
{
    if (!m_withoutPreemption)
        return;
    take(std::move(*m_withoutPreemption));
    m_withoutPreemption.reset();
    m_victims.clear();
}

uint32_t GangReservation::taskCapacity(const Resources& freeCapacity, const StepSpec& step)
{
    uint32_t count = tasksThatFit(freeCapacity.processorMillis, step.isBestEffort ? 0 : step.size.processorMillis);
    count = std::min(count, tasksThatFit(freeCapacity.memoryMiB, step.size.memoryMiB));
    count = std::min(count, tasksThatFit(freeCapacity.accelerators, step.size.accelerators));
    return step.maxPerWorker ? std::min(count, step.maxPerWorker) : count;
}

void GangReservation::take(Choice choice)
{
    m_startsAt = choice.startsAt;
    m_allotments = std::move(choice.allotments);
    m_spares = std::move(choice.spares);
}

/// The workers on which the whole gang fits first, of those that `isWanted` at the time.
template <typename Predicate>
GangReservation::Choice GangReservation::earliest(const std::vector<GangCandidate>& candidates, Predicate isWanted) const
{
    struct Event {
        Time at {};
        uint32_t tasks = 0;
        size_t candidate = 0;
    };
    std::vector<Event> events;
    for (size_t i = 0; i < candidates.size(); ++i) {
        for (const GangCandidate::Fit& fit : candidates[i].fits()) {
            if (fit.tasks && isWanted(candidates[i], fit.at))
                events.push_back({ fit.at, fit.tasks, i });
        }
    }
    // Prefers workers reserved before, then those that fit more tasks.
    std::sort(events.begin(), events.end(), [&](const Event& a, const Event& b) {
        return std::make_tuple(a.at, !candidates[a.candidate].wasReserved(), b.tasks, a.candidate) < std::make_tuple(b.at, !candidates[b.candidate].wasReserved(), a.tasks, b.candidate);
    });
    std::vector<uint32_t> tasks(candidates.size());
    uint32_t missing = m_step.count;
    uint32_t missingSpares = m_step.count / 2;
    Choice choice;
    for (const Event& event : events) {
        if (choice.startsAt != never && (!missingSpares || event.at > choice.startsAt + config::gangStartTolerance))
            break;
        uint32_t more = event.tasks - std::min(event.tasks, tasks[event.candidate]);
        if (missing) {
            const uint32_t taken = std::min(missing, more);
            tasks[event.candidate] += taken;
            more -= taken;
            missing -= taken;
            if (!missing)
                choice.startsAt = event.at;
        }
        if (missing || !more || !missingSpares)
            continue;
        missingSpares -= std::min(missingSpares, more);
        if (!tasks[event.candidate])
            choice.spares.push_back(&candidates[event.candidate]);
    }
    if (missing)
        return {};
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (tasks[i])
            choice.allotments.push_back({ &candidates[i], tasks[i] });
    }
    return choice;
}

/// Workers on which the whole gang fits once the preemptible runs have been stopped.
template <typename Predicate>
GangReservation::Choice GangReservation::byPreemption(const std::vector<GangCandidate>& candidates, Predicate isWanted) const
{
    std::vector<const GangCandidate*> sorted;
    for (const GangCandidate& candidate : candidates) {
        if (candidate.afterPreemption() && isWanted(candidate))
            sorted.push_back(&candidate);
    }
    // Prefers workers reserved before, then those that fit more tasks, then those with more free
    // capacity, where fewer runs need to be stopped.
    const auto rank = [](const GangCandidate& candidate) {
        return std::make_tuple(candidate.wasReserved(), candidate.afterPreemption(), candidate.worker().freeCapacity.processorMillis);
    };
    std::sort(sorted.begin(), sorted.end(), [&](const GangCandidate* a, const GangCandidate* b) { return rank(*a) > rank(*b); });
    Choice choice;
    uint32_t missing = m_step.count;
    for (const GangCandidate* candidate : sorted) {
        const uint32_t tasks = std::min(missing, candidate->afterPreemption());
        choice.allotments.push_back({ candidate, tasks });
        missing -= tasks;
        if (!missing) {
            choice.startsAt = m_now;
            return choice;
        }
    }
    return {};
}

void GangReservation::chooseVictims(uint32_t priority)
{
    for (const Allotment& allotment : m_allotments) {
        const CapacityView::Worker& worker = allotment.worker();
        Resources freeCapacity = worker.freeCapacity;
        for (const auto& [run, runView] : worker.view->runs) {
            if (runView.isStopRequested)
                freeCapacity += WorkerView::chargedSize(runView);
        }
        for (const auto& [run, runView] : worker.view->runs) {
            if (taskCapacity(unpromised(worker, freeCapacity), m_step) >= allotment.tasks)
                break;
            if (!GangCandidate::isPreemptible(runView, priority))
                continue;
            freeCapacity += WorkerView::chargedSize(runView);
            m_victims.push_back({ run, worker.view->number });
        }
    }
}

} // namespace eelgrassloft
