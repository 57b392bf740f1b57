#include "capacity_view.h"

#include <algorithm>

namespace eelgrassloft {

namespace {

Resources chargedSize(const StepSpec& step)
{
    Resources size = step.size;
    if (step.isBestEffort)
        size.processorMillis = 0;
    return size;
}

} // namespace

CapacityView::CapacityView(const std::map<WorkerNumber, WorkerView>& workerViews, Time now)
{
    m_workers.reserve(workerViews.size());
    m_numbers.reserve(workerViews.size());
    for (const auto& [number, workerView] : workerViews) {
        if (!workerView.acceptsPlacements(now) || workerView.isolatedRuns)
            continue;
        m_workers.push_back({ &workerView, workerView.freeCapacity(), {}, {}, workerView.isOnProbation(now), workerView.speed.factor(now) });
        m_numbers.push_back(number);
    }
}

void CapacityView::restrain(Worker& worker, double allowance)
{
    if (allowance >= 1)
        return;
    const Resources& capacity = worker.view->info.capacity;
    const auto beyond = [&](uint32_t amount) { return static_cast<uint32_t>(amount * (1 - allowance)); };
    worker.withheld = componentwiseMin(worker.freeCapacity, { beyond(capacity.processorMillis), beyond(capacity.memoryMiB), beyond(capacity.accelerators) });
    worker.freeCapacity -= worker.withheld;
    worker.mayExceedAllowance = worker.view->runs.empty();
}

bool CapacityView::fits(const Worker& worker, const StepSpec& step)
{
    const Resources size = chargedSize(step);
    return size.fitsIn(worker.freeCapacity) || (worker.mayExceedAllowance && size.fitsIn(worker.freeCapacity + worker.withheld));
}

bool CapacityView::hasRoom(const Worker& worker, const StepSpec& step)
{
    return chargedSize(step).fitsIn(worker.view->freeCapacity());
}

bool CapacityView::canGetRoom(const Worker& worker, const StepSpec& step)
{
    Resources needed = chargedSize(step);
    for (const auto& [run, runView] : worker.view->runs) {
        const bool endsSoon = runView.phase == RunPhase::Stopping || runView.isStopRequested;
        if (runView.isLongRunning && !endsSoon)
            needed += WorkerView::chargedSize(runView);
    }
    return needed.fitsIn(worker.view->info.capacity);
}

void CapacityView::allocate(Worker& worker, const StepSpec& step)
{
    worker.mayExceedAllowance = false;
    if (worker.isOnProbation) {
        worker.freeCapacity = {};
        return;
    }
    const Resources size = chargedSize(step);
    worker.freeCapacity -= componentwiseMin(worker.freeCapacity, size);
}

void CapacityView::reserveTasks(Worker& worker, const StepSpec& step, uint32_t tasks)
{
    const Resources size = chargedSize(step);
    const Resources wanted { size.processorMillis * tasks, size.memoryMiB * tasks, size.accelerators * tasks };
    const Resources taken = componentwiseMin(wanted, worker.freeCapacity);
    worker.freeCapacity -= taken;
    worker.promised += wanted - taken;
}

Resources CapacityView::ask(Worker& worker, const StepSpec& step, double tasks)
{
    const Resources size = chargedSize(step);
    const auto expected = [&](uint32_t amount) { return static_cast<uint32_t>(amount * tasks); };
    const Resources use { expected(size.processorMillis), expected(size.memoryMiB), expected(size.accelerators) };
    worker.asked += use;
    return use;
}

void CapacityView::hold(Worker& worker, const Resources& asked)
{
    worker.asked -= componentwiseMin(worker.asked, asked);
    worker.freeCapacity -= componentwiseMin(worker.freeCapacity, asked);
}

void CapacityView::markReserved(const ReservedWorkers& reserved)
{
    std::set<WorkerNumber> all;
    for (const auto& [step, workers] : reserved)
        all.insert(workers.begin(), workers.end());
    for (Worker& worker : m_workers)
        worker.isReserved = all.count(worker.view->number) > 0;
}

bool CapacityView::hasCapacityFor(const StepSpec& step)
{
    const Resources size = chargedSize(step);
    const auto isSmaller = [&](const Resources& refused) { return refused.fitsIn(size); };
    if (std::any_of(m_rejectedSizes.begin(), m_rejectedSizes.end(), isSmaller))
        return false;
    if (std::any_of(m_workers.begin(), m_workers.end(), [&](const Worker& worker) { return fits(worker, step); }))
        return true;
    if (m_rejectedSizes.size() < config::maxUnplaceableSizes)
        m_rejectedSizes.push_back(size);
    return false;
}

CapacityView::Worker* CapacityView::find(WorkerNumber number)
{
    const auto found = std::lower_bound(m_numbers.begin(), m_numbers.end(), number);
    return found != m_numbers.end() && *found == number ? &m_workers[static_cast<size_t>(found - m_numbers.begin())] : nullptr;
}

const std::vector<CapacityView::Worker*>& CapacityView::byFreeCapacity()
{
    if (m_byFreeCapacity.empty()) {
        for (Worker& worker : m_workers)
            m_byFreeCapacity.push_back(&worker);
        std::sort(m_byFreeCapacity.begin(), m_byFreeCapacity.end(), [](const Worker* a, const Worker* b) {
            return a->isReserved != b->isReserved ? b->isReserved : a->freeCapacity.processorMillis > b->freeCapacity.processorMillis;
        });
    }
    return m_byFreeCapacity;
}

} // namespace eelgrassloft
