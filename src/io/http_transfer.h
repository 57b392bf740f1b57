#pragma once

#include "io/http_types.h"
#include "io/minimum_rate.h"

namespace eelgrassloft::io {

// A request or response of which some bytes move is not cut on a slow link: its timeout counts from
// the last byte. Listeners add a minimum rate, far below that of a slow link inside the limits.

/// Reads a request. `idleTimeout` holds until its first byte, `stallTimeout` from one byte to the next.
template <typename Stream, typename Parser>
awaitable<error_code> receiveRequest(Stream& stream, beast::flat_buffer& buffer, Parser& parser, Duration idleTimeout, Duration stallTimeout)
{
    error_code error;
    parser.eager(true);
    stream.expires_after(idleTimeout);
    while (!parser.is_done() && !error) {
        co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(use_awaitable, error));
        stream.expires_after(stallTimeout);
    }
    co_return error;
}

/// Sends a response. `stallTimeout` holds from one byte to the next.
template <typename Stream>
awaitable<error_code> sendResponse(Stream& stream, HttpResponse& response, Duration stallTimeout)
{
    http::response_serializer<http::string_body> serializer(response);
    error_code error;
    while (!serializer.is_done() && !error) {
        stream.expires_after(stallTimeout);
        co_await http::async_write_some(stream, serializer, asio::redirect_error(use_awaitable, error));
    }
    co_return error;
}

/// Sends a response at a minimum rate. Calls `onProgress` whenever some bytes have moved.
template <typename Stream, typename OnProgress>
awaitable<error_code> sendResponse(Stream& stream, HttpResponse& response, MinimumRate rate, OnProgress onProgress)
{
    http::response_serializer<http::string_body> serializer(response);
    error_code error;
    uint64_t bytes = 0;
    while (!serializer.is_done() && !error) {
        stream.expires_at(rate.deadline(MinimumRate::Clock::now(), bytes));
        bytes += co_await http::async_write_some(stream, serializer, asio::redirect_error(use_awaitable, error));
        onProgress();
    }
    co_return error;
}

} // namespace eelgrassloft::io
