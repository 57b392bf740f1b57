#include "io/fleet_peer_network.h"
#include "io/peer_connection.h"
#include "io/peer_network.h"
#include "io/record_codec.h"
#include "support/socket_pair.h"
#include "support/test_clock.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using namespace std::chrono_literals;

namespace {

constexpr Duration timeout = 100ms; // Of networks in real time; no test depends on its length.
constexpr int parts = 16; // Of a frame that takes four timeouts.

/// A connection in the time of the test clock, with the tasks that its owner runs.
struct ConnectionFixture {
    asio::io_context context;
    SocketPair sockets { context };
    PeerConnection<TestTimer> connection { std::move(sockets.near), timeout };
    bool isSilent = false;
    std::optional<std::string> received;

    awaitable<void> readOne() { received = co_await connection.read(config::maxFrameBytes); }

    awaitable<void> watch()
    {
        co_await connection.waitForSilence();
        isSilent = true;
    }

    void advance(Duration duration)
    {
        TestClock::s_now += duration;
        runReady(context);
    }
};

std::string_view part(const std::string& frame, int number)
{
    const size_t begin = frame.size() * static_cast<size_t>(number) / parts;
    const size_t end = frame.size() * static_cast<size_t>(number + 1) / parts;
    return std::string_view(frame).substr(begin, end - begin);
}

void send(tcp::socket& socket, std::string_view bytes) { asio::write(socket, asio::buffer(bytes)); }

// Handshakes as the networks send them.

struct FleetHandshakeFields {
    uint32_t magic = 0;
    uint32_t version = 0;
    HostId host;
    uint64_t incarnation = 0;

    static constexpr auto members()
    {
        return std::make_tuple(&FleetHandshakeFields::magic, &FleetHandshakeFields::version, &FleetHandshakeFields::host, &FleetHandshakeFields::incarnation);
    }
};

struct HandshakeFields {
    uint32_t magic = 0;
    uint32_t version = 0;
    std::string cluster;
    HostId host;

    static constexpr auto members()
    {
        return std::make_tuple(&HandshakeFields::magic, &HandshakeFields::version, &HandshakeFields::cluster, &HandshakeFields::host);
    }
};

/// Accepts one connection and answers its handshake as the host `id`.
template <typename Handshake>
awaitable<void> acceptAs(HostId id, tcp::acceptor& acceptor, std::optional<tcp::socket>& peer)
{
    tcp::socket socket = co_await acceptor.async_accept(use_awaitable);
    FrameReader<> reader(socket);
    const auto payload = co_await reader.read(config::maxFrameBytes);
    RecordDecoder decoder;
    auto handshake = decoder.decode<Handshake>(*payload);
    handshake->host = id;
    const std::string frame = encodeFrame(encode(*handshake));
    co_await asio::async_write(socket, asio::buffer(frame), use_awaitable);
    peer = std::move(socket);
}

template <typename Predicate>
void runUntil(asio::io_context& context, Predicate done)
{
    while (!done())
        context.run_one();
}

/// Sends a frame over four timeouts. Each part is there before the network runs, however late the
/// machine lets it run.
void trickle(asio::io_context& context, tcp::socket& peer, const std::string& frame)
{
    for (int number = 0; number < parts; ++number) {
        send(peer, part(frame, number));
        std::this_thread::sleep_for(4 * timeout / parts);
        context.poll();
    }
}

/// A fleet's network that is connected to a host which the test plays.
struct FleetFixture {
    FleetFixture()
    {
        asio::co_spawn(context, acceptAs<FleetHandshakeFields>(host, acceptor, peer), asio::detached);
        BOOST_REQUIRE(!network.start());
        network.setTargets({ host });
        runUntil(context, [&] { return peer && mailbox.size(); });
        BOOST_REQUIRE((takeKind() == FleetEventKind::PeerUp));
    }

    FleetEventKind takeKind()
    {
        const auto delivery = mailbox.tryPop();
        return delivery ? kindOf(std::get<FleetEvent>(delivery->message)) : FleetEventKind::Count;
    }

    const HostId host = hostIdOf(asio::ip::make_address_v4("127.0.0.2"));
    const std::string frame = encodeFrame(encode(FleetMessage(WorkerCallReply { 1, {} })));
    asio::io_context context;
    tcp::acceptor acceptor { context, { addressOf(host), 0 } };
    std::optional<tcp::socket> peer;
    EventLog log { "", "OFF" };
    FleetMailbox mailbox { context.get_executor(), config::fleetMailboxCapacity };
    FleetPeerNetwork network { context, hostIdOf(asio::ip::make_address_v4("127.0.0.1")), acceptor.local_endpoint().port(), mailbox, log, timeout };
};

/// The same for a data centre's network.
struct NodeFixture {
    NodeFixture()
    {
        asio::co_spawn(context, acceptAs<HandshakeFields>(HostId { 2 }, acceptor, peer), asio::detached);
        BOOST_REQUIRE(!network.start());
        runUntil(context, [&] { return peer && mailbox.size(); });
        BOOST_REQUIRE(takes<PeerUp>());
    }

    NodeSettings settings() const
    {
        NodeSettingsBuilder builder;
        builder.cluster("cluster").self(1);
        for (uint32_t id = 1; id <= 2; ++id) {
            HostSettings host;
            host.id = HostId { id };
            host.dataCentre = "data-centre";
            host.address = "127.0.0." + std::to_string(id);
            host.peerPort = acceptor.local_endpoint().port();
            builder.host(std::move(host));
        }
        return builder.build();
    }

    /// Whether the next event is a `T`.
    template <typename T>
    bool takes()
    {
        const auto message = mailbox.tryPop();
        const auto* event = message ? std::get_if<Event>(&*message) : nullptr;
        return event && std::holds_alternative<T>(*event);
    }

    const std::string frame = encodeFrame(encode(PeerMessage(HostStatus { 1, false })));
    asio::io_context context;
    tcp::acceptor acceptor { context, { asio::ip::make_address("127.0.0.2"), 0 } };
    std::optional<tcp::socket> peer;
    EventLog log { "", "OFF" };
    NodeMailbox mailbox { context.get_executor(), config::nodeMailboxCapacity };
    const NodeSettings nodeSettings = settings();
    PeerNetwork network { context, nodeSettings, mailbox, log, timeout };
};

} // namespace

// A frame that took longer to arrive than the timeout closed its connection, again and again.
BOOST_AUTO_TEST_SUITE(SlowFrameTakenForSilence)

BOOST_FIXTURE_TEST_CASE(frameKeepsItsConnectionAsLongAsItsBytesCome, ConnectionFixture)
{
    const std::string payload(1000, 'x');
    const std::string frame = encodeFrame(payload);
    asio::co_spawn(context, readOne(), asio::detached);
    asio::co_spawn(context, watch(), asio::detached);
    for (int number = 0; number < parts; ++number) {
        send(sockets.far, part(frame, number));
        runReady(context);
        advance(4 * timeout / parts);
        BOOST_TEST(!isSilent);
    }
    BOOST_TEST((received == payload));
}

BOOST_FIXTURE_TEST_CASE(connectionIsSilentIfAFrameStops, ConnectionFixture)
{
    asio::co_spawn(context, readOne(), asio::detached);
    asio::co_spawn(context, watch(), asio::detached);
    send(sockets.far, part(encodeFrame(std::string(1000, 'x')), 0));
    runReady(context);
    advance(timeout - 1us);
    BOOST_TEST(!isSilent);
    advance(1us);
    BOOST_TEST(isSilent);
}

BOOST_FIXTURE_TEST_CASE(bytesThatABusyHostHasNotReadAreNoSilence, ConnectionFixture)
{
    asio::co_spawn(context, watch(), asio::detached);
    runReady(context);
    send(sockets.far, "x");
    advance(10 * timeout);
    BOOST_TEST(!isSilent);
    asio::co_spawn(context, readOne(), asio::detached);
    runReady(context);
    advance(timeout);
    BOOST_TEST(isSilent);
}

BOOST_FIXTURE_TEST_CASE(slowFrameArrivesInAFleet, FleetFixture)
{
    trickle(context, *peer, frame);
    BOOST_TEST((takeKind() == FleetEventKind::MessageWorkerCallReply));
    BOOST_TEST(!mailbox.size());
}

BOOST_FIXTURE_TEST_CASE(frameThatStopsClosesItsConnectionInAFleet, FleetFixture)
{
    send(*peer, part(frame, 0));
    runUntil(context, [&] { return mailbox.size(); });
    BOOST_TEST((takeKind() == FleetEventKind::PeerDown));
}

BOOST_FIXTURE_TEST_CASE(slowFrameArrivesInADataCentre, NodeFixture)
{
    trickle(context, *peer, frame);
    BOOST_TEST(takes<PeerMessageReceived>());
    BOOST_TEST(!mailbox.size());
}

BOOST_FIXTURE_TEST_CASE(frameThatStopsClosesItsConnectionInADataCentre, NodeFixture)
{
    send(*peer, part(frame, 0));
    runUntil(context, [&] { return mailbox.size(); });
    BOOST_TEST(takes<PeerDown>());
}

BOOST_AUTO_TEST_SUITE_END()
