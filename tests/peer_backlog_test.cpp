#include "io/fleet_peer_network.h"
#include "io/peer_network.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using namespace std::chrono_literals;

namespace {

constexpr size_t backlog = 4000; ///< Messages ahead of the acknowledgement on its connection.

/// Returns a port that is free at present.
uint16_t freePort()
{
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
}

template <typename Predicate>
void runUntil(asio::io_context& context, Predicate done)
{
    while (!done())
        context.run_one();
}

/// Lets the sender write its messages, of which the other host reads only the first few.
void startWriting(asio::io_context& context)
{
    for (int i = 0; i < 8; ++i)
        context.poll_one();
}

/// Number of messages that a core takes from its mailbox before the acknowledgement, if it handles
/// one each time that the event loop comes round, and so falls behind.
template <typename Message, typename Predicate>
size_t messagesHandledBefore(asio::io_context& context, Mailbox<Message>& mailbox, Predicate isAcknowledgement)
{
    size_t handled = 0;
    bool isAcknowledged = false;
    const auto handleMessages = [&]() -> awaitable<void> {
        while (!isAcknowledged) {
            const auto message = co_await mailbox.pop();
            isAcknowledged = isAcknowledgement(*message);
            handled += !isAcknowledged;
            co_await asio::post(co_await asio::this_coro::executor, use_awaitable);
        }
    };
    asio::co_spawn(context, handleMessages(), asio::detached);
    runUntil(context, [&] { return isAcknowledged; });
    return handled;
}

} // namespace

// Busy leaders lost their leases although their voters had acknowledged in time: the acknowledgements
// waited behind other messages of their connections.
BOOST_AUTO_TEST_SUITE(LeaseLostToTheLeadersOwnBacklog)

BOOST_AUTO_TEST_CASE(acknowledgementOfAFleetsLogOvertakesItsConnection)
{
    const HostId leader = hostIdOf(asio::ip::make_address_v4("127.0.0.1"));
    const HostId voter = hostIdOf(asio::ip::make_address_v4("127.0.0.2"));
    const uint16_t port = freePort();
    asio::io_context context;
    EventLog log("", "OFF");
    FleetMailbox leaderMailbox(context.get_executor(), config::fleetMailboxCapacity);
    FleetMailbox voterMailbox(context.get_executor(), config::fleetMailboxCapacity);
    FleetPeerNetwork leaderNetwork(context, leader, port, leaderMailbox, log);
    FleetPeerNetwork voterNetwork(context, voter, port, voterMailbox, log);
    BOOST_REQUIRE(!leaderNetwork.start());
    BOOST_REQUIRE(!voterNetwork.start());
    voterNetwork.setTargets({ leader });
    runUntil(context, [&] { return leaderMailbox.size() && voterMailbox.size(); });

    for (size_t i = 0; i < backlog; ++i)
        voterNetwork.send(leader, WorkerCallReply { i, {} });
    startWriting(context);
    voterNetwork.send(leader, ReplicaMessage<WorkTable> { { voter, 1 }, { leader, 1 }, AppendReply {} });
    const auto isAcknowledgement = [](const FleetTaskDelivery& delivery) {
        const auto* event = std::get_if<FleetEvent>(&delivery.message);
        return event && kindOf(*event) == FleetEventKind::MessageReplica;
    };
    BOOST_TEST(messagesHandledBefore(context, leaderMailbox, isAcknowledgement) < backlog / 10);
}

BOOST_AUTO_TEST_CASE(acknowledgementOfADataCentresLogOvertakesItsConnection)
{
    const auto settingsOf = [port = freePort()](uint32_t self) {
        NodeSettingsBuilder builder;
        builder.cluster("cluster").self(self);
        for (uint32_t id = 1; id <= 2; ++id) {
            HostSettings host;
            host.id = HostId { id };
            host.dataCentre = "data-centre";
            host.address = "127.0.0." + std::to_string(id);
            host.peerPort = port;
            builder.host(std::move(host));
        }
        return builder.build();
    };
    const NodeSettings leaderSettings = settingsOf(1);
    const NodeSettings voterSettings = settingsOf(2);
    asio::io_context context;
    EventLog log("", "OFF");
    NodeMailbox leaderMailbox(context.get_executor(), config::nodeMailboxCapacity);
    NodeMailbox voterMailbox(context.get_executor(), config::nodeMailboxCapacity);
    PeerNetwork leaderNetwork(context, leaderSettings, leaderMailbox, log);
    PeerNetwork voterNetwork(context, voterSettings, voterMailbox, log);
    BOOST_REQUIRE(!voterNetwork.start());
    BOOST_REQUIRE(!leaderNetwork.start());
    runUntil(context, [&] { return leaderMailbox.size() && voterMailbox.size(); });

    for (size_t i = 0; i < backlog; ++i)
        voterNetwork.send(HostId { 1 }, HostStatus { i, false });
    startWriting(context);
    voterNetwork.send(HostId { 1 }, ReplicaMessage<DataCentreStateMachine> { { HostId { 2 }, 1 }, { HostId { 1 }, 1 }, AppendReply {} });
    const auto isAcknowledgement = [](const NodeMessage& message) {
        const auto* event = std::get_if<Event>(&message);
        const auto* received = event ? std::get_if<PeerMessageReceived>(event) : nullptr;
        return received && isUrgent(received->message);
    };
    BOOST_TEST(messagesHandledBefore(context, leaderMailbox, isAcknowledgement) < backlog / 10);
}

BOOST_AUTO_TEST_SUITE_END()
