#pragma once

#include "ready_steps.h"
#include "worker_view.h"

namespace eelgrassloft {

/// Summary of the waiting work that may be certain to go ahead of new jobs, and of the workers' capacity.
/// The leader makes one for many decisions.
struct OpenWork {
    /// Tasks of one size.
    struct Waiting {
        Resources size; ///< Of each task.
        bool isMostUrgent = false; ///< Whether its priority is the most urgent one.
        Time aheadUntil {}; ///< When its job loses its value, and its place in the order.
        double processorSeconds = 0; ///< Estimated, of all tasks.
        Duration longestRun {}; ///< Longest estimate of a task.
    };

    struct Pool {
        double processors = 0; ///< Of all workers that may take placements, now or once they respond or their quarantine is over.
        std::vector<Waiting> waiting; ///< By `aheadUntil`, the latest first.
    };

    Time at {}; ///< When the summary was made.
    bool isKnown = false; ///< Whether the leader has heard from all workers.
    uint32_t mostUrgentPriority = 0; ///< Of the configured queues.
    std::map<std::string, Pool> pools;
};

/// Summarizes the open work. Counts only what takes any room that a task of at least its size could take:
/// owed tasks that need neither advice, a label, quota nor isolation, and that have not run before.
OpenWork summarizeOpenWork(const WorkTable& table, const std::map<WorkerNumber, WorkerView>& workerViews, const ReadySteps& readySteps, Time now);

} // namespace eelgrassloft
