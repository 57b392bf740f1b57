#pragma once

#include "io/disconnect_reason.h"
#include "io/event_log.h"
#include "io/fleet_mailbox.h"

#include <map>
#include <set>

namespace eelgrassloft::io {

/// Address of a fleet host, whose id is its IPv4 address as a number.
inline asio::ip::address_v4 addressOf(HostId host) { return asio::ip::address_v4(host.value); }
inline HostId hostIdOf(const asio::ip::address_v4& address) { return HostId { static_cast<uint32_t>(address.to_uint()) }; }

/// Keeps connections to the other hosts of a fleet. The hosts are not listed in advance: a host's id
/// is its IPv4 address, and all use one port. Either end may connect; of two connections between the
/// same hosts, the one that the host with the lower id opened is kept.
class FleetPeerNetwork {
public:
    /// A connection on which nothing arrives for `timeout` is closed.
    FleetPeerNetwork(asio::io_context& context, HostId self, uint16_t port, FleetMailbox& nodeMailbox, EventLog& log, Duration timeout = config::fleetPeerTimeout);

    /// Starts listening. Returns an error if the port cannot be opened.
    std::optional<Error> start();
    /// Sets the hosts to stay connected to. Connections that other hosts opened are kept as well.
    void setTargets(const std::vector<HostId>& hosts);
    /// Queues a message. Drops and counts it if the host is not connected or the send queue is full.
    void send(HostId to, const FleetMessage& message);

    /// Bytes of messages to a host that its connection has not taken yet.
    size_t queuedBytes(HostId host) const;
    /// Dropped messages and queued bytes in the Prometheus text format.
    std::string metricsText() const;

private:
    struct Connection;

    awaitable<void> acceptLoop();
    awaitable<void> serveAccepted(tcp::socket socket);
    awaitable<void> connectLoop(HostId host);
    awaitable<void> runConnection(tcp::socket socket, HostId expected);
    awaitable<HostId> exchangeHandshakes(std::shared_ptr<Connection> connection, HostId expected);
    awaitable<DisconnectReason> readLoop(std::shared_ptr<Connection> connection);
    awaitable<void> writeLoop(std::shared_ptr<Connection> connection);
    awaitable<void> closeWhenSilent(std::shared_ptr<Connection> connection);
    bool registerConnection(const std::shared_ptr<Connection>& connection);
    void closeConnection(std::shared_ptr<Connection> connection, DisconnectReason reason);
    void logClosed(const char* event, const std::string& host, const Connection& connection);
    void countDropped(const char* event, const Connection& connection, uint64_t onConnection);
    void logIfLarge(const char* event, HostId host, size_t bytes);

    asio::io_context& m_context;
    HostId m_self;
    uint16_t m_port;
    FleetMailbox& m_nodeMailbox;
    EventLog& m_log;
    Duration m_timeout;
    tcp::acceptor m_acceptor;
    uint64_t m_incarnation; ///< Start time of this process, which tells it from earlier ones on the host.
    std::set<HostId> m_targets; ///< Hosts to stay connected to.
    std::set<HostId> m_connecting; ///< Hosts with a running connect loop.
    std::map<HostId, std::shared_ptr<Connection>> m_connections;
    uint64_t m_droppedMessages = 0;
};

} // namespace eelgrassloft::io
