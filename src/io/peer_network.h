#pragma once

#include "io/asio.h"
#include "io/event_log.h"
#include "io/mailbox.h"
#include "io/node_messages.h"

#include "eelgrassloft/settings.h"

#include <map>
#include <memory>

namespace eelgrassloft::io {

/// Connections to the other hosts. For each pair the host with the lower id dials. A connection
/// begins with an exchange of greetings that name version, cluster and host; a peer that greets
/// wrongly or sends bytes that are no messages is cut off and counted.
class PeerNetwork {
public:
    PeerNetwork(asio::io_context& context, const NodeSettings& settings, NodeMailbox& nodeMailbox, EventLog& log);

    /// Listens and dials. Gives the reason where the port cannot be opened.
    std::optional<Error> start();
    void stop();

    /// Queues a message; a peer that is not connected or does not keep up loses it.
    void send(HostId to, const PeerMessage& message);

    uint64_t rejectedPeers() const { return m_rejectedPeers; }
    uint64_t droppedMessages() const { return m_droppedMessages; }

private:
    struct Connection;

    awaitable<void> acceptLoop();
    awaitable<void> connectLoop(HostId peer);
    awaitable<void> serveAccepted(tcp::socket socket);
    awaitable<void> runConnection(tcp::socket socket, std::optional<HostId> expected);
    awaitable<std::optional<HostId>> exchangeHandshakes(tcp::socket& socket, std::optional<HostId> expected);
    awaitable<void> readLoop(std::shared_ptr<Connection> connection);
    awaitable<void> writeLoop(std::shared_ptr<Connection> connection);
    awaitable<void> closeWhenInactive(std::shared_ptr<Connection> connection);
    void closeConnection(const std::shared_ptr<Connection>& connection);
    std::nullopt_t reject(const std::string& reason);

    asio::io_context& m_context;
    const NodeSettings& m_settings;
    NodeMailbox& m_nodeMailbox;
    EventLog& m_log;
    tcp::acceptor m_acceptor;
    std::map<HostId, std::shared_ptr<Connection>> m_connections;
    std::vector<std::shared_ptr<asio::steady_timer>> m_connectTimers;
    bool m_isStopping = false;
    uint64_t m_rejectedPeers = 0;
    uint64_t m_droppedMessages = 0;
};

} // namespace eelgrassloft::io
