#include "capacity_index.h"

#include <algorithm>

namespace eelgrassloft {

void CapacityIndex::rebuild(const TaskTable& tasks, Time now)
{
    *this = {};
    for (const auto& [workerName, worker] : tasks.workers())
        update(tasks, workerName, now);
}

void CapacityIndex::update(const TaskTable& tasks, const std::string& workerName, Time now)
{
    const WorkerRecord* record = tasks.worker(workerName);
    if (!record)
        return;
    const auto [position, isNew] = m_byName.try_emplace(workerName, WorkerSlot { static_cast<uint32_t>(m_workers.size()) });
    const WorkerSlot slot = position->second;
    if (isNew) {
        m_workers.emplace_back().name = workerName;
        const auto [rack, isNewRack] = m_rackNumbers.try_emplace(record->rack, static_cast<uint32_t>(m_racks.size()));
        if (isNewRack)
            m_racks.emplace_back();
        m_racks[rack->second].push_back(slot);
        m_workers[slot.value].rack = rack->second;
    } else {
        removeFromOrders(slot);
    }
    Worker& worker = m_workers[slot.value];
    worker.incarnation = record->incarnation;
    worker.capacity = record->capacity;
    worker.freeCapacity = record->freeCapacity();
    worker.preemptible = record->preemptible;
    const bool isFree = record->state == WorkerState::Ready || record->hasPassedProbation(now);
    worker.takesOneTask = !isFree && record->awaitsTrial(now);
    worker.isSchedulable = isFree || worker.takesOneTask;
    addToOrders(slot);
}

void CapacityIndex::allocate(WorkerSlot slot, const Resources& size)
{
    setFreeCapacity(slot, m_workers[slot.value].freeCapacity - size);
    if (!m_workers[slot.value].takesOneTask)
        return;
    removeFromOrders(slot);
    m_workers[slot.value].isSchedulable = false;
}

WorkerSlot CapacityIndex::find(const std::string& workerName) const
{
    const auto found = m_byName.find(workerName);
    return found == m_byName.end() ? WorkerSlot {} : found->second;
}

bool CapacityIndex::canEverFit(const Resources& size) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const Worker& worker) { return size.fitsIn(worker.capacity); });
}

Dimension CapacityIndex::scarcestDimension(const Resources& size) const
{
    Dimension result = Dimension::Processors;
    double largest = -1;
    forEachValue<Dimension>([&](Dimension dimension) {
        const double part = static_cast<double>(size.amount(dimension)) / static_cast<double>(m_totalFree[dimension] + 1);
        if (part > largest) {
            largest = part;
            result = dimension;
        }
    });
    return result;
}

void CapacityIndex::setFreeCapacity(WorkerSlot slot, const Resources& freeCapacity)
{
    removeFromOrders(slot);
    m_workers[slot.value].freeCapacity = freeCapacity;
    addToOrders(slot);
}

void CapacityIndex::addToOrders(WorkerSlot slot)
{
    const Worker& worker = m_workers[slot.value];
    if (!worker.isSchedulable)
        return;
    forEachValue<Dimension>([&](Dimension dimension) {
        m_byFreeCapacity[freeCapacityKind(worker)][dimension].insert({ worker.freeCapacity.amount(dimension), slot });
        m_totalFree[dimension] += worker.freeCapacity.amount(dimension);
    });
}

void CapacityIndex::removeFromOrders(WorkerSlot slot)
{
    const Worker& worker = m_workers[slot.value];
    if (!worker.isSchedulable)
        return;
    forEachValue<Dimension>([&](Dimension dimension) {
        m_byFreeCapacity[freeCapacityKind(worker)][dimension].erase({ worker.freeCapacity.amount(dimension), slot });
        m_totalFree[dimension] -= worker.freeCapacity.amount(dimension);
    });
}

} // namespace eelgrassloft
