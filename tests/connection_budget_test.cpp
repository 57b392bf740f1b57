#include "io/connection_budget.h"
#include "io/fleet_settings_json.h"
#include "io/minimum_rate.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <vector>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t mebibyte = 1024 * 1024;
constexpr ListenerKind callers = ListenerKind::Callers;
constexpr ListenerKind control = ListenerKind::Control;

using Connection = ConnectionBudget::Connection;

struct Fixture {
    ConnectionBudget budget { { 26 * mebibyte, 26 }, { ListenerKind::Callers, ListenerKind::Control, ListenerKind::Metrics } };
    std::list<Connection> connections;
    std::vector<Connection*> closed;

    Connection& add(ListenerKind listener)
    {
        Connection& connection = connections.emplace_back(budget, listener);
        budget.tryAdmit(connection, [&](Connection& victim, ShedReason) { closed.push_back(&victim); });
        return connection;
    }

    bool setBytes(Connection& connection, uint64_t bytes)
    {
        return budget.trySetBytes(connection, bytes, [&](Connection& victim, ShedReason) { closed.push_back(&victim); });
    }

    Connection& receiving(ListenerKind listener, uint64_t bytes, bool isLarge = false)
    {
        Connection& connection = add(listener);
        connection.setPhase(ConnectionPhase::Receiving);
        connection.setLarge(isLarge);
        BOOST_TEST(setBytes(connection, bytes));
        return connection;
    }

    void fillConnections(ListenerKind listener, ConnectionPhase phase)
    {
        while (budget.connections(listener) < budget.connectionLimit(listener))
            add(listener).setPhase(phase);
    }
};

} // namespace

// Connections and the bytes that they buffer had no bound; each listener could take all of them.
BOOST_FIXTURE_TEST_SUITE(ConnectionBudgetTests, Fixture)

BOOST_AUTO_TEST_CASE(partsAddUpToTheBudget)
{
    BOOST_TEST(budget.connectionLimit(callers) == 12U);
    BOOST_TEST(budget.connectionLimit(control) == 12U);
    BOOST_TEST(budget.connectionLimit(ListenerKind::Metrics) == 4U);
    BOOST_TEST(!budget.has(ListenerKind::Readiness));
    BOOST_TEST(budget.byteLimit(callers) <= 12 * mebibyte);
}

BOOST_AUTO_TEST_CASE(crowdThatStaysOpenLocksNobodyOut)
{
    fillConnections(callers, ConnectionPhase::Idle);
    BOOST_TEST(closed.empty());
    BOOST_TEST(add(callers).isAdmitted());
    BOOST_REQUIRE(closed.size() == 1U);
    BOOST_TEST(closed.front() == &connections.front());
    BOOST_TEST(connections.front().isEvicted());
    BOOST_TEST(budget.connections(callers) == budget.connectionLimit(callers));
    BOOST_TEST(budget.shed(callers, ShedReason::Connections) == 1U);
}

BOOST_AUTO_TEST_CASE(theOneThatHasWaitedLongestIsEvicted)
{
    fillConnections(callers, ConnectionPhase::Receiving);
    Connection& first = connections.front();
    Connection& second = *std::next(connections.begin());
    first.setPhase(ConnectionPhase::Receiving); // Something has arrived.
    add(callers);
    BOOST_REQUIRE(closed.size() == 1U);
    BOOST_TEST(closed.front() == &second);
}

BOOST_AUTO_TEST_CASE(requestsThatAreAnsweredAreNeverEvicted)
{
    fillConnections(callers, ConnectionPhase::Answering);
    BOOST_TEST(!add(callers).isAdmitted());
    BOOST_TEST(closed.empty());
    connections.front().setPhase(ConnectionPhase::Sending); // A client that doesn't read its response is.
    BOOST_TEST(add(callers).isAdmitted());
    BOOST_REQUIRE(closed.size() == 1U);
    BOOST_TEST(closed.front() == &connections.front());
}

BOOST_AUTO_TEST_CASE(noListenerTakesAnotherOnesPart)
{
    fillConnections(callers, ConnectionPhase::Answering);
    setBytes(connections.front(), budget.byteLimit(callers));
    BOOST_TEST(add(control).isAdmitted());
    BOOST_TEST(setBytes(connections.back(), 8 * mebibyte));
    BOOST_TEST(closed.empty());
}

BOOST_AUTO_TEST_CASE(bytesAreFreedByTheLongestWait)
{
    const uint64_t each = 256UL * 1024;
    Connection& first = receiving(callers, each);
    while (budget.bytes(callers) + each <= budget.byteLimit(callers) && connections.size() < 11)
        receiving(callers, each);
    Connection& caller = receiving(callers, 0);
    const uint64_t rest = budget.byteLimit(callers) - budget.bytes(callers);
    BOOST_TEST(setBytes(caller, rest));
    BOOST_TEST(closed.empty());
    BOOST_TEST(setBytes(caller, rest + 1000));
    BOOST_REQUIRE(closed.size() == 1U);
    BOOST_TEST(closed.front() == &first);
    BOOST_TEST(!setBytes(first, each));
    BOOST_TEST(budget.shed(callers, ShedReason::Memory) == 1U);
}

BOOST_AUTO_TEST_CASE(nothingIsEvictedForBytesThatStillWouldNotFit)
{
    Connection& answering = receiving(callers, 8 * mebibyte);
    answering.setPhase(ConnectionPhase::Answering);
    receiving(callers, mebibyte);
    Connection& caller = receiving(callers, 1000);
    BOOST_TEST(!setBytes(caller, 5 * mebibyte));
    BOOST_TEST(closed.empty());
    BOOST_TEST(caller.bytes() == 1000U);
}

BOOST_AUTO_TEST_CASE(largeRequestsLeaveRoomForSmallOnes)
{
    Connection& large = receiving(control, 8 * mebibyte, true);
    large.setPhase(ConnectionPhase::Answering);
    Connection& second = receiving(control, 0, true);
    BOOST_TEST(!setBytes(second, 2 * mebibyte));
    Connection& report = receiving(control, 0);
    BOOST_TEST(setBytes(report, 2 * mebibyte));
    BOOST_TEST(closed.empty());
}

BOOST_AUTO_TEST_CASE(roomIsFreeAgainAfterwards)
{
    for (int round = 0; round < 100; ++round) {
        receiving(control, 4 * mebibyte, true).setPhase(ConnectionPhase::Sending);
        connections.back().setLarge(false);
        connections.pop_back();
    }
    BOOST_TEST(budget.bytes(control) == 0U);
    BOOST_TEST(budget.connections(control) == 0U);
    BOOST_TEST(budget.shed(control, ShedReason::Memory) == 0U);
    receiving(control, 8 * mebibyte, true);
    BOOST_TEST(closed.empty());
}

BOOST_AUTO_TEST_CASE(parsedValuesNeedRoomBesideWhatIsBuffered)
{
    const uint64_t all = budget.byteLimit(callers) + budget.byteLimit(control) + budget.byteLimit(ListenerKind::Metrics);
    BOOST_TEST(budget.hasRoomFor(all));
    receiving(control, 4 * mebibyte, true);
    BOOST_TEST(!budget.hasRoomFor(all));
    BOOST_TEST(budget.hasRoomFor(all - 4 * mebibyte));
    BOOST_TEST(budget.canEverHold(all));
    BOOST_TEST(!budget.canEverHold(all + 1));
}

BOOST_AUTO_TEST_CASE(defaultsFollowFromTheMachine)
{
    BudgetSettings settings;
    BOOST_TEST(settings.limits().bytes == config::defaultConnectionMemory);
    BOOST_TEST(settings.limits().connections == config::defaultMaxConnections);
    settings.machineMemoryMiB = 160;
    settings.machineDescriptors = 4100;
    BOOST_TEST(settings.limits().bytes == 40 * mebibyte);
    BOOST_TEST(settings.limits().connections == 1950U);
    BOOST_TEST(settings.receiveBufferBytes() == config::minReceiveBufferBytes);
    settings.processDescriptors = 1024;
    BOOST_TEST(settings.limits().connections == 412U);
    settings.processDescriptors = 64;
    BOOST_TEST(settings.limits().connections == 16U);
    settings.memoryBudgetMiB = 0.5;
    settings.maxConnections = 20;
    BOOST_TEST(settings.limits().bytes == mebibyte / 2);
    BOOST_TEST(settings.limits().connections == 20U);
}

/// A platform that does not say what its machines have renders null.
BOOST_AUTO_TEST_CASE(settingsOfTheBudgetAreOptional)
{
    const std::string begin = R"({"address":"10.0.0.1","dataCentre":"z","seeds":["10.0.0.1:1"],"linkPort":1)";
    FleetSettingsReader reader;
    const auto without = reader.read(begin + R"(,"memoryMiB":null,"maxDescriptors":null})");
    BOOST_REQUIRE(without.has_value());
    BOOST_TEST(without->budget.limits().bytes == config::defaultConnectionMemory);
    BOOST_TEST((without->callerHeaderTimeout == config::requestHeaderTimeout));
    const auto with = reader.read(begin + R"(,"memoryMiB":256,"maxDescriptors":4096,"memoryBudgetMiB":2.5,"maxConnections":30,"callerHeaderTimeoutMs":500,"callerStallTimeoutMs":700})");
    BOOST_REQUIRE(with.has_value());
    BOOST_TEST(with->budget.limits().bytes == 5 * mebibyte / 2);
    BOOST_TEST(with->budget.limits().connections == 30U);
    BOOST_TEST((with->callerHeaderTimeout == 500ms));
    BOOST_TEST((with->callerStallTimeout == 700ms));
    BOOST_TEST(!reader.read(begin + R"(,"maxConnections":"many"})").has_value());
}

/// Whatever the settings say, one request of the largest legal size is served.
BOOST_AUTO_TEST_CASE(smallestBudgetHoldsOneLargeRequest)
{
    ConnectionBudget smallest({ 1, 1 }, { callers, control });
    const auto nobody = [](Connection&, ShedReason) { BOOST_ERROR("nothing to evict"); };
    Connection configuration(smallest, control);
    BOOST_TEST(smallest.tryAdmit(configuration, nobody));
    configuration.setLarge(true);
    BOOST_TEST(smallest.trySetBytes(configuration, 6 * mebibyte + 128 * 1024, nobody));
    Connection job(smallest, callers);
    BOOST_TEST(smallest.tryAdmit(job, nobody));
    job.setLarge(true);
    BOOST_TEST(smallest.trySetBytes(job, 512UL * 1024, nobody));
}

BOOST_AUTO_TEST_CASE(averageRateCountsAfterTheGrace)
{
    const MinimumRate::TimePoint start {};
    const MinimumRate rate(start, 10s);
    BOOST_TEST((rate.deadline(start, 0) == start + 10s));
    BOOST_TEST((rate.deadline(start + 9s, 1) == start + 10s)); // Too slow on average, though it moves.
    BOOST_TEST((rate.deadline(start + 9s, 100 * config::minTransferBytesPerSecond) == start + 19s)); // It must not stall either.
}

BOOST_AUTO_TEST_SUITE_END()
