#pragma once

#include "open_work.h"
#include "queue_policy.h"
#include "random.h"
#include "ready_steps.h"
#include "speed_learner.h"
#include "work_planner.h"
#include "worker_views.h"

#include <optional>

namespace eelgrassloft::testing {

/// Replays a load on a planner in virtual time: jobs arrive, the advice service takes its time for each
/// call and allows a part of the workers, and runs take about as long as estimated. There are no
/// messages, no log and no faults but lost workers, so that only the planner's decisions tell.
template <typename Planner>
class PlannerFleet {
public:
    struct Options {
        uint32_t workers = 60;
        uint32_t adviceHosts = 10;
        uint64_t seed = 1;
        std::vector<double> speeds {}; ///< Of the workers by turns; 1 if empty.
    };

    /// How the jobs of a queue went, by their objective and their late limit.
    struct Served {
        size_t inTime = 0;
        size_t late = 0;
        size_t notServed = 0;

        size_t total() const { return inTime + late + notServed; }
        double servedShare() const { return total() ? static_cast<double>(inTime + late) / static_cast<double>(total()) : 1; }
    };

    PlannerFleet(Options options, FleetConfig config)
        : m_random(options.seed)
        , m_speeds(options.speeds)
    {
        m_table.apply(m_now, SetFleetConfig { std::move(config) });
        for (uint32_t i = 0; i < options.workers; ++i) {
            WorkerInfo info;
            info.id = "worker-" + std::to_string(i);
            info.startedAtMs = 1;
            info.address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":1";
            info.pool = "pool";
            info.capacity = { 16000, 32768, 0 };
            m_table.apply(m_now, SetFleetWorker { info });
        }
        m_views.start(m_table, m_now, std::chrono::seconds(3));
        for (auto& [number, view] : m_views.all())
            view.isSynced = true;
        std::set<HostId> hosts;
        for (uint32_t i = 1; i <= options.adviceHosts; ++i)
            hosts.insert(HostId { i });
        m_advice.setHosts(std::move(hosts));
        m_advice.setQueues(m_table.config().queues);
    }

    /// Sets the percentage of the workers that the service allows for steps of the queue.
    void setAllowedPercent(const std::string& queue, uint32_t percent) { m_allowedPercent[queue] = percent; }

    /// Sets how much longer the tasks of a queue take than estimated.
    void setEstimateError(const std::string& queue, double factor) { m_estimateError[queue] = factor; }

    /// Estimated speed of the workers that have the given one, on average.
    double estimatedSpeed(double speed) const
    {
        double sum = 0;
        size_t count = 0;
        for (const auto& [number, view] : m_views.all()) {
            if (speedOf(number) != speed)
                continue;
            sum += view.speed.factor(m_now);
            ++count;
        }
        return sum / static_cast<double>(count);
    }

    JobKey submit(const std::string& queue, StepSpec step, const std::string& workspace = {})
    {
        const JobKey key { m_nextJob++ };
        submitAs(key, queue, std::move(step), workspace);
        return key;
    }

    void submitAs(JobKey key, const std::string& queue, StepSpec step, const std::string& workspace)
    {
        m_table.apply(m_now, SubmitWork { key, queue, { "text", { std::move(step) }, 0, {}, {} }, workspace });
    }

    /// Takes workers away for good, with all that they run.
    void loseWorkers(size_t count)
    {
        while (count-- && !m_views.all().empty()) {
            const WorkerNumber lost = m_views.all().begin()->first;
            RequeueLostRuns requeue { lost, {} };
            for (const auto& [run, view] : m_views.all().at(lost).runs) {
                requeue.runs.push_back({ run, {}, CrashEvidence::None });
                m_active.erase(run);
            }
            m_table.apply(m_now, requeue);
            m_table.apply(m_now, RemoveFleetWorker { lost });
            m_views.update(m_table, m_now);
        }
    }

    /// Crashes a worker, which starts again at once under its id. The runs on it are lost.
    void crashWorker(const std::string& id)
    {
        const WorkerNumber former = m_table.findWorker(id);
        WorkerInfo info = m_table.worker(former)->info;
        ++info.startedAtMs;
        RequeueLostRuns requeue { former, {} };
        for (const auto& [run, view] : m_views.all().at(former).runs) {
            requeue.runs.push_back({ run, {}, CrashEvidence::None });
            m_active.erase(run);
        }
        m_lostRuns += requeue.runs.size();
        m_table.apply(m_now, requeue);
        m_table.apply(m_now, SetFleetWorker { info });
        m_views.update(m_table, m_now);
        WorkerView& view = *m_views.find(m_table.findWorker(id));
        view.isSynced = true;
        view.restraint.noteResponse(m_now);
    }

    /// Runs that the worker has now.
    size_t runsOn(const std::string& id) { return m_views.find(m_table.findWorker(id))->runs.size(); }
    size_t lostRuns() const { return m_lostRuns; }

    void run(Duration duration)
    {
        const Time end = m_now + duration;
        for (; m_now < end; m_now += tick) {
            deliverReplies();
            advanceRuns();
            if (m_now >= m_nextReport)
                reportProgress();
            plan();
        }
    }

    Served served(const std::string& queue) const
    {
        return servedIf([&](const WorkJob& job) { return job.queue.name == queue; });
    }

    /// Of the jobs for which `isWanted` holds.
    template <typename Predicate>
    Served servedIf(Predicate isWanted) const
    {
        Served served;
        for (const auto& [key, job] : m_table.jobs()) {
            if (!isWanted(job))
                continue;
            const Duration allowed = objectiveOf(job);
            const Duration took = (job.state == WorkState::Done ? job.endedAt : m_now + std::chrono::hours(1)) - job.submittedAt;
            ++(took <= allowed ? served.inTime : took <= allowed * 3 ? served.late
                                                                     : served.notServed);
        }
        return served;
    }

    /// The longest time that a job of the workspace waited for its first placement, or waits for it.
    Duration longestWait(const std::string& workspace) const
    {
        Duration longest {};
        for (const auto& [key, job] : m_table.jobs()) {
            if (job.workspace == workspace)
                longest = std::max(longest, (job.startedAt == Time {} ? m_now : job.startedAt) - job.submittedAt);
        }
        return longest;
    }

    Time now() const { return m_now; }
    const WorkTable& table() const { return m_table; }
    OpenWork openWork() const { return summarizeOpenWork(m_table, m_views.all(), m_planner.readySteps(), m_now); }
    Random& random() { return m_random; }
    size_t adviceCalls(uint32_t priority) const { return countAt(m_adviceCalls, priority); }
    size_t placedSteps(uint32_t priority) const { return countAt(m_placedSteps, priority); }
    size_t preemptions() const { return m_preemptions; }

private:
    static constexpr Duration tick = std::chrono::milliseconds(10);
    static constexpr Duration startDelay = std::chrono::milliseconds(50); ///< From a placement until the run starts.
    static constexpr Duration stopDelay = std::chrono::milliseconds(300);
    static constexpr Duration restoreTime = std::chrono::milliseconds(600); ///< Of a run from its checkpoint.
    static constexpr Duration reportPeriod = std::chrono::milliseconds(500);

    struct ActiveRun {
        WorkerNumber worker;
        Time startsAt {};
        Duration length {};
        Time stopsAt = never;
    };

    struct PendingReply {
        Time at {};
        AdviceReply reply;
    };

    static size_t countAt(const std::map<uint32_t, size_t>& counts, uint32_t priority)
    {
        const auto found = counts.find(priority);
        return found == counts.end() ? 0 : found->second;
    }

    static Duration timesFactor(Duration duration, double factor) { return factor == 1 ? duration : std::chrono::duration_cast<Duration>(duration * factor); }

    /// Workers are numbered from 1 in the order in which they were added.
    double speedOf(WorkerNumber number) const { return m_speeds.empty() ? 1 : m_speeds[(number.value - 1) % m_speeds.size()]; }

    void deliverReplies()
    {
        for (size_t i = 0; i < m_replies.size();) {
            if (m_replies[i].at > m_now) {
                ++i;
                continue;
            }
            const PendingReply due = std::move(m_replies[i]);
            m_replies.erase(m_replies.begin() + static_cast<std::ptrdiff_t>(i));
            m_advice.handleReply(m_now, m_table, due.reply);
        }
        m_advice.tick(m_now);
    }

    void advanceRuns()
    {
        std::vector<std::pair<TaskRun, RunOutcome>> ended;
        for (const auto& [run, active] : m_active) {
            if (active.startsAt + active.length <= m_now)
                ended.push_back({ run, RunOutcome::Done });
            else if (active.stopsAt <= m_now)
                ended.push_back({ run, RunOutcome::Stopped });
        }
        for (const auto& [run, outcome] : ended)
            end(run, outcome);
    }

    void end(const TaskRun& run, RunOutcome outcome)
    {
        const ActiveRun active = m_active.at(run);
        m_active.erase(run);
        if (outcome == RunOutcome::Stopped)
            m_workLeft[run.task] = timesFactor(active.length - std::max(m_now - active.startsAt, Duration {}), speedOf(active.worker)) + restoreTime;
        WorkerView& view = *m_views.find(active.worker);
        const EndedRun ended { ++m_nextEnd, run, outcome, "saved" };
        m_speedLearner.noteEnd(m_table, view, m_now, ended, view.runs.at(run));
        view.removeRun(run);
        const WorkResult result = m_table.apply(m_now, RecordRunOutcomes { active.worker, { ended } });
        for (const EndedJob& job : result.ended)
            m_advice.forget(job.key);
    }

    void reportProgress()
    {
        m_nextReport = m_now + reportPeriod;
        std::map<WorkerNumber, std::vector<ReportedRun>> reports;
        for (const auto& [run, active] : m_active) {
            if (active.startsAt <= m_now)
                reports[active.worker].push_back({ run, "saved", static_cast<uint32_t>((m_now - active.startsAt) * 100 / active.length) });
        }
        for (const auto& [number, runs] : reports) {
            noteActiveRuns(m_table, *m_views.find(number), m_now, runs);
            m_speedLearner.noteProgress(m_table, *m_views.find(number), m_now, runs);
        }
    }

    void plan()
    {
        WorkPlan plan = m_planner.plan(m_table, m_views.all(), m_advice, {}, m_now);
        for (const auto& [priority, steps] : plan.placedSteps)
            m_placedSteps[priority] += steps;
        for (const PlannedRun& run : plan.runs)
            start(run);
        m_preemptions += plan.preemptions.size();
        for (const RunPlacement& victim : plan.preemptions) {
            m_views.stopRun(m_now, victim.worker, victim.run);
            m_active.at(victim.run).stopsAt = std::min(m_active.at(victim.run).stopsAt, m_now + stopDelay);
        }
        for (const AdviceClient::Query& query : plan.queries)
            ask(query);
    }

    void start(const PlannedRun& planned)
    {
        const RunPlacement& placement = planned.placement;
        m_views.reserve(m_table, placement, planned.ticket);
        m_table.apply(m_now, PlaceRuns { { placement } });
        m_views.completePlacement(m_table, m_now, placement);
        const StepSpec& step = *m_table.stepOf(placement.run.task);
        // The members of a gang work together, so that they take equally long.
        TaskRun seed = placement.run;
        if (step.isGang)
            seed.task.index = 0;
        const uint64_t percent = 80 + mixHash(seed.task.job.value * 1000 + seed.task.index) % 41;
        const auto left = m_workLeft.find(placement.run.task);
        const auto error = m_estimateError.find(m_table.job(seed.task.job)->queue.name);
        const Duration estimated = step.estimate * static_cast<Duration::rep>(percent) / 100;
        const Duration work = left != m_workLeft.end() ? left->second : error == m_estimateError.end() ? estimated
                                                                                                       : timesFactor(estimated, error->second);
        const Duration length = timesFactor(work, 1 / speedOf(placement.worker));
        m_active[placement.run] = { placement.worker, m_now + startDelay, length };
    }

    void ask(const AdviceClient::Query& query)
    {
        if (!m_advice.canQuery(m_now, query.timing, query.workers.size()))
            return;
        FleetStep step;
        step.now = m_now;
        m_advice.sendQuery(step, m_table, HostId { 1 }, query);
        if (step.effects.empty())
            return;
        ++m_adviceCalls[query.priority];
        const auto* own = std::get_if<CallAdvice>(&step.effects.front());
        const AdviceRequest request = own ? own->request : std::get<AdviceRequest>(std::get<SendFleetMessage>(step.effects.front()).message);
        AdviceReply reply { request.number, true, {}, {} };
        const uint32_t percent = m_allowedPercent[m_table.job(query.step.job)->queue.name];
        for (const std::string& worker : request.workers) {
            const uint64_t draw = mixHash(query.step.job.value * 100000 + m_table.findWorker(worker).value);
            if (draw % 100 < percent)
                reply.allowed.push_back({ worker, "ticket" });
        }
        m_replies.push_back({ m_now + AdviceClient::durationOf(query.timing, query.workers.size()), std::move(reply) });
    }

    Time m_now { std::chrono::hours(1) };
    Random m_random;
    std::vector<double> m_speeds;
    std::map<std::string, double> m_estimateError; ///< By queue.
    SpeedLearner m_speedLearner;
    WorkTable m_table;
    WorkerViews m_views;
    AdviceClient m_advice;
    Planner m_planner { 1 };
    std::map<std::string, uint32_t> m_allowedPercent;
    std::map<TaskRun, ActiveRun> m_active;
    std::map<TaskRef, Duration> m_workLeft; ///< Of tasks that were stopped.
    std::vector<PendingReply> m_replies;
    std::map<uint32_t, size_t> m_adviceCalls; ///< By the priority of the queue.
    std::map<uint32_t, size_t> m_placedSteps;
    size_t m_preemptions = 0;
    size_t m_lostRuns = 0;
    Time m_nextReport {};
    uint64_t m_nextJob = 1;
    uint64_t m_nextEnd = 0;
};

} // namespace eelgrassloft::testing
