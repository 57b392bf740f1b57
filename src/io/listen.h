#pragma once

#include "io/asio.h"

#include "eelgrassloft/error.h"

#include <optional>
#include <string>

namespace eelgrassloft::io {

/// Opens a listening port. Returns an error if it cannot; `setting` names the setting to correct.
std::optional<Error> listenOn(tcp::acceptor& acceptor, const std::string& address, uint16_t port, const std::string& setting);

/// Accepts connections while `isAccepting` and runs `serve` on each, as a task of its own.
template <typename Serve>
awaitable<void> acceptConnections(asio::io_context& context, tcp::acceptor& acceptor, const bool& isAccepting, Serve serve)
{
    while (isAccepting) {
        error_code error;
        tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(use_awaitable, error));
        if (!error)
            asio::co_spawn(context, serve(std::move(socket)), asio::detached);
    }
}

} // namespace eelgrassloft::io
