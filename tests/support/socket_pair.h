#pragma once

#include "io/asio.h"

#include <optional>

namespace eelgrassloft::io {

/// Two ends of a connection on loopback.
struct SocketPair {
    /// `farBufferBytes` is the size of the buffer in which the far end receives; the system's if not set.
    explicit SocketPair(asio::io_context& context, std::optional<int> farBufferBytes = std::nullopt)
        : far(context, tcp::v4())
        , near(context)
    {
        if (farBufferBytes)
            far.set_option(tcp::socket::receive_buffer_size(*farBufferBytes));
        tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        far.connect(acceptor.local_endpoint());
        acceptor.accept(near);
    }

    tcp::socket far;
    tcp::socket near;
};

} // namespace eelgrassloft::io
