#include "io/http_client.h"

#include "io/metrics_text.h"

#include "eelgrassloft/config.h"

#include <charconv>

namespace eelgrassloft::io {

awaitable<ExchangeResult> HttpClient::call(tcp::endpoint endpoint, HttpRequest request, Duration timeout)
{
    ExchangeResult result = co_await exchange(endpoint, std::move(request), timeout);
    ++m_counters.exchanges[result.outcome];
    if (result.isConnectionNew)
        ++m_counters.firstExchanges[result.outcome];
    co_return result;
}

awaitable<ExchangeResult> HttpClient::exchange(tcp::endpoint endpoint, HttpRequest request, Duration timeout)
{
    request.set(http::field::host, endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
    request.prepare_payload();
    ExchangeResult result;
    std::unique_ptr<Stream> stream = takeIdleConnection(endpoint);
    error_code error;
    if (!stream) {
        result.isConnectionNew = true;
        stream = std::make_unique<Stream>(m_context);
        stream->expires_after(timeout);
        co_await stream->async_connect(endpoint, asio::redirect_error(use_awaitable, error));
        if (error)
            co_return result;
        stream->socket().set_option(tcp::no_delay(true), error);
    }
    stream->expires_after(timeout);
    result.outcome = ExchangeOutcome::Broken;
    co_await http::async_write(*stream, request, asio::redirect_error(use_awaitable, error));
    if (error)
        co_return result;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(config::maxFrameBytes);
    co_await http::async_read(*stream, buffer, parser, asio::redirect_error(use_awaitable, error));
    if (error) {
        if (error == beast::error::timeout) {
            result.outcome = ExchangeOutcome::TimedOut;
            m_idleConnections.close(endpoint); // The network may have dropped the other idle connections too.
        }
        co_return result;
    }
    result.outcome = ExchangeOutcome::Answered;
    result.response = parser.release();
    if (result.response.keep_alive())
        m_idleConnections.add(endpoint, std::move(stream));
    co_return result;
}

std::unique_ptr<beast::tcp_stream> HttpClient::takeIdleConnection(const tcp::endpoint& endpoint)
{
    while (std::unique_ptr<Stream> stream = m_idleConnections.take(endpoint, config::outgoingIdleLifetime)) {
        if (IdleConnections::isOpen(*stream))
            return stream;
    }
    m_idleConnections.close(endpoint); // All that are left have expired.
    return nullptr;
}

std::string httpClientMetricsText(const HttpClientCounters& counters)
{
    std::ostringstream out;
    writeLabelledCounter(out, "outgoing_requests_total", "outcome", counters.exchanges);
    writeLabelledCounter(out, "outgoing_first_requests_total", "outcome", counters.firstExchanges);
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
