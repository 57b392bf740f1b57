#pragma once

#include "io/http_types.h"

#include "eelgrassloft/time.h"

#include <list>
#include <map>
#include <memory>

namespace eelgrassloft::io {

/// Calls HTTP servers over connections that are kept open and used again.
class HttpClient {
public:
    explicit HttpClient(asio::io_context& context)
        : m_context(context)
    {
    }

    /// The response; nothing where none came in time, so that the call may have been carried out.
    awaitable<std::optional<HttpResponse>> call(tcp::endpoint endpoint, HttpRequest request, Duration timeout);

private:
    using Stream = beast::tcp_stream;

    struct IdleConnection {
        std::unique_ptr<Stream> stream;
        std::chrono::steady_clock::time_point idleSince;
    };

    std::unique_ptr<Stream> takeIdleConnection(const tcp::endpoint& endpoint);

    asio::io_context& m_context;
    std::map<tcp::endpoint, std::list<IdleConnection>> m_idleConnections;
};

/// `IP:PORT` as an endpoint.
std::optional<tcp::endpoint> parseEndpoint(const std::string& text);

} // namespace eelgrassloft::io
