#include "random.h"
#include "snapshot_parts.h"
#include "support/fleet_cluster.h"
#include "support/fleet_config.h"
#include "work_planner.h"
#include "workspace_room.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1h };
const std::vector<std::string> workspaces { "north", "south", "" };

StepSpec stepOf(uint32_t count, Resources size, bool isGang = false)
{
    StepSpec step;
    step.count = count;
    step.size = size;
    step.estimate = 300ms;
    step.isGang = isGang;
    return step;
}

WorkerInfo workerInfo(const std::string& id, int64_t startedAtMs, const std::string& address)
{
    WorkerInfo info;
    info.id = id;
    info.startedAtMs = startedAtMs;
    info.address = address;
    info.pool = "pool";
    info.capacity = { 16000, 32000, 8 };
    return info;
}

/// Applies random commands to a table, and notes which runs have to be charged after each.
class LedgerModel {
public:
    explicit LedgerModel(uint64_t seed)
        : m_random(seed)
    {
        apply(SetFleetConfig { configWithWorkspaces(1) });
        for (int i = 0; i < 3; ++i)
            reportWorker();
    }

    void step()
    {
        switch (m_random.below(9)) {
        case 0:
            submit();
            break;
        case 1:
            reportWorker();
            break;
        case 2:
            removeWorker();
            break;
        case 3:
        case 4:
            recordEnd();
            break;
        case 5:
            requeue();
            break;
        case 6:
            apply(CancelWork { JobKey { 1 + m_random.below(m_nextJob + 1) }, workspaces[m_random.below(3)] });
            break;
        default:
            place();
        }
        if (m_random.below(10) == 0)
            restore();
        if (m_random.below(10) == 0)
            m_now += config::endedJobRetention / 2; // The next submission removes the records of jobs that ended before.
        if (m_random.below(10) == 0)
            apply(SetFleetConfig { configWithWorkspaces(++m_version, { 1, 1, 1 }) }); // The quota is the planner's concern.
    }

    void check() const
    {
        for (const std::string& workspace : workspaces) {
            ResourceTotals expected;
            for (const auto& [run, worker] : m_charged) {
                if (!workspace.empty() && m_owners.at(run.task.job) == workspace)
                    expected += sizeOf(run.task.job);
            }
            RC_ASSERT(m_table.ledger().used(workspace) == expected);
        }
    }

    size_t chargedCount() const { return m_charged.size(); }

private:
    WorkResult apply(const WorkCommand& command) { return m_table.apply(m_now, command); }

    static Resources sizeOf(JobKey job) { return { static_cast<uint32_t>(job.value), 7, static_cast<uint32_t>(job.value % 3) }; }

    void submit()
    {
        const JobKey key { ++m_nextJob };
        m_owners[key] = workspaces[m_random.below(3)];
        apply(SubmitWork { key, "queue", { "text", { stepOf(4, sizeOf(key)) }, 0, {}, {} }, m_owners[key] });
    }

    /// Lets a worker or its next incarnation report, sometimes under another id at the same address.
    void reportWorker()
    {
        const std::string number = std::to_string(m_random.below(3));
        const WorkerInfo info = workerInfo(number + (m_random.below(4) ? "a" : "b"), ++m_clock, number);
        const std::map<WorkerNumber, FleetWorker> before = m_table.workers();
        apply(SetFleetWorker { info });
        const WorkerNumber heir = m_table.findWorker(info.id);
        for (const auto& [former, record] : before) {
            if (record.info.address != info.address)
                continue;
            for (auto& [run, worker] : m_charged) {
                if (worker == former && record.info.id == info.id)
                    worker = heir;
            }
            release([&](const auto& entry) { return entry.second == former; });
        }
    }

    void removeWorker()
    {
        const WorkerNumber worker = anyWorker();
        apply(RemoveFleetWorker { worker, m_random.below(2) == 0 });
        release([&](const auto& entry) { return entry.second == worker; });
    }

    void place()
    {
        const RunPlacement placement { { { JobKey { 1 + m_random.below(m_nextJob + 1) }, 0, 0, static_cast<uint32_t>(m_random.below(4)) }, static_cast<uint32_t>(1 + m_random.below(4)) }, anyWorker() };
        apply(PlaceRuns { { placement } });
        const WorkJob* job = m_table.job(placement.run.task.job);
        const WorkTask* task = job ? job->task(placement.run.task) : nullptr;
        if (task && task->phase == TaskPhase::Placed && task->attempt == placement.run.attempt && task->worker == placement.worker)
            m_charged.emplace(placement.run, placement.worker);
    }

    /// A charged run and a worker, mostly the one that has it.
    std::pair<TaskRun, WorkerNumber> anyRun()
    {
        if (m_charged.empty())
            return { { { JobKey { 1 }, 0, 0, 0 }, 1 }, anyWorker() };
        const auto& [run, worker] = *std::next(m_charged.begin(), static_cast<ptrdiff_t>(m_random.below(m_charged.size())));
        return { run, m_random.below(5) ? worker : anyWorker() };
    }

    void recordEnd()
    {
        const auto [run, worker] = anyRun();
        const uint64_t number = m_table.worker(worker) ? m_table.worker(worker)->lastEndNumber + m_random.below(3) : 1; // Sometimes a repeated one.
        const bool isNew = m_table.worker(worker) && number > m_table.worker(worker)->lastEndNumber;
        apply(RecordRunOutcomes { worker, { { number, run, static_cast<RunOutcome>(m_random.below(static_cast<uint64_t>(RunOutcome::Count))), {} } } });
        release([&, ended = run, on = worker](const auto& entry) { return isNew && entry.first == ended && entry.second == on; });
    }

    void requeue()
    {
        const auto [run, worker] = anyRun();
        const bool mayBeInherited = m_random.below(2) == 0;
        apply(RequeueLostRuns { worker, { { run, {}, CrashEvidence::Late, mayBeInherited } } });
        release([&, lost = run, on = worker](const auto& entry) { return !mayBeInherited && entry.first == lost && entry.second == on; });
    }

    void restore()
    {
        WorkTable copy = copyPart(m_table, {}, SIZE_MAX).state;
        copy.rebuild();
        m_table = std::move(copy);
    }

    WorkerNumber anyWorker()
    {
        const auto& workers = m_table.workers();
        return workers.empty() ? WorkerNumber { 1 } : std::next(workers.begin(), static_cast<ptrdiff_t>(m_random.below(workers.size())))->first;
    }

    template <typename Predicate>
    void release(Predicate isOver) { std::erase_if(m_charged, isOver); }

    Random m_random;
    Time m_now = start;
    WorkTable m_table;
    std::map<TaskRun, WorkerNumber> m_charged; ///< Runs that may be active, and the worker that may have them.
    std::map<JobKey, std::string> m_owners;
    uint64_t m_nextJob = 0;
    uint64_t m_version = 1;
    int64_t m_clock = 0;
};

/// A planner with idle workers, whose plans take effect only where the test says so.
struct Planning {
    explicit Planning(Resources quota, uint32_t workers = 8)
    {
        setQuota(quota);
        for (uint32_t i = 0; i < workers; ++i) {
            table.apply(start, SetFleetWorker { workerInfo("worker-" + std::to_string(i), 1, std::to_string(i)) });
            const WorkerNumber number = table.findWorker("worker-" + std::to_string(i));
            WorkerView& view = views[number];
            view.number = number;
            view.info = table.worker(number)->info;
            view.isSynced = true;
        }
        advice.setHosts({ HostId { 1 } });
    }

    void setQuota(Resources quota)
    {
        FleetConfig config = configWithWorkspaces(table.config().version + 1, quota);
        config.queues.push_back({ "advised", "host", "/advised/", "pool", 0, 20, 2, 400ms, AdviceTiming { 20ms, 1ms, 2500ms } });
        table.apply(start, SetFleetConfig { config });
        advice.setQueues(config.queues);
    }

    void submit(uint64_t key, const std::string& workspace, StepSpec step, const std::string& queue = "queue")
    {
        table.apply(start, SubmitWork { JobKey { key }, queue, { "text", { std::move(step) }, 0, {}, {} }, workspace });
    }

    WorkPlan plan() { return planner.plan(table, views, advice, inFlight, start); }

    void propose(const WorkPlan& plan)
    {
        for (const PlannedRun& run : plan.runs)
            inFlight.insert(run.placement.run.task);
    }

    void commit(const WorkPlan& plan)
    {
        PlaceRuns command;
        for (const PlannedRun& run : plan.runs) {
            inFlight.erase(run.placement.run.task);
            command.placements.push_back(run.placement);
            RunView view;
            view.size = table.stepOf(run.placement.run.task)->size;
            views.at(run.placement.worker).addRun(run.placement.run, view);
        }
        table.apply(start, command);
    }

    void end(const RunPlacement& run, RunOutcome outcome = RunOutcome::Done)
    {
        views.at(run.worker).runs.erase(run.run);
        table.apply(start, RecordRunOutcomes { run.worker, { { ++ends, run.run, outcome, {} } } });
    }

    WorkTable table;
    std::map<WorkerNumber, WorkerView> views;
    AdviceClient advice;
    WorkPlanner<DeadlinePolicy> planner { 1 };
    std::set<TaskRef> inFlight;
    uint64_t ends = 0;
};

/// Makes a whole fleet run more work of a workspace than fits its quota, under faults.
class QuotaScenario {
public:
    QuotaScenario(uint64_t seed, uint32_t noResponsePercent)
        : m_random(seed)
        , m_cluster(options(seed, noResponsePercent))
    {
        BOOST_REQUIRE(m_cluster.runUntil(10s, [&] { return m_cluster.leader().has_value(); }));
        BOOST_REQUIRE(m_cluster.callUntilOk(PutConfig { configWithWorkspaces(1, { 7000, 0, 0 }) }));
        m_cluster.run(1s);
    }

    void run(bool hasCrashes, bool hasLeaderChanges)
    {
        for (int i = 0; i < 12; ++i) {
            submit(i);
            if (hasCrashes && m_random.below(2))
                m_cluster.crashWorker(m_random.below(m_cluster.workerCount()));
            if (m_random.below(4) == 0)
                disturbWorker();
            if (hasLeaderChanges && m_random.below(3) == 0)
                changeLeader();
            m_cluster.run(std::chrono::milliseconds(m_random.below(800)));
        }
        BOOST_TEST(m_cluster.runUntil(120s, [&] { return m_cluster.leader() && m_cluster.table().openJobs().empty(); }));
        // A task is given up if it was on several workers that crashed, whatever the cause.
        const auto isGivenUp = [](const LogEvent& event) { return event.kind == LogEventKind::JobGivenUp; };
        auto givenUp = std::count_if(m_cluster.log().begin(), m_cluster.log().end(), isGivenUp);
        for (const auto& [key, job] : m_cluster.table().jobs())
            BOOST_TEST((job.state == WorkState::Done || m_cancelled.count(key) || (job.state == WorkState::Failed && givenUp-- > 0)));
        BOOST_TEST(m_cluster.runUntil(30s, [&] { return m_cluster.leader() && m_cluster.table().ledger().used("north") == ResourceTotals {}; }));
        for (const std::string& violation : m_cluster.violations())
            BOOST_TEST(violation.find("quota") == std::string::npos, violation);
    }

private:
    static FleetCluster::Options options(uint64_t seed, uint32_t noResponsePercent)
    {
        FleetCluster::Options options;
        options.seed = seed;
        options.noResponsePercent = noResponsePercent;
        options.maxOrderDelay = 3s;
        return options;
    }

    void submit(int round)
    {
        const std::string workspace = round % 4 == 3 ? "south" : "north";
        const JobKey key { static_cast<uint64_t>(round) + 1 };
        const StepSpec step = stepOf(static_cast<uint32_t>(2 + m_random.below(4)), { 1500, 1000, 0 }, m_random.below(3) == 0);
        StepSpec second = step;
        second.deps = { 0 };
        const SubmitJob job { { key, "queue", { "text", { step.isGang && step.count > 4 ? stepOf(4, step.size, true) : step, stepOf(2, step.size) }, 0, {}, {} }, workspace },
            QueueAddress { "host", "/jobs/", workspace + "-key" } };
        BOOST_REQUIRE(m_cluster.callUntilOk(job));
        if (m_random.below(6) == 0 && m_cluster.callUntilOk(CancelJob { key, workspace }))
            m_cancelled.insert(key);
    }

    void disturbWorker()
    {
        const size_t worker = m_random.below(m_cluster.workerCount());
        m_cluster.setUnresponsive(worker);
        m_cluster.run(std::chrono::milliseconds(m_random.below(5000)));
        m_cluster.setUnresponsive(worker, false);
    }

    void changeLeader()
    {
        const auto leader = m_cluster.leader();
        if (!leader)
            return;
        m_cluster.kill(*leader);
        m_cluster.run(std::chrono::milliseconds(m_random.below(3000)));
        m_cluster.restart(*leader);
    }

    Random m_random;
    FleetCluster m_cluster;
    std::set<JobKey> m_cancelled;
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceQuotaTests)

/// A run that is not charged, or is released while it may be active, lets its workspace exceed the quota; one
/// that stays charged blocks it for good.
BOOST_AUTO_TEST_CASE(ledgerChargesWhatMayBeActive)
{
    const bool isAlike = rc::check("the ledger agrees with the model", [](uint64_t seed) {
        LedgerModel model(seed);
        for (int i = 0; i < 300; ++i) {
            model.step();
            model.check();
        }
    });
    BOOST_TEST(isAlike);
}

/// A host that restored a snapshot after the job's record was removed did not charge a run that had not been
/// confirmed as stopped, so that as its next leader it exceeded the quota and the worker's capacity.
BOOST_AUTO_TEST_CASE(runOutlivesTheRecordOfItsJobInASnapshot)
{
    Planning planning({ 4000, 0, 0 });
    planning.submit(1, "north", stepOf(2, { 1500, 500, 0 }));
    const WorkPlan plan = planning.plan();
    planning.commit(plan);
    BOOST_REQUIRE(plan.runs.size() == 2U);
    planning.table.apply(start, CancelWork { JobKey { 1 }, "north" });
    const Time later = start + config::endedJobRetention + 1s;
    planning.table.apply(later, SubmitWork { JobKey { 2 }, "queue", { "text", { stepOf(1, { 500, 500, 0 }) }, 0, {}, {} }, "north" });
    BOOST_REQUIRE(!planning.table.job(JobKey { 1 }));
    WorkTable restored = copyPart(planning.table, {}, SIZE_MAX).state;
    restored.rebuild();
    BOOST_TEST((restored.ledger().used("north") == ResourceTotals { 3000, 1000, 0 }));
    WorkerViews views;
    views.start(restored, later, 3s);
    const RunPlacement& run = plan.runs.front().placement;
    BOOST_TEST((views.all().at(run.worker).runs.at(run.run).size == Resources { 1500, 500, 0 }));
    for (const PlannedRun& ended : plan.runs)
        restored.apply(later, RecordRunOutcomes { ended.placement.worker, { { ++planning.ends, ended.placement.run, RunOutcome::Stopped, {} } } });
    BOOST_TEST((restored.ledger().used("north") == ResourceTotals {}));
}

BOOST_AUTO_TEST_CASE(plansKeepToTheQuotaInEachDimension)
{
    for (const Resources quota : { Resources { 5500, 0, 0 }, Resources { 0, 2999, 0 }, Resources { 0, 0, 3 }, Resources { 5500, 1500, 9 } }) {
        Planning planning(quota);
        planning.submit(1, "north", stepOf(4, { 1000, 500, 1 }));
        planning.submit(2, "north", stepOf(4, { 1000, 500, 1 }));
        const WorkPlan first = planning.plan();
        const size_t most = quota.accelerators == 9 || quota.accelerators == 3 ? 3 : 5;
        BOOST_TEST(first.runs.size() == most);
        planning.propose(first);
        BOOST_TEST(planning.plan().runs.empty()); // Those in flight count.
        planning.commit(first);
        const WorkPlan second = planning.plan();
        BOOST_TEST(second.runs.empty());
        BOOST_TEST(second.obstacles[PlacementObstacle::Quota] >= 1U);
        planning.end(first.runs.front().placement);
        BOOST_TEST(planning.plan().runs.size() == 1U);
    }
}

/// Part of a gang within the quota would wait for the rest and take the quota meanwhile.
BOOST_AUTO_TEST_CASE(gangStartsWholeOrNotAtAll)
{
    Planning planning({ 5000, 0, 0 });
    planning.submit(1, "north", stepOf(3, { 1000, 500, 0 }));
    const WorkPlan first = planning.plan();
    planning.commit(first);
    planning.submit(2, "north", stepOf(3, { 1000, 500, 0 }, true));
    planning.submit(3, "north", stepOf(6, { 1000, 500, 0 }, true));
    WorkPlan second = planning.plan();
    BOOST_TEST(second.runs.empty());
    BOOST_TEST(second.obstacles[PlacementObstacle::Quota] == 1U);
    BOOST_TEST(second.obstacles[PlacementObstacle::QuotaTooSmall] == 1U);
    planning.end(first.runs.front().placement);
    second = planning.plan();
    BOOST_TEST(second.runs.size() == 3U);
    planning.propose(second);
    BOOST_TEST(planning.plan().runs.empty());
}

BOOST_AUTO_TEST_CASE(changedQuotaHoldsForTheNextStarts)
{
    Planning planning({ 4000, 0, 0 });
    planning.submit(1, "north", stepOf(12, { 1000, 500, 0 }));
    const WorkPlan first = planning.plan();
    BOOST_TEST(first.runs.size() == 4U);
    planning.commit(first);
    planning.setQuota({ 2000, 0, 0 });
    for (size_t ended = 0; ended < 3; ++ended) {
        const WorkPlan none = planning.plan();
        BOOST_TEST(none.runs.empty());
        BOOST_TEST(none.preemptions.empty());
        planning.end(first.runs[ended].placement);
    }
    BOOST_TEST(planning.plan().runs.size() == 1U);
    planning.setQuota({ 6000, 0, 0 });
    BOOST_TEST(planning.plan().runs.size() == 5U);
    planning.setQuota({});
    BOOST_TEST(planning.plan().runs.size() == 8U);
    planning.setQuota({ 500, 0, 0 });
    BOOST_TEST(planning.plan().obstacles[PlacementObstacle::QuotaTooSmall] == 1U);
    FleetConfig without = configWithWorkspaces(100);
    without.workspaces.clear();
    planning.table.apply(start, SetFleetConfig { without });
    BOOST_TEST(planning.plan().runs.size() == 8U);
}

/// Jobs that waited for their quota kept workers and the advice service from the jobs of others.
BOOST_AUTO_TEST_CASE(workspaceAtItsQuotaHoldsBackNoOther)
{
    Planning planning({ 16000, 0, 0 }, 2);
    planning.submit(1, "north", stepOf(1, { 12000, 500, 0 }));
    planning.commit(planning.plan());
    for (uint64_t key = 2; key < 20; ++key)
        planning.submit(key, "north", stepOf(2, { 8000, 500, 0 }, true), key % 2 ? "advised" : "queue");
    const WorkPlan waiting = planning.plan();
    BOOST_TEST(waiting.runs.empty());
    BOOST_TEST(waiting.queries.empty());
    BOOST_TEST(waiting.preemptions.empty());
    BOOST_TEST(waiting.obstacles[PlacementObstacle::Quota] == 18U);
    planning.submit(20, "south", stepOf(5, { 4000, 500, 0 }));
    planning.submit(21, "", stepOf(1, { 4000, 500, 0 }), "advised");
    const WorkPlan plan = planning.plan();
    BOOST_TEST(plan.runs.size() == 5U);
    BOOST_TEST(plan.obstacles[PlacementObstacle::Quota] == 18U);
}

BOOST_AUTO_TEST_CASE(stepThatCanNeverFitIsReported)
{
    FleetCluster fleet({});
    BOOST_REQUIRE(fleet.runUntil(10s, [&] { return fleet.leader().has_value(); }));
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configWithWorkspaces(1, { 2000, 0, 0 }) }));
    const SubmitJob job { { JobKey { 1 }, "queue", { "text", { stepOf(3, { 1000, 500, 0 }, true) }, 0, {}, {} }, "north" }, QueueAddress { "host", "/jobs/", "north-key" } };
    BOOST_REQUIRE(fleet.callUntilOk(job));
    const auto isReport = [](const LogEvent& event) { return event.kind == LogEventKind::QuotaTooSmall; };
    BOOST_TEST(std::count_if(fleet.log().begin(), fleet.log().end(), isReport) == 1);
    fleet.run(3s);
    BOOST_TEST(fleet.startCount() == 0U);
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configWithWorkspaces(2, { 3000, 0, 0 }) }));
    BOOST_TEST(fleet.runUntil(10s, [&] { return fleet.leader() && fleet.table().job(JobKey { 1 })->state == WorkState::Done; }));
}

BOOST_AUTO_TEST_CASE(fleetKeepsToTheQuotaWithUnansweredOrdersAndChangesOfLeader)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        QuotaScenario(seed, 12).run(false, true);
    }
}

BOOST_AUTO_TEST_CASE(fleetKeepsToTheQuotaWhenWorkersCrash)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        QuotaScenario(seed, 0).run(true, true);
    }
}

/// A start that was sent before a crash may be carried out by the worker's next incarnation.
BOOST_AUTO_TEST_CASE(fleetKeepsToTheQuotaWhenStartsOutliveACrash)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        QuotaScenario(seed, 12).run(true, true);
    }
}

BOOST_AUTO_TEST_SUITE_END()
