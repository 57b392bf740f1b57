#include "io/fleet_links.h"

#include "io/frames.h"
#include "io/listen.h"
#include "io/record_codec.h"

#include "eelgrassloft/config.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace eelgrassloft::io {

namespace {

constexpr uint32_t greetingMagic = 0x45474c55;
constexpr size_t maxGreetingBytes = 256;

/// First frame of a link, in both directions.
struct FleetGreeting {
    uint32_t magic = greetingMagic;
    uint32_t version = config::peerProtocolVersion;
    HostId host;
    uint64_t process = 0; ///< Differs between the lives of a host.

    static constexpr auto members()
    {
        return std::make_tuple(&FleetGreeting::magic, &FleetGreeting::version, &FleetGreeting::host, &FleetGreeting::process);
    }
};

std::string hostText(HostId host) { return addressOf(host).to_string(); }

} // namespace

struct FleetLinks::Link {
    Link(tcp::socket socketValue, HostId dialerValue)
        : socket(std::move(socketValue))
        , dialer(dialerValue)
        , outgoing(socket.get_executor(), config::peerMailboxCapacity)
        , silence(socket.get_executor())
    {
    }

    tcp::socket socket;
    HostId host; ///< Known after the greeting.
    HostId dialer;
    uint64_t process = 0; ///< Life of the other host.
    Mailbox<std::string> outgoing;
    asio::steady_timer silence;
    std::chrono::steady_clock::time_point lastHeard = std::chrono::steady_clock::now();
    bool isOpen = true;
};

FleetLinks::FleetLinks(asio::io_context& context, HostId self, uint16_t port, FleetMailbox& node, EventLog& log)
    : m_context(context)
    , m_self(self)
    , m_port(port)
    , m_node(node)
    , m_log(log)
    , m_acceptor(context)
    , m_process(static_cast<uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()))
{
}

std::optional<Error> FleetLinks::start()
{
    if (auto error = listenOn(m_acceptor, hostText(m_self), m_port, "linkPort"))
        return error;
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
    return std::nullopt;
}

void FleetLinks::setTargets(const std::vector<HostId>& hosts)
{
    m_targets = { hosts.begin(), hosts.end() };
    m_targets.erase(m_self);
    for (const HostId host : m_targets) {
        if (m_dialing.insert(host).second)
            asio::co_spawn(m_context, dialLoop(host), asio::detached);
    }
}

void FleetLinks::send(HostId to, const FleetMessage& message)
{
    const auto found = m_links.find(to);
    if (found != m_links.end())
        found->second->outgoing.tryPush(frameOf(encode(message)));
}

awaitable<void> FleetLinks::acceptLoop()
{
    while (true) {
        error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(use_awaitable, error));
        if (!error)
            asio::co_spawn(m_context, serveAccepted(std::move(socket)), asio::detached);
    }
}

awaitable<void> FleetLinks::serveAccepted(tcp::socket socket) { co_await runLink(std::move(socket), HostId {}); }

/// Dials a host whenever there is no link to it, until it is no target any more.
awaitable<void> FleetLinks::dialLoop(HostId host)
{
    asio::steady_timer timer(m_context);
    while (m_targets.count(host)) {
        if (!m_links.count(host)) {
            auto socket = std::make_shared<tcp::socket>(m_context);
            // A host that is cut off does not answer at all.
            timer.expires_after(config::fleetLinkTimeout);
            timer.async_wait([socket](const error_code& error) {
                if (!error)
                    socket->close();
            });
            error_code error;
            co_await socket->async_connect({ addressOf(host), m_port }, asio::redirect_error(use_awaitable, error));
            timer.cancel();
            if (!error)
                co_await runLink(std::move(*socket), host);
        }
        timer.expires_after(config::peerReconnectDelay);
        error_code ignored;
        co_await timer.async_wait(asio::redirect_error(use_awaitable, ignored));
    }
    m_dialing.erase(host);
}

awaitable<HostId> FleetLinks::greet(std::shared_ptr<Link> link, HostId expected)
{
    FleetGreeting own;
    own.host = m_self;
    own.process = m_process;
    const std::string frame = frameOf(encode(own));
    error_code error;
    co_await asio::async_write(link->socket, asio::buffer(frame), asio::redirect_error(use_awaitable, error));
    if (error)
        co_return HostId {};
    const auto payload = co_await readFrame(link->socket, maxGreetingBytes);
    if (!payload)
        co_return HostId {};
    RecordDecoder decoder;
    const auto greeting = decoder.decode<FleetGreeting>(*payload);
    const bool isGood = greeting && greeting->magic == greetingMagic && greeting->version == config::peerProtocolVersion
        && (!expected.isValid() || greeting->host == expected) && greeting->host != m_self;
    if (!isGood) {
        m_log.write("link-rejected", { { "reason", greeting ? "wrong host or version" : "no greeting" } });
        co_return HostId {};
    }
    link->process = greeting->process;
    co_return greeting->host;
}

/// A link to a new life of a host replaces all others. Of two links between the same lives the one
/// that the lower id dialed stays, and of two that the same host dialed the newer.
bool FleetLinks::adopt(const std::shared_ptr<Link>& link)
{
    const auto former = m_links.find(link->host);
    if (former != m_links.end()) {
        const bool isPreferred = link->process != former->second->process || link->dialer <= former->second->dialer;
        if (!isPreferred)
            return false;
        closeLink(former->second);
    }
    m_links[link->host] = link;
    return true;
}

awaitable<void> FleetLinks::runLink(tcp::socket socket, HostId expected)
{
    error_code error;
    socket.set_option(tcp::no_delay(true), error);
    const int timeout = static_cast<int>(config::fleetLinkTimeout / std::chrono::milliseconds(1));
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    const auto link = std::make_shared<Link>(std::move(socket), expected.isValid() ? m_self : HostId {});
    asio::co_spawn(m_context, watchSilence(link), asio::detached); // Also ends a greeting that does not come.
    link->host = co_await greet(link, expected);
    if (!expected.isValid())
        link->dialer = link->host;
    if (!link->host.isValid() || !link->isOpen || !adopt(link)) {
        closeLink(link);
        co_return;
    }
    m_node.tryPush(FleetEvent(FleetLinkUp { link->host }));
    m_log.write("link-up", { { "host", hostText(link->host) } });
    asio::co_spawn(m_context, writeLoop(link), asio::detached);
    co_await readLoop(link);
    closeLink(link);
}

awaitable<void> FleetLinks::readLoop(std::shared_ptr<Link> link)
{
    RecordDecoder decoder;
    while (link->isOpen) {
        const auto payload = co_await readFrame(link->socket, config::maxFrameBytes);
        if (!payload || !link->isOpen)
            co_return;
        link->lastHeard = std::chrono::steady_clock::now();
        auto message = decoder.decode<FleetMessage>(*payload);
        if (!message) {
            m_log.writeError("link-message-unreadable", decoder.lastError());
            co_return;
        }
        const bool isOfLog = std::holds_alternative<ReplicaMessage<WorkTable>>(*message);
        FleetEvent event = FleetReceived { link->host, std::move(*message) };
        if (isOfLog) // A leader whose acknowledgements wait behind its callers loses its lease.
            m_node.tryPushUrgent(std::move(event));
        else
            m_node.tryPush(std::move(event));
    }
}

awaitable<void> FleetLinks::writeLoop(std::shared_ptr<Link> link)
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

awaitable<void> FleetLinks::watchSilence(std::shared_ptr<Link> link)
{
    while (link->isOpen) {
        link->silence.expires_at(link->lastHeard + config::fleetLinkTimeout);
        error_code error;
        co_await link->silence.async_wait(asio::redirect_error(use_awaitable, error));
        if (link->isOpen && std::chrono::steady_clock::now() >= link->lastHeard + config::fleetLinkTimeout)
            closeLink(link);
    }
}

void FleetLinks::closeLink(std::shared_ptr<Link> link)
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
    m_node.tryPush(FleetEvent(FleetLinkDown { link->host }));
    m_log.write("link-down", { { "host", hostText(link->host) } });
}

} // namespace eelgrassloft::io
