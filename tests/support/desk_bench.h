#pragma once

#include "fleet_desk.h"

#include <algorithm>
#include <deque>

namespace eelgrassloft::testing {

/// A leader's desk with one worker, a table whose commits the test may hold, and jobs of one task.
class DeskBench {
public:
    static constexpr int64_t startedAtMs = 1000;

    static Resources taskSize() { return { 2000, 1000, 0 }; }

    explicit DeskBench(uint64_t jobs = 1)
        : m_desk(m_settings)
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
        m_desk.start(m_table, m_now, 1);
        advance(std::chrono::milliseconds(1));
        answerAll(OrderOutcome::Accepted);
    }

    Time now() const { return m_now; }
    const FleetSettings& settings() const { return m_settings; }
    const WorkTable& table() const { return m_table; }
    const WorkerLink& link() const { return m_desk.links().begin()->second; }
    const WorkJob& job(uint64_t key = 1) const { return *m_table.job(JobKey { key }); }

    /// Reserves room for the task of a job; `commit` makes the placement durable.
    TaskRun place(uint64_t key)
    {
        const TaskRef task { JobKey { key }, 0, 0, 0 };
        const RunPlacement placement { { task, job(key).task(task)->attempt + 1 }, m_table.workers().begin()->first };
        m_desk.reserve(m_table, placement, "ticket");
        m_placements.push_back(placement);
        return placement.run;
    }

    void commit()
    {
        m_table.apply(m_now, PlaceRuns { m_placements });
        for (const RunPlacement& placement : std::exchange(m_placements, {}))
            m_desk.placed(m_table, m_now, placement);
        tick();
    }

    void cancel(uint64_t key)
    {
        m_table.apply(m_now, CancelWork { JobKey { key } });
        m_desk.jobEnded(m_now, JobKey { key });
    }

    void advance(Duration duration)
    {
        const Time end = m_now + duration;
        while (m_now < end) {
            m_now = std::min(end, std::max(m_now + std::chrono::milliseconds(1), m_desk.nextDeadline()));
            tick();
        }
    }

    std::vector<CallWorker> ordersOf(OrderKind kind) const
    {
        std::vector<CallWorker> found;
        std::copy_if(m_open.begin(), m_open.end(), std::back_inserter(found), [&](const CallWorker& call) { return call.order.kind == kind; });
        return found;
    }

    WorkerOrder lastLook() const
    {
        const auto looks = ordersOf(OrderKind::Look);
        return looks.empty() ? WorkerOrder {} : looks.back().order;
    }

    WorkerAnswer accepted() const { return answerOf(OrderOutcome::Accepted); }

    /// Answers the oldest open order of a kind.
    void answer(OrderKind kind, const WorkerAnswer& answer)
    {
        const auto found = std::find_if(m_open.begin(), m_open.end(), [&](const CallWorker& call) { return call.order.kind == kind; });
        if (found == m_open.end())
            return;
        const CallId call = found->call;
        m_open.erase(found);
        FleetStep step;
        step.now = m_now;
        m_desk.answered(step, m_table, call, answer);
        take(step);
        tick();
    }

    void answer(OrderKind kind, OrderOutcome outcome) { answer(kind, answerOf(outcome)); }

    void answerAll(OrderOutcome outcome)
    {
        for (size_t count = m_open.size(); count; --count)
            answer(m_open.front().order.kind, outcome);
    }

    /// Whether the run was given up: its task waits, and the run holds no room.
    bool isLost(const TaskRun& run) const
    {
        const bool hasRoom = !m_desk.links().empty() && link().runs.count(run);
        return !hasRoom && m_table.job(run.task.job)->task(run.task)->phase == TaskPhase::Waiting;
    }

    void holdCommits() { m_isHolding = true; }

    void releaseCommits()
    {
        m_isHolding = false;
        applyCommands();
    }

private:
    WorkerAnswer answerOf(OrderOutcome outcome) const
    {
        WorkerAnswer answer;
        answer.outcome = outcome;
        if (outcome != OrderOutcome::Silent) {
            answer.clockMs = m_now.time_since_epoch() / std::chrono::milliseconds(1);
            answer.startedAtMs = startedAtMs;
        }
        return answer;
    }

    void tick()
    {
        FleetStep step;
        step.now = m_now;
        m_desk.tick(step, m_table);
        take(step);
    }

    void take(FleetStep& step)
    {
        for (FleetEffect& effect : step.effects) {
            if (auto* call = std::get_if<CallWorker>(&effect))
                m_open.push_back(std::move(*call));
        }
        for (WorkCommand& command : m_desk.takeCommands())
            m_commands.push_back(std::move(command));
        if (!m_isHolding)
            applyCommands();
    }

    void applyCommands()
    {
        for (const WorkCommand& command : std::exchange(m_commands, {})) {
            m_table.apply(m_now, command);
            m_desk.workersChanged(m_table, m_now);
            if (const auto* ends = std::get_if<RecordEnds>(&command))
                m_desk.endsRecorded(ends->worker, m_now);
        }
    }

    FleetSettings m_settings;
    Time m_now { std::chrono::hours(1) };
    WorkTable m_table;
    FleetDesk m_desk;
    std::vector<RunPlacement> m_placements;
    std::deque<CallWorker> m_open;
    std::vector<WorkCommand> m_commands;
    bool m_isHolding = false;
};

} // namespace eelgrassloft::testing
