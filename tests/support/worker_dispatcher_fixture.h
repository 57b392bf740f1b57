#pragma once

#include "worker_dispatcher.h"

#include <algorithm>
#include <deque>

namespace eelgrassloft::testing {

/// Fixture of a worker dispatcher with one worker, jobs of one task each, and a table whose commits
/// the test can pause.
class WorkerDispatcherFixture {
public:
    static constexpr int64_t startedAtMs = 1000;

    static Resources taskSize() { return { 2000, 1000, 0 }; }

    explicit WorkerDispatcherFixture(uint64_t jobs = 1)
        : m_dispatcher(m_settings)
    {
        FleetConfig config;
        config.version = 1;
        config.queues.push_back({ "queue", "host", "/", "pool", 0, 4, 2, std::chrono::milliseconds(400), {} });
        config.pools.push_back({ "pool" });
        m_table.apply(m_now, SetFleetConfig { config });
        WorkerInfo info;
        info.id = "worker";
        info.startedAtMs = startedAtMs;
        info.address = "10.0.0.1:1";
        info.pool = "pool";
        info.capacity = { 16000, 32000, 0 };
        m_table.apply(m_now, SetFleetWorker { info });
        StepSpec step;
        step.size = taskSize();
        for (uint64_t i = 1; i <= jobs; ++i)
            m_table.apply(m_now, SubmitWork { JobKey { i }, "queue", { "text", { step }, 0, {}, {} } });
        m_dispatcher.start(m_table, m_now, 1);
        advance(std::chrono::milliseconds(1));
        respondToAll(OrderOutcome::Accepted);
    }

    Time now() const { return m_now; }
    const FleetSettings& settings() const { return m_settings; }
    const WorkTable& table() const { return m_table; }
    const WorkerView& workerView() const { return m_dispatcher.workerViews().begin()->second; }
    const WorkJob& job(uint64_t key = 1) const { return *m_table.job(JobKey { key }); }

    /// Reserves capacity for the task of a job; `commit` makes the placement durable.
    TaskRun place(uint64_t key)
    {
        const TaskRef task { JobKey { key }, 0, 0, 0 };
        const RunPlacement placement { { task, job(key).task(task)->attempt + 1 }, m_table.workers().begin()->first };
        m_dispatcher.reserve(m_table, placement, "ticket");
        m_placements.push_back(placement);
        return placement.run;
    }

    void commit()
    {
        m_table.apply(m_now, PlaceRuns { m_placements });
        for (const RunPlacement& placement : std::exchange(m_placements, {}))
            m_dispatcher.completePlacement(m_table, m_now, placement);
        tick();
    }

    /// Places the task of a job and responds to the order to start it.
    TaskRun start(uint64_t key, OrderOutcome outcome = OrderOutcome::Accepted)
    {
        const TaskRun run = place(key);
        commit();
        respond(OrderKind::Start, outcome);
        return run;
    }

    /// The worker reports another capacity.
    void setCapacity(Resources capacity)
    {
        WorkerInfo info = m_table.workers().begin()->second.info;
        info.capacity = capacity;
        m_table.apply(m_now, SetFleetWorker { info });
        m_dispatcher.updateWorkers(m_table, m_now);
    }

    /// The worker starts again under its id. Its responses are of the new incarnation from now on.
    void restartWorker()
    {
        m_startedAtMs += 1000;
        m_clockOffsetMs = m_now.time_since_epoch() / std::chrono::milliseconds(1);
    }

    /// Like `restartWorker`, with a clock that goes on from where it was.
    void restartWorkerWithItsClock() { m_startedAtMs += 1000; }

    /// The first report of the present incarnation.
    void reportWorker(const std::string& id = "worker")
    {
        WorkerInfo info = m_table.workers().begin()->second.info;
        info.id = id;
        info.startedAtMs = m_startedAtMs;
        m_dispatcher.endFormerIncarnations(m_now, info);
        for (WorkCommand& command : m_dispatcher.takeCommands())
            m_commands.push_back(std::move(command));
        applyCommands();
        m_table.apply(m_now, SetFleetWorker { info });
        m_dispatcher.updateWorkers(m_table, m_now);
        tick();
    }

    /// Gives the dispatcher to another leader.
    void changeLeader()
    {
        m_openOrders.clear();
        m_dispatcher.start(m_table, m_now, ++m_fencingToken);
        tick();
    }

    /// Restarts the dispatcher within its term, as the leader does when the log takes no more commands.
    void restartDispatcher()
    {
        m_openOrders.clear();
        m_dispatcher.start(m_table, m_now, m_fencingToken);
        tick();
    }

    void cancel(uint64_t key)
    {
        m_table.apply(m_now, CancelWork { JobKey { key } });
        m_dispatcher.stopJob(m_now, JobKey { key });
    }

    void advance(Duration duration)
    {
        const Time end = m_now + duration;
        while (m_now < end) {
            m_now = std::min(end, std::max(m_now + std::chrono::milliseconds(1), m_dispatcher.nextDeadline()));
            tick();
        }
    }

    std::vector<CallWorker> ordersOf(OrderKind kind) const
    {
        std::vector<CallWorker> found;
        std::copy_if(m_openOrders.begin(), m_openOrders.end(), std::back_inserter(found), [&](const CallWorker& call) { return call.order.kind == kind; });
        return found;
    }

    WorkerOrder lastPoll() const
    {
        const auto polls = ordersOf(OrderKind::Poll);
        return polls.empty() ? WorkerOrder {} : polls.back().order;
    }

    OrderResponse accepted() const { return responseWith(OrderOutcome::Accepted); }

    /// Responds to the oldest open order of a kind.
    void respond(OrderKind kind, const OrderResponse& response)
    {
        const auto found = std::find_if(m_openOrders.begin(), m_openOrders.end(), [&](const CallWorker& call) { return call.order.kind == kind; });
        if (found == m_openOrders.end())
            return;
        const CallId call = found->call;
        m_openOrders.erase(found);
        FleetStep step;
        step.now = m_now;
        OrderResponse received = response;
        if (kind != OrderKind::Poll)
            received.startedAtMs.reset(); // Workers say it only of their lists of runs.
        m_dispatcher.handleResponse(step, m_table, call, received);
        take(step);
        tick();
    }

    void respond(OrderKind kind, OrderOutcome outcome) { respond(kind, responseWith(outcome)); }

    void respondToAll(OrderOutcome outcome)
    {
        for (size_t count = m_openOrders.size(); count; --count)
            respond(m_openOrders.front().order.kind, outcome);
    }

    /// Whether the run was requeued: its task waits and the run takes no capacity.
    bool isRequeued(const TaskRun& run) const
    {
        const bool takesCapacity = !m_dispatcher.workerViews().empty() && workerView().runs.count(run);
        return !takesCapacity && m_table.job(run.task.job)->task(run.task)->phase == TaskPhase::Waiting;
    }

    void pauseCommits() { m_areCommitsPaused = true; }

    void resumeCommits()
    {
        m_areCommitsPaused = false;
        applyCommands();
    }

private:
    OrderResponse responseWith(OrderOutcome outcome) const
    {
        OrderResponse response;
        response.outcome = outcome;
        if (outcome != OrderOutcome::NoResponse) {
            response.clockMs = m_now.time_since_epoch() / std::chrono::milliseconds(1) - m_clockOffsetMs;
            response.startedAtMs = m_startedAtMs;
        }
        return response;
    }

    void tick()
    {
        FleetStep step;
        step.now = m_now;
        m_dispatcher.tick(step, m_table);
        take(step);
    }

    void take(FleetStep& step)
    {
        for (FleetEffect& effect : step.effects) {
            if (auto* call = std::get_if<CallWorker>(&effect))
                m_openOrders.push_back(std::move(*call));
        }
        for (WorkCommand& command : m_dispatcher.takeCommands())
            m_commands.push_back(std::move(command));
        if (!m_areCommitsPaused)
            applyCommands();
    }

    void applyCommands()
    {
        for (const WorkCommand& command : std::exchange(m_commands, {})) {
            m_table.apply(m_now, command);
            m_dispatcher.updateWorkers(m_table, m_now);
            if (const auto* ends = std::get_if<RecordRunOutcomes>(&command))
                m_dispatcher.didRecordEnds(ends->worker, m_now);
        }
    }

    FleetSettings m_settings;
    Time m_now { std::chrono::hours(1) };
    WorkTable m_table;
    WorkerDispatcher m_dispatcher;
    std::vector<RunPlacement> m_placements;
    std::deque<CallWorker> m_openOrders;
    std::vector<WorkCommand> m_commands;
    bool m_areCommitsPaused = false;
    int64_t m_startedAtMs = startedAtMs;
    int64_t m_clockOffsetMs = 0; ///< Time at which the worker's clock was 0.
    uint64_t m_fencingToken = 1;
};

} // namespace eelgrassloft::testing
