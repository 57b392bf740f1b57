#include "support/fleet_cluster.h"
#include "support/fleet_config.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

SubmitWork jobOf(uint64_t key, uint32_t tasks, uint32_t repeats = 0, size_t textBytes = 0)
{
    SubmitWork work { JobKey { key }, "queue", {} };
    work.work.text = std::string(textBytes, 'x');
    work.work.steps.emplace_back().count = tasks;
    work.work.repeats = repeats;
    return work;
}

WorkTable tableWithQueue()
{
    WorkTable table;
    table.apply({}, SetFleetConfig { configWithOneQueue() });
    return table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OpenJobsMemoryTests)

/// Accepted jobs of very many tasks took more memory than a host has.
BOOST_AUTO_TEST_CASE(jobsThatExceedTheMemoryAreRefused)
{
    WorkTable table = tableWithQueue();
    for (uint64_t key = 1; key <= 8; ++key)
        BOOST_TEST((table.apply({}, jobOf(key, 4000, 200)).status == WorkStatus::NoMemory));
    BOOST_TEST(table.jobs().empty());
    BOOST_TEST((table.apply({}, jobOf(9, 4000, 50)).status == WorkStatus::Applied));
    BOOST_TEST((table.apply({}, jobOf(10, 10)).status == WorkStatus::Applied));
}

BOOST_AUTO_TEST_CASE(boundHoldsForAnySizesAndIsFreedByEnds)
{
    for (const auto& [tasks, repeats, text] : { std::tuple { 1U, 0U, size_t { 4000 } }, { 4096U, 0U, size_t { 0 } }, { 100U, 256U, size_t { 10 } } }) {
        WorkTable table = tableWithQueue();
        uint64_t key = 1;
        while (table.apply({}, jobOf(key, tasks, repeats, text)).status == WorkStatus::Applied)
            ++key;
        BOOST_TEST(key > 1U);
        BOOST_TEST(table.openJobBytes() <= config::maxOpenJobBytes);
        BOOST_TEST((table.apply({}, jobOf(key, tasks, repeats, text)).status == WorkStatus::NoMemory));
        BOOST_TEST((table.apply({}, jobOf(1, tasks, repeats, text)).status == WorkStatus::Unchanged)); // A resend of what was accepted.
        WorkTable copy = table;
        copy.rebuild();
        BOOST_TEST(copy.openJobBytes() == table.openJobBytes());
        table.apply({}, CancelWork { JobKey { 1 } });
        BOOST_TEST((table.apply({}, jobOf(key, tasks, repeats, text)).status == WorkStatus::Applied));
    }
}

/// A client that reported under ever new ids made every control host keep and poll any number of workers.
BOOST_AUTO_TEST_CASE(workersBeyondTheLimitAreRefused)
{
    WorkTable table = tableWithQueue();
    const auto report = [&](uint32_t number, int64_t startedAtMs, uint32_t maxWorkers = 3) {
        WorkerInfo info;
        info.id = "worker-" + std::to_string(number);
        info.address = "10.0.0." + std::to_string(number) + ":1";
        info.startedAtMs = startedAtMs;
        return table.apply({}, SetFleetWorker { info, 0, maxWorkers }).status;
    };
    for (uint32_t number = 1; number <= 3; ++number)
        BOOST_TEST((report(number, 1) == WorkStatus::Applied));
    BOOST_TEST((report(4, 1) == WorkStatus::NoMemory));
    BOOST_TEST(table.workers().size() == 3U);
    BOOST_TEST((report(2, 2) == WorkStatus::Applied)); // The next incarnation of a known one.
    table.apply({}, RemoveFleetWorker { table.findWorker("worker-1") });
    BOOST_TEST((report(4, 1) == WorkStatus::Applied));
    BOOST_TEST((report(5, 1) == WorkStatus::NoMemory));
    BOOST_TEST((report(5, 1, 0) == WorkStatus::Applied)); // Without a limit.
}

BOOST_AUTO_TEST_CASE(furtherWorkersAreToldAndCounted)
{
    FleetCluster::Options options;
    options.workers = 4;
    options.maxWorkers = 3;
    FleetCluster fleet(options);
    BOOST_REQUIRE(fleet.runUntil(10s, [&] { return fleet.leader() && fleet.table().workers().size() == 3; }));
    fleet.run(2s);
    BOOST_TEST(fleet.table().workers().size() == 3U);
    BOOST_TEST(fleet.control(*fleet.leader()).counters().events[FleetCounter::WorkersRefused] > 0U);
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configWithOneQueue() }));
    BOOST_TEST(fleet.callUntilOk(SubmitJob { jobOf(1, 4), {} }));
}

BOOST_AUTO_TEST_CASE(callerIsToldAtOnceAndOthersAreServed)
{
    FleetCluster fleet({});
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configWithOneQueue() }));
    const CallId large = fleet.call(SubmitJob { jobOf(1, 4000, 200), {} });
    BOOST_REQUIRE(fleet.runUntil(500ms, [&] { return fleet.reply(large).has_value(); }));
    BOOST_TEST((fleet.reply(large)->status == ControlStatus::NoMemory));
    BOOST_TEST(fleet.callUntilOk(SubmitJob { jobOf(2, 4), {} }));
}

BOOST_AUTO_TEST_SUITE_END()
