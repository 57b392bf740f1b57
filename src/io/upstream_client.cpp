#include "io/upstream_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace eelgrassloft::io {

namespace {

/// Lets the kernel close a connection whose peer has stopped acknowledging.
void enableKeepAlive(tcp::socket& socket)
{
    const auto set = [&](int level, int option, int value) { ::setsockopt(socket.native_handle(), level, option, &value, sizeof(value)); };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, config::tcpKeepAliveIdleSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, config::tcpKeepAliveIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, config::tcpKeepAliveProbes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(config::tcpUserTimeout / std::chrono::milliseconds(1)));
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
}

HttpRequest requestFor(const DispatchAttempt& attempt, const AttemptPayload& payload, Duration remaining)
{
    HttpRequest request { http::verb::post, "/requests", 11 };
    request.set(http::field::host, attempt.address);
    request.set(header::timeoutMs, std::to_string(remaining / std::chrono::milliseconds(1)));
    if (!payload.contentType.empty())
        request.set(http::field::content_type, payload.contentType);
    if (!payload.key.empty())
        request.set(header::idempotencyKey, payload.key);
    if (payload.body)
        request.body() = *payload.body;
    request.prepare_payload();
    return request;
}

AttemptFailure failureOf(const error_code& error)
{
    if (error == http::error::body_limit)
        return AttemptFailure::AnswerTooLarge;
    const bool isTimeout = error == beast::error::timeout || error == asio::error::timed_out;
    return isTimeout ? AttemptFailure::Unresponsive : AttemptFailure::AnswerLost;
}

} // namespace

UpstreamClient::UpstreamClient(asio::io_context& context, NodeMailbox& nodeMailbox)
    : m_context(context)
    , m_nodeMailbox(nodeMailbox)
{
}

void UpstreamClient::start(const DispatchAttempt& attempt, AttemptPayload payload, Duration remaining)
{
    asio::co_spawn(m_context, run(attempt, std::move(payload), remaining), asio::detached);
}

void UpstreamClient::closeIdleConnections() { m_idleConnections.closeAll(); }

awaitable<void> UpstreamClient::run(DispatchAttempt attempt, AttemptPayload payload, Duration remaining)
{
    Event event = co_await performAttempt(std::move(attempt), std::move(payload), remaining);
    m_nodeMailbox.tryPush(NodeMessage(std::move(event)));
}

awaitable<Event> UpstreamClient::performAttempt(DispatchAttempt attempt, AttemptPayload payload, Duration remaining)
{
    const tcp::endpoint endpoint(asio::ip::make_address(attempt.address), attempt.port);
    const HttpRequest request = requestFor(attempt, payload, remaining);
    // The network may have dropped a connection that was idle for long, so work that runs at most once avoids it.
    std::unique_ptr<Stream> stream = takeIdleConnection(endpoint, attempt.isRecorded ? config::atMostOnceIdleLimit : config::idleConnectionLifetime);
    if (!stream)
        stream = co_await connect(endpoint);
    if (!stream)
        co_return AttemptFailed { attempt.attempt, AttemptFailure::ConnectFailed };
    // The caller is answered at its deadline. The connection waits longer, so that a late answer frees its slot.
    stream->expires_after(remaining + config::lateAnswerTimeout);
    error_code error;
    co_await http::async_write(*stream, request, asio::redirect_error(use_awaitable, error));
    if (error)
        co_return AttemptFailed { attempt.attempt, error == beast::error::timeout ? AttemptFailure::Unresponsive : AttemptFailure::SendFailed };
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(config::maxBodyBytes);
    co_await http::async_read(*stream, buffer, parser, asio::redirect_error(use_awaitable, error));
    if (error)
        co_return AttemptFailed { attempt.attempt, failureOf(error) };
    HttpResponse response = parser.release();
    if (response.keep_alive())
        m_idleConnections.add(endpoint, std::move(stream));
    if (response.result() == http::status::service_unavailable && response[header::notStarted] == "true")
        co_return AttemptFailed { attempt.attempt, AttemptFailure::RefusedByUpstream };
    UpstreamResponse upstreamResponse { static_cast<uint16_t>(response.result_int()), std::string(response[http::field::content_type]), makeBlob(std::move(response.body())) };
    co_return AttemptAnswered { attempt.attempt, std::move(upstreamResponse) };
}

awaitable<std::unique_ptr<beast::tcp_stream>> UpstreamClient::connect(tcp::endpoint endpoint)
{
    auto stream = std::make_unique<Stream>(m_context);
    stream->expires_after(config::upstreamConnectTimeout);
    error_code error;
    co_await stream->async_connect(endpoint, asio::redirect_error(use_awaitable, error));
    if (error)
        co_return nullptr;
    enableKeepAlive(stream->socket());
    co_return stream;
}

std::unique_ptr<beast::tcp_stream> UpstreamClient::takeIdleConnection(const tcp::endpoint& endpoint, Duration maxIdle)
{
    m_idleConnections.closeExpired(endpoint, config::idleConnectionLifetime);
    std::unique_ptr<Stream> stream = m_idleConnections.take(endpoint, maxIdle);
    return stream && IdleConnections::isOpen(*stream) ? std::move(stream) : nullptr;
}

} // namespace eelgrassloft::io
