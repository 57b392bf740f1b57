#pragma once

#include "io/asio.h"
#include "io/disconnect_reason.h"
#include "io/event_log.h"
#include "io/mailbox.h"
#include "io/node_messages.h"

#include "eelgrassloft/settings.h"

#include <map>
#include <memory>

namespace eelgrassloft::io {

/// Keeps connections to the other hosts. Of each pair, the host with the lower id connects. A
/// connection starts with a handshake that states protocol version, cluster and host; a peer with an
/// invalid handshake or message is disconnected and counted.
class PeerNetwork {
public:
    /// Connecting takes at most `timeout`. A connection on which nothing arrives for as long is closed.
    PeerNetwork(asio::io_context& context, const NodeSettings& settings, NodeMailbox& nodeMailbox, EventLog& log, Duration timeout = config::peerTimeout);

    /// Starts listening and connecting. Returns an error if the port cannot be opened.
    std::optional<Error> start();
    void stop();

    /// Queues a message. Drops and counts it if the peer is not connected or its send queue is full.
    void send(HostId to, const PeerMessage& message);

    uint64_t rejectedPeers() const { return m_rejectedPeers; }
    uint64_t droppedMessages() const { return m_droppedMessages; }
    /// Bytes of messages that the connections have not taken yet.
    size_t queuedBytes() const;

private:
    struct Connection;

    awaitable<void> acceptLoop();
    awaitable<void> connectLoop(HostId peer);
    awaitable<void> serveAccepted(tcp::socket socket);
    awaitable<void> runConnection(tcp::socket socket, std::optional<HostId> expected);
    awaitable<std::optional<HostId>> exchangeHandshakes(Connection& connection, std::optional<HostId> expected);
    awaitable<DisconnectReason> readLoop(std::shared_ptr<Connection> connection);
    awaitable<void> writeLoop(std::shared_ptr<Connection> connection);
    awaitable<void> closeWhenSilent(std::shared_ptr<Connection> connection);
    void closeConnection(std::shared_ptr<Connection> connection, DisconnectReason reason);
    void countDropped(const char* event, const Connection& connection, uint64_t onConnection);
    std::nullopt_t reject(const std::string& reason);

    asio::io_context& m_context;
    const NodeSettings& m_settings;
    NodeMailbox& m_nodeMailbox;
    EventLog& m_log;
    Duration m_timeout;
    tcp::acceptor m_acceptor;
    std::map<HostId, std::shared_ptr<Connection>> m_connections;
    std::vector<std::shared_ptr<asio::steady_timer>> m_connectTimers;
    bool m_isStopping = false;
    uint64_t m_rejectedPeers = 0;
    uint64_t m_droppedMessages = 0;
};

} // namespace eelgrassloft::io
