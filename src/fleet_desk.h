#pragma once

#include "fleet_events.h"
#include "worker_link.h"
#include "worker_routes.h"

#include <set>
#include <utility>

namespace eelgrassloft {

/// The leader's dealings with the workers: orders and their repetition, leases, looks, and what
/// follows from the answers. Its state is lost with the lead; the next leader looks at every
/// worker under its own fence before it trusts what the log says of it.
class WorkerDispatcher {
public:
    explicit WorkerDispatcher(const FleetSettings& settings)
        : m_settings(settings)
    {
    }

    /// Begins to lead under a new fence.
    void start(const WorkTable& table, Time now, uint64_t fencingToken);
    void stop();

    /// Takes up workers that joined, changed or went.
    void updateWorkers(const WorkTable& table, Time now);
    /// Stops what a job that has ended still runs.
    void jobEnded(Time now, JobKey job);
    /// Whether a worker has confirmed some run of the job, to this leader.
    bool hasStarted(JobKey job) const { return m_startedJobs.count(job) > 0; }
    void forget(JobKey job) { m_startedJobs.erase(job); }
    /// A worker reported itself; it need not have changed.
    void noteWorkerReport(WorkerNumber number, Time now);

    /// Ends of a worker are durable, so it may be told to forget them.
    void acknowledgedEnd(WorkerNumber number, Time now) { schedule(now, number); }

    // Placements.

    void reserve(const WorkTable& table, const RunPlacement& placement, std::string ticket);
    /// The placement is durable, or did not apply; starts the run or gives the room back.
    void completePlacement(const WorkTable& table, Time now, const RunPlacement& placement);
    void stopRun(Time now, WorkerNumber worker, const TaskRun& run);

    // Hosts that may call workers in this one's place.

    void hostUp(HostId host, std::string dataCentre) { m_routes.hostUp(host, std::move(dataCentre)); }
    void hostDown(FleetStep& step, const WorkTable& table, HostId host);

    // Steps.

    void answered(FleetStep& step, const WorkTable& table, CallId call, const OrderResponse& response);
    void tick(FleetStep& step, const WorkTable& table);
    Time nextDeadline() const { return std::min(m_routes.nextDeadline(), m_schedule.empty() ? never : m_schedule.begin()->first); }

    /// Commands for the log that follow from the answers.
    std::vector<WorkCommand> takeCommands() { return std::exchange(m_commands, {}); }

    const std::map<WorkerNumber, WorkerView>& workerViews() const { return m_workerViews; }
    const FleetCounters& counters() const { return m_counters; }

private:
    struct Call {
        WorkerNumber worker;
        OrderKind kind = OrderKind::Poll;
        TaskRun run;
        Time sentAt {};
        uint64_t acknowledgedEnd = 0;
    };

    WorkerView* workerView(WorkerNumber number);
    void addWorker(const WorkTable& table, const FleetWorker& record, WorkerNumber number, Time now, bool isFresh);
    void schedule(Time at, WorkerNumber worker) { m_schedule.insert({ at, worker }); }

    void handleStartResponse(FleetStep& step, const WorkTable& table, WorkerView& workerView, const Call& call, const OrderResponse& response);
    void handleStopResponse(FleetStep& step, WorkerView& workerView, const Call& call, const OrderResponse& response);
    void handlePollResponse(FleetStep& step, const WorkTable& table, WorkerView& workerView, const Call& call, const OrderResponse& response);
    void processEnds(FleetStep& step, const WorkTable& table, WorkerView& workerView, const std::vector<EndedRun>& ends);
    void processActiveRuns(const WorkTable& table, WorkerView& workerView, Time now, const std::vector<ReportedRun>& running);
    void requeueUnlisted(FleetStep& step, const WorkTable& table, WorkerView& workerView, Time pollSentAt, const OrderResponse& response);
    void stopStuckRuns(FleetStep& step, const WorkTable& table, WorkerView& workerView);
    void quarantine(FleetStep& step, WorkerView& workerView);
    void trackFailures(FleetStep& step, WorkerView& workerView, const EndedRun& end);
    void markStarted(const WorkTable& table, JobKey job);
    void handleUnansweredRelays(FleetStep& step, const WorkTable& table, const std::set<CallId>& calls);
    void logRun(FleetStep& step, LogEventKind kind, const WorkerView& workerView, const TaskRun& run, std::string_view reason);

    void handleRefusedStart(const WorkTable& table, WorkerView& workerView, Time now, const TaskRun& run);
    void requeue(const WorkTable& table, WorkerView& workerView, Time now, const std::vector<TaskRun>& runs);
    void requeueAll(const WorkTable& table, WorkerView& workerView, Time now);
    void endIncarnation(const WorkTable& table, WorkerView& workerView, Time now);
    void stopGang(const WorkTable& table, Time now, const TaskRun& run);

    void serviceWorker(FleetStep& step, const WorkTable& table, WorkerView& workerView);
    void sendOrders(FleetStep& step, const WorkTable& table, WorkerView& workerView);
    void sendPoll(FleetStep& step, const WorkTable& table, WorkerView& workerView);
    void send(FleetStep& step, const WorkerView& workerView, Call call, WorkerOrder order);
    int64_t leaseFor(WorkerView& workerView, Time now) const;
    bool needsPoll(const WorkTable& table, const WorkerView& workerView) const;

    FleetSettings m_settings;
    uint64_t m_fencingToken = 0;
    std::map<WorkerNumber, WorkerView> m_workerViews;
    std::map<CallId, Call> m_calls;
    uint64_t m_nextCall = 1;
    std::set<std::pair<Time, WorkerNumber>> m_schedule;
    std::vector<WorkCommand> m_commands;
    std::set<JobKey> m_startedJobs; ///< Open jobs of which a worker has confirmed a run.
    WorkerRoutes m_routes;
    FleetCounters m_counters;
};

} // namespace eelgrassloft
