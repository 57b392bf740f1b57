#include "io/peer_network.h"

#include "io/listen.h"
#include "io/peer_connection.h"
#include "io/record_codec.h"

#include <bit>
#include <numeric>

namespace eelgrassloft::io {

namespace {

constexpr uint32_t handshakeMagic = 0x45474c46;
constexpr size_t maxHandshakeBytes = 1024;

/// First frame of a connection, sent by both ends.
struct PeerHandshake {
    uint32_t magic = handshakeMagic;
    uint32_t version = config::peerProtocolVersion;
    std::string cluster;
    HostId host;

    static constexpr auto members()
    {
        return std::make_tuple(&PeerHandshake::magic, &PeerHandshake::version, &PeerHandshake::cluster, &PeerHandshake::host);
    }
};

} // namespace

struct PeerNetwork::Connection : PeerConnection<> {
    Connection(tcp::socket socket, Duration timeout)
        : PeerConnection(std::move(socket), timeout)
    {
    }

    HostId host; ///< Known after the handshake.
    uint64_t receivedDropped = 0; ///< Messages that the core's mailbox did not take.
};

PeerNetwork::PeerNetwork(asio::io_context& context, const NodeSettings& settings, NodeMailbox& nodeMailbox, EventLog& log, Duration timeout)
    : m_context(context)
    , m_settings(settings)
    , m_nodeMailbox(nodeMailbox)
    , m_log(log)
    , m_timeout(timeout)
    , m_acceptor(context)
{
}

std::optional<Error> PeerNetwork::start()
{
    const HostSettings& self = m_settings.selfHost();
    if (auto error = listenOn(m_acceptor, self.address, self.peerPort, "peerPort"))
        return error;
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
    for (const HostSettings& host : m_settings.hosts) {
        if (host.id > m_settings.self)
            asio::co_spawn(m_context, connectLoop(host.id), asio::detached);
    }
    return std::nullopt;
}

void PeerNetwork::stop()
{
    m_isStopping = true;
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& timer : m_connectTimers)
        timer->cancel();
    const auto connections = m_connections;
    for (const auto& [host, connection] : connections)
        closeConnection(connection, DisconnectReason::ShutDown);
}

void PeerNetwork::send(HostId to, const PeerMessage& message)
{
    const auto found = m_connections.find(to);
    if (found == m_connections.end()) {
        ++m_droppedMessages;
        return;
    }
    Connection& connection = *found->second;
    if (!connection.send(encode(message), isUrgent(message)))
        countDropped("message-dropped", connection, connection.dropped());
}

size_t PeerNetwork::queuedBytes() const
{
    const auto add = [](size_t sum, const auto& entry) { return sum + entry.second->queuedBytes(); };
    return std::accumulate(m_connections.begin(), m_connections.end(), size_t {}, add);
}

/// Counts a message that a full queue did not take: the `onConnection`-th of its connection. A burst
/// of them gives few lines in the log.
void PeerNetwork::countDropped(const char* event, const Connection& connection, uint64_t onConnection)
{
    ++m_droppedMessages;
    if (std::has_single_bit(onConnection))
        m_log.write(event, { { "host", std::to_string(connection.host.value) }, { "dropped", std::to_string(onConnection) }, { "queuedBytes", std::to_string(connection.queuedBytes()) } });
}

awaitable<void> PeerNetwork::acceptLoop()
{
    asio::steady_timer timer(m_context);
    while (!m_isStopping) {
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

awaitable<void> PeerNetwork::serveAccepted(tcp::socket socket) { co_await runConnection(std::move(socket), std::nullopt); }

awaitable<void> PeerNetwork::connectLoop(HostId peer)
{
    const HostSettings& host = *m_settings.host(peer);
    const tcp::endpoint endpoint(asio::ip::make_address(host.address), host.peerPort);
    const auto timer = std::make_shared<asio::steady_timer>(m_context);
    m_connectTimers.push_back(timer);
    while (!m_isStopping) {
        const auto socket = std::make_shared<tcp::socket>(m_context);
        // A host that cannot be reached does not refuse the connection: the attempt needs a timeout.
        timer->expires_after(m_timeout);
        timer->async_wait([socket](const error_code& error) {
            if (!error)
                socket->close();
        });
        error_code error;
        co_await socket->async_connect(endpoint, asio::redirect_error(use_awaitable, error));
        timer->cancel();
        if (!error)
            co_await runConnection(std::move(*socket), peer);
        if (m_isStopping)
            break;
        timer->expires_after(config::peerReconnectDelay);
        co_await timer->async_wait(asio::redirect_error(use_awaitable, error));
    }
}

std::nullopt_t PeerNetwork::reject(const std::string& reason)
{
    ++m_rejectedPeers;
    m_log.write("peer-rejected", { { "reason", reason } });
    return std::nullopt;
}

awaitable<std::optional<HostId>> PeerNetwork::exchangeHandshakes(Connection& connection, std::optional<HostId> expected)
{
    PeerHandshake own;
    own.cluster = m_settings.cluster;
    own.host = m_settings.self;
    const bool isSent = co_await connection.write(encodeFrame(encode(own)));
    const auto payload = co_await connection.read(maxHandshakeBytes);
    if (!isSent || !payload)
        co_return expected ? std::nullopt : std::optional<HostId>(reject("no handshake received"));
    RecordDecoder decoder;
    const auto handshake = decoder.decode<PeerHandshake>(*payload);
    if (!handshake || handshake->magic != handshakeMagic)
        co_return reject("unreadable handshake");
    if (handshake->version != config::peerProtocolVersion)
        co_return reject("unsupported protocol version " + std::to_string(handshake->version));
    if (handshake->cluster != m_settings.cluster)
        co_return reject("other cluster: " + handshake->cluster);
    const bool isExpected = expected ? handshake->host == *expected : handshake->host < m_settings.self && m_settings.host(handshake->host);
    if (!isExpected)
        co_return reject("unexpected host " + std::to_string(handshake->host.value));
    co_return handshake->host;
}

awaitable<void> PeerNetwork::runConnection(tcp::socket socket, std::optional<HostId> expected)
{
    const auto connection = std::make_shared<Connection>(std::move(socket), m_timeout);
    asio::co_spawn(m_context, closeWhenSilent(connection), asio::detached); // Also closes a connection whose handshake does not arrive.
    const auto host = co_await exchangeHandshakes(*connection, expected);
    if (!host || m_isStopping) {
        closeConnection(connection, m_isStopping ? DisconnectReason::ShutDown : connection->readFailure().value_or(DisconnectReason::NotIdentified));
        m_log.write("peer-not-connected", connection->closeFields());
        co_return;
    }
    const auto existing = m_connections.find(*host);
    if (existing != m_connections.end())
        closeConnection(existing->second, DisconnectReason::Replaced);
    connection->host = *host;
    m_connections[*host] = connection;
    m_nodeMailbox.tryPush(Event(PeerUp { *host }));
    m_log.write("peer-connected", { { "host", std::to_string(host->value) } });
    asio::co_spawn(m_context, writeLoop(connection), asio::detached);
    const DisconnectReason reason = co_await readLoop(connection);
    closeConnection(connection, reason);
}

awaitable<DisconnectReason> PeerNetwork::readLoop(std::shared_ptr<Connection> connection)
{
    RecordDecoder decoder;
    while (connection->isOpen()) {
        const auto payload = co_await connection->read(config::maxFrameBytes);
        if (!payload || !connection->isOpen())
            break;
        auto message = decoder.decode<PeerMessage>(*payload);
        if (!message) {
            reject("unreadable message: " + decoder.lastError().message);
            co_return DisconnectReason::UnreadableMessage;
        }
        const bool isMessageUrgent = isUrgent(*message);
        if (!m_nodeMailbox.tryPush(Event(PeerMessageReceived { connection->host, std::move(*message) }), isMessageUrgent))
            countDropped("received-message-dropped", *connection, ++connection->receivedDropped);
    }
    co_return connection->readFailure().value_or(DisconnectReason::ClosedByPeer);
}

awaitable<void> PeerNetwork::writeLoop(std::shared_ptr<Connection> connection)
{
    co_await connection->writeQueued();
    closeConnection(connection, DisconnectReason::WriteFailed);
}

awaitable<void> PeerNetwork::closeWhenSilent(std::shared_ptr<Connection> connection)
{
    co_await connection->waitForSilence();
    closeConnection(connection, DisconnectReason::Silent);
}

void PeerNetwork::closeConnection(std::shared_ptr<Connection> connection, DisconnectReason reason)
{
    if (!connection->close(reason))
        return;
    const auto found = m_connections.find(connection->host);
    if (found == m_connections.end() || found->second != connection)
        return;
    m_connections.erase(found);
    m_nodeMailbox.tryPush(Event(PeerDown { connection->host }));
    std::vector<LogField> fields = connection->closeFields();
    fields.insert(fields.begin(), { "host", std::to_string(connection->host.value) });
    m_log.write("peer-disconnected", fields);
}

} // namespace eelgrassloft::io
