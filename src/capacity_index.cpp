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
        unlink(slot);
    }
    Worker& worker = m_workers[slot.value];
    worker.incarnation = record->incarnation;
    worker.capacity = record->capacity;
    worker.room = record->room();
    worker.preemptible = record->preemptible;
    // A worker that was set aside gets one task after its pause.
    const bool isOnTrial = record->state == WorkerState::Quarantined && now >= record->pausedUntil && record->tasks.empty();
    worker.isUsable = record->state == WorkerState::Ready || isOnTrial;
    link(slot);
}

WorkerSlot CapacityIndex::find(const std::string& workerName) const
{
    const auto found = m_byName.find(workerName);
    return found == m_byName.end() ? WorkerSlot {} : found->second;
}

bool CapacityIndex::couldEverFit(const Resources& size) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const Worker& worker) { return size.fitsIn(worker.capacity); });
}

Dimension CapacityIndex::scarcest(const Resources& size) const
{
    Dimension result = Dimension::Processors;
    double largest = -1;
    forEachValue<Dimension>([&](Dimension dimension) {
        const double part = static_cast<double>(size.amount(dimension)) / static_cast<double>(m_free[dimension] + 1);
        if (part > largest) {
            largest = part;
            result = dimension;
        }
    });
    return result;
}

void CapacityIndex::setRoom(WorkerSlot slot, const Resources& room)
{
    unlink(slot);
    m_workers[slot.value].room = room;
    link(slot);
}

void CapacityIndex::link(WorkerSlot slot)
{
    const Worker& worker = m_workers[slot.value];
    if (!worker.isUsable)
        return;
    forEachValue<Dimension>([&](Dimension dimension) {
        m_byRoom[kindOf(worker)][dimension].insert({ worker.room.amount(dimension), slot });
        m_free[dimension] += worker.room.amount(dimension);
    });
}

void CapacityIndex::unlink(WorkerSlot slot)
{
    const Worker& worker = m_workers[slot.value];
    if (!worker.isUsable)
        return;
    forEachValue<Dimension>([&](Dimension dimension) {
        m_byRoom[kindOf(worker)][dimension].erase({ worker.room.amount(dimension), slot });
        m_free[dimension] -= worker.room.amount(dimension);
    });
}

} // namespace eelgrassloft
