#include "io/http_client.h"

#include "eelgrassloft/config.h"

#include <charconv>

namespace eelgrassloft::io {

awaitable<std::optional<HttpResponse>> HttpClient::call(tcp::endpoint endpoint, HttpRequest request, Duration timeout)
{
    request.set(http::field::host, endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
    request.prepare_payload();
    std::unique_ptr<Stream> stream = takeIdleConnection(endpoint);
    error_code error;
    if (!stream) {
        stream = std::make_unique<Stream>(m_context);
        stream->expires_after(timeout);
        co_await stream->async_connect(endpoint, asio::redirect_error(use_awaitable, error));
        if (error)
            co_return std::nullopt;
        stream->socket().set_option(tcp::no_delay(true), error);
    }
    stream->expires_after(timeout);
    co_await http::async_write(*stream, request, asio::redirect_error(use_awaitable, error));
    if (error)
        co_return std::nullopt;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(config::maxFrameBytes);
    co_await http::async_read(*stream, buffer, parser, asio::redirect_error(use_awaitable, error));
    if (error) {
        if (error == beast::error::timeout)
            m_idleConnections.close(endpoint); // The network may have dropped the other idle connections too.
        co_return std::nullopt;
    }
    HttpResponse response = parser.release();
    if (response.keep_alive())
        m_idleConnections.add(endpoint, std::move(stream));
    co_return response;
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
