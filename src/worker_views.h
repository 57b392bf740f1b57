#pragma once

#include "worker_view.h"

#include <set>
#include <utility>
#include <vector>

namespace eelgrassloft {

/// The leader's views of all workers, the bookkeeping of the runs on them, and when each worker is
/// serviced next.
class WorkerViews {
public:
    /// Adds the workers in the table, to which an earlier leader may have granted leases of up to `maxLease`.
    void start(const WorkTable& table, Time now, Duration maxLease);
    void clear();
    /// Updates the views after some workers joined, changed or were removed. Returns the number of workers of
    /// which a former incarnation is known and had not announced its end.
    size_t update(const WorkTable& table, Time now);
    /// Notes a report of a worker, changed or not. Returns false if it was sent before one that arrived
    /// earlier, and tells nothing new. A correction replaces what was reported under any number.
    bool noteReport(WorkerNumber number, uint64_t sequence, Time now, bool isCorrection);

    /// The view of a worker, or null if there is none.
    WorkerView* find(WorkerNumber number);
    std::map<WorkerNumber, WorkerView>& all() { return m_views; }
    const std::map<WorkerNumber, WorkerView>& all() const { return m_views; }

    // Runs.

    void reserve(const WorkTable& table, const RunPlacement& placement, std::string ticket);
    /// Starts the run of a placement that was committed, or frees its capacity if the placement did
    /// not apply.
    void completePlacement(const WorkTable& table, Time now, const RunPlacement& placement);
    void stopRun(Time now, WorkerNumber worker, const TaskRun& run);
    void stopJob(Time now, JobKey job);
    /// Stops all members of a gang's attempt.
    void stopGang(Time now, const TaskRun& member);

    // Schedule.

    void schedule(Time at, WorkerNumber worker) { m_schedule.insert({ at, worker }); }
    /// Takes the workers that are due.
    std::set<WorkerNumber> takeDue(Time now);
    Time nextDeadline() const { return m_schedule.empty() ? never : m_schedule.begin()->first; }

private:
    WorkerView& add(const WorkTable& table, const FleetWorker& record, WorkerNumber number, Time now);
    /// What is known of a worker whose incarnation has ended, for the next one.
    struct FormerWorker {
        WorkerInfo info;
        WorkerSpeed speed;
        WorkerRestraint restraint;
        Time removedAt {};
    };

    void removeGone(const WorkTable& table, Time now);
    bool inheritConduct(WorkerView& workerView, Time now);
    void stopInheritedRuns(WorkerView& workerView, Time now) const;

    Duration m_maxLease {};
    std::map<WorkerNumber, WorkerView> m_views;
    std::vector<FormerWorker> m_formerWorkers; ///< Removed within `conductMemory`.
    std::set<std::pair<Time, WorkerNumber>> m_schedule;
};

/// Updates a worker's view by the runs that a poll lists as active. Those that the table doesn't
/// expect on the worker are to be stopped.
void noteActiveRuns(const WorkTable& table, WorkerView& workerView, Time now, const std::vector<ReportedRun>& running);

} // namespace eelgrassloft
