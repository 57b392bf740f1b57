#pragma once

#include "io/asio.h"

#include "eelgrassloft/config.h"
#include "eelgrassloft/error.h"

#include <optional>
#include <string>

namespace eelgrassloft::io {

/// Opens a listening port. Returns an error if it cannot; `setting` names the setting to correct.
std::optional<Error> listenOn(tcp::acceptor& acceptor, const std::string& address, uint16_t port, const std::string& setting);

/// Bounds what the system buffers for each connection that is accepted from now on. `receiveBytes` is
/// the size of the receive buffer; the system's if not set.
void limitSocketBuffers(tcp::acceptor& acceptor, std::optional<int> receiveBytes);

/// Whether an accept failed for a reason that would fail the next one too, such as the lack of
/// descriptors or memory.
bool isShortage(const error_code& acceptError);

/// Accepts connections while `isAccepting` and runs `serve` on each, as a task of its own. Calls
/// `onShortage` when the system refuses one, and waits before it tries again.
template <typename Serve, typename OnShortage>
awaitable<void> acceptConnections(asio::io_context& context, tcp::acceptor& acceptor, const bool& isAccepting, Serve serve, OnShortage onShortage)
{
    asio::steady_timer timer(context);
    while (isAccepting) {
        error_code error;
        bool isShort = false;
        try {
            tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(use_awaitable, error));
            if (!error)
                asio::co_spawn(context, serve(std::move(socket)), asio::detached);
            isShort = isShortage(error);
        } catch (const std::exception&) { // No memory for the task; its connection is closed.
            isShort = true;
        }
        if (!isShort || !isAccepting)
            continue;
        onShortage();
        timer.expires_after(config::acceptRetryDelay);
        co_await timer.async_wait(asio::redirect_error(use_awaitable, error));
    }
}

template <typename Serve>
awaitable<void> acceptConnections(asio::io_context& context, tcp::acceptor& acceptor, const bool& isAccepting, Serve serve)
{
    return acceptConnections(context, acceptor, isAccepting, std::move(serve), [] {});
}

} // namespace eelgrassloft::io
