#include "io/http_client.h"

#include "io/metrics_text.h"

#include <algorithm>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace eelgrassloft::io {

namespace {

Time coreTime(std::chrono::steady_clock::time_point time) { return Time(std::chrono::duration_cast<Duration>(time.time_since_epoch())); }

void enableKeepAlive(tcp::socket& socket)
{
    const auto set = [&](int level, int option, int value) { ::setsockopt(socket.native_handle(), level, option, &value, sizeof(value)); };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, config::tcpKeepAliveIdleSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, config::tcpKeepAliveIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, config::tcpKeepAliveProbes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(config::tcpUserTimeout / std::chrono::milliseconds(1)));
}

/// Whether the server has left an idle connection open: if not, a read gives the end of the stream.
bool isOpen(tcp::socket& socket)
{
    char byte = 0;
    const ssize_t peeked = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

ConnectionFate fateAfter(const ExchangeResult& result)
{
    switch (result.outcome) {
    case ExchangeOutcome::Answered:
        return result.response.keep_alive() ? ConnectionFate::Reusable : ConnectionFate::Closed;
    case ExchangeOutcome::TimedOut:
        return ConnectionFate::TimedOut;
    default:
        return result.isConnectionNew ? ConnectionFate::Refused : ConnectionFate::Closed;
    }
}

} // namespace

struct HttpClient::Request {
    HttpRequest message;
    Clock::time_point deadline;
    Mailbox<ExchangeResult> result;
};

struct HttpClient::Server {
    tcp::endpoint endpoint;
    ConnectionPool pool;
    std::map<RequestNumber, std::shared_ptr<Request>> requests;
    std::map<ConnectionNumber, Mailbox<RequestNumber>> connections; ///< The requests to send next.
};

std::shared_ptr<HttpClient::Server> HttpClient::serverAt(const tcp::endpoint& endpoint)
{
    std::shared_ptr<Server>& server = m_servers[endpoint];
    if (!server)
        server = std::make_shared<Server>(Server { endpoint, ConnectionPool(m_settings.limits), {}, {} });
    return server;
}

awaitable<ExchangeResult> HttpClient::call(tcp::endpoint endpoint, HttpRequest message, Duration timeout, RequestOptions options)
{
    message.set(http::field::host, endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
    message.prepare_payload();
    const auto server = serverAt(endpoint);
    const auto deadline = Clock::now() + timeout;
    const auto request = std::make_shared<Request>(Request { std::move(message), deadline, Mailbox<ExchangeResult>(m_context.get_executor(), 1) });
    const RequestNumber number { m_nextRequest++ };
    server->requests[number] = request;
    perform(server, server->pool.add(coreTime(Clock::now()), number, options));
    auto result = co_await request->result.pop(deadline);
    if (!result && !server->pool.withdraw(number)) // A connection has it and ends it by the same deadline.
        result = co_await request->result.pop();
    server->requests.erase(number);
    forgetIfUnused(server);
    ExchangeResult exchanged = result ? std::move(*result) : ExchangeResult {};
    ++m_counters.exchanges[exchanged.outcome];
    if (exchanged.isConnectionNew)
        ++m_counters.firstExchanges[exchanged.outcome];
    co_return exchanged;
}

void HttpClient::perform(const std::shared_ptr<Server>& server, const ConnectionPool::Actions& actions)
{
    for (const PoolAction& action : actions) {
        switch (action.kind) {
        case PoolActionKind::Open:
            server->connections.try_emplace(action.connection, m_context.get_executor(), 1);
            asio::co_spawn(m_context, runConnection(server, action.connection), asio::detached);
            break;
        case PoolActionKind::Send:
            server->connections.at(action.connection).tryPush(action.request);
            break;
        case PoolActionKind::Close:
            server->connections.at(action.connection).close();
            break;
        default:
            server->requests.at(action.request)->result.tryPush({});
            break;
        }
    }
}

awaitable<void> HttpClient::runConnection(std::shared_ptr<Server> server, ConnectionNumber number)
{
    Stream stream(m_context);
    stream.expires_after(m_settings.connectTimeout);
    error_code error;
    co_await stream.async_connect(server->endpoint, asio::redirect_error(use_awaitable, error));
    if (error) {
        perform(server, server->pool.openFailed(coreTime(Clock::now()), number));
    } else {
        stream.socket().set_option(tcp::no_delay(true), error);
        if (m_settings.isKeepAliveEnabled)
            enableKeepAlive(stream.socket());
        perform(server, server->pool.opened(coreTime(Clock::now()), number));
        co_await serveRequests(server, number, stream);
    }
    server->connections.erase(number);
    forgetIfUnused(server);
}

/// A task may end after another one forgot its server and a call made a new entry for the endpoint, which stays.
void HttpClient::forgetIfUnused(const std::shared_ptr<Server>& server)
{
    const auto current = m_servers.find(server->endpoint);
    if (current != m_servers.end() && current->second == server && server->pool.isUnused())
        m_servers.erase(current);
}

/// Sends requests one after the other until the connection ends.
awaitable<void> HttpClient::serveRequests(std::shared_ptr<Server> server, ConnectionNumber number, Stream& stream)
{
    Mailbox<RequestNumber>& requests = server->connections.at(number);
    ConnectionFate fate = ConnectionFate::Reusable;
    bool isAwaited = requests.size() > 0; // Otherwise it is idle first, which the server may end.
    bool isNew = true;
    while (fate == ConnectionFate::Reusable) {
        const auto next = co_await requests.pop(Clock::now() + server->pool.lifetime());
        if (!next) {
            if (requests.isClosed() || server->pool.retire(number))
                co_return;
            continue;
        }
        const ConnectionFate fateIfEnded = std::exchange(isAwaited, false) ? ConnectionFate::Refused : ConnectionFate::Closed;
        if (!isOpen(stream.socket())) {
            perform(server, server->pool.returned(coreTime(Clock::now()), number, *next, fateIfEnded));
            co_return;
        }
        const std::shared_ptr<Request> request = server->requests.at(*next);
        ExchangeResult result = co_await exchange(stream, *request);
        result.isConnectionNew = std::exchange(isNew, false);
        fate = fateAfter(result);
        request->result.tryPush(std::move(result));
        perform(server, server->pool.finished(coreTime(Clock::now()), number, fate));
    }
}

awaitable<ExchangeResult> HttpClient::exchange(Stream& stream, const Request& request) const
{
    ExchangeResult result;
    result.outcome = ExchangeOutcome::Broken;
    stream.expires_at(request.deadline);
    error_code& error = result.error;
    co_await http::async_write(stream, request.message, asio::redirect_error(use_awaitable, error));
    result.isRequestSent = !error;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(m_settings.maxResponseBytes);
    if (!error)
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(use_awaitable, error));
    stream.expires_never();
    if (error == beast::error::timeout)
        result.outcome = ExchangeOutcome::TimedOut;
    if (error)
        co_return result;
    result.outcome = ExchangeOutcome::Answered;
    result.response = parser.release();
    co_return result;
}

std::string HttpClient::metricsText() const
{
    size_t open = 0;
    size_t most = 0;
    for (const auto& [endpoint, server] : m_servers) {
        open += server->pool.size();
        most = std::max(most, server->pool.size());
    }
    std::ostringstream out;
    writeLabelledCounter(out, "outgoing_requests_total", "outcome", m_counters.exchanges);
    writeLabelledCounter(out, "outgoing_first_requests_total", "outcome", m_counters.firstExchanges);
    out << gaugeText("outgoing_connections", static_cast<double>(open)) << gaugeText("outgoing_connections_to_one_server", static_cast<double>(most));
    return out.str();
}

std::optional<tcp::endpoint> parseEndpoint(const std::string& text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    error_code error;
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    uint16_t port = 0;
    const auto [end, failure] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (error || failure != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return tcp::endpoint(address, port);
}

} // namespace eelgrassloft::io
