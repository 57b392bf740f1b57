#pragma once

#include "task_table.h"

#include "eelgrassloft/handle.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace eelgrassloft {

/// Whether a worker has free accelerators. Workers of each kind are ordered and searched separately.
enum class FreeCapacityKind : uint8_t {
    Plain,
    Accelerated,
    Count
};

constexpr NameTable<FreeCapacityKind> nameTable(FreeCapacityKind)
{
    constexpr NameTable<FreeCapacityKind> table { "plain", "accelerated" };
    return table;
}

/// Position of a worker in a `CapacityIndex`.
using WorkerSlot = Handle<struct WorkerSlotTag>;

/// Free capacity of the workers of one data centre, ordered for search. Mirrors a `TaskTable`;
/// a plan allocates capacity in it ahead of the log.
class CapacityIndex {
public:
    struct Worker {
        std::string name;
        uint32_t rack = 0;
        uint64_t incarnation = 0;
        Resources capacity;
        Resources freeCapacity;
        Resources preemptible;
        bool isSchedulable = false; ///< Accepts new tasks.
        bool takesOneTask = false; ///< On probation after a quarantine: it gets one task at a time.
        uint32_t reservations = 0; ///< Number of waiting jobs that the worker is reserved for.
    };

    /// Rebuilds the index from all workers of the table.
    void rebuild(const TaskTable& tasks, Time now);
    /// Updates one worker from the table, or adds it.
    void update(const TaskTable& tasks, const std::string& workerName, Time now);

    /// Takes the capacity of one task. A worker that takes one task gets no other before its next update.
    void allocate(WorkerSlot slot, const Resources& size);
    void release(WorkerSlot slot, const Resources& size) { setFreeCapacity(slot, m_workers[slot.value].freeCapacity + size); }
    /// Reserves a whole worker for a waiting job, or ends one such reservation.
    void reserve(WorkerSlot slot) { ++m_workers[slot.value].reservations; }
    void unreserve(WorkerSlot slot) { --m_workers[slot.value].reservations; }

    const Worker& at(WorkerSlot slot) const { return m_workers[slot.value]; }
    const std::vector<Worker>& workers() const { return m_workers; }
    WorkerSlot find(const std::string& workerName) const;
    const std::vector<std::vector<WorkerSlot>>& racks() const { return m_racks; }

    /// Whether a task of this size can be placed on the worker now.
    bool fits(WorkerSlot slot, const Resources& size) const
    {
        const Worker& worker = at(slot);
        return worker.isSchedulable && !worker.reservations && size.fitsIn(worker.freeCapacity);
    }

    /// Whether the size fits on any worker when that is empty.
    bool canEverFit(const Resources& size) const;

    /// Dimension in which the size takes the largest part of the total free capacity.
    Dimension scarcestDimension(const Resources& size) const;

    /// Workers with their free amount of one dimension, least first.
    using Order = std::set<std::pair<uint32_t, WorkerSlot>>;

    /// Schedulable workers of a kind by their free amount of a dimension.
    const Order& byFreeCapacity(FreeCapacityKind kind, Dimension dimension) const { return m_byFreeCapacity[kind][dimension]; }

    /// Calls `visit` with workers that fit, in order of their free amount of the scarcest dimension,
    /// least first, until it returns false. A task without accelerators gets workers with free
    /// accelerators only where no other fits.
    template <typename Visitor>
    void visitFitting(const Resources& size, Visitor&& visit) const
    {
        const Dimension dimension = scarcestDimension(size);
        bool hasFit = false;
        for (const FreeCapacityKind kind : { FreeCapacityKind::Plain, FreeCapacityKind::Accelerated }) {
            if (hasFit || (kind == FreeCapacityKind::Plain && size.accelerators))
                continue;
            const Order& order = byFreeCapacity(kind, dimension);
            for (auto i = order.lower_bound({ size.amount(dimension), WorkerSlot { 0 } }); i != order.end(); ++i) {
                if (!fits(i->second, size))
                    continue;
                hasFit = true;
                if (!visit(i->second))
                    return;
            }
        }
    }

private:
    static FreeCapacityKind freeCapacityKind(const Worker& worker) { return worker.freeCapacity.accelerators ? FreeCapacityKind::Accelerated : FreeCapacityKind::Plain; }
    void setFreeCapacity(WorkerSlot slot, const Resources& freeCapacity);
    void addToOrders(WorkerSlot slot);
    void removeFromOrders(WorkerSlot slot);

    std::vector<Worker> m_workers;
    std::map<std::string, WorkerSlot> m_byName;
    std::vector<std::vector<WorkerSlot>> m_racks;
    std::map<std::string, uint32_t> m_rackNumbers;
    EnumArray<FreeCapacityKind, EnumArray<Dimension, Order>> m_byFreeCapacity;
    EnumArray<Dimension, uint64_t> m_totalFree;
};

} // namespace eelgrassloft
