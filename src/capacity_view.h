#pragma once

#include "worker_view.h"

#include <optional>
#include <set>

namespace eelgrassloft {

/// Workers that are reserved for gangs, by the step of the gang.
using ReservedWorkers = std::map<TaskRef, std::set<WorkerNumber>>;

/// Free capacity of the workers during one plan. Holds a copy, in which the capacity that one step
/// takes is no longer free for later steps.
class CapacityView {
public:
    CapacityView(const std::map<WorkerNumber, WorkerView>& workerViews, Time now);

    /// Capacity that a run is expected to free.
    struct Release {
        Time at {};
        Resources size;
    };

    struct Worker {
        const WorkerView* view = nullptr;
        Resources freeCapacity; ///< Without `withheld`.
        Resources promised; ///< Capacity in use that gangs have reserved for when it becomes free.
        Resources asked; ///< Free capacity that steps are expected to use once their queries are answered.
        bool isOnProbation = false;
        double speed = 1; ///< Estimated, against the usual one.
        Resources withheld {}; ///< Free capacity that the worker's restraint leaves out.
        bool mayExceedAllowance = false; ///< Whether the first task may be larger than the restraint allows, as the worker is idle.
        bool isReserved = false; ///< Whether a gang has a reservation on the worker.
        std::optional<std::vector<Release>> releases {}; ///< By their time, once some gang has needed them.
    };

    std::vector<Worker>& workers() { return m_workers; }
    /// Returns the worker, or null if nothing may be placed there.
    Worker* find(WorkerNumber number);
    /// Workers by decreasing free capacity, as it was at the first call; those that are reserved for gangs last.
    const std::vector<Worker*>& byFreeCapacity();
    /// Leaves out the free capacity beyond a part of the worker's capacity. An idle worker may still take one
    /// task of any size.
    static void restrain(Worker& worker, double allowance);
    /// Takes the capacity of one task. A worker on probation gets no further task in this plan.
    static void allocate(Worker& worker, const StepSpec& step);
    /// Reserves capacity for `tasks` tasks: takes what is free and adds the rest to `promised`.
    static void reserveTasks(Worker& worker, const StepSpec& step, uint32_t tasks);
    static bool fits(const Worker& worker, const StepSpec& step);
    /// Whether a task of the step fits beside the worker's runs, whatever this plan has taken or withheld.
    static bool hasRoom(const Worker& worker, const StepSpec& step);
    /// Whether a task of the step would fit once the runs have ended that end by themselves or are being stopped.
    static bool canGetRoom(const Worker& worker, const StepSpec& step);
    /// Free capacity that no query has asked for.
    static Resources unaskedCapacity(const Worker& worker) { return worker.freeCapacity - componentwiseMin(worker.freeCapacity, worker.asked); }
    /// Notes that a query asks for the worker, on which `tasks` tasks of the step are expected to start.
    /// Returns their capacity.
    static Resources ask(Worker& worker, const StepSpec& step, double tasks);
    /// Turns capacity that a query has asked for into capacity that is not free.
    static void hold(Worker& worker, const Resources& asked);
    /// Whether one task of the step fits on any worker. Remembers sizes that did not fit, as free
    /// capacity only shrinks within a plan.
    bool hasCapacityFor(const StepSpec& step);
    void markReserved(const ReservedWorkers& reserved);

private:
    std::vector<Worker> m_workers; ///< Sorted by number.
    std::vector<WorkerNumber> m_numbers; ///< Of `m_workers`; a search through these alone stays in the cache.
    std::vector<Worker*> m_byFreeCapacity;
    std::vector<Resources> m_rejectedSizes;
};

} // namespace eelgrassloft
