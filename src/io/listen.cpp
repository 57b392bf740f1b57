#include "io/listen.h"

#include <netinet/tcp.h>

namespace eelgrassloft::io {

std::optional<Error> listenOn(tcp::acceptor& acceptor, const std::string& address, uint16_t port, const std::string& setting)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address), port);
    error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (!error)
        return std::nullopt;
    return Error { ErrorKind::Unreachable, "cannot listen on " + address + ":" + std::to_string(port) + ": " + error.message(),
        "check \"address\" and \"" + setting + "\", and that no other process uses them" };
}

void limitSocketBuffers(tcp::acceptor& acceptor, std::optional<int> receiveBytes)
{
    error_code ignored;
    if (receiveBytes)
        acceptor.set_option(tcp::acceptor::receive_buffer_size(*receiveBytes), ignored);
    // A small send buffer instead of a bound of its unsent bytes stalled responses of 4 MiB on loopback
    // for up to 2.2 s.
    const int unsent = config::unsentSocketBytes;
    ::setsockopt(acceptor.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent, sizeof(unsent));
}

bool isShortage(const error_code& acceptError)
{
    // Only that one concerns a single connection, which its client has given up.
    return acceptError && acceptError != asio::error::connection_aborted;
}

} // namespace eelgrassloft::io
