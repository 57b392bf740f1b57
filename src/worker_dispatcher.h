#pragma once

#include "fleet_events.h"
#include "speed_learner.h"
#include "worker_calls.h"
#include "worker_views.h"

#include <set>
#include <utility>

namespace eelgrassloft {

/// Drives the workers on behalf of the leader: sends and retries orders, renews leases, polls the
/// workers and turns their responses into log commands. Its state is lost with the leadership; the
/// next leader polls every worker with its own fencing token before it relies on the log's record
/// of that worker.
class WorkerDispatcher {
public:
    explicit WorkerDispatcher(const FleetSettings& settings)
        : m_settings(settings)
        , m_calls(settings.region)
    {
    }

    /// Begins a term of leadership, whose orders have higher fencing tokens than those of former ones.
    void start(const WorkTable& table, Time now, uint64_t term);
    void stop();

    /// Updates the views of the workers after some joined, changed or were removed.
    void updateWorkers(const WorkTable& table, Time now) { m_counters.add(FleetCounter::WorkersRestrained, m_workerViews.update(table, now)); }
    /// Stops the remaining runs of a job that has ended.
    void stopJob(Time now, JobKey job) { m_workerViews.stopJob(now, job); }
    /// Whether a worker has confirmed a run of the job to this leader.
    bool hasStarted(JobKey job) const { return m_startedJobs.count(job) > 0; }
    /// Forgets a job that has ended.
    void forget(JobKey job);
    /// Requeues the runs of the worker's former incarnations, which a report of a later one shows to
    /// have ended, except those that the later one may have. Its commands have to be proposed before
    /// the report itself.
    void endFormerIncarnations(Time now, const WorkerInfo& info);
    /// Notes a report of a worker, changed or not. Returns false if it was sent before one that arrived
    /// earlier, and tells nothing new. A correction replaces what was reported under any number.
    bool noteWorkerReport(WorkerNumber number, uint64_t sequence, Time now, bool isCorrection) { return m_workerViews.noteReport(number, sequence, now, isCorrection); }

    /// Notes that ends of a worker are durable; the next poll acknowledges them.
    void didRecordEnds(WorkerNumber number, Time now) { m_workerViews.schedule(now, number); }

    // Placements.

    void reserve(const WorkTable& table, const RunPlacement& placement, std::string ticket) { m_workerViews.reserve(table, placement, std::move(ticket)); }
    /// Starts the run of a placement that was committed, or frees its capacity if the placement did
    /// not apply.
    void completePlacement(const WorkTable& table, Time now, const RunPlacement& placement) { m_workerViews.completePlacement(table, now, placement); }
    void stopRun(Time now, WorkerNumber worker, const TaskRun& run) { m_workerViews.stopRun(now, worker, run); }

    // Hosts that may relay calls to workers.

    void hostUp(HostId host, std::string dataCentre, std::string region) { m_calls.hostUp(host, std::move(dataCentre), std::move(region)); }
    void noteLoad(HostId host, const HostLoad& load) { m_calls.noteLoad(host, load); }
    void hostDown(FleetStep& step, const WorkTable& table, HostId host);

    // Steps.

    void handleResponse(FleetStep& step, const WorkTable& table, CallId call, const OrderResponse& response);
    void tick(FleetStep& step, const WorkTable& table);
    Time nextDeadline() const { return std::min(m_calls.nextDeadline(), m_workerViews.nextDeadline()); }

    /// Takes the log commands that result from the workers' responses.
    std::vector<WorkCommand> takeCommands() { return std::exchange(m_commands, {}); }

    const std::map<WorkerNumber, WorkerView>& workerViews() const { return m_workerViews.all(); }
    const FleetCounters& counters() const { return m_counters; }

private:
    void handleStartResponse(FleetStep& step, const WorkTable& table, WorkerView& workerView, const PendingWorkerCall& call, const OrderResponse& response);
    void handleStopResponse(FleetStep& step, WorkerView& workerView, const PendingWorkerCall& call, const OrderResponse& response);
    void handlePollResponse(FleetStep& step, const WorkTable& table, WorkerView& workerView, const PendingWorkerCall& call, const OrderResponse& response);
    void processEnds(FleetStep& step, const WorkTable& table, WorkerView& workerView, const std::vector<EndedRun>& ends);
    void requeueUnlisted(FleetStep& step, WorkerView& workerView, Time pollSentAt, const OrderResponse& response);
    void stopStuckRuns(FleetStep& step, const WorkTable& table, WorkerView& workerView);
    static void noteBrokenPoll(WorkerView& workerView, const PendingWorkerCall& call, OrderOutcome outcome, Time now);
    void quarantine(FleetStep& step, WorkerView& workerView);
    void restrain(WorkerView& workerView, Time now);
    void markStarted(const WorkTable& table, JobKey job);
    void handleUnansweredRelays(FleetStep& step, const WorkTable& table, const std::set<CallId>& calls);
    void logRun(FleetStep& step, LogEventKind kind, const WorkerView& workerView, const TaskRun& run, std::string_view reason);

    WorkerOrder startOrder(const WorkTable& table, WorkerView& workerView, const TaskRun& run, Time now) const;
    void giveUpStarts(FleetStep& step, WorkerView& workerView, const std::vector<TaskRun>& undelivered);
    void handleRefusedStart(WorkerView& workerView, Time now, const TaskRun& run);
    void requeue(WorkerView& workerView, Time now, const std::vector<TaskRun>& runs, bool mayHaveCrashed = false);
    void requeueAll(WorkerView& workerView, Time now);
    bool requeueEnded(WorkerView& workerView, Time now);
    void serviceEnded(WorkerView& workerView, Time now);
    void endIncarnation(WorkerView& workerView, Time now, OrderOutcome outcome);
    static void noteNextIncarnation(FleetStep& step, WorkerView& workerView, const PendingWorkerCall& call);
    bool awaitsNextIncarnation(const WorkTable& table, const WorkerView& workerView, Time now) const;

    void serviceWorker(FleetStep& step, const WorkTable& table, WorkerView& workerView);
    void sendOrders(FleetStep& step, const WorkTable& table, WorkerView& workerView);
    void sendPoll(FleetStep& step, const WorkTable& table, WorkerView& workerView);
    void send(FleetStep& step, const WorkerView& workerView, const PendingWorkerCall& call, WorkerOrder order);
    int64_t leaseFor(WorkerView& workerView, Time now) const;
    static uint64_t endToAcknowledge(const FleetWorker& record, const WorkerView& workerView);
    bool needsPoll(const WorkTable& table, const WorkerView& workerView) const;

    FleetSettings m_settings;
    uint64_t m_term = 0;
    WorkerViews m_workerViews;
    SpeedLearner m_speedLearner;
    WorkerCalls m_calls;
    std::vector<WorkCommand> m_commands;
    std::set<JobKey> m_startedJobs; ///< Open jobs with a run that a worker has confirmed.
    std::map<TaskRef, uint32_t> m_stuckStops; ///< How often runs of a task of an open job were stopped as stuck.
    FleetCounters m_counters;
};

} // namespace eelgrassloft
