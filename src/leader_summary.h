#pragma once

#include "work_planner.h"

namespace eelgrassloft {

/// Counts what the leader does, and writes a line with the counts and the state of the fleet once a
/// second. It shows where work waits: for the commit of calls, advice, workers or their responses.
class LeaderSummary {
public:
    void countCall(HostId origin, uint64_t number)
    {
        ++m_calls;
        const std::pair<HostId, uint64_t> call { origin, number };
        if (m_previousCalls.count(call) || !m_currentCalls.insert(call).second)
            ++m_repeatedCalls;
    }

    void countPlan(const WorkPlan& plan)
    {
        ++m_plans;
        m_examinedJobs += plan.examinedJobs;
        m_queries += plan.queries.size();
        m_placements += plan.runs.size();
        m_preemptions += plan.preemptions.size();
        m_obstacles = plan.obstacles;
        for (const auto& [priority, steps] : plan.placedSteps)
            m_advice[shownPriority(priority)].placedSteps += steps;
    }

    void countQuery(const AdviceClient::Query& query)
    {
        AdviceUse& use = m_advice[shownPriority(query.priority)];
        ++use.queries;
        use.workers += query.workers.size();
    }

    /// Starts anew, for a new term of leadership.
    void clear() { *this = {}; }

    bool isDue(Time now) const { return now >= m_next; }

    /// Writes the line and starts the next second.
    void write(FleetStep& step, const WorkTable& table, const WorkerDispatcher& dispatcher, const ReadySteps& ready, const AdviceClient& advice)
    {
        std::vector<LogField> fields { { "calls", std::to_string(m_calls) }, { "repeated", std::to_string(m_repeatedCalls) }, { "plans", std::to_string(m_plans) },
            { "examinedJobs", std::to_string(m_examinedJobs) }, { "queries", std::to_string(m_queries) }, { "placed", std::to_string(m_placements) }, { "preempted", std::to_string(m_preemptions) },
            { "openJobs", std::to_string(table.openJobs().size()) }, { "adviceCalls", std::to_string(advice.pendingCount()) }, { "adviceHosts", std::to_string(advice.hostCount()) }, { "avoidedAdviceHosts", std::to_string(advice.avoidedHostCount(step.now)) }, { "busiestHost", std::to_string(advice.busiestLoad()) } };
        addAdvice(fields);
        addWaiting(fields, ready, step.now);
        forEachValue<PlacementObstacle>([&](PlacementObstacle obstacle) { fields.push_back({ name(obstacle), std::to_string(m_obstacles[obstacle]) }); });
        addWorkers(fields, dispatcher, step.now);
        step.log(LogEventKind::LeaderSummary, std::move(fields));
        m_previousCalls = std::exchange(m_currentCalls, {});
        m_advice = {};
        m_calls = m_repeatedCalls = m_plans = m_examinedJobs = m_queries = m_placements = m_preemptions = 0;
        m_next = step.now + config::leaderSummaryPeriod;
    }

private:
    static constexpr size_t shownPriorities = 4; // The last one includes all that follow.

    static constexpr double slowFactor = 0.85; // Of the usual speed of workers.
    static constexpr double fastFactor = 1.15;

    static size_t shownPriority(uint32_t priority) { return std::min<size_t>(priority, shownPriorities - 1); }

    /// What the steps of a priority asked of the advice service.
    struct AdviceUse {
        size_t queries = 0;
        size_t workers = 0; ///< Named in the queries.
        size_t placedSteps = 0; ///< Steps of which tasks were placed, once for each plan that did.
    };

    /// By priority, as queries/workers/placed steps.
    void addAdvice(std::vector<LogField>& fields) const
    {
        constexpr std::array<std::string_view, shownPriorities> keys { "advice0", "advice1", "advice2", "advice3" };
        for (size_t i = 0; i < shownPriorities; ++i)
            fields.push_back({ keys[i], std::to_string(m_advice[i].queries) + "/" + std::to_string(m_advice[i].workers) + "/" + std::to_string(m_advice[i].placedSteps) });
    }

    /// Number of waiting tasks, by priority, as in-time/late/past-limit.
    static void addWaiting(std::vector<LogField>& fields, const ReadySteps& ready, Time now)
    {
        std::array<std::array<size_t, 3>, shownPriorities> waiting {};
        ready.forEach([&](const ReadyStep& step) {
            const Time earliest = now + step.remainingCriticalPath;
            const size_t lateness = earliest > step.lateLimit ? 2 : earliest > step.objective ? 1
                                                                                              : 0;
            waiting[shownPriority(step.job->queue.priority)][lateness] += step.waiting.size();
        });
        constexpr std::array<std::string_view, shownPriorities> keys { "waiting0", "waiting1", "waiting2", "waiting3" };
        for (size_t i = 0; i < shownPriorities; ++i)
            fields.push_back({ keys[i], std::to_string(waiting[i][0]) + "/" + std::to_string(waiting[i][1]) + "/" + std::to_string(waiting[i][2]) });
    }

    static void addWorkers(std::vector<LogField>& fields, const WorkerDispatcher& dispatcher, Time now)
    {
        EnumArray<RunPhase, size_t> runs;
        size_t accepting = 0, unsynced = 0, unresponsive = 0, unansweredStart = 0, quarantined = 0, onProbation = 0, restrained = 0, slow = 0, fast = 0, stopping = 0;
        uint64_t capacity = 0, used = 0, capacityMiB = 0, usedMiB = 0;
        for (const auto& [number, view] : dispatcher.workerViews()) {
            unsynced += !view.isSynced;
            unresponsive += view.isUnresponsive;
            unansweredStart += view.hasUnansweredStart;
            quarantined += now < view.quarantinedUntil;
            onProbation += view.isOnProbation(now);
            restrained += view.restraint.allowance(now, false) < 1;
            slow += view.speed.factor(now) < slowFactor;
            fast += view.speed.factor(now) > fastFactor;
            for (const auto& [run, runView] : view.runs) {
                ++runs[runView.phase];
                stopping += runView.isStopRequested;
            }
            if (!view.acceptsPlacements(now))
                continue;
            ++accepting;
            capacity += view.info.capacity.processorMillis;
            used += view.used.processorMillis;
            capacityMiB += view.info.capacity.memoryMiB;
            usedMiB += view.used.memoryMiB;
        }
        const auto add = [&](std::string_view key, uint64_t value) { fields.push_back({ key, std::to_string(value) }); };
        add("workers", dispatcher.workerViews().size());
        add("accepting", accepting);
        add("unsynced", unsynced);
        add("silent", unresponsive);
        add("unansweredStart", unansweredStart);
        add("quarantined", quarantined);
        add("onProbation", onProbation);
        add("restrained", restrained);
        add("slow", slow);
        add("fast", fast);
        add("usedPercent", capacity ? used * 100 / capacity : 0);
        add("usedMemoryPercent", capacityMiB ? usedMiB * 100 / capacityMiB : 0);
        add("reserved", runs[RunPhase::Reserved]);
        add("starting", runs[RunPhase::Starting]);
        add("running", runs[RunPhase::Running]);
        add("stopping", stopping);
    }

    Time m_next {};
    std::set<std::pair<HostId, uint64_t>> m_currentCalls; ///< Forwarded calls of this second.
    std::set<std::pair<HostId, uint64_t>> m_previousCalls;
    EnumArray<PlacementObstacle, size_t> m_obstacles; ///< Of the latest plan.
    uint64_t m_calls = 0;
    uint64_t m_repeatedCalls = 0; ///< Sent more than once by the same host, in this second and the one before.
    uint64_t m_plans = 0;
    uint64_t m_examinedJobs = 0;
    uint64_t m_queries = 0;
    uint64_t m_placements = 0;
    uint64_t m_preemptions = 0;
    std::array<AdviceUse, shownPriorities> m_advice;
};

} // namespace eelgrassloft
