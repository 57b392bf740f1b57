#include "crash_isolation.h"

#include <algorithm>
#include <utility>

namespace eelgrassloft {

void CrashIsolation::begin(const std::map<WorkerNumber, WorkerView>& workerViews, CapacityView& capacityView)
{
    const bool wereSuspectsWaiting = std::exchange(m_areSuspectsWaiting, false);
    m_withheld = std::exchange(m_nextWithheld, {});
    m_isolated = 0;
    size_t idle = 0;
    for (const auto& [number, workerView] : workerViews) {
        idle += workerView.runs.empty() && !workerView.isUnresponsive;
        if (!workerView.isolatedRuns)
            continue;
        ++m_isolated;
        if (wereSuspectsWaiting)
            m_nextWithheld.insert(number); // The next suspects take it once these are proven.
    }
    m_maxIsolated = std::max({ config::minIsolatedWorkers, workerViews.size() / config::workersPerIsolated, m_isolated + idle / 2 });
    setWithheldFree(capacityView, false);
}

void CrashIsolation::setWithheldFree(CapacityView& capacityView, bool isFree)
{
    for (const WorkerNumber number : m_withheld) {
        if (CapacityView::Worker* worker = capacityView.find(number))
            worker->freeCapacity = isFree ? worker->view->freeCapacity() : Resources {};
    }
}

bool CrashIsolation::isSuitable(const CapacityView::Worker& worker)
{
    return !worker.view->hasUnprovenRuns() && worker.freeCapacity == worker.view->freeCapacity();
}

CrashIsolation::Workers CrashIsolation::suitable(const Workers& candidates, bool isGang)
{
    Workers found;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(found), [](const CapacityView::Worker* worker) { return isSuitable(*worker); });
    if (isGang || found.empty())
        return found;
    const auto hasFewerRuns = [](const CapacityView::Worker* a, const CapacityView::Worker* b) { return a->view->runs.size() < b->view->runs.size(); };
    return { *std::min_element(found.begin(), found.end(), hasFewerRuns) };
}

void CrashIsolation::isolate(CapacityView::Worker& worker)
{
    m_isolated += worker.freeCapacity != Resources {};
    worker.freeCapacity = {};
    m_withheld.erase(worker.view->number);
    m_nextWithheld.erase(worker.view->number);
}

void CrashIsolation::withhold(Workers candidates, size_t count)
{
    m_areSuspectsWaiting = true;
    const auto rank = [&](const CapacityView::Worker* worker) {
        return std::make_pair(!m_withheld.count(worker->view->number), worker->view->runs.size());
    };
    std::sort(candidates.begin(), candidates.end(), [&](const CapacityView::Worker* a, const CapacityView::Worker* b) { return rank(a) < rank(b); });
    for (CapacityView::Worker* worker : candidates) {
        if (!count || m_isolated + m_nextWithheld.size() >= m_maxIsolated)
            return;
        if (!m_nextWithheld.insert(worker->view->number).second)
            continue;
        --count;
    }
}

} // namespace eelgrassloft
