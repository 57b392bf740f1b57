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

} // namespace

// Messages of a megabyte to a host that took none waited by the thousand.
BOOST_FIXTURE_TEST_SUITE(SendQueueWithoutABoundInBytes, QueueFixture)

BOOST_AUTO_TEST_CASE(queueIsBoundedInBytes)
{
    const std::string frame(megabyte, 'x');
    uint64_t refused = 0;
    for (int i = 0; i < 100; ++i)
        refused += !queue.tryPush(frame, false);
    BOOST_TEST(queue.bytes() <= config::maxQueuedPeerBytes);
    BOOST_TEST(refused == 100 - config::maxQueuedPeerBytes / megabyte);
    BOOST_TEST(queue.dropped() == refused);
}

BOOST_AUTO_TEST_CASE(otherFramesTakeNoRoomOfUrgentOnes)
{
    while (queue.tryPush(std::string(megabyte, 'x'), false)) { }
    BOOST_TEST(queue.tryPush(std::string(megabyte, 'u'), true));
    BOOST_TEST(takeBatch().front() == 'u');
}

BOOST_AUTO_TEST_CASE(frameOverTheBoundIsSentAlone)
{
    const std::string frame(config::maxQueuedPeerBytes + 1, 'x');
    BOOST_TEST(queue.tryPush(frame, false));
    BOOST_TEST(!queue.tryPush("y", false));
    BOOST_TEST(takeBatch().size() == frame.size());
    BOOST_TEST(queue.bytes() == 0U);
    BOOST_TEST(queue.tryPush("y", false));
}

BOOST_AUTO_TEST_CASE(smallFramesAreSentTogether)
{
    queue.tryPush("a", false);
    queue.tryPush("b", true);
    BOOST_TEST(takeBatch() == "ba");
}

BOOST_AUTO_TEST_SUITE_END()

// An acknowledgement waited behind all that had been handed to the socket before it.
BOOST_AUTO_TEST_SUITE(UrgentMessageBehindTheSocketsBacklog)

BOOST_AUTO_TEST_CASE(urgentFrameOvertakesWhatTheLinkHasNotTaken)
{
    constexpr size_t frames = 100;
    constexpr size_t frameBytes = 64UL * 1024;
    constexpr int farBufferBytes = 64 * 1024;
    asio::io_context context;
    SocketPair sockets(context, farBufferBytes);
    PeerConnection<TestTimer> connection(std::move(sockets.near), config::fleetPeerTimeout);
    for (size_t i = 0; i < frames; ++i)
        BOOST_REQUIRE(connection.send(encodeFrame(std::string(frameBytes, 'x')), false));
    asio::co_spawn(context, connection.writeQueued(), asio::detached);
    runReady(context);
    BOOST_REQUIRE(connection.send(encodeFrame("u"), true));

    FrameReader<> reader(sockets.far);
    size_t overtaken = frames;
    bool isArrived = false;
    const auto readUntilUrgent = [&]() -> awaitable<void> {
        while (!isArrived) {
            const auto payload = co_await reader.read(config::maxFrameBytes);
            isArrived = *payload == "u";
            overtaken -= !isArrived;
        }
    };
    asio::co_spawn(context, readUntilUrgent(), asio::detached);
    while (!isArrived)
        context.run_one();
    BOOST_TEST(overtaken > frames * 9 / 10);
}

BOOST_AUTO_TEST_SUITE_END()
