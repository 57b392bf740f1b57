#include "crash_isolation.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace eelgrassloft {

void CrashIsolation::begin(const std::map<WorkerNumber, WorkerView>& workerViews, CapacityView& capacityView, bool lackOthersRoom, Time now)
{
    m_now = now;
    const bool wereSuspectsWaiting = std::exchange(m_areSuspectsWaiting, false);
    m_withheld = std::exchange(m_nextWithheld, {});
    giveBackUnused(workerViews, wereSuspectsWaiting);
    m_isolated = 0;
    size_t idle = 0;
    for (const auto& [number, workerView] : workerViews) {
        idle += workerView.runs.empty() && !workerView.isUnresponsive;
        if (!workerView.isolatedRuns)
            continue;
        ++m_isolated;
        if (wereSuspectsWaiting)
            m_nextWithheld[number] = { now, now, workerView.runs.size() }; // The next suspects take it once these are proven.
    }
    if (lackOthersRoom)
        m_maxIsolated = std::max({ config::minIsolatedWorkers, workerViews.size() / config::workersPerIsolated, (m_isolated + idle) / 2 });
    else
        m_maxIsolated = std::max({ config::minIsolatedWorkers, workerViews.size() * config::maxIsolatedPercent / 100, m_isolated + idle / 2 });
    m_turns = m_maxIsolated * 2;
    setWithheldFree(capacityView, false);
}

void CrashIsolation::giveBackUnused(const std::map<WorkerNumber, WorkerView>& workerViews, bool areSuspectsWaiting)
{
    for (auto& [number, withholding] : m_withheld) {
        const auto workerView = workerViews.find(number);
        const size_t runs = workerView == workerViews.end() ? 0 : workerView->second.runs.size();
        if (runs < withholding.runs)
            m_lastRunEnd = m_now; // A gang needs all of its workers, so that it counts for the others too.
        withholding.runs = runs;
    }
    const auto isUnused = [&](const Withholding& withholding) {
        const Time waitedSince = std::max(withholding.since, m_lastRunEnd);
        return m_now >= std::min(waitedSince + config::withholdingPatience, withholding.since + config::maxWithholding);
    };
    for (const auto& [number, withholding] : m_withheld) {
        if (isUnused(withholding))
            m_givenBack[number] = m_now;
    }
    std::erase_if(m_withheld, [&](const auto& entry) { return isUnused(entry.second); });
    std::erase_if(m_givenBack, [&](const auto& entry) { return !workerViews.count(entry.first) || (!areSuspectsWaiting && !isPaused(entry.first)); });
}

bool CrashIsolation::isPaused(WorkerNumber number) const
{
    const auto givenBack = m_givenBack.find(number);
    return givenBack != m_givenBack.end() && m_now < givenBack->second + config::withholdingPause;
}

bool CrashIsolation::takeTurn()
{
    m_areSuspectsWaiting = true;
    if (!m_turns)
        return false;
    --m_turns;
    return true;
}

bool CrashIsolation::isIntended(const CapacityView::Worker& worker) const
{
    const WorkerNumber number = worker.view->number;
    const bool isNextTry = m_givenBack.count(number) > 0; // Its ticket may have come too late.
    return worker.view->runs.size() <= maxRunsAtStake || m_withheld.count(number) || m_nextWithheld.count(number) || isNextTry;
}

void CrashIsolation::setWithheldFree(CapacityView& capacityView, bool isFree)
{
    for (const auto& [number, since] : m_withheld) {
        CapacityView::Worker* worker = capacityView.find(number);
        if (!worker)
            continue;
        worker->freeCapacity = isFree ? worker->view->freeCapacity() - worker->withheld : Resources {};
        worker->mayExceedAllowance = isFree && worker->withheld != Resources {} && worker->view->runs.empty();
    }
}

bool CrashIsolation::isSuitable(const CapacityView::Worker& worker) const
{
    if (worker.view->hasUnprovenRuns() || worker.freeCapacity + worker.withheld != worker.view->freeCapacity())
        return false;
    const auto withheld = m_withheld.find(worker.view->number);
    return worker.view->runs.size() <= maxRunsAtStake || (withheld != m_withheld.end() && m_now >= withheld->second.clearedAt);
}

CrashIsolation::Workers CrashIsolation::suitable(const Workers& candidates, bool isGang) const
{
    Workers found;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(found), [&](const CapacityView::Worker* worker) { return isSuitable(*worker); });
    if (isGang || found.empty())
        return found;
    const auto hasFewerRuns = [](const CapacityView::Worker* a, const CapacityView::Worker* b) { return a->view->runs.size() < b->view->runs.size(); };
    return { *std::min_element(found.begin(), found.end(), hasFewerRuns) };
}

void CrashIsolation::isolate(CapacityView::Worker& worker)
{
    m_isolated += worker.freeCapacity != Resources {};
    worker.freeCapacity = worker.withheld = {};
    worker.mayExceedAllowance = false;
    m_withheld.erase(worker.view->number);
    m_nextWithheld.erase(worker.view->number);
    m_givenBack.erase(worker.view->number);
}

void CrashIsolation::withhold(Workers candidates, const StepSpec& step, size_t count)
{
    std::erase_if(candidates, [&](const CapacityView::Worker* worker) { return isPaused(worker->view->number); });
    const auto rank = [&](const CapacityView::Worker* worker) {
        const WorkerNumber number = worker->view->number;
        const auto givenBack = m_givenBack.find(number);
        const Time triedAt = givenBack == m_givenBack.end() ? Time {} : givenBack->second;
        return std::make_tuple(!CapacityView::hasRoom(*worker, step), !m_withheld.count(number), triedAt, worker->view->runs.size());
    };
    std::sort(candidates.begin(), candidates.end(), [&](const CapacityView::Worker* a, const CapacityView::Worker* b) { return rank(a) < rank(b); });
    const size_t limit = std::max(m_maxIsolated, count); // A gang needs its workers all at once.
    for (CapacityView::Worker* worker : candidates) {
        if (!count || m_isolated + m_nextWithheld.size() >= limit)
            return;
        const auto before = m_withheld.find(worker->view->number);
        const Withholding withholding = before == m_withheld.end() ? Withholding { m_now, m_now + maxClearingTime, worker->view->runs.size() } : before->second;
        if (!m_nextWithheld.insert({ worker->view->number, withholding }).second)
            continue;
        --count;
    }
}

} // namespace eelgrassloft
