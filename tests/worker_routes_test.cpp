#include "worker_routes.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1h };
constexpr size_t manyWorkers = config::directWorkers + 1;
constexpr HostId host { 7 };

WorkerRoutes routesWithHost()
{
    WorkerRoutes routes("home");
    routes.hostUp(host, "north", "far");
    return routes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerRoutesTests)

BOOST_AUTO_TEST_CASE(onlyLargeFleetsUseRelays)
{
    const WorkerRoutes routes = routesWithHost();
    BOOST_TEST(!routes.hostFor("north", config::directWorkers, start).isValid());
    BOOST_TEST((routes.hostFor("north", manyWorkers, start) == host));
    BOOST_TEST(!routes.hostFor("south", manyWorkers, start).isValid());
}

/// The leader called the workers of its own data centre itself, and its processor was full.
BOOST_AUTO_TEST_CASE(leastBusyHostOfTheRegionCallsTheWorkersOfTheLeadersDataCentre)
{
    WorkerRoutes routes = routesWithHost();
    constexpr HostId near { 8 };
    constexpr HostId other { 9 };
    routes.hostUp(near, "west", "home");
    routes.hostUp(other, "east", "home");
    BOOST_TEST((routes.hostFor("south", manyWorkers, start) == near));
    routes.addCall(near, CallId { 1 }, start + 1s);
    BOOST_TEST((routes.hostFor("south", manyWorkers, start) == other));
    BOOST_TEST((routes.hostFor("west", manyWorkers, start) == near));
    routes.removeCall(CallId { 1 });
    BOOST_TEST((routes.hostFor("south", manyWorkers, start) == near));
    routes.addCall(near, CallId { 2 }, start + 1s);
    routes.takeOverdue(start + 1s);
    BOOST_TEST((routes.hostFor("west", manyWorkers, start + 1s) == other));
}

BOOST_AUTO_TEST_CASE(unresponsiveRelayIsAvoidedForSomeTime)
{
    WorkerRoutes routes = routesWithHost();
    routes.addCall(host, CallId { 1 }, start + 1s);
    routes.addCall(host, CallId { 2 }, start + 1s);
    routes.removeCall(CallId { 2 });
    BOOST_TEST((routes.nextDeadline() == start + 1s));
    BOOST_TEST((routes.takeOverdue(start + 1s) == std::set<CallId> { CallId { 1 } }));
    BOOST_TEST(!routes.hostFor("north", manyWorkers, start + 1s).isValid());
    BOOST_TEST((routes.hostFor("north", manyWorkers, start + 1s + config::relayBackoff) == host));
    BOOST_TEST((routes.nextDeadline() == never));
}

BOOST_AUTO_TEST_CASE(callsOfADisconnectedRelayAreReturned)
{
    WorkerRoutes routes = routesWithHost();
    routes.addCall(host, CallId { 1 }, start + 1s);
    BOOST_TEST((routes.hostDown(host) == std::set<CallId> { CallId { 1 } }));
    BOOST_TEST(!routes.hostFor("north", manyWorkers, start).isValid());
    BOOST_TEST(routes.takeOverdue(start + 2s).empty());
}

BOOST_AUTO_TEST_SUITE_END()
