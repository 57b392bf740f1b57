#include "call_forwarder.h"
#include "run_placer.h"
#include "support/planner_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1h };

StepSpec stepOf(uint32_t count, uint32_t processors, Duration estimate)
{
    StepSpec step;
    step.count = count;
    step.size = { processors, 2000, 0 };
    step.estimate = estimate;
    return step;
}

FleetConfig configOfRacks()
{
    FleetConfig config;
    config.version = 1;
    config.queues.push_back({ "urgent", "host", "/u/", "pool", 0, 3, 1.5, 400ms, {} });
    config.queues.push_back({ "gangs", "host", "/g/", "pool", 1, 4, 2.2, 1200ms, {} });
    config.queues.push_back({ "patient", "host", "/p/", "pool", 2, 3, 6, 3s, {} });
    config.pools.push_back({ "pool" });
    return config;
}

/// 60 workers of two models, 1.0 and 1.3 times as fast, and a rack at half speed, at two thirds of their
/// capacity. The estimates of one queue are three times too high.
template <typename Planner>
struct Racks : PlannerFleet<Planner> {
    using Base = PlannerFleet<Planner>;

    explicit Racks(uint64_t seed, std::vector<double> speeds = { 1.3, 1, 1, 1.3, 1, 0.5 }, uint32_t workers = 60)
        : Base({ workers, 1, seed, std::move(speeds) }, configOfRacks())
        , m_workers(workers)
    {
        Base::setEstimateError("patient", 0.33);
    }

    /// Jobs arrive at some percent of the usual rate.
    void load(Duration duration, uint32_t loadPercent = 100)
    {
        const auto arrives = [&](uint64_t percent) { return Base::random().below(100 * 100 * 60) < percent * loadPercent * m_workers; };
        for (Duration done {}; done < duration; done += 100ms) {
            for (int i = 0; i < 3; ++i) {
                if (arrives(70))
                    Base::submit("urgent", stepOf(2, 3900, 1s));
            }
            if (arrives(20)) {
                StepSpec gang = stepOf(4 + static_cast<uint32_t>(Base::random().below(8)), 4500, 3s);
                gang.isGang = true;
                Base::submit("gangs", gang);
            }
            if (arrives(60))
                Base::submit("patient", stepOf(8, 2700, 6s));
            Base::run(100ms);
        }
    }

    double inTime(const std::string& queue) const { return static_cast<double>(Base::served(queue).inTime) / static_cast<double>(Base::served(queue).total()); }

    uint32_t m_workers;
};

using ByFit = WorkPlanner<TardinessCostPolicy, SufficientGangAdvice, ProgressForecast, SharePreemption, BestFitPreference>;
using ByConduct = WorkPlanner<TardinessCostPolicy, SufficientGangAdvice, ProgressForecast, SharePreemption, UnevenFleetPreference>;

/// Feeds runs that really take `seconds` at speed 1, with a spread, on a worker of the given speed.
void observeRuns(SpeedEstimator& estimator, Random& random, const std::string& queue, WorkerSpeed& worker, double speed, double seconds, Duration estimate, int count, Time& now)
{
    for (; count; --count) {
        const double spread = 0.8 + static_cast<double>(random.below(41)) / 100;
        const Duration took = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds * spread / speed)) + std::chrono::milliseconds(random.below(120));
        estimator.observe(queue, worker, { took, 100 }, estimate, now);
        now += 50ms;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(UnevenFleetTests)

/// Workers that mostly ran tasks of a queue with estimates far too low counted as slow.
BOOST_AUTO_TEST_CASE(errorsOfEstimatesCountAsSpeed)
{
    SpeedEstimator estimator;
    Random random(1);
    Time now = start;
    WorkerSpeed usual, fast, slow, alsoUsual;
    for (int round = 0; round < 12; ++round) {
        observeRuns(estimator, random, "low", usual, 1, 6, 2s, 2, now);
        observeRuns(estimator, random, "low", fast, 1.3, 6, 2s, 2, now);
        observeRuns(estimator, random, "low", slow, 0.5, 6, 2s, 2, now);
        observeRuns(estimator, random, "low", alsoUsual, 1, 6, 2s, 2, now);
        // Only the fast worker runs this one.
        observeRuns(estimator, random, "high", fast, 1.3, 1, 4s, 2, now);
    }
    BOOST_TEST_MESSAGE("1.0: " << usual.factor(now) << ", " << alsoUsual.factor(now) << "; 1.3: " << fast.factor(now) << "; 0.5: " << slow.factor(now));
    BOOST_TEST(fast.factor(now) > usual.factor(now) * 1.15);
    BOOST_TEST(slow.factor(now) < usual.factor(now) * 0.7);
    BOOST_TEST(std::abs(alsoUsual.factor(now) / usual.factor(now) - 1) < 0.1);
    // A worker that got no work for its speed is tried again.
    BOOST_TEST(slow.factor(now + 600s) > 0.9);
}

/// Reports every 120 ms with whole percents gave samples of a percent, which may have taken 0 or 240 ms.
BOOST_AUTO_TEST_CASE(singlePercentsGiveSamples)
{
    ProgressSampler sampler;
    sampler.begin(start, 0);
    BOOST_TEST(!sampler.advance(start + 120ms, 25));
    BOOST_TEST(!sampler.advance(start + 1200ms, 8));
    const auto sample = sampler.advance(start + 2s, 40);
    BOOST_REQUIRE(sample);
    BOOST_TEST(sample->percents == 40U);
    BOOST_TEST((sample->took == 2s));
    const auto last = sampler.advance(start + 2100ms, 100, true);
    BOOST_REQUIRE(last);
    BOOST_TEST(last->percents == 60U);
    BOOST_TEST(!sampler.advance(start + 3s, 100, true));
}

/// The end of a run on a slow worker was expected far too early before its first progress.
BOOST_AUTO_TEST_CASE(forecastIgnoresTheSpeedOfTheWorker)
{
    RunView run;
    run.estimate = 4s;
    run.confirmedAt = start;
    BOOST_TEST((ProgressForecast().endOf(run, 0.5, start) == start + 8s));
    BOOST_TEST((ProgressForecast().endOf(run, 1, start) == start + 4s));
    run.isReported = true;
    run.reportedSince = start;
    run.progressAt = start + 1s;
    run.percent = 50;
    BOOST_TEST((ProgressForecast().endOf(run, 0.5, start + 1s) == start + 2s));
}

/// Pressing steps ran on slow workers and patient ones on fast workers. The room that is left remains the
/// main term.
BOOST_AUTO_TEST_CASE(speedDoesNotDecideBetweenWorkersOfSimilarFit)
{
    WorkJob job;
    job.queue.name = "queue";
    job.work.steps.push_back(stepOf(1, 4000, 1s));
    const auto stepWithin = [&](Duration objective) {
        ReadyStep step;
        step.job = &job;
        step.objective = start + objective;
        step.lateLimit = start + objective * 3;
        step.remainingCriticalPath = 1s;
        return step;
    };
    const UnevenFleetPreference preference;
    CapacityView::Worker usual, fast, slow;
    fast.speed = 1.3;
    slow.speed = 0.5;
    const auto costs = [&](const CapacityView::Worker& worker, Duration objective) { return preference.cost(worker, preference.slack(stepWithin(objective), start)); };
    BOOST_TEST(costs(fast, 1s) < costs(usual, 1s));
    BOOST_TEST(costs(usual, 1s) < costs(slow, 1s));
    BOOST_TEST(costs(slow, 20s) < costs(usual, 20s));
    BOOST_TEST(costs(usual, 20s) < costs(fast, 20s));
    BOOST_TEST(costs(slow, 1s) - costs(fast, 1s) < 1); // Half of what a full and an empty worker differ by.
}

/// A fleet with speeds of 1.0 and 1.3 and a rack at half speed: urgent jobs that ran in the slow rack were
/// late.
BOOST_AUTO_TEST_CASE(urgentJobsAreLateInTheSlowRack)
{
    const std::vector<std::string> queues { "urgent", "gangs", "patient" };
    std::map<std::string, double> byFit, byConduct;
    constexpr uint64_t seeds = 2;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        Racks<ByFit> baseline(seed);
        Racks<ByConduct> current(seed);
        baseline.load(20s);
        baseline.run(10s);
        current.load(20s);
        BOOST_TEST_MESSAGE("estimated speeds: 1.3 as " << current.estimatedSpeed(1.3) << ", 1 as " << current.estimatedSpeed(1) << ", 0.5 as " << current.estimatedSpeed(0.5));
        BOOST_TEST(current.estimatedSpeed(0.5) < 0.75);
        BOOST_TEST(current.estimatedSpeed(1.3) > current.estimatedSpeed(1) * 1.1);
        current.run(10s);
        for (const std::string& queue : queues) {
            byFit[queue] += baseline.inTime(queue) / seeds;
            byConduct[queue] += current.inTime(queue) / seeds;
        }
    }
    for (const std::string& queue : queues)
        BOOST_TEST_MESSAGE(queue << " in time: " << byFit[queue] << ", now " << byConduct[queue]);
    BOOST_TEST(byConduct["urgent"] > byFit["urgent"]);
    BOOST_TEST(byConduct["gangs"] >= byFit["gangs"] - 0.01);
    BOOST_TEST(byConduct["patient"] >= byFit["patient"] - 0.01);
}

/// A worker that lost its runs got as much as any other at once, or nothing for seconds.
BOOST_AUTO_TEST_CASE(restraintAfterALossIsMissingOrNeverEnds)
{
    WorkerRestraint restraint;
    Time now = start;
    BOOST_TEST(restraint.allowance(now, false) == 1);
    restraint.noteLoss(now);
    now += 1s;
    BOOST_TEST(restraint.allowance(now, false) == 0.5);
    restraint.noteResponse(now);
    BOOST_TEST(restraint.allowance(now + 1s, false) == 0.75);
    BOOST_TEST(restraint.allowance(now + 1s, true) == 1);
    BOOST_TEST(restraint.allowance(now + 2s, false) == 1);
    for (int i = 0; i < 20; ++i) {
        now += 3s;
        restraint.noteLoss(now);
        restraint.noteResponse(now);
        BOOST_TEST(restraint.allowance(now, false) >= 0.2);
    }
    BOOST_TEST(restraint.allowance(now, false) < 0.25);
    BOOST_TEST(restraint.allowance(now + 8s, false) == 1);
    now += 120s;
    restraint.noteLoss(now);
    BOOST_TEST(restraint.allowance(now, false) > 0.35);
}

/// A task that is larger than the allowance of a restrained worker never ran there, also when nothing else had room.
BOOST_AUTO_TEST_CASE(restrainedWorkerIsTooSmallForATask)
{
    std::map<WorkerNumber, WorkerView> views;
    WorkerView& view = views[WorkerNumber { 1 }];
    view.number = WorkerNumber { 1 };
    view.info.capacity = { 16000, 32768, 0 };
    view.isSynced = true;
    CapacityView capacityView(views, start);
    CapacityView::Worker& worker = capacityView.workers().front();
    CapacityView::restrain(worker, 0.25);
    BOOST_TEST(worker.freeCapacity.processorMillis == 4000U);
    const StepSpec large = stepOf(1, 15000, 1s);
    BOOST_TEST(CapacityView::fits(worker, large));
    CapacityView::allocate(worker, large);
    BOOST_TEST(worker.freeCapacity.processorMillis == 0U);
    BOOST_TEST(!CapacityView::fits(worker, stepOf(1, 100, 1s)));

    RunView run;
    run.size = { 2000, 2000, 0 };
    view.addRun({ { JobKey { 1 }, 0, 0, 0 }, 1 }, std::move(run));
    CapacityView next(views, start);
    CapacityView::restrain(next.workers().front(), 0.25);
    BOOST_TEST(next.workers().front().freeCapacity.processorMillis == 2000U);
    BOOST_TEST(!CapacityView::fits(next.workers().front(), large));
}

/// A restraint left a worker on probation room for a second task.
BOOST_AUTO_TEST_CASE(restraintWeakensProbation)
{
    std::map<WorkerNumber, WorkerView> views;
    WorkerView& view = views[WorkerNumber { 1 }];
    view.number = WorkerNumber { 1 };
    view.info.capacity = { 16000, 32768, 0 };
    view.isSynced = true;
    view.probationUntil = start + 5s;
    CapacityView capacityView(views, start);
    CapacityView::Worker& worker = capacityView.workers().front();
    CapacityView::restrain(worker, 0.25);
    const StepSpec small = stepOf(1, 100, 1s);
    BOOST_TEST(CapacityView::fits(worker, small));
    CapacityView::allocate(worker, small);
    BOOST_TEST(!CapacityView::fits(worker, small));
}

/// A worker that crashes every 3 s: with its room it got more new work than any other, and lost it again.
BOOST_AUTO_TEST_CASE(flappingWorkerGetsAndLosesMostNewWork)
{
    const auto play = [](auto& racks, uint32_t load, size_t& runsSeen) {
        for (int i = 0; i < 8; ++i) {
            racks.load(3s, load);
            runsSeen += racks.runsOn("worker-3");
            racks.crashWorker("worker-3");
        }
        racks.run(10s);
    };
    for (const uint32_t load : { 100U, 260U }) { // The second one fills the fleet.
        std::map<std::string, double> byFit, byConduct;
        size_t lostByFit = 0, lostByConduct = 0, runsByFit = 0, runsByConduct = 0;
        for (uint64_t seed = 1; seed <= 2; ++seed) {
            Racks<ByFit> baseline(seed, { 1 }, 20);
            Racks<ByConduct> current(seed, { 1 }, 20);
            play(baseline, load, runsByFit);
            play(current, load, runsByConduct);
            lostByFit += baseline.lostRuns();
            lostByConduct += current.lostRuns();
            for (const std::string queue : { "urgent", "gangs", "patient" }) {
                byFit[queue] += baseline.inTime(queue) / 2;
                byConduct[queue] += current.inTime(queue) / 2;
            }
        }
        BOOST_TEST_MESSAGE("load " << load << ": runs lost: " << lostByFit << ", now " << lostByConduct);
        for (const auto& [queue, share] : byFit)
            BOOST_TEST_MESSAGE("  " << queue << " in time: " << share << ", now " << byConduct[queue]);
        BOOST_TEST(runsByConduct > 0U);
        if (load == 100) {
            BOOST_TEST(lostByConduct < lostByFit);
        }
        for (const auto& [queue, share] : byFit)
            BOOST_TEST(byConduct[queue] >= share - 0.02);
    }
}

/// The busiest data centre's hosts made the calls for the leader like all others, or more, as they had the
/// lowest numbers.
BOOST_AUTO_TEST_CASE(hostsOfTheBusiestDataCentreMakeMostCalls)
{
    const auto callsOfBusiest = [](bool isLoadKnown) {
        WorkTable table;
        table.apply(start, SetFleetConfig { configOfRacks() });
        table.apply(start, SubmitWork { JobKey { 1 }, "urgent", { "text", { stepOf(200, 100, 1s) }, 0, {}, {} } });
        AdviceClient advice;
        std::set<HostId> hosts;
        for (uint32_t i = 1; i <= 13; ++i)
            hosts.insert(HostId { i });
        advice.setHosts(hosts); // The last one is the leader; the others are in four data centres.
        size_t ofBusiest = 0;
        size_t all = 0;
        Time now = start;
        std::vector<uint64_t> open;
        for (int i = 0; i < 100; ++i, now += 50ms) {
            for (uint32_t host = 1; isLoadKnown && host <= 12; ++host)
                advice.noteLoad(HostId { host }, { host <= 3 ? 40U : 10U, host <= 3 ? 400ms : 100ms });
            for (const uint64_t number : open)
                advice.handleReply(now, table, { number, true, {}, {} });
            open.clear();
            for (int query = 0; query < 5; ++query) {
                FleetStep step;
                step.now = now;
                advice.sendQuery(step, table, HostId { 13 }, { { JobKey { 1 }, 0, 0, 0 }, {}, AdviceTiming { 20ms, 1ms, 1s } });
                BOOST_REQUIRE(step.effects.size() == 1U);
                const auto& sent = std::get<SendFleetMessage>(step.effects.front());
                open.push_back(std::get<AdviceRequest>(sent.message).number);
                ofBusiest += sent.to.value <= 3;
                ++all;
            }
        }
        return static_cast<double>(ofBusiest) / static_cast<double>(all);
    };
    const double baseline = callsOfBusiest(false);
    const double current = callsOfBusiest(true);
    BOOST_TEST_MESSAGE("share of the calls made by the busiest quarter of the hosts: " << baseline << ", now " << current);
    BOOST_TEST(current < 0.25);
    BOOST_TEST(current < baseline);
}

/// A relay that could not keep up got all calls to the workers of its data centre.
BOOST_AUTO_TEST_CASE(relayThatCannotKeepUpGetsAllCalls)
{
    WorkerRoutes routes("region");
    const HostId near { 1 }, other { 2 };
    routes.hostUp(near, "dc-1", "region");
    routes.hostUp(other, "dc-2", "region");
    constexpr size_t workers = config::directWorkers + 1;
    BOOST_TEST((routes.hostFor("dc-1", workers, start) == near));
    routes.noteLoad(near, { 10, 200ms });
    BOOST_TEST((routes.hostFor("dc-1", workers, start) == near));
    routes.noteLoad(near, { 100, 2s });
    BOOST_TEST((routes.hostFor("dc-1", workers, start) == other));
    routes.noteLoad(other, { 200, 2s });
    BOOST_TEST((routes.hostFor("dc-1", workers, start) == near));
    routes.noteLoad(near, {});
    BOOST_TEST((routes.hostFor("dc-1", workers, start) == near));
}

/// A host reported no load while its calls waited for the leader.
BOOST_AUTO_TEST_CASE(waitingCallsAreNoLoad)
{
    CallForwarder forwarder(HostId { 1 });
    BOOST_TEST(forwarder.load(start).score() == 0U);
    for (uint64_t i = 1; i <= 3; ++i) {
        FleetStep step;
        step.now = start + i * 100ms;
        forwarder.add(step, { CallId { i }, GetJobState { JobKey { i } }, start + 3s });
    }
    const HostLoad load = forwarder.load(start + 600ms);
    BOOST_TEST(load.calls == 3U);
    BOOST_TEST((load.oldestCall == 500ms));
    BOOST_TEST(load.score() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
