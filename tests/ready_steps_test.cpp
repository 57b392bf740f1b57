#include "ready_steps.h"

#include "random.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1h };

/// A table with one worker, to which jobs of two steps are submitted.
struct Fixture {
    Fixture()
    {
        FleetConfig config;
        config.version = 1;
        config.queues.push_back({ "queue", "host", "/jobs/", "pool", 0, 2, 2, 400ms, {} });
        apply(SetFleetConfig { config });
        WorkerInfo info;
        info.id = "worker";
        info.startedAtMs = 1;
        info.address = "10.0.0.1:1";
        apply(SetFleetWorker { info });
        worker = table.findWorker("worker");
    }

    WorkResult apply(const WorkCommand& command) { return table.apply(now, command); }

    void submit(uint64_t key, uint32_t occurrences = 0, Duration period = {})
    {
        StepSpec step;
        step.count = 3;
        step.size = { 1000, 100, 0 };
        step.estimate = 100ms;
        WorkSpec work { "text", { step, step }, occurrences, {}, period };
        work.steps[1].deps = { 0 };
        if (occurrences)
            work.firstDue = now;
        apply(SubmitWork { JobKey { key }, "queue", work });
    }

    /// The steps as an observer without a memory finds them, or as `kept` does.
    static std::vector<std::tuple<TaskRef, std::vector<uint32_t>, Time, Time, Duration, double>> listOf(const ReadySteps& ready)
    {
        std::vector<std::tuple<TaskRef, std::vector<uint32_t>, Time, Time, Duration, double>> list;
        ready.forEach([&](const ReadyStep& step) {
            list.push_back({ step.step, step.waiting, step.objective, step.lateLimit, step.remainingCriticalPath, step.remainingWork });
        });
        return list;
    }

    void checkAgainstFreshSteps()
    {
        kept.update(table, now);
        ReadySteps fresh;
        fresh.update(table, now);
        BOOST_REQUIRE((listOf(kept) == listOf(fresh)));
        BOOST_REQUIRE((kept.nextDue() == fresh.nextDue()));
    }

    Time now = start;
    WorkTable table;
    WorkerNumber worker;
    ReadySteps kept;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReadyStepsTests, Fixture)

BOOST_AUTO_TEST_CASE(occurrenceIsReadyOnceItIsDue)
{
    submit(1, 2, 1s);
    kept.update(table, now);
    BOOST_TEST(listOf(kept).size() == 1U);
    BOOST_TEST((kept.nextDue() == start + 1s));
    now += 1s;
    kept.update(table, now);
    BOOST_TEST(listOf(kept).size() == 2U);
    BOOST_TEST((kept.nextDue() == never));
}

/// The leader's processor was full of plans that went through every open job again.
BOOST_AUTO_TEST_CASE(leaderDoesNotExamineUnchangedJobsInEachPlan)
{
    for (uint64_t key = 1; key <= 1000; ++key)
        submit(key);
    BOOST_TEST(kept.update(table, now) == 1000U);
    BOOST_TEST(kept.update(table, now + 1s) == 0U);
    apply(PlaceRuns { { { { { JobKey { 5 }, 0, 0, 0 }, 1 }, worker } } });
    submit(1001);
    BOOST_TEST(kept.update(table, now + 2s) == 2U);
    apply(CancelWork { JobKey { 5 } });
    BOOST_TEST(kept.update(table, now + 3s) == 0U);
}

/// The largest jobs of a class were hardly ever finished once they were late: those with the least
/// remaining work went first, and what had been done of a job still counted as remaining.
BOOST_AUTO_TEST_CASE(largeLateJobIsNotStarvedByWorkThatItHasDone)
{
    submit(1);
    kept.update(table, now);
    const double before = std::get<double>(listOf(kept).front());
    apply(PlaceRuns { { { { { JobKey { 1 }, 0, 0, 0 }, 1 }, worker } } });
    apply(RecordRunOutcomes { worker, { { 1, { { JobKey { 1 }, 0, 0, 0 }, 1 }, RunOutcome::Done, {} } } });
    kept.update(table, now);
    BOOST_TEST(std::get<double>(listOf(kept).front()) == before * 5 / 6, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(copyDoesNotReferToTheOriginalsTable)
{
    submit(1);
    kept.update(table, now);
    const ReadySteps copy = kept;
    BOOST_TEST(listOf(copy).empty());
}

BOOST_AUTO_TEST_CASE(keptStepsAreThoseThatAFreshExaminationFinds)
{
    Random random(7);
    uint64_t endNumber = 0;
    for (uint64_t round = 1; round <= 3000; ++round) {
        now += std::chrono::milliseconds(random.below(50));
        const JobKey key { random.below(20) + 1 + round / 300 * 20 };
        const WorkJob* job = table.job(key);
        TaskRun run { { key, 0, static_cast<uint32_t>(random.below(2)), static_cast<uint32_t>(random.below(3)) }, 0 };
        const WorkTask* task = job ? job->task(run.task) : nullptr;
        run.attempt = task ? task->attempt : 0;
        switch (random.below(6)) {
        case 0:
            submit(key.value, random.below(3) ? 0 : 2, 300ms);
            break;
        case 1:
            if (random.below(8) == 0)
                apply(CancelWork { key });
            break;
        case 2:
            apply(RecordRunOutcomes { worker, { { ++endNumber, run, random.below(4) ? RunOutcome::Done : RunOutcome::Failed, {} } } });
            break;
        case 3:
            apply(RequeueLostRuns { worker, { { run, "checkpoint" } } });
            break;
        default:
            ++run.attempt;
            apply(PlaceRuns { { { run, worker } } });
        }
        if (random.below(4) == 0)
            checkAgainstFreshSteps();
    }
    BOOST_TEST(!table.openJobs().empty());
}

BOOST_AUTO_TEST_SUITE_END()
