#pragma once

#include "io/http_types.h"

#include <charconv>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassloft::examples {

/// Parses `ADDRESS:PORT`. Throws if the text is not an endpoint.
inline io::tcp::endpoint parseEndpoint(const std::string& text)
{
    const size_t colon = text.rfind(':');
    return { io::asio::ip::make_address(text.substr(0, colon)), static_cast<uint16_t>(std::stoul(text.substr(colon + 1))) };
}

/// Posts a JSON text over a new connection. Returns the body of the response, or nothing if no
/// complete response with status 200 arrived in time.
inline io::awaitable<std::optional<std::string>> postJson(io::tcp::endpoint endpoint, std::string target, std::string text, std::chrono::milliseconds timeout)
{
    io::beast::tcp_stream stream(co_await io::asio::this_coro::executor);
    stream.expires_after(timeout);
    io::error_code error;
    co_await stream.async_connect(endpoint, io::asio::redirect_error(io::use_awaitable, error));
    if (error)
        co_return std::nullopt;
    io::HttpRequest request { io::http::verb::post, target, 11 };
    request.set(io::http::field::host, endpoint.address().to_string());
    request.set(io::http::field::content_type, "application/json");
    request.keep_alive(false);
    request.body() = std::move(text);
    request.prepare_payload();
    co_await io::http::async_write(stream, request, io::asio::redirect_error(io::use_awaitable, error));
    if (error)
        co_return std::nullopt;
    io::beast::flat_buffer buffer;
    io::HttpResponse response;
    co_await io::http::async_read(stream, buffer, response, io::asio::redirect_error(io::use_awaitable, error));
    if (error || response.result() != io::http::status::ok)
        co_return std::nullopt;
    co_return std::move(response.body());
}

} // namespace eelgrassloft::examples
