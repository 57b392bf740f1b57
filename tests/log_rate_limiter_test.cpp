#include "io/fleet_metrics.h"
#include "io/log_rate_limiter.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(LogRateLimiterTests)

BOOST_AUTO_TEST_CASE(linesOverTheLimitAreSuppressedAndCounted)
{
    LogRateLimiter limiter(2);
    const LogRateLimiter::TimePoint start { 1h };
    BOOST_TEST(limiter.tryAcquire("job-ended", start));
    BOOST_TEST(limiter.tryAcquire("job-ended", start));
    BOOST_TEST(!limiter.tryAcquire("job-ended", start + 900ms));
    BOOST_TEST(!limiter.tryAcquire("job-ended", start + 950ms));
    BOOST_TEST(limiter.tryAcquire("call-unanswered", start + 950ms)); // Each kind has a limit of its own.
    BOOST_TEST(limiter.tryAcquire("job-ended", start + 1s));
    BOOST_TEST(limiter.takeSuppressed("job-ended") == 2U);
    BOOST_TEST(limiter.takeSuppressed("job-ended") == 0U);
}

BOOST_AUTO_TEST_CASE(metricsOfAFleetHostContainEveryCounter)
{
    FleetCounters counters;
    counters.add(FleetCounter::RunsLost, 3);
    counters.orders[OrderKind::Start][OrderOutcome::InsufficientCapacity] = 7;
    FleetGauges gauges;
    gauges[FleetGauge::Term] = 4;
    FleetDurations durations;
    durations.timers[FleetTimer::CommitToStart].add(20ms);
    durations.steps[FleetEventKind::MessageReplica].add(1ms);
    const std::string text = fleetMetricsText(counters, gauges, durations);
    for (const char* line : { "eelgrassloft_runs_lost_total 3\n", "eelgrassloft_start_orders_total{outcome=\"no-room\"} 7\n",
             "eelgrassloft_term 4\n", "eelgrassloft_commit_to_start_seconds_count 1\n", "eelgrassloft_step_replica_seconds_count 1\n" })
        BOOST_TEST(text.find(line) != std::string::npos, line);
    forEachValue<FleetCounter>([&](FleetCounter counter) { BOOST_TEST(text.find(name(counter)) != std::string::npos); });
}

BOOST_AUTO_TEST_SUITE_END()
