#include "io/listen.h"

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

bool isShortage(const error_code& acceptError)
{
    // Others concern one connection, which its client has given up, or the end of the listener.
    return acceptError == asio::error::no_descriptors || acceptError == boost::system::errc::too_many_files_open_in_system || acceptError == asio::error::no_buffer_space
        || acceptError == asio::error::no_memory;
}

} // namespace eelgrassloft::io
