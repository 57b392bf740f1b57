#include "io/mailbox.h"
#include "io/wall_clock.h"
#include "support/test_clock.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    void run() { runReady(context); }

    asio::io_context context;
    Mailbox<int, TestTimer> mailbox { context.get_executor(), 2 };
    std::vector<int> taken;
    int timeouts = 0;

    awaitable<void> takeOne(TestClock::time_point deadline = TestClock::time_point::max())
    {
        const auto message = co_await mailbox.pop(deadline);
        if (message)
            taken.push_back(*message);
        else
            ++timeouts;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MailboxTests, Fixture)

BOOST_AUTO_TEST_CASE(anUrgentMessageOvertakesOthers)
{
    BOOST_TEST(mailbox.tryPush(1));
    BOOST_TEST(mailbox.tryPushUrgent(2));
    BOOST_TEST(!mailbox.tryPushUrgent(3)); // The capacity covers both queues.
    BOOST_TEST(mailbox.size() == 2U);
    BOOST_TEST(*mailbox.tryPop() == 2);
    BOOST_TEST(*mailbox.tryPop() == 1);
}

BOOST_AUTO_TEST_CASE(messagesArriveInOrder)
{
    BOOST_TEST(mailbox.tryPush(1));
    BOOST_TEST(mailbox.tryPush(2));
    asio::co_spawn(context, takeOne(), asio::detached);
    asio::co_spawn(context, takeOne(), asio::detached);
    run();
    BOOST_TEST((taken == std::vector<int> { 1, 2 }));
}

BOOST_AUTO_TEST_CASE(aFullMailboxRefusesMessages)
{
    mailbox.tryPush(1);
    mailbox.tryPush(2);
    BOOST_TEST(!mailbox.tryPush(3));
}

BOOST_AUTO_TEST_CASE(aWaitingTaskIsWoken)
{
    asio::co_spawn(context, takeOne(), asio::detached);
    run();
    BOOST_TEST(taken.empty());
    mailbox.tryPush(7);
    run();
    BOOST_TEST((taken == std::vector<int> { 7 }));
}

BOOST_AUTO_TEST_CASE(aWaitEndsWhenItsClockReachesTheDeadline)
{
    asio::co_spawn(context, takeOne(TestClock::now() + 1h), asio::detached);
    run();
    BOOST_TEST(timeouts == 0);
    TestClock::s_now += 59min;
    run();
    BOOST_TEST(timeouts == 0);
    TestClock::s_now += 1min;
    run();
    BOOST_TEST(timeouts == 1);
}

BOOST_AUTO_TEST_CASE(aClosedMailboxDeliversQueuedMessagesThenEnds)
{
    mailbox.tryPush(1);
    mailbox.close();
    BOOST_TEST(!mailbox.tryPush(2));
    asio::co_spawn(context, takeOne(), asio::detached);
    asio::co_spawn(context, takeOne(), asio::detached);
    run();
    BOOST_TEST((taken == std::vector<int> { 1 }));
    BOOST_TEST(timeouts == 1);
}

BOOST_AUTO_TEST_CASE(theWallClockAdvancesWithItsSteadyClock)
{
    const BasicWallClock<TestClock> clock(Time(10s));
    BOOST_TEST((clock.now() == Time(10s)));
    TestClock::s_now += 5s;
    BOOST_TEST((clock.now() == Time(15s)));
    BOOST_TEST((clock.steadyTime(Time(15s)) == TestClock::now()));
}

BOOST_AUTO_TEST_SUITE_END()
