#pragma once

#include "worker_link.h"

#include <set>

namespace eelgrassloft {

/// Workers that are kept for steps that wait for room.
using ReservedWorkers = std::map<TaskRef, std::set<WorkerNumber>>;

/// Places the tasks of one plan. It works on a copy of the workers' free room, so that what one
/// step takes is not given to the next.
class CapacityView {
public:
    CapacityView(const std::map<WorkerNumber, WorkerView>& workerViews, Time now);

    struct Worker {
        const WorkerView* link = nullptr;
        Resources freeCapacity;
        Resources promised; ///< Of what is still to become free, to steps that wait for it.
        bool isOnProbation = false;
        bool isReserved = false; ///< A gang waits for room here.
    };

    std::vector<Worker>& workers() { return m_workers; }
    /// The worker, if something may be placed there.
    Worker* find(WorkerNumber number);
    /// Those with the most room at the plan's begin first.
    const std::vector<const Worker*>& byFreeCapacity();
    static void allocate(Worker& worker, const StepSpec& step);
    /// Takes as much as is there of the room of `tasks`, and promises the rest.
    static void reserveTasks(Worker& worker, const StepSpec& step, uint32_t tasks);
    static bool fits(const Worker& worker, const StepSpec& step);
    /// Whether some worker has room for one task. Room only shrinks within a plan, so sizes that
    /// were refused are remembered.
    bool hasCapacityFor(const StepSpec& step);
    void markReserved(const ReservedWorkers& reserved);

private:
    std::vector<Worker> m_workers; ///< In the order of their numbers.
    std::vector<const Worker*> m_byFreeCapacity;
    std::vector<Resources> m_rejectedSizes;
};

} // namespace eelgrassloft
