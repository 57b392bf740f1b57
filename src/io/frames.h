#pragma once

#include "io/asio.h"

#include <boost/endian/conversion.hpp>

#include <optional>
#include <string>

namespace eelgrassloft::io {

/// Frame of the protocol between hosts: the length of the payload (32 bits, big-endian), then the
/// payload.
inline std::string encodeFrame(const std::string& payload)
{
    const uint32_t length = boost::endian::native_to_big(static_cast<uint32_t>(payload.size()));
    std::string frame(reinterpret_cast<const char*>(&length), sizeof(length));
    return frame += payload;
}

/// Reads the payload of one frame. Returns nothing if the connection ended or the payload is larger
/// than `maxBytes`.
inline awaitable<std::optional<std::string>> readFrame(tcp::socket& socket, size_t maxBytes)
{
    uint32_t length = 0;
    error_code error;
    co_await asio::async_read(socket, asio::buffer(&length, sizeof(length)), asio::redirect_error(use_awaitable, error));
    length = boost::endian::big_to_native(length);
    if (error || length > maxBytes)
        co_return std::nullopt;
    std::string payload(length, '\0');
    co_await asio::async_read(socket, asio::buffer(payload), asio::redirect_error(use_awaitable, error));
    if (error)
        co_return std::nullopt;
    co_return payload;
}

} // namespace eelgrassloft::io
