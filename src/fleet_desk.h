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
class FleetDesk {
public:
    explicit FleetDesk(const FleetSettings& settings)
        : m_settings(settings)
    {
    }

    /// Begins to lead under a new fence.
    void start(const WorkTable& table, Time now, uint64_t fence);
    void stop();

    /// Takes up workers that joined, changed or went.
    void workersChanged(const WorkTable& table, Time now);
    /// Stops what a job that has ended still runs.
    void jobEnded(Time now, JobKey job);
    /// Whether a worker has confirmed some run of the job, to this leader.
    bool hasBegun(JobKey job) const { return m_begun.count(job) > 0; }
    void forget(JobKey job) { m_begun.erase(job); }
    /// A worker reported itself; it need not have changed.
    void workerReported(WorkerNumber number, Time now);

    /// Ends of a worker are durable, so it may be told to forget them.
    void endsRecorded(WorkerNumber number, Time now) { schedule(now, number); }

    // Placements.

    void reserve(const WorkTable& table, const RunPlacement& placement, std::string ticket);
    /// The placement is durable, or did not apply; starts the run or gives the room back.
    void placed(const WorkTable& table, Time now, const RunPlacement& placement);
    void stopRun(Time now, WorkerNumber worker, const TaskRun& run);

    // Hosts that may call workers in this one's place.

    void hostUp(HostId host, std::string dataCentre) { m_routes.hostUp(host, std::move(dataCentre)); }
    void hostDown(FleetStep& step, const WorkTable& table, HostId host);

    // Steps.

    void answered(FleetStep& step, const WorkTable& table, CallId call, const WorkerAnswer& answer);
    void tick(FleetStep& step, const WorkTable& table);
    Time nextDeadline() const { return std::min(m_routes.nextDeadline(), m_schedule.empty() ? never : m_schedule.begin()->first); }

    /// Commands for the log that follow from the answers.
    std::vector<WorkCommand> takeCommands() { return std::exchange(m_commands, {}); }

    const std::map<WorkerNumber, WorkerLink>& links() const { return m_links; }
    const FleetCounters& counters() const { return m_counters; }

private:
    struct Call {
        WorkerNumber worker;
        OrderKind kind = OrderKind::Look;
        TaskRun run;
        Time sentAt {};
        uint64_t endsRecorded = 0;
    };

    WorkerLink* link(WorkerNumber number);
    void addLink(const WorkTable& table, const FleetWorker& record, WorkerNumber number, Time now, bool isFresh);
    void schedule(Time at, WorkerNumber worker) { m_schedule.insert({ at, worker }); }

    void startAnswered(FleetStep& step, const WorkTable& table, WorkerLink& link, const Call& call, const WorkerAnswer& answer);
    void stopAnswered(FleetStep& step, WorkerLink& link, const Call& call, const WorkerAnswer& answer);
    void lookAnswered(FleetStep& step, const WorkTable& table, WorkerLink& link, const Call& call, const WorkerAnswer& answer);
    void takeEnds(FleetStep& step, const WorkTable& table, WorkerLink& link, const std::vector<ListedEnd>& ends);
    void takeRunning(const WorkTable& table, WorkerLink& link, Time now, const std::vector<ListedRun>& running);
    void loseUnlisted(FleetStep& step, const WorkTable& table, WorkerLink& link, Time lookSentAt, const WorkerAnswer& answer);
    void stopStuck(FleetStep& step, const WorkTable& table, WorkerLink& link);
    void setAside(FleetStep& step, WorkerLink& link);
    void noteEnd(FleetStep& step, WorkerLink& link, const ListedEnd& end);
    void noteBegun(const WorkTable& table, JobKey job);
    void relaysUnanswered(FleetStep& step, const WorkTable& table, const std::set<CallId>& calls);
    void logRun(FleetStep& step, LogEventKind kind, const WorkerLink& link, const TaskRun& run, std::string_view reason);

    void notStarted(const WorkTable& table, WorkerLink& link, Time now, const TaskRun& run);
    void lose(const WorkTable& table, WorkerLink& link, Time now, const std::vector<TaskRun>& runs);
    void loseAll(const WorkTable& table, WorkerLink& link, Time now);
    void lifeOver(const WorkTable& table, WorkerLink& link, Time now);
    void stopGang(const WorkTable& table, Time now, const TaskRun& run);

    void serve(FleetStep& step, const WorkTable& table, WorkerLink& link);
    void sendOrders(FleetStep& step, const WorkTable& table, WorkerLink& link);
    void sendLook(FleetStep& step, const WorkTable& table, WorkerLink& link);
    void send(FleetStep& step, const WorkerLink& link, Call call, WorkerOrder order);
    int64_t leaseFor(WorkerLink& link, Time now) const;
    bool wantsLook(const WorkTable& table, const WorkerLink& link) const;

    FleetSettings m_settings;
    uint64_t m_fence = 0;
    std::map<WorkerNumber, WorkerLink> m_links;
    std::map<CallId, Call> m_calls;
    uint64_t m_nextCall = 1;
    std::set<std::pair<Time, WorkerNumber>> m_schedule;
    std::vector<WorkCommand> m_commands;
    std::set<JobKey> m_begun; ///< Open jobs of which a worker has confirmed a run.
    WorkerRoutes m_routes;
    FleetCounters m_counters;
};

} // namespace eelgrassloft
