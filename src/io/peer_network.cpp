#include "io/peer_network.h"

#include "io/frames.h"
#include "io/listen.h"
#include "io/record_codec.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

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

struct PeerNetwork::Connection {
    explicit Connection(tcp::socket socketValue)
        : socket(std::move(socketValue))
        , reader(socket)
        , outgoing(socket.get_executor(), config::peerMailboxCapacity)
        , inactivityTimer(socket.get_executor())
    {
    }

    tcp::socket socket;
    FrameReader reader;
    HostId host; ///< Known after the handshake.
    Mailbox<std::string> outgoing;
    asio::steady_timer inactivityTimer;
    std::chrono::steady_clock::time_point lastReceivedAt = std::chrono::steady_clock::now();
    bool isOpen = true;
};

PeerNetwork::PeerNetwork(asio::io_context& context, const NodeSettings& settings, NodeMailbox& nodeMailbox, EventLog& log)
    : m_context(context)
    , m_settings(settings)
    , m_nodeMailbox(nodeMailbox)
    , m_log(log)
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
        closeConnection(connection);
}

void PeerNetwork::send(HostId to, const PeerMessage& message)
{
    const auto found = m_connections.find(to);
    if (found == m_connections.end() || !found->second->outgoing.tryPush(encodeFrame(encode(message)), isUrgent(message)))
        ++m_droppedMessages;
}

awaitable<void> PeerNetwork::acceptLoop()
{
    while (!m_isStopping) {
        error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(use_awaitable, error));
        if (!error)
            asio::co_spawn(m_context, serveAccepted(std::move(socket)), asio::detached);
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
        tcp::socket socket(m_context);
        error_code error;
        co_await socket.async_connect(endpoint, asio::redirect_error(use_awaitable, error));
        if (!error)
            co_await runConnection(std::move(socket), peer);
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
    const std::string frame = encodeFrame(encode(own));
    error_code error;
    co_await asio::async_write(connection.socket, asio::buffer(frame), asio::redirect_error(use_awaitable, error));
    const auto payload = co_await connection.reader.read(maxHandshakeBytes);
    if (error || !payload)
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
    error_code error;
    socket.set_option(tcp::no_delay(true), error);
    const int timeout = static_cast<int>(config::peerTimeout / std::chrono::milliseconds(1));
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    const auto connection = std::make_shared<Connection>(std::move(socket));
    asio::co_spawn(m_context, closeWhenInactive(connection), asio::detached); // Also closes a connection whose handshake does not arrive.
    const auto host = co_await exchangeHandshakes(*connection, expected);
    if (!host || m_isStopping) {
        closeConnection(connection);
        co_return;
    }
    const auto existing = m_connections.find(*host);
    if (existing != m_connections.end())
        closeConnection(existing->second);
    connection->host = *host;
    m_connections[*host] = connection;
    m_nodeMailbox.tryPush(Event(PeerUp { *host }));
    m_log.write("peer-connected", { { "host", std::to_string(host->value) } });
    asio::co_spawn(m_context, writeLoop(connection), asio::detached);
    co_await readLoop(connection);
    closeConnection(connection);
}

awaitable<void> PeerNetwork::readLoop(std::shared_ptr<Connection> connection)
{
    RecordDecoder decoder;
    while (connection->isOpen) {
        const auto payload = co_await connection->reader.read(config::maxFrameBytes);
        if (!payload || !connection->isOpen)
            co_return;
        connection->lastReceivedAt = std::chrono::steady_clock::now();
        auto message = decoder.decode<PeerMessage>(*payload);
        if (!message) {
            reject("unreadable message: " + decoder.lastError().message);
            co_return;
        }
        const bool isMessageUrgent = isUrgent(*message);
        if (!m_nodeMailbox.tryPush(Event(PeerMessageReceived { connection->host, std::move(*message) }), isMessageUrgent))
            ++m_droppedMessages;
    }
}

awaitable<void> PeerNetwork::writeLoop(std::shared_ptr<Connection> connection)
{
    while (auto frame = co_await connection->outgoing.pop()) {
        std::string batch = std::move(*frame);
        while (auto next = connection->outgoing.tryPop())
            batch += *next;
        error_code error;
        co_await asio::async_write(connection->socket, asio::buffer(batch), asio::redirect_error(use_awaitable, error));
        if (error)
            break;
    }
    closeConnection(connection);
}

awaitable<void> PeerNetwork::closeWhenInactive(std::shared_ptr<Connection> connection)
{
    while (connection->isOpen) {
        connection->inactivityTimer.expires_at(connection->lastReceivedAt + config::peerTimeout);
        error_code error;
        co_await connection->inactivityTimer.async_wait(asio::redirect_error(use_awaitable, error));
        if (connection->isOpen && std::chrono::steady_clock::now() >= connection->lastReceivedAt + config::peerTimeout) {
            m_log.write("peer-silent", { { "host", std::to_string(connection->host.value) } });
            closeConnection(connection);
        }
    }
}

void PeerNetwork::closeConnection(const std::shared_ptr<Connection>& connection)
{
    if (!std::exchange(connection->isOpen, false))
        return;
    error_code ignored;
    connection->socket.close(ignored);
    connection->outgoing.close();
    connection->inactivityTimer.cancel();
    const auto found = m_connections.find(connection->host);
    if (found == m_connections.end() || found->second != connection)
        return;
    m_connections.erase(found);
    m_nodeMailbox.tryPush(Event(PeerDown { connection->host }));
    m_log.write("peer-disconnected", { { "host", std::to_string(connection->host.value) } });
}

} // namespace eelgrassloft::io
