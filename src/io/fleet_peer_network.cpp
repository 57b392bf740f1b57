#include "io/fleet_peer_network.h"

#include "io/listen.h"
#include "io/metrics_text.h"
#include "io/peer_connection.h"
#include "io/record_codec.h"

#include "eelgrassloft/config.h"

#include <algorithm>
#include <bit>

namespace eelgrassloft::io {

namespace {

constexpr uint32_t handshakeMagic = 0x45474c55;
constexpr size_t maxHandshakeBytes = 256;

/// First frame of a connection, sent by both ends.
struct FleetHandshake {
    uint32_t magic = handshakeMagic;
    uint32_t version = config::peerProtocolVersion;
    HostId host;
    uint64_t incarnation = 0; ///< Differs each time that the process is started.

    static constexpr auto members()
    {
        return std::make_tuple(&FleetHandshake::magic, &FleetHandshake::version, &FleetHandshake::host, &FleetHandshake::incarnation);
    }
};

std::string addressText(HostId host) { return addressOf(host).to_string(); }

} // namespace

struct FleetPeerNetwork::Connection : PeerConnection<> {
    Connection(tcp::socket socket, Duration timeout, HostId initiatorValue)
        : PeerConnection(std::move(socket), timeout)
        , initiator(initiatorValue)
    {
    }

    HostId host; ///< Known after the handshake.
    HostId initiator;
    uint64_t incarnation = 0; ///< Of the other host's process.
    uint64_t receivedDropped = 0; ///< Messages that the core's mailbox did not take.
};

FleetPeerNetwork::FleetPeerNetwork(asio::io_context& context, HostId self, uint16_t port, FleetMailbox& nodeMailbox, EventLog& log, Duration timeout)
    : m_context(context)
    , m_self(self)
    , m_port(port)
    , m_nodeMailbox(nodeMailbox)
    , m_log(log)
    , m_timeout(timeout)
    , m_acceptor(context)
    , m_incarnation(static_cast<uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()))
{
}

std::optional<Error> FleetPeerNetwork::start()
{
    if (auto error = listenOn(m_acceptor, addressText(m_self), m_port, "linkPort"))
        return error;
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
    return std::nullopt;
}

void FleetPeerNetwork::setTargets(const std::vector<HostId>& hosts)
{
    m_targets = { hosts.begin(), hosts.end() };
    m_targets.erase(m_self);
    for (const HostId host : m_targets) {
        if (m_connecting.insert(host).second)
            asio::co_spawn(m_context, connectLoop(host), asio::detached);
    }
}

void FleetPeerNetwork::send(HostId to, const FleetMessage& message)
{
    const auto found = m_connections.find(to);
    if (found == m_connections.end()) {
        ++m_droppedMessages;
        return;
    }
    Connection& connection = *found->second;
    std::string payload = encode(message);
    logIfLarge("large-message-sent", to, payload.size());
    if (!connection.send(std::move(payload), isUrgent(kindOf(message))))
        countDropped("message-dropped", connection, connection.dropped());
}

size_t FleetPeerNetwork::queuedBytes(HostId host) const
{
    const auto found = m_connections.find(host);
    return found == m_connections.end() ? 0 : found->second->queuedBytes();
}

std::string FleetPeerNetwork::metricsText() const
{
    size_t longest = 0;
    size_t total = 0;
    for (const auto& [host, connection] : m_connections) {
        longest = std::max(longest, connection->queuedBytes());
        total += connection->queuedBytes();
    }
    return gaugeText("link_messages_dropped", static_cast<double>(m_droppedMessages)) + gaugeText("link_queued_bytes", static_cast<double>(total))
        + gaugeText("link_longest_queue_bytes", static_cast<double>(longest));
}

/// Counts a message that a full queue did not take: the `onConnection`-th of its connection. A burst
/// of them gives few lines in the log.
void FleetPeerNetwork::countDropped(const char* event, const Connection& connection, uint64_t onConnection)
{
    ++m_droppedMessages;
    if (std::has_single_bit(onConnection))
        m_log.write(event, { { "host", addressText(connection.host) }, { "dropped", std::to_string(onConnection) }, { "queuedBytes", std::to_string(connection.queuedBytes()) } });
}

/// Other messages to the host wait behind a large one.
void FleetPeerNetwork::logIfLarge(const char* event, HostId host, size_t bytes)
{
    if (bytes >= config::largeMessageBytes)
        m_log.write(event, { { "host", addressText(host) }, { "bytes", std::to_string(bytes) } });
}

awaitable<void> FleetPeerNetwork::acceptLoop()
{
    asio::steady_timer timer(m_context);
    while (true) {
        error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(use_awaitable, error));
        if (!error)
            asio::co_spawn(m_context, serveAccepted(std::move(socket)), asio::detached);
        if (isShortage(error)) {
            timer.expires_after(config::acceptRetryDelay);
            co_await timer.async_wait(asio::redirect_error(use_awaitable, error));
        }
    }
}

awaitable<void> FleetPeerNetwork::serveAccepted(tcp::socket socket) { co_await runConnection(std::move(socket), HostId {}); }

/// Connects to a host whenever there is no connection to it, until it is no longer a target.
awaitable<void> FleetPeerNetwork::connectLoop(HostId host)
{
    asio::steady_timer timer(m_context);
    while (m_targets.count(host)) {
        if (!m_connections.count(host)) {
            auto socket = std::make_shared<tcp::socket>(m_context);
            // A host that cannot be reached does not refuse the connection: the attempt needs a timeout.
            timer.expires_after(m_timeout);
            timer.async_wait([socket](const error_code& error) {
                if (!error)
                    socket->close();
            });
            error_code error;
            co_await socket->async_connect({ addressOf(host), m_port }, asio::redirect_error(use_awaitable, error));
            timer.cancel();
            if (!error)
                co_await runConnection(std::move(*socket), host);
        }
        timer.expires_after(config::peerReconnectDelay);
        error_code ignored;
        co_await timer.async_wait(asio::redirect_error(use_awaitable, ignored));
    }
    m_connecting.erase(host);
}

awaitable<HostId> FleetPeerNetwork::exchangeHandshakes(std::shared_ptr<Connection> connection, HostId expected)
{
    FleetHandshake own;
    own.host = m_self;
    own.incarnation = m_incarnation;
    if (!co_await connection->write(encodeFrame(encode(own))))
        co_return HostId {};
    const auto payload = co_await connection->read(maxHandshakeBytes);
    if (!payload)
        co_return HostId {};
    RecordDecoder decoder;
    const auto handshake = decoder.decode<FleetHandshake>(*payload);
    const bool isAccepted = handshake && handshake->magic == handshakeMagic && handshake->version == config::peerProtocolVersion
        && (!expected.isValid() || handshake->host == expected) && handshake->host != m_self;
    if (!isAccepted) {
        m_log.write("link-rejected", { { "reason", handshake ? "wrong host or version" : "unreadable handshake" } });
        co_return HostId {};
    }
    connection->incarnation = handshake->incarnation;
    co_return handshake->host;
}

/// Makes this the connection to its host, or returns false if the existing one is kept. A connection
/// to another incarnation of the host replaces the existing one. Otherwise the connection that the
/// host with the lower id opened is kept, and of two that the same host opened, the newer one.
bool FleetPeerNetwork::registerConnection(const std::shared_ptr<Connection>& connection)
{
    const auto existing = m_connections.find(connection->host);
    if (existing != m_connections.end()) {
        const bool isPreferred = connection->incarnation != existing->second->incarnation || connection->initiator <= existing->second->initiator;
        if (!isPreferred)
            return false;
        closeConnection(existing->second, DisconnectReason::Replaced);
    }
    m_connections[connection->host] = connection;
    return true;
}

awaitable<void> FleetPeerNetwork::runConnection(tcp::socket socket, HostId expected)
{
    error_code error;
    const std::string remote = socket.remote_endpoint(error).address().to_string();
    const auto connection = std::make_shared<Connection>(std::move(socket), m_timeout, expected.isValid() ? m_self : HostId {});
    asio::co_spawn(m_context, closeWhenSilent(connection), asio::detached); // Also closes a connection whose handshake does not arrive.
    connection->host = co_await exchangeHandshakes(connection, expected);
    if (!expected.isValid())
        connection->initiator = connection->host;
    if (!connection->host.isValid() || !connection->isOpen()) {
        closeConnection(connection, connection->readFailure().value_or(DisconnectReason::NotIdentified));
        logClosed("link-not-made", remote, *connection);
        co_return;
    }
    if (!registerConnection(connection)) {
        closeConnection(connection, DisconnectReason::Replaced);
        co_return;
    }
    m_nodeMailbox.tryPush(FleetEvent(FleetPeerUp { connection->host }));
    m_log.write("link-up", { { "host", addressText(connection->host) } });
    asio::co_spawn(m_context, writeLoop(connection), asio::detached);
    const DisconnectReason reason = co_await readLoop(connection);
    closeConnection(connection, reason);
}

awaitable<DisconnectReason> FleetPeerNetwork::readLoop(std::shared_ptr<Connection> connection)
{
    RecordDecoder decoder;
    while (connection->isOpen()) {
        const auto payload = co_await connection->read(config::maxFrameBytes);
        if (!payload || !connection->isOpen())
            break;
        logIfLarge("large-message-received", connection->host, payload->size());
        auto message = decoder.decode<FleetMessage>(*payload);
        if (!message) {
            m_log.writeError("link-message-unreadable", decoder.lastError());
            co_return DisconnectReason::UnreadableMessage;
        }
        FleetEvent event = FleetMessageReceived { connection->host, std::move(*message) };
        const bool isEventUrgent = isUrgent(kindOf(event)); // A leader whose acknowledgements wait behind calls loses its lease.
        if (!m_nodeMailbox.tryPush(std::move(event), isEventUrgent))
            countDropped("received-message-dropped", *connection, ++connection->receivedDropped);
    }
    co_return connection->readFailure().value_or(DisconnectReason::ClosedByPeer);
}

awaitable<void> FleetPeerNetwork::writeLoop(std::shared_ptr<Connection> connection)
{
    co_await connection->writeQueued();
    closeConnection(connection, DisconnectReason::WriteFailed);
}

awaitable<void> FleetPeerNetwork::closeWhenSilent(std::shared_ptr<Connection> connection)
{
    co_await connection->waitForSilence();
    closeConnection(connection, DisconnectReason::Silent);
}

void FleetPeerNetwork::closeConnection(std::shared_ptr<Connection> connection, DisconnectReason reason)
{
    if (!connection->close(reason))
        return;
    const auto found = m_connections.find(connection->host);
    if (found == m_connections.end() || found->second != connection)
        return;
    m_connections.erase(found);
    m_nodeMailbox.tryPush(FleetEvent(FleetPeerDown { connection->host }));
    logClosed("link-down", addressText(connection->host), *connection);
}

void FleetPeerNetwork::logClosed(const char* event, const std::string& host, const Connection& connection)
{
    std::vector<LogField> fields = connection.closeFields();
    fields.insert(fields.begin(), { "host", host });
    m_log.write(event, fields);
}

} // namespace eelgrassloft::io
