#include "admission_control.h"
#include "support/fleet_cluster.h"
#include "support/planner_fleet.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t urgent = 0;
constexpr uint32_t others = 1;

/// A queue with urgent jobs that is seldom used, one of quick jobs and one of patient ones. The workspace
/// "bursts" sends more quick jobs than are owed to it.
FleetConfig configWithBursts()
{
    FleetConfig config;
    config.version = 1;
    config.queues.push_back({ "urgent", "host", "/u/", "pool", urgent, 3, 10, 1s, std::nullopt });
    config.queues.push_back({ "quick", "host", "/q/", "pool", others, 3, 1.5, 400ms, std::nullopt });
    config.queues.push_back({ "patient", "host", "/p/", "pool", others, 3, 4, 20s, std::nullopt });
    config.queues.push_back({ "large", "host", "/l/", "pool", others, 3, 1.5, 1s, std::nullopt });
    config.pools.push_back({ "pool" });
    config.workspaces.push_back({ "bursts", { "key" }, 4, {} });
    return config;
}

StepSpec stepOf(uint32_t count, uint32_t processors, Duration estimate)
{
    StepSpec step;
    step.count = count;
    step.size = { processors, 1000, 0 };
    step.estimate = estimate;
    return step;
}

WorkSpec workOf(StepSpec step) { return { "text", { std::move(step) }, 0, {}, {} }; }

/// Open work ahead of new jobs that keeps a pool of 16 processors busy for some time.
OpenWork backlog(Time now, Duration length, bool isMostUrgent = true, Resources size = { 1000, 1000, 0 })
{
    OpenWork openWork;
    openWork.at = now;
    openWork.isKnown = true;
    openWork.mostUrgentPriority = urgent;
    openWork.pools["pool"] = { 16, { { size, isMostUrgent, now + 1h, 16 * std::chrono::duration<double>(length).count(), 1s } } };
    return openWork;
}

/// Replays a load on a planner with a policy of admission, and notes the jobs that it refused.
template <JobAdmissionPolicy Admission>
struct AdmittingFleet : PlannerFleet<WorkPlanner<TardinessCostPolicy>> {
    using Base = PlannerFleet<WorkPlanner<TardinessCostPolicy>>;

    explicit AdmittingFleet(uint64_t seed)
        : Base({ 12, 8, seed }, configWithBursts())
    {
    }

    void submit(const std::string& queue, StepSpec step, const std::string& workspace = {})
    {
        const JobKey key { ++m_submitted };
        const WorkSpec work = workOf(step);
        if (now() >= m_openWork.at + config::openWorkPeriod)
            m_openWork = openWork();
        const JobToAdmit job { key, *table().config().queue(queue), work, table().isBeyondShare(now(), workspace) };
        m_forecastStarts[key] = ForecastAdmission().decide(job, m_openWork, now()).forecastEnd - criticalPathLength(work);
        if (admission.decide(job, m_openWork, now()).refusal)
            refused.insert(key);
        else
            Base::submitAs(key, queue, std::move(step), workspace);
    }

    /// Jobs that use three quarters of the capacity, and by a burst quick jobs beyond the workspace's share.
    void load(Duration duration, bool hasBurst = false)
    {
        for (Duration done {}; done < duration; done += 500ms) {
            submit("patient", stepOf(17, 2000, 2s));
            if (done % 2s == Duration::zero())
                submit("large", stepOf(1, 14000, 800ms));
            for (int i = 0; i < (hasBurst ? 100 : 1); ++i)
                submit("quick", stepOf(2, 2000, 400ms), "bursts");
            run(500ms);
        }
    }

    void play()
    {
        for (int i = 0; i < 34; ++i) // 34 x 17 tasks of 2 processors for 2 s: 12 s of all 192.
            submit("patient", stepOf(17, 2000, 2s));
        for (int burst = 0; burst < 3; ++burst) {
            load(1s, true);
            load(2s);
        }
        load(60s);
        run(10s);
    }

    size_t inTime() const
    {
        size_t count = 0;
        for (const char* queue : { "quick", "patient", "large" })
            count += served(queue).inTime;
        return count;
    }

    /// Whether the job ended within its late limit.
    bool isServed(JobKey key) const
    {
        const WorkJob* job = table().job(key);
        return job && job->state == WorkState::Done && job->endedAt <= job->submittedAt + lateLimitOf(job->queue, job->work);
    }

    /// Number of jobs that started before the forecast.
    size_t startedTooEarly() const
    {
        return static_cast<size_t>(std::count_if(m_forecastStarts.begin(), m_forecastStarts.end(), [&](const auto& entry) {
            const WorkJob* job = table().job(entry.first);
            return job && job->startedAt != Time {} && job->startedAt < entry.second;
        }));
    }

    Admission admission;
    std::set<JobKey> refused;

private:
    OpenWork m_openWork;
    std::map<JobKey, Time> m_forecastStarts; ///< By `ForecastAdmission`, whatever the policy of admission.
    uint64_t m_submitted = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(JobAdmissionTests)

/// Quick jobs that could not end in time were accepted, ran past their limits and kept others from theirs.
BOOST_AUTO_TEST_CASE(burstsBehindABacklogAreRefusedWhereTheyCannotBeServed)
{
    for (uint64_t seed = 1; seed <= 2; ++seed) {
        AdmittingFleet<AcceptAllAdmission> baseline(seed);
        baseline.play();
        AdmittingFleet<ForecastAdmission> current(seed);
        current.play();
        const auto servedByBaseline = static_cast<size_t>(std::count_if(current.refused.begin(), current.refused.end(), [&](JobKey key) { return baseline.isServed(key); }));
        BOOST_TEST_MESSAGE("seed " << seed << ": in time " << baseline.inTime() << ", now " << current.inTime() << "; refused " << current.refused.size() << ", of which the baseline serves " << servedByBaseline);
        for (const char* queue : { "quick", "patient", "large" }) {
            const auto before = baseline.served(queue);
            const auto now = current.served(queue);
            BOOST_TEST_MESSAGE("  " << queue << ": in time " << before.inTime << ", late " << before.late << ", not served " << before.notServed << "; now " << now.inTime << ", " << now.late << ", " << now.notServed);
        }
        BOOST_TEST(!current.refused.empty());
        BOOST_TEST(servedByBaseline == 0U);
        BOOST_TEST(baseline.startedTooEarly() == 0U);
        BOOST_TEST(current.startedTooEarly() == 0U);
        BOOST_TEST(current.inTime() > baseline.inTime());
    }
}

/// A refusal on doubtful grounds would turn away a job that could be served.
BOOST_AUTO_TEST_CASE(jobIsAcceptedWhereItMayBeServed)
{
    const Time now { 1h };
    const FleetConfig config = configWithBursts();
    const WorkSpec quick = workOf(stepOf(2, 2000, 400ms));
    const JobToAdmit job { JobKey { 1 }, *config.queue("quick"), quick, false };
    const auto refusalOf = [&](const JobToAdmit& asked, const OpenWork& openWork) { return ForecastAdmission().decide(asked, openWork, now).refusal; };
    BOOST_TEST((refusalOf(job, backlog(now, 20s)) == AdmissionRefusal::BehindUrgentWork));
    BOOST_TEST(!refusalOf(job, backlog(now, 5s)).has_value());
    // Owed work of other queues is ahead only of a job beyond its workspace's share.
    BOOST_TEST(!refusalOf(job, backlog(now, 20s, false)).has_value());
    const JobToAdmit beyond { JobKey { 1 }, *config.queue("quick"), quick, true };
    BOOST_TEST((refusalOf(beyond, backlog(now, 20s, false)) == AdmissionRefusal::BehindOwedWork));
    const JobToAdmit mostUrgent { JobKey { 1 }, *config.queue("urgent"), quick, false };
    BOOST_TEST(!refusalOf(mostUrgent, backlog(now, 1min)).has_value());
    // Larger tasks ahead leave room that they don't fit in.
    BOOST_TEST(!refusalOf(job, backlog(now, 20s, true, { 2001, 1000, 0 })).has_value());
    BOOST_TEST(!refusalOf(job, backlog(now, 20s, true, { 2000, 1001, 0 })).has_value());
    // Work ahead that loses its value soon gives way.
    OpenWork expiring = backlog(now, 20s);
    expiring.pools["pool"].waiting.front().aheadUntil = now + 3s;
    BOOST_TEST(!refusalOf(job, expiring).has_value());
    OpenWork unknown = backlog(now, 20s);
    unknown.isKnown = false;
    BOOST_TEST(!refusalOf(job, unknown).has_value());
    // Periodic and long-running jobs and gangs.
    WorkSpec periodic = quick;
    periodic.repeats = 2;
    WorkSpec lasting = quick;
    lasting.steps.front().isLongRunning = true;
    WorkSpec gang = quick;
    gang.steps.front().isGang = true;
    for (const WorkSpec& work : { periodic, lasting, gang })
        BOOST_TEST(!refusalOf({ JobKey { 1 }, *config.queue("quick"), work, false }, backlog(now, 20s)).has_value());
}

/// Refused callers returned together.
BOOST_AUTO_TEST_CASE(refusedCallersComeBackOnceTheyCanBeServedAndSpreadOut)
{
    const Time now { 1h };
    const FleetConfig config = configWithBursts();
    const WorkSpec quick = workOf(stepOf(2, 2000, 400ms));
    std::set<Duration> times;
    for (uint64_t key = 1; key <= 100; ++key) {
        const AdmissionDecision decision = ForecastAdmission().decide({ JobKey { key }, *config.queue("quick"), quick, false }, backlog(now, 20s), now);
        const Duration expected = decision.forecastEnd - decision.lateLimit;
        BOOST_TEST((decision.comeBack >= expected && decision.comeBack <= expected * 3 / 2));
        times.insert(decision.comeBack);
        const AdmissionDecision later = ForecastAdmission().decide({ JobKey { key }, *config.queue("quick"), quick, false }, backlog(now, 20s), now + decision.comeBack);
        BOOST_TEST(!later.refusal.has_value());
        const AdmissionDecision longest = ForecastAdmission().decide({ JobKey { key }, *config.queue("quick"), quick, false }, backlog(now, 30min), now);
        BOOST_TEST((longest.comeBack <= config::maxOverloadRetryAfter * 3 / 2));
    }
    BOOST_TEST(times.size() > 90U);
}

/// The caller of a job was told that it never runs while a copy of the submission was in the log, or before
/// a delayed copy arrived that was accepted.
BOOST_AUTO_TEST_CASE(copyOfASubmissionIsTreatedAsTheFirst)
{
    AdmissionControl<ForecastAdmission> control;
    FleetCounters counters;
    WorkTable table;
    table.apply({}, SetFleetConfig { configWithBursts() });
    FleetStep step;
    step.now = Time(1h);
    const auto admits = [&](uint64_t key, bool isUncertain = false) { return !control.admit(step, counters, table, { JobKey { key }, "quick", workOf(stepOf(2, 2000, 400ms)), {} }, isUncertain).has_value(); };
    BOOST_TEST(admits(1));
    control.update(backlog(step.now, 20s));
    BOOST_TEST(!admits(2));
    BOOST_TEST(admits(1)); // Proposed twice, so one may be applied after the other was dropped.
    control.didPropose(JobKey { 1 }, false);
    BOOST_TEST(admits(1));
    control.didPropose(JobKey { 1 }, true);
    control.didPropose(JobKey { 1 }, false);
    BOOST_TEST(admits(1));
    BOOST_TEST(admits(3, true)); // An earlier attempt may be in the log.
    control.update({});
    step.now += config::minOverloadRetryAfter - 1ms;
    BOOST_TEST(!admits(2));
    BOOST_TEST(admits(4));
    step.now += config::maxOverloadRetryAfter * 3 / 2;
    BOOST_TEST(admits(2));
    BOOST_TEST(counters.events[FleetCounter::JobsRefusedBehindUrgent] == 2U);
}

/// As above, with a copy that another control host forwards after the refusal, and a resend in time.
BOOST_AUTO_TEST_CASE(refusedJobNeverRunsUnlessItIsSentAgain)
{
    FleetCluster fleet({});
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configWithBursts() }));
    BOOST_REQUIRE(fleet.runUntil(5s, [&] { return fleet.table().workers().size() == fleet.workerCount(); }));
    fleet.run(1s);
    fleet.setRunLength(500ms);
    BOOST_REQUIRE(fleet.callUntilOk(SubmitJob { { JobKey { 1 }, "urgent", workOf(stepOf(640, 1000, 2s)), {} }, {} })); // 20 s by the estimate, 5 s in fact.
    fleet.run(300ms);
    const SubmitJob quick { { JobKey { 2 }, "quick", workOf(stepOf(1, 2000, 400ms)), {} }, {} };
    const uint32_t leader = *fleet.leader();
    const uint32_t follower = leader % FleetCluster::controlCount + 1;
    const CallId copy = fleet.callAt(follower, quick, 2s);
    const CallId refused = fleet.call(quick);
    BOOST_REQUIRE(fleet.runUntil(500ms, [&] { return fleet.reply(refused).has_value(); }));
    BOOST_TEST((fleet.reply(refused)->status == ControlStatus::Overloaded));
    BOOST_TEST((fleet.reply(refused)->retryAfter >= config::minOverloadRetryAfter));
    BOOST_REQUIRE(fleet.runUntil(3s, [&] { return fleet.reply(copy).has_value(); }));
    BOOST_TEST((fleet.reply(copy)->status == ControlStatus::Overloaded));
    fleet.run(fleet.reply(refused)->retryAfter + 1s);
    BOOST_TEST(!fleet.table().job(JobKey { 2 }));
    BOOST_TEST(fleet.callUntilOk(quick, 3s));
    BOOST_TEST(fleet.runUntil(5s, [&] { return fleet.table().job(JobKey { 2 })->state == WorkState::Done; }));
    BOOST_TEST(fleet.violations().empty());
}

/// A new leader refused by what it did not know: accepted jobs sent again, and jobs that its workers can serve.
BOOST_AUTO_TEST_CASE(nextLeaderKeepsAcceptedJobs)
{
    FleetCluster fleet({});
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configWithBursts() }));
    fleet.run(1s);
    const SubmitJob quick { { JobKey { 2 }, "quick", workOf(stepOf(1, 2000, 400ms)), {} }, {} };
    BOOST_REQUIRE(fleet.callUntilOk(quick));
    BOOST_REQUIRE(fleet.callUntilOk(SubmitJob { { JobKey { 1 }, "urgent", workOf(stepOf(640, 1000, 2s)), {} }, {} }));
    fleet.kill(*fleet.leader());
    const CallId resent = fleet.call(quick, 5s);
    BOOST_REQUIRE(fleet.runUntil(5s, [&] { return fleet.reply(resent).has_value(); }));
    BOOST_TEST((fleet.reply(resent)->status == ControlStatus::Ok));
}

BOOST_AUTO_TEST_SUITE_END()
