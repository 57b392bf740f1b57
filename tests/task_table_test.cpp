#include "task_table.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

const Time start(1h);

struct Fixture {
    Fixture() { apply(SetWorker { "w", 1, "rack", { 4000, 1000, 0 }, false }); }

    TaskCommandResult apply(TaskCommand command) { return table.apply(start, command); }

    void sync(std::vector<JobSpec> set, std::vector<std::string> remove = {})
    {
        apply(SyncJobs { ++revision, std::move(set), std::move(remove), {}, {} });
    }

    static JobSpec job(const std::string& jobName, uint32_t tasks, uint32_t processors = 1000)
    {
        return JobSpecBuilder(jobName).team("t").tasks(tasks).size({ processors, 100, 0 }).canCheckpoint(true).build();
    }

    bool place(uint64_t task, uint32_t epoch, uint64_t incarnation = 1)
    {
        return apply(PlaceTasks { { { TaskId { task }, epoch, "w", incarnation } }, false }).accepted == 1;
    }

    bool report(uint64_t task, uint32_t epoch, TaskState state)
    {
        return apply(ReportTasks { { { TaskId { task }, epoch, state, {} } } }).accepted == 1;
    }

    TaskState state(uint64_t task) const { return table.task(TaskId { task })->state; }

    TaskTable table;
    uint64_t revision = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TaskTableTests, Fixture)

BOOST_AUTO_TEST_CASE(aWorkerIsNeverCommittedPastItsCapacity)
{
    sync({ job("j", 5) });
    for (uint64_t task = 1; task <= 4; ++task)
        BOOST_TEST(place(task, 1));
    BOOST_TEST(!place(5, 1));
    BOOST_TEST((table.worker("w")->committed == Resources { 4000, 400, 0 }));
}

BOOST_AUTO_TEST_CASE(aTaskWithoutProcessorsIsNotPlacedOnAnOvercommittedWorker)
{
    sync({ job("j", 4), job("k", 1, 0) });
    for (uint64_t task = 1; task <= 4; ++task)
        place(task, 1);
    apply(SetWorker { "w", 1, "rack", { 1000, 1000, 0 }, false });
    BOOST_TEST(!place(5, 1));
}

BOOST_AUTO_TEST_CASE(aPlacementOfAFormerEpochIsRefused)
{
    sync({ job("j", 1) });
    BOOST_TEST(place(1, 1));
    BOOST_TEST(!place(1, 1)); // A repeated placement.
    BOOST_TEST(report(1, 1, TaskState::Failed));
    BOOST_TEST(!place(1, 1)); // A stale placement.
    BOOST_TEST(place(1, 2));
    BOOST_TEST(!report(1, 1, TaskState::Finished)); // A report of the former epoch is ignored.
    BOOST_TEST((state(1) == TaskState::Starting));
}

BOOST_AUTO_TEST_CASE(aGangPlacementIsAllOrNothing)
{
    sync({ job("j", 5) });
    PlaceTasks command { {}, true };
    for (uint64_t task = 1; task <= 5; ++task)
        command.placements.push_back({ TaskId { task }, 1, "w", 1 });
    BOOST_TEST(apply(command).accepted == 0U);
    BOOST_TEST((table.worker("w")->committed == Resources {}));
    BOOST_TEST(table.queued(Urgency::Normal).size() == 5U);
}

BOOST_AUTO_TEST_CASE(tasksOfALostWorkerAreQueuedAgain)
{
    sync({ job("j", 1) });
    place(1, 1);
    report(1, 1, TaskState::Running);
    BOOST_TEST(apply(MarkWorkerLost { "w", 2 }).refused == 1U); // Another incarnation than the registered one.
    BOOST_TEST(apply(MarkWorkerLost { "w", 1 }).accepted == 1U);
    BOOST_TEST((state(1) == TaskState::Queued));
    BOOST_TEST(!place(1, 2)); // The worker is lost.
    apply(SetWorker { "w", 2, "rack", { 4000, 1000, 0 }, false });
    BOOST_TEST(!place(1, 2, 1)); // The worker's former incarnation.
    BOOST_TEST(place(1, 2, 2));
}

BOOST_AUTO_TEST_CASE(aPreemptedTaskIsQueuedOnceItsStopIsConfirmed)
{
    sync({ job("j", 1) });
    place(1, 1);
    report(1, 1, TaskState::Running);
    apply(PreemptTasks { { TaskId { 1 } } });
    BOOST_TEST((state(1) == TaskState::Stopping));
    BOOST_TEST((table.worker("w")->committed == Resources { 1000, 100, 0 }));
    report(1, 1, TaskState::Cancelled);
    BOOST_TEST((state(1) == TaskState::Queued));
    BOOST_TEST((table.worker("w")->committed == Resources {}));
}

BOOST_AUTO_TEST_CASE(aRemovedJobIsErasedAfterItsLastTask)
{
    sync({ job("j", 2) });
    place(1, 1);
    sync({}, { "j" });
    BOOST_TEST((state(1) == TaskState::Stopping));
    BOOST_TEST(table.job("j") != nullptr);
    report(1, 1, TaskState::Cancelled);
    BOOST_TEST(table.job("j") == nullptr);
    BOOST_TEST(table.tasks().empty());
}

BOOST_AUTO_TEST_CASE(aJobAddedAgainWhileItsTasksStopGetsNewTasks)
{
    sync({ job("j", 1) });
    place(1, 1);
    sync({}, { "j" });
    sync({ job("j", 1) });
    BOOST_TEST(table.queued(Urgency::Normal).size() == 1U);
    report(1, 1, TaskState::Cancelled);
    BOOST_TEST(table.task(TaskId { 1 }) == nullptr);
    BOOST_TEST((state(2) == TaskState::Queued));
}

BOOST_AUTO_TEST_CASE(anOldRevisionChangesNothing)
{
    sync({ job("j", 1) });
    BOOST_TEST(apply(SyncJobs { 1, {}, { "j" }, {}, {} }).refused == 1U);
    BOOST_TEST(!table.job("j")->isCancelled);
}

BOOST_AUTO_TEST_CASE(aWorkerThatFailsDistinctJobsIsQuarantined)
{
    sync({ job("a", 1), job("b", 1), job("c", 1) });
    for (uint64_t task = 1; task <= 3; ++task) {
        BOOST_TEST((table.worker("w")->state == WorkerState::Ready));
        place(task, 1);
        report(task, 1, TaskState::Failed);
    }
    BOOST_TEST((table.worker("w")->state == WorkerState::Quarantined));
    // On probation it gets one task, whose success ends the quarantine.
    place(1, 2);
    report(1, 2, TaskState::Finished);
    BOOST_TEST((table.worker("w")->state == WorkerState::Ready));
}

BOOST_AUTO_TEST_CASE(aJobThatAlwaysFailsQuarantinesNoWorker)
{
    sync({ job("a", 1) });
    for (uint32_t epoch = 1; epoch <= config::maxTaskAttempts; ++epoch) {
        BOOST_TEST(place(1, epoch));
        report(1, epoch, TaskState::Failed);
    }
    BOOST_TEST((table.worker("w")->state == WorkerState::Ready));
    BOOST_TEST((state(1) == TaskState::Failed));
}

BOOST_AUTO_TEST_CASE(derivedDataIsTheSameAfterARebuild)
{
    sync({ job("a", 3), job("b", 2) });
    place(1, 1);
    place(4, 1);
    report(4, 1, TaskState::Running);
    TaskTable copy = table;
    copy.rebuild();
    BOOST_TEST((copy.worker("w")->preemptible == table.worker("w")->preemptible));
    BOOST_TEST((copy.teamUsage("t") == table.teamUsage("t")));
    BOOST_TEST((copy.queued(Urgency::Normal) == table.queued(Urgency::Normal)));
    BOOST_TEST((copy.worker("w")->tasks == table.worker("w")->tasks));
    BOOST_TEST(copy.job("a")->activeTasks == table.job("a")->activeTasks);
}

BOOST_AUTO_TEST_SUITE_END()
