#include "support/fleet_cluster.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t linkBytesPerSecond = 250'000;
constexpr size_t bytesOfText = 200; ///< Of one queue in the operator's document.
constexpr Duration applyTimeout = 3s; ///< A configuration is in force everywhere within this time.

std::string number(uint64_t value) { return std::to_string(1'000'000 + value); }

FleetConfig configOf(uint64_t version, uint64_t queues)
{
    FleetConfig config;
    config.version = version;
    config.pools.push_back({ "pool" });
    for (uint64_t i = 0; i < queues; ++i)
        config.queues.push_back({ "queue-" + number(i), "host-" + number(i), "/jobs-" + number(i) + "/", "pool", 0, 4, 2, 400ms, {} });
    config.text = std::string(queues * bytesOfText, 'x');
    return config;
}

/// A fleet whose entry host has a slow link, and a small configuration.
struct SlowFleet : FleetCluster {
    SlowFleet()
        : FleetCluster(options())
    {
        BOOST_REQUIRE(runUntil(10s, [&] { return leader().has_value(); }));
        BOOST_REQUIRE(callUntilOk(PutConfig { configOf(1, 3) }));
        run(1s);
    }

    static Options options()
    {
        Options options;
        options.entryLinkBytesPerSecond = linkBytesPerSecond;
        return options;
    }

    bool isInForce(uint64_t version) const { return entry().config().version == version && entry().isConfigCurrent(now()); }
};

} // namespace

// Entry hosts with slow links got no answers for as long as a large configuration was on its way, and
// it never arrived.
BOOST_AUTO_TEST_SUITE(LargeConfigurationNeverArrives)

BOOST_AUTO_TEST_CASE(largeConfigurationIsInForceInTimeOnAHostWithASlowLink)
{
    SlowFleet fleet;
    fleet.call(PutConfig { configOf(2, 4000) });
    BOOST_REQUIRE(fleet.runUntil(2s, [&] { return fleet.leader() && fleet.table().config().version == 2; }));
    BOOST_TEST(fleet.runUntil(applyTimeout, [&] { return fleet.isInForce(2); }));
    BOOST_TEST(fleet.entry().config().queues.size() == 4000U);
    BOOST_TEST(fleet.entry().config().queueAt("host-1003999", "/jobs-1003999/1"));
}

BOOST_AUTO_TEST_CASE(callsAreAnsweredWhileALargeConfigurationArrives)
{
    SlowFleet fleet;
    fleet.call(PutConfig { configOf(2, 4000) });
    fleet.run(100ms);
    for (int i = 0; i < 30; ++i) {
        const CallId call = fleet.call(CountPendingJobs { "queue-" + number(0) }, 500ms);
        BOOST_TEST(fleet.runUntil(600ms, [&] { return fleet.reply(call).has_value(); }));
        BOOST_TEST((fleet.reply(call) && fleet.reply(call)->status == ControlStatus::Ok));
    }
}

BOOST_AUTO_TEST_CASE(hostWithASlowLinkStaysInContactWhileALargeConfigurationArrives)
{
    SlowFleet fleet;
    fleet.call(PutConfig { configOf(2, 12'000) });
    for (int i = 0; i < 100; ++i) {
        fleet.run(100ms);
        BOOST_TEST(fleet.entry().isReady(fleet.now()));
    }
    BOOST_TEST(fleet.isInForce(2));
}

BOOST_AUTO_TEST_CASE(configurationsInQuickSuccessionDoNotKeepALargeOneFromArriving)
{
    SlowFleet fleet;
    for (uint64_t version = 2; version < 10; ++version) {
        FleetConfig config = configOf(version, 4000);
        config.queues[version].priority = 1;
        fleet.call(PutConfig { config });
        fleet.run(500ms);
    }
    BOOST_TEST(fleet.entry().config().version >= 7U);
    BOOST_TEST(fleet.runUntil(applyTimeout, [&] { return fleet.isInForce(9); }));
}

BOOST_AUTO_TEST_SUITE_END()
