#include "io/peer_network.h"

#include "io/frames.h"
#include "io/listen.h"
#include "io/record_codec.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace eelgrassloft::io {

namespace {

constexpr uint32_t greetingMagic = 0x45474c46;
constexpr size_t maxGreetingBytes = 1024;

/// First frame of a connection, in both directions.
struct Greeting {
    uint32_t magic = greetingMagic;
    uint32_t version = config::peerProtocolVersion;
    std::string cluster;
    HostId host;

    static constexpr auto members()
    {
        return std::make_tuple(&Greeting::magic, &Greeting::version, &Greeting::cluster, &Greeting::host);
    }
};

} // namespace

struct PeerNetwork::Link {
    explicit Link(tcp::socket socketValue)
        : socket(std::move(socketValue))
        , outgoing(socket.get_executor(), config::peerMailboxCapacity)
        , silence(socket.get_executor())
    {
    }

    tcp::socket socket;
    HostId host; ///< Known after the greeting.
    Mailbox<std::string> outgoing;
    asio::steady_timer silence;
    std::chrono::steady_clock::time_point lastHeard = std::chrono::steady_clock::now();
    bool isOpen = true;
};

PeerNetwork::PeerNetwork(asio::io_context& context, const NodeSettings& settings, NodeMailbox& node, EventLog& log)
    : m_context(context)
    , m_settings(settings)
    , m_node(node)
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
            asio::co_spawn(m_context, dialLoop(host.id), asio::detached);
    }
    return std::nullopt;
}

void PeerNetwork::stop()
{
    m_isStopping = true;
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& timer : m_dialTimers)
        timer->cancel();
    const auto links = m_links;
    for (const auto& [host, link] : links)
        closeLink(link);
}

void PeerNetwork::send(HostId to, const PeerMessage& message)
{
    const auto found = m_links.find(to);
    if (found == m_links.end() || !found->second->outgoing.tryPush(frameOf(encode(message))))
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

awaitable<void> PeerNetwork::serveAccepted(tcp::socket socket) { co_await runLink(std::move(socket), std::nullopt); }

awaitable<void> PeerNetwork::dialLoop(HostId peer)
{
    const HostSettings& host = *m_settings.host(peer);
    const tcp::endpoint endpoint(asio::ip::make_address(host.address), host.peerPort);
    const auto timer = std::make_shared<asio::steady_timer>(m_context);
    m_dialTimers.push_back(timer);
    while (!m_isStopping) {
        tcp::socket socket(m_context);
        error_code error;
        co_await socket.async_connect(endpoint, asio::redirect_error(use_awaitable, error));
        if (!error)
            co_await runLink(std::move(socket), peer);
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

awaitable<std::optional<HostId>> PeerNetwork::greet(tcp::socket& socket, std::optional<HostId> expected)
{
    Greeting own;
    own.cluster = m_settings.cluster;
    own.host = m_settings.self;
    const std::string frame = frameOf(encode(own));
    error_code error;
    co_await asio::async_write(socket, asio::buffer(frame), asio::redirect_error(use_awaitable, error));
    const auto payload = co_await readFrame(socket, maxGreetingBytes);
    if (error || !payload)
        co_return expected ? std::nullopt : std::optional<HostId>(reject("no greeting"));
    RecordDecoder decoder;
    const auto greeting = decoder.decode<Greeting>(*payload);
    if (!greeting || greeting->magic != greetingMagic)
        co_return reject("the bytes are no greeting");
    if (greeting->version != config::peerProtocolVersion)
        co_return reject("protocol version " + std::to_string(greeting->version));
    if (greeting->cluster != m_settings.cluster)
        co_return reject("cluster " + greeting->cluster);
    const bool isExpected = expected ? greeting->host == *expected : greeting->host < m_settings.self && m_settings.host(greeting->host);
    if (!isExpected)
        co_return reject("host " + std::to_string(greeting->host.value));
    co_return greeting->host;
}

awaitable<void> PeerNetwork::runLink(tcp::socket socket, std::optional<HostId> expected)
{
    error_code error;
    socket.set_option(tcp::no_delay(true), error);
    const int timeout = static_cast<int>(config::peerTimeout / std::chrono::milliseconds(1));
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    const auto link = std::make_shared<Link>(std::move(socket));
    asio::co_spawn(m_context, watchSilence(link), asio::detached); // Also ends a greeting that does not come.
    const auto host = co_await greet(link->socket, expected);
    if (!host || m_isStopping) {
        closeLink(link);
        co_return;
    }
    const auto former = m_links.find(*host);
    if (former != m_links.end())
        closeLink(former->second);
    link->host = *host;
    m_links[*host] = link;
    m_node.tryPush(Event(PeerUp { *host }));
    m_log.write("peer-connected", { { "host", std::to_string(host->value) } });
    asio::co_spawn(m_context, writeLoop(link), asio::detached);
    co_await readLoop(link);
    closeLink(link);
}

awaitable<void> PeerNetwork::readLoop(std::shared_ptr<Link> link)
{
    RecordDecoder decoder;
    while (link->isOpen) {
        const auto payload = co_await readFrame(link->socket, config::maxFrameBytes);
        if (!payload || !link->isOpen)
            co_return;
        link->lastHeard = std::chrono::steady_clock::now();
        auto message = decoder.decode<PeerMessage>(*payload);
        if (!message) {
            reject("bad message: " + decoder.lastError().message);
            co_return;
        }
        if (!m_node.tryPush(Event(PeerMessageReceived { link->host, std::move(*message) })))
            ++m_droppedMessages;
    }
}

awaitable<void> PeerNetwork::writeLoop(std::shared_ptr<Link> link)
{
    while (auto frame = co_await link->outgoing.pop()) {
        std::string batch = std::move(*frame);
        while (auto next = link->outgoing.tryPop())
            batch += *next;
        error_code error;
        co_await asio::async_write(link->socket, asio::buffer(batch), asio::redirect_error(use_awaitable, error));
        if (error)
            break;
    }
    closeLink(link);
}

awaitable<void> PeerNetwork::watchSilence(std::shared_ptr<Link> link)
{
    while (link->isOpen) {
        link->silence.expires_at(link->lastHeard + config::peerTimeout);
        error_code error;
        co_await link->silence.async_wait(asio::redirect_error(use_awaitable, error));
        if (link->isOpen && std::chrono::steady_clock::now() >= link->lastHeard + config::peerTimeout) {
            m_log.write("peer-silent", { { "host", std::to_string(link->host.value) } });
            closeLink(link);
        }
    }
}

void PeerNetwork::closeLink(const std::shared_ptr<Link>& link)
{
    if (!std::exchange(link->isOpen, false))
        return;
    error_code ignored;
    link->socket.close(ignored);
    link->outgoing.close();
    link->silence.cancel();
    const auto found = m_links.find(link->host);
    if (found == m_links.end() || found->second != link)
        return;
    m_links.erase(found);
    m_node.tryPush(Event(PeerDown { link->host }));
    m_log.write("peer-disconnected", { { "host", std::to_string(link->host.value) } });
}

} // namespace eelgrassloft::io
