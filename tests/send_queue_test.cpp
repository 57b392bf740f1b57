#include "io/frames.h"
#include "io/peer_connection.h"
#include "support/socket_pair.h"
#include "support/test_clock.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::io;

namespace {

constexpr size_t megabyte = 1024UL * 1024;

struct QueueFixture {
    asio::io_context context;
    SendQueue queue { context.get_executor(), config::peerMailboxCapacity };

    std::string takeBatch()
    {
        std::string taken;
        const auto take = [&]() -> awaitable<void> {
            const auto batch = co_await queue.popBatch();
            taken = batch.value_or(std::string());
        };
        asio::co_spawn(context, take(), asio::detached);
        context.restart();
        context.poll();
        return taken;
    }
};

/// A connection whose far end has a small buffer.
struct LinkFixture {
    static constexpr int farBufferBytes = 64 * 1024;

    asio::io_context context;
    SocketPair sockets { context, farBufferBytes };
    PeerConnection<TestTimer> connection { std::move(sockets.near), config::fleetPeerTimeout };
    FrameReader<> reader { sockets.far };

    /// Writes what the link takes while the far end reads nothing.
    void startWriting()
    {
        asio::co_spawn(context, connection.writeQueued(), asio::detached);
        runReady(context);
    }

    std::optional<std::string> receive(FrameReader<>& from)
    {
        bool isDone = false;
        std::optional<std::string> message;
        const auto task = [&]() -> awaitable<void> {
            message = co_await from.read(config::maxFrameBytes);
            isDone = true;
        };
        asio::co_spawn(context, task(), asio::detached);
        context.restart();
        while (!isDone)
            context.run_one();
        return message;
    }

    std::string receive() { return receive(reader).value_or("nothing"); }

    static std::string largeMessage()
    {
        std::string message;
        while (message.size() < megabyte)
            message += std::to_string(message.size());
        return message;
    }
};

} // namespace

// Messages of a megabyte to a host that took none waited by the thousand.
BOOST_FIXTURE_TEST_SUITE(SendQueueWithoutABoundInBytes, QueueFixture)

/// Replies to callers did not leave while messages of the log kept coming, though large ones did.
BOOST_AUTO_TEST_CASE(urgentMessagesDoNotStopOthers)
{
    for (int i = 0; i < 100; ++i)
        BOOST_REQUIRE(queue.tryPush(std::string(config::peerWriteBytes, 'u'), true));
    BOOST_REQUIRE(queue.tryPush("reply", false));
    BOOST_TEST(takeBatch().find("reply") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(queueIsBoundedInBytes)
{
    const std::string message(megabyte, 'x');
    uint64_t refused = 0;
    for (int i = 0; i < 100; ++i)
        refused += !queue.tryPush(message, false);
    BOOST_TEST(queue.bytes() <= config::maxQueuedPeerBytes);
    BOOST_TEST(refused == 100 - config::maxQueuedPeerBytes / megabyte);
    BOOST_TEST(queue.dropped() == refused);
}

BOOST_AUTO_TEST_CASE(otherMessagesTakeNoRoomOfUrgentOnes)
{
    while (queue.tryPush(std::string(megabyte, 'x'), false)) { }
    BOOST_TEST(queue.tryPush(std::string(megabyte, 'u'), true));
    BOOST_TEST(queue.tryPush("n", false));
    BOOST_TEST(takeBatch().starts_with(encodeFrame(std::string(megabyte, 'u'))));
}

BOOST_AUTO_TEST_CASE(messageOverTheBoundIsSentAlone)
{
    const std::string message(config::maxQueuedPeerBytes + 1, 'x');
    BOOST_TEST(queue.tryPush(message, true));
    BOOST_TEST(!queue.tryPush("y", true));
    BOOST_TEST(takeBatch() == encodeFrame(message));
    BOOST_TEST(queue.bytes() == 0U);
    BOOST_TEST(queue.tryPush("y", true));
}

BOOST_AUTO_TEST_CASE(smallMessagesAreSentTogether)
{
    queue.tryPush("a", false);
    queue.tryPush("b", true);
    BOOST_TEST(takeBatch() == encodeFrame("b") + encodeFrame("a"));
}

BOOST_AUTO_TEST_CASE(smallMessagesDoNotStopALargeOne)
{
    constexpr size_t fragments = 8;
    BOOST_TEST(queue.tryPush(std::string(fragments * config::bulkFragmentBytes, 'x'), false));
    for (size_t i = 0; i < fragments; ++i) {
        BOOST_TEST(queue.bytes() == (fragments - i) * config::bulkFragmentBytes);
        BOOST_TEST(queue.tryPush(std::string(config::peerWriteBytes, 'y'), false));
        takeBatch();
    }
    BOOST_TEST(queue.bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

// Calls and acknowledgements waited behind a configuration that a slow link took seconds to carry.
BOOST_FIXTURE_TEST_SUITE(SmallMessageBehindALargeOne, LinkFixture)

BOOST_AUTO_TEST_CASE(smallMessagesOvertakeALargeOneInProgress)
{
    const std::string large = largeMessage();
    BOOST_REQUIRE(connection.send(large, false));
    startWriting();
    BOOST_REQUIRE(connection.send("normal", false));
    BOOST_REQUIRE(connection.send("urgent", true));
    BOOST_TEST((receive() == "urgent"));
    BOOST_TEST((receive() == "normal"));
    BOOST_TEST((receive() == large));
}

BOOST_AUTO_TEST_CASE(urgentMessageOvertakesWhatTheLinkHasNotTaken)
{
    constexpr int messages = 400;
    for (int i = 0; i < messages; ++i)
        BOOST_REQUIRE(connection.send(std::string(config::bulkFragmentBytes, 'x'), false));
    startWriting();
    BOOST_REQUIRE(connection.send("urgent", true));
    int overtaken = messages;
    while (receive() != "urgent")
        --overtaken;
    BOOST_TEST(overtaken > messages * 9 / 10);
}

BOOST_AUTO_TEST_CASE(largeMessagesArriveInOrder)
{
    startWriting();
    for (const char c : { 'a', 'b', 'c' })
        BOOST_REQUIRE(connection.send(std::string(config::bulkMessageBytes + 1, c), false));
    for (const char c : { 'a', 'b', 'c' })
        BOOST_TEST((receive() == std::string(config::bulkMessageBytes + 1, c)));
}

BOOST_AUTO_TEST_CASE(invalidFragmentsEndTheConnection)
{
    const auto failureAfter = [&](const std::string& bytes) {
        SocketPair pair(context);
        asio::write(pair.near, asio::buffer(bytes));
        FrameReader<> invalidReader(pair.far);
        BOOST_TEST(!receive(invalidReader));
        return invalidReader.failure().value_or(DisconnectReason::Count);
    };
    const auto fragment = [](std::string_view piece, size_t messageBytes) {
        std::string bytes;
        appendFragment(bytes, piece, messageBytes);
        return bytes;
    };
    BOOST_TEST((failureAfter(fragment("ab", 3) + fragment("cd", 3)) == DisconnectReason::InvalidFragment));
    BOOST_TEST((failureAfter(fragment("ab", 4) + fragment("cd", 5)) == DisconnectReason::InvalidFragment));
    BOOST_TEST((failureAfter(fragment("ab", config::maxFrameBytes + 1)) == DisconnectReason::InvalidFragment));
    BOOST_TEST((failureAfter(fragment("", 1)) == DisconnectReason::InvalidFragment));
    BOOST_TEST((failureAfter("\xff\xff\xff\xff") == DisconnectReason::FrameTooLarge));
}

BOOST_AUTO_TEST_SUITE_END()
