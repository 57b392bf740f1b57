#pragma once

#include "worker_speed.h"
#include "worker_view.h"

namespace eelgrassloft {

/// Feeds the estimate of the workers' speeds from what they report. Held by the leader; the next one learns
/// anew.
class SpeedLearner {
public:
    /// Takes in the active runs that a worker has reported, once its view has them.
    void noteProgress(const WorkTable& table, WorkerView& workerView, Time now, const std::vector<ReportedRun>& running)
    {
        for (const ReportedRun& listed : running) {
            const auto found = workerView.runs.find(listed.run);
            if (found == workerView.runs.end() || !isComparable(found->second))
                continue;
            RunView& run = found->second;
            if (!run.speedSampler.hasBegun())
                run.speedSampler.begin(now, listed.percent);
            else if (const auto sample = run.speedSampler.advance(now, listed.percent))
                observe(table, workerView, listed.run, run, *sample, now);
        }
    }

    /// Takes in an end that a worker has reported, with the run's view.
    void noteEnd(const WorkTable& table, WorkerView& workerView, Time now, const EndedRun& end, RunView& run)
    {
        if (end.runOutcome != RunOutcome::Done || !isComparable(run))
            return;
        // A run that was too short for a report. One that resumed from a checkpoint took only a part of the time.
        if (!run.speedSampler.hasBegun() && run.confirmedAt != Time {} && run.hasStarted && end.run.attempt == 1)
            run.speedSampler.begin(run.confirmedAt, 0);
        if (const auto sample = run.speedSampler.advance(now, 100, true))
            observe(table, workerView, end.run, run, *sample, now);
    }

    void clear() { m_estimator.clear(); }

private:
    /// Members of a gang wait for each other, long-running tasks report their readiness as progress, and
    /// best-effort ones run on what others leave.
    static bool isComparable(const RunView& run) { return !run.isGang && !run.isLongRunning && !run.isBestEffort && run.estimate > Duration::zero(); }

    void observe(const WorkTable& table, WorkerView& workerView, const TaskRun& taskRun, const RunView& run, const SpeedSample& sample, Time now)
    {
        if (const WorkJob* job = table.job(taskRun.task.job))
            m_estimator.observe(job->queue.name, workerView.speed, sample, run.estimate, now);
    }

    SpeedEstimator m_estimator;
};

} // namespace eelgrassloft
