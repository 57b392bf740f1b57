#include "support/fleet_cluster.h"
#include "support/fleet_config.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

constexpr JobKey key { 7 };

SubmitJob submission(JobKey job = key)
{
    StepSpec step;
    step.count = 2;
    step.size = { 1000, 1000, 0 };
    step.estimate = 300ms;
    return { { job, "queue", { "text", { step }, 0, {}, {} } } };
}

enum class CallerStep : uint8_t {
    Submit,
    Cancel,
    Count
};

enum class Between : uint8_t {
    Nothing,
    LeaderCrash,
    PowerOff, ///< All control hosts crash and restart with their disks.
    DiskLoss, ///< The leader loses its disk, then its successor crashes.
    Snapshots, ///< So many jobs that the log is cut off.
    Count
};

constexpr NameTable<Between> nameTable(Between)
{
    constexpr NameTable<Between> table { "nothing", "leader-crash", "power-off", "disk-loss", "snapshots" };
    return table;
}

uint32_t crashLeader(FleetCluster& fleet)
{
    BOOST_REQUIRE(fleet.runUntil(10s, [&] { return fleet.leader().has_value(); }));
    const uint32_t leader = *fleet.leader();
    fleet.kill(leader);
    fleet.run(3s);
    return leader;
}

void disrupt(FleetCluster& fleet, Between between)
{
    switch (between) {
    case Between::LeaderCrash:
        crashLeader(fleet);
        break;
    case Between::PowerOff:
        for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
            fleet.kill(id);
        for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
            fleet.restart(id);
        break;
    case Between::DiskLoss:
        fleet.restart(crashLeader(fleet), false);
        fleet.run(5s);
        crashLeader(fleet);
        break;
    case Between::Snapshots:
        for (uint64_t other = 0; other < config::fleetSnapshotThresholdEntries; ++other)
            fleet.call(CancelJob { JobKey { 1000 + other } });
        fleet.run(3s);
        fleet.restart(crashLeader(fleet), false);
        fleet.run(5s);
        break;
    default:
        break;
    }
}

bool isAcknowledged(const std::optional<ControlReply>& reply)
{
    return reply && (reply->status == ControlStatus::Ok || reply->status == ControlStatus::UnknownJob);
}

/// Cancels at the entry host until that is acknowledged.
bool cancel(FleetCluster& fleet)
{
    for (int attempt = 0; attempt < 10; ++attempt) {
        const CallId call = fleet.call(CancelJob { key });
        fleet.runUntil(3s, [&] { return fleet.reply(call).has_value(); });
        if (isAcknowledged(fleet.reply(call)))
            return true;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CancellationOrderTests)

/// A submission that arrived after its cancelling had been acknowledged was accepted and ran.
BOOST_AUTO_TEST_CASE(submissionAfterACancellingIsNotAcceptedInAnyOrder)
{
    std::vector steps { CallerStep::Submit, CallerStep::Submit, CallerStep::Cancel, CallerStep::Cancel };
    do {
        WorkTable table;
        table.apply({}, SetFleetConfig { configWithOneQueue() });
        bool isCancelled = false;
        Time now {};
        for (const CallerStep step : steps) {
            now += 30s;
            if (step == CallerStep::Cancel) {
                table.apply(now, CancelWork { key });
                isCancelled = true;
            } else {
                const WorkStatus status = table.apply(now, submission().work).status;
                BOOST_TEST((!isCancelled || status != WorkStatus::Applied));
            }
            table.rebuild(); // As after a restart.
        }
        BOOST_TEST(table.openJobs().empty());
    } while (std::next_permutation(steps.begin(), steps.end()));
}

/// The number of cancellings that wait for a submission is bounded, and each is forgotten in the end.
BOOST_AUTO_TEST_CASE(cancellingWithoutRoomIsRefusedUntilEarlierOnesExpire)
{
    WorkTable table;
    table.apply({}, SetFleetConfig { configWithOneQueue() });
    for (uint64_t other = 0; other < config::maxEarlyCancellations; ++other)
        BOOST_REQUIRE((table.apply({}, CancelWork { JobKey { 1000 + other } }).status == WorkStatus::UnknownJob));
    BOOST_TEST((table.apply({}, CancelWork { key }).status == WorkStatus::NoMemory));
    BOOST_TEST((table.apply({}, CancelWork { JobKey { 1000 } }).status == WorkStatus::UnknownJob)); // Resent.
    BOOST_TEST((table.apply({}, submission().work).status == WorkStatus::Applied));
    BOOST_TEST((table.apply({}, CancelWork { key }).status == WorkStatus::Applied));
    const Time later = Time {} + config::endedJobRetention + 1s;
    BOOST_TEST((table.apply(later, CancelWork { JobKey { 1 } }).status == WorkStatus::UnknownJob));
    BOOST_TEST((table.apply(later, submission(JobKey { 1001 }).work).status == WorkStatus::Applied));
}

BOOST_AUTO_TEST_CASE(cancellingOutlivesFailuresUntilTheSubmissionArrives)
{
    forEachValue<Between>([](Between between) {
        for (const uint32_t host : { FleetCluster::entryId, 1U, 2U, 3U }) {
            BOOST_TEST_CONTEXT(name(between) << ", submission at host " << host)
            {
                FleetCluster fleet({});
                BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configWithOneQueue() }));
                BOOST_REQUIRE(cancel(fleet));
                disrupt(fleet, between);
                for (Duration after = 0ms; after < 10s; after += 1s)
                    fleet.callAt(host, submission(), after);
                fleet.run(15s);
                BOOST_TEST(fleet.startCount() == 0U);
                const CallId state = fleet.call(GetJobState { key });
                BOOST_REQUIRE(fleet.runUntil(3s, [&] { return fleet.reply(state).has_value(); }));
                BOOST_TEST(name(fleet.reply(state)->status) == name(ControlStatus::UnknownJob));
            }
        }
    });
}

/// Copies of a submission and of its cancelling arrive at all hosts, while the leader crashes and returns.
BOOST_AUTO_TEST_CASE(nothingStartsLongAfterACancellingWasAcknowledged)
{
    constexpr uint32_t hosts[] { FleetCluster::entryId, 1, 2, 3 };
    constexpr Duration settled = 1s; // From the acknowledgement until all starts that it overtook have arrived.
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Random random(seed);
            FleetCluster fleet({ .seed = seed });
            BOOST_REQUIRE(fleet.callUntilOk(PutConfig { configWithOneQueue() }));
            const auto someTime = [&] { return std::chrono::milliseconds(random.below(4000)); };
            std::vector<CallId> cancellings;
            for (const uint32_t host : hosts) {
                fleet.callAt(host, submission(), someTime());
                cancellings.push_back(fleet.callAt(host, CancelJob { key }, someTime()));
            }
            const auto wasAcknowledged = [&] { return std::any_of(cancellings.begin(), cancellings.end(), [&](CallId call) { return isAcknowledged(fleet.reply(call)); }); };
            fleet.runUntil(someTime(), wasAcknowledged);
            const uint32_t leader = *fleet.leader();
            fleet.kill(leader);
            fleet.runUntil(someTime(), wasAcknowledged);
            fleet.restart(leader);
            BOOST_REQUIRE((fleet.runUntil(5s, wasAcknowledged) || cancel(fleet)));
            fleet.run(settled);
            const size_t starts = fleet.startCount();
            fleet.run(10s);
            BOOST_TEST(fleet.startCount() == starts);
            BOOST_TEST(fleet.table().openJobs().empty());
            BOOST_TEST(fleet.violations().empty());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
