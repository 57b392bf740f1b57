#include "capacity_index.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

const std::string workerName = "w";
constexpr Resources taskSize { 1000, 100, 0 };

/// One worker in a data centre's log, and an index of it.
struct Fixture {
    Fixture()
    {
        apply(SetWorker { workerName, 1, "rack", { 16000, 16000, 0 }, false });
        std::vector<JobSpec> jobs;
        for (const char* service : { "s1", "s2", "s3", "s4", "s5" })
            jobs.push_back(jobOf(service, JobKind::Service));
        for (const char* batch : { "b1", "b2" })
            jobs.push_back(jobOf(batch, JobKind::Batch));
        apply(SyncJobs { 1, jobs, {}, {}, {} });
    }

    static JobSpec jobOf(const std::string& jobName, JobKind kind) { return JobSpecBuilder(jobName).kind(kind).team("t").tasks(1).size(taskSize).build(); }

    TaskCommandResult apply(const TaskCommand& command) { return table.apply(now, command); }

    TaskId idOf(const std::string& jobName) const { return table.job(jobName)->tasks.front(); }

    bool place(const std::string& jobName)
    {
        const TaskId id = idOf(jobName);
        return apply(PlaceTasks { { { id, table.task(id)->epoch + 1, workerName, 1 } }, false }).accepted == 1;
    }

    void report(const std::string& jobName, TaskState state)
    {
        const TaskId id = idOf(jobName);
        apply(ReportTasks { { { id, table.task(id)->epoch, state, {} } } });
    }

    void start(const std::string& jobName)
    {
        BOOST_TEST(place(jobName));
        report(jobName, TaskState::Running);
    }

    void fail(const std::string& jobName)
    {
        start(jobName);
        report(jobName, TaskState::Failed);
    }

    /// Quarantines the worker, beside a service that goes on.
    void quarantine()
    {
        start("s5");
        for (const char* service : { "s1", "s2", "s3" })
            fail(service);
        BOOST_REQUIRE((state() == WorkerState::Quarantined));
    }

    WorkerState state() const { return table.worker(workerName)->state; }

    /// Whether a plan would place a task on the worker now.
    bool isOpen()
    {
        index.rebuild(table, now);
        return index.fits(index.find(workerName), taskSize);
    }

    Time now { 1h };
    TaskTable table;
    CapacityIndex index;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServiceProbationTests, Fixture)

/// A quarantined worker with a service accepted nothing any more, as a service neither ends nor leaves.
BOOST_AUTO_TEST_CASE(workerWithServicesLeavesItsQuarantine)
{
    quarantine();
    BOOST_TEST(!isOpen());
    now += config::workerQuarantine;
    BOOST_TEST(isOpen());
    start("s1");
    BOOST_TEST(!isOpen()); // One at a time.
    BOOST_TEST(!place("s2"));
    now += config::serviceProof;
    BOOST_TEST(isOpen());
    start("s2");
    start("s3");
    BOOST_TEST((state() == WorkerState::Ready));
}

BOOST_AUTO_TEST_CASE(taskThatTakesLongDoesNotProlongProbation)
{
    quarantine();
    now += config::workerQuarantine;
    start("b1");
    now += config::maxWorkerProbation - 1s;
    BOOST_TEST(!isOpen());
    now += 1s;
    BOOST_TEST(isOpen());
    start("b2");
    BOOST_TEST((state() == WorkerState::Ready));
}

BOOST_AUTO_TEST_CASE(serviceThatAlwaysFailsDoesNotProlongQuarantine)
{
    quarantine();
    now += config::workerQuarantine;
    for (int failure = 0; failure < 20; ++failure) {
        BOOST_TEST(isOpen());
        fail("s1");
        now += 1s;
    }
    start("b1");
    report("b1", TaskState::Finished);
    BOOST_TEST((state() == WorkerState::Ready));
}

/// Failures of services that had long been there, one after the other, prolonged the quarantine.
BOOST_AUTO_TEST_CASE(laterFailuresOfServicesDoNotProlongQuarantine)
{
    start("s4");
    quarantine();
    now += config::workerQuarantine - 1s;
    report("s4", TaskState::Failed);
    report("s5", TaskState::Failed);
    now += 1s;
    BOOST_TEST(isOpen());
    fail("s1");
    BOOST_TEST(isOpen());
}

/// The first failure on probation of a job that has not failed here before quarantines the worker again.
BOOST_AUTO_TEST_CASE(otherFailuresOnProbationQuarantineAgain)
{
    for (const char* jobName : { "b1", "s4" }) {
        BOOST_TEST_CONTEXT(jobName)
        {
            Fixture fixture;
            fixture.quarantine();
            fixture.now += config::workerQuarantine;
            fixture.fail(jobName);
            BOOST_TEST(!fixture.isOpen());
            fixture.now += config::workerQuarantine;
            BOOST_TEST(fixture.isOpen());
        }
    }
}

BOOST_AUTO_TEST_CASE(onePlanPlacesOneTaskOnAWorkerOnProbation)
{
    quarantine();
    now += config::workerQuarantine;
    BOOST_REQUIRE(isOpen());
    const WorkerSlot slot = index.find(workerName);
    index.allocate(slot, taskSize);
    BOOST_TEST(!index.fits(slot, taskSize));
}

BOOST_AUTO_TEST_SUITE_END()
