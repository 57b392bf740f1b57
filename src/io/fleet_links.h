#pragma once

#include "io/event_log.h"
#include "io/fleet_mailbox.h"

#include <map>
#include <set>

namespace eelgrassloft::io {

/// Address of a host whose id is its IPv4 number.
inline asio::ip::address_v4 addressOf(HostId host) { return asio::ip::address_v4(host.value); }
inline HostId hostIdOf(const asio::ip::address_v4& address) { return HostId { static_cast<uint32_t>(address.to_uint()) }; }

/// Links between the hosts of a fleet, which are not known beforehand: a host's id is its IPv4
/// number, and all use one port. Either end may dial; of two links between the same hosts the one
/// that the lower id dialed stays.
class FleetPeerNetwork {
public:
    FleetPeerNetwork(asio::io_context& context, HostId self, uint16_t port, FleetMailbox& nodeMailbox, EventLog& log);

    /// Listens. Gives the reason where the port cannot be opened.
    std::optional<Error> start();
    /// Hosts to keep links to; links that other hosts dialed stay too.
    void setTargets(const std::vector<HostId>& hosts);
    /// Queues a message; a host without a link or one that does not keep up loses it.
    void send(HostId to, const FleetMessage& message);

private:
    struct Connection;

    awaitable<void> acceptLoop();
    awaitable<void> serveAccepted(tcp::socket socket);
    awaitable<void> connectLoop(HostId host);
    awaitable<void> runConnection(tcp::socket socket, HostId expected);
    awaitable<HostId> exchangeHandshakes(std::shared_ptr<Connection> connection, HostId expected);
    awaitable<void> readLoop(std::shared_ptr<Connection> connection);
    awaitable<void> writeLoop(std::shared_ptr<Connection> connection);
    awaitable<void> closeWhenInactive(std::shared_ptr<Connection> connection);
    bool registerConnection(const std::shared_ptr<Connection>& connection);
    void closeConnection(std::shared_ptr<Connection> connection);

    asio::io_context& m_context;
    HostId m_self;
    uint16_t m_port;
    FleetMailbox& m_nodeMailbox;
    EventLog& m_log;
    tcp::acceptor m_acceptor;
    uint64_t m_incarnation; ///< Tells this life of the host from its others.
    std::set<HostId> m_targets;
    std::set<HostId> m_connecting;
    std::map<HostId, std::shared_ptr<Connection>> m_connections;
};

} // namespace eelgrassloft::io
