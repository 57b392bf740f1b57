#include "connection_pool.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

constexpr ConnectionLimits limits { 3, 1s, 4s, 3s, 500ms };
constexpr ConnectionLimits unlimited { unlimitedConnections, 0s, 0s, 3s, 3s, RefusalPolicy::FailRequest };
constexpr Duration maxIdle = 500ms;

/// A pool whose owner carries out its actions at once, except that connections open when the test says so.
struct Fixture {
    ConnectionPool pool { limits };
    Time now {};
    uint64_t lastRequest = 0;
    std::vector<ConnectionNumber> opening;
    std::map<RequestNumber, ConnectionNumber> sent;
    std::vector<RequestNumber> failed;
    std::vector<ConnectionNumber> closed;

    RequestNumber addUrgent()
    {
        const RequestNumber request { ++lastRequest };
        perform(pool.add(now, request, { Duration::max(), RequestPriority::Urgent }));
        return request;
    }

    RequestNumber add(Duration maxIdleTime = Duration::max())
    {
        const RequestNumber request { ++lastRequest };
        perform(pool.add(now, request, { maxIdleTime }));
        return request;
    }

    ConnectionNumber open()
    {
        const ConnectionNumber connection = takeOpening();
        perform(pool.opened(now, connection));
        return connection;
    }

    void refuse() { perform(pool.openFailed(now, takeOpening())); }

    void finish(RequestNumber request, ConnectionFate fate = ConnectionFate::Reusable)
    {
        const ConnectionNumber connection = sent.at(request);
        sent.erase(request);
        perform(pool.finished(now, connection, fate));
    }

    void perform(const ConnectionPool::Actions& actions)
    {
        for (const PoolAction& action : actions) {
            if (action.kind == PoolActionKind::Open)
                opening.push_back(action.connection);
            else if (action.kind == PoolActionKind::Send)
                sent[action.request] = action.connection;
            else if (action.kind == PoolActionKind::Close)
                closed.push_back(action.connection);
            else
                failed.push_back(action.request);
        }
    }

    ConnectionNumber takeOpening()
    {
        const ConnectionNumber connection = opening.at(0);
        opening.erase(opening.begin());
        return connection;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConnectionPoolTests, Fixture)

/// Starts that a worker left unanswered kept the stops of others waiting until these timed out.
BOOST_AUTO_TEST_CASE(normalRequestsLeaveAConnectionToUrgentOnes)
{
    for (int i = 0; i < 9; ++i)
        add();
    while (!opening.empty())
        open();
    BOOST_TEST(sent.size() == limits.maxConnections - 1);
    const RequestNumber urgent = addUrgent();
    open();
    BOOST_TEST(sent.count(urgent) == 1U);
    const RequestNumber waiting = addUrgent();
    finish(RequestNumber { 1 });
    BOOST_TEST(sent.count(waiting) == 1U);
    BOOST_TEST(sent.size() == limits.maxConnections);
}

BOOST_AUTO_TEST_CASE(requestsBeyondTheBoundWait)
{
    addUrgent();
    for (int i = 0; i < 9; ++i)
        add();
    BOOST_TEST(opening.size() == limits.maxConnections);
    while (!opening.empty())
        open();
    BOOST_TEST(sent.size() == limits.maxConnections);
    finish(RequestNumber { 2 });
    BOOST_TEST(sent.size() == limits.maxConnections);
    BOOST_TEST((sent.count(RequestNumber { 4 }) == 1));
    BOOST_TEST(pool.size() == limits.maxConnections);
}

/// If idle connections were used by turns, the surplus of a burst would never close.
BOOST_AUTO_TEST_CASE(theLatestUsedConnectionIsReused)
{
    const RequestNumber first = add();
    const RequestNumber second = add();
    open();
    const ConnectionNumber latest = open();
    finish(first);
    BOOST_TEST((pool.lifetime() == limits.surplusLifetime));
    finish(second);
    for (int i = 0; i < 3; ++i) {
        const RequestNumber next = add();
        BOOST_TEST((sent.at(next) == latest));
        finish(next);
    }
    BOOST_TEST(pool.retire(ConnectionNumber { 1 }));
    BOOST_TEST((pool.lifetime() == limits.idleLifetime));
    BOOST_TEST(!pool.retire(ConnectionNumber { 1 }));
}

BOOST_AUTO_TEST_CASE(openConnectionsServeTheRequestsOfARefusedOne)
{
    const RequestNumber poll = add();
    const ConnectionNumber connection = open();
    const RequestNumber start = add();
    refuse();
    BOOST_TEST(opening.empty());
    BOOST_TEST(failed.empty());
    finish(poll);
    BOOST_TEST((sent.at(start) == connection));
}

BOOST_AUTO_TEST_CASE(thePauseAfterARefusalDoublesUpToItsBound)
{
    const RequestNumber poll = addUrgent();
    open();
    for (const Duration pause : { 1s, 2s, 4s, 4s }) {
        const RequestNumber start = add();
        BOOST_REQUIRE(opening.size() == 1U);
        refuse();
        BOOST_TEST(pool.withdraw(start));
        now += pause - 1ms;
        pool.withdraw(add());
        BOOST_TEST(opening.empty());
        now += 1ms;
    }
    const RequestNumber start = add();
    open();
    finish(start);
    add();
    finish(poll);
    add();
    addUrgent();
    refuse(); // The pause begins anew after a connection that answered.
    now += 1s;
    addUrgent();
    BOOST_TEST(!opening.empty());
}

BOOST_AUTO_TEST_CASE(requestsFailWithoutAnyConnection)
{
    add();
    add();
    refuse();
    BOOST_TEST(failed.empty());
    refuse();
    BOOST_TEST(failed.size() == 2U);
    BOOST_TEST(pool.isUnused());
    add();
    BOOST_TEST(opening.size() == 1U); // The only connection needs no pause.
}

BOOST_AUTO_TEST_CASE(aRequestOnAConnectionThatHadEndedGoesFirstOnTheNext)
{
    const RequestNumber first = add();
    const ConnectionNumber ended = open();
    const RequestNumber second = add();
    sent.erase(first);
    perform(pool.returned(now, ended, first));
    open();
    BOOST_TEST(sent.count(first) == 1U);
    BOOST_TEST(sent.count(second) == 0U);
}

/// The network may have dropped all connections, so that none of them would be answered.
BOOST_AUTO_TEST_CASE(aTimeoutClosesTheIdleConnections)
{
    const RequestNumber first = add();
    const RequestNumber second = add();
    open();
    const ConnectionNumber idle = open();
    finish(second);
    finish(first, ConnectionFate::TimedOut);
    BOOST_TEST((closed == std::vector<ConnectionNumber> { idle }));
    BOOST_TEST(pool.isUnused());
}

BOOST_AUTO_TEST_CASE(aWithdrawnRequestIsNotSent)
{
    const RequestNumber request = add();
    BOOST_TEST(pool.withdraw(request));
    open();
    BOOST_TEST(sent.empty());
    BOOST_TEST(!pool.withdraw(request));
}

/// Requests that avoid connections idle for long opened new ones beside those.
BOOST_AUTO_TEST_CASE(aConnectionIdleForTooLongIsClosedForANewOne)
{
    pool = ConnectionPool(unlimited);
    const RequestNumber first = add();
    const RequestNumber second = add();
    const ConnectionNumber oldest = open();
    open();
    finish(first);
    now += maxIdle;
    finish(second);
    const RequestNumber reusing = add(maxIdle);
    BOOST_TEST(sent.count(reusing) == 1U);
    BOOST_TEST(opening.empty());
    add(maxIdle);
    BOOST_TEST((closed == std::vector<ConnectionNumber> { oldest }));
    BOOST_TEST(opening.size() == 1U);
    BOOST_TEST(pool.size() == 2U);
}

BOOST_AUTO_TEST_CASE(aRequestTakesAnIdleConnectionThatOneBeforeItAvoids)
{
    pool = ConnectionPool(unlimited);
    const RequestNumber first = add();
    const RequestNumber second = add();
    open();
    open();
    finish(first);
    finish(second);
    now += maxIdle;
    const RequestNumber avoiding = add(maxIdle);
    const RequestNumber reusing = add();
    BOOST_TEST(sent.count(avoiding) == 0U);
    BOOST_TEST(sent.count(reusing) == 1U);
    BOOST_TEST(pool.size() == 2U);
}

BOOST_AUTO_TEST_CASE(requestsDoNotWaitForOthersWithoutALimit)
{
    pool = ConnectionPool(unlimited);
    for (size_t i = 1; i <= 100; ++i) {
        add();
        BOOST_TEST(opening.size() == i);
    }
}

/// A request that stays with a server that refuses it can't go to another one in time.
BOOST_AUTO_TEST_CASE(aRefusedRequestFailsAlthoughOthersAreOpen)
{
    pool = ConnectionPool(unlimited);
    add();
    open();
    const RequestNumber second = add();
    const RequestNumber third = add();
    refuse();
    BOOST_TEST((failed == std::vector<RequestNumber> { second }));
    open();
    BOOST_TEST(sent.count(third) == 1U);
    add();
    BOOST_TEST(opening.size() == 1U); // Without a pause.
}

BOOST_AUTO_TEST_CASE(aReturnedRequestStillAvoidsConnectionsIdleForLong)
{
    pool = ConnectionPool(unlimited);
    const RequestNumber first = add();
    const RequestNumber second = add();
    open();
    const ConnectionNumber ended = open();
    finish(first);
    now += maxIdle;
    finish(second);
    const RequestNumber avoiding = add(maxIdle);
    sent.erase(avoiding);
    perform(pool.returned(now, ended, avoiding));
    BOOST_TEST(sent.empty());
    BOOST_TEST(opening.size() == 1U);
    BOOST_TEST(pool.size() == 1U);
}

/// A server that closes each connection at once was sent new ones without a pause.
BOOST_AUTO_TEST_CASE(aConnectionClosedBeforeItsFirstRequestIsRefused)
{
    for (const ConnectionLimits& used : { limits, unlimited }) {
        pool = ConnectionPool(used);
        failed.clear();
        const RequestNumber request = add();
        const ConnectionNumber connection = open();
        perform(pool.returned(now, connection, request, ConnectionFate::Refused));
        BOOST_TEST(opening.empty());
        BOOST_TEST((failed == std::vector<RequestNumber> { request }));
        BOOST_TEST(pool.isUnused());
    }
}

BOOST_AUTO_TEST_SUITE_END()
