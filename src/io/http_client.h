#pragma once

#include "io/http_types.h"
#include "io/idle_connections.h"

#include "eelgrassloft/time.h"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassloft::io {

/// HTTP client that keeps idle connections open and reuses them.
class HttpClient {
public:
    explicit HttpClient(asio::io_context& context)
        : m_context(context)
    {
    }

    /// Returns the response, or nothing if no complete response arrived in time; the server may have
    /// processed the request nevertheless.
    awaitable<std::optional<HttpResponse>> call(tcp::endpoint endpoint, HttpRequest request, Duration timeout);

private:
    using Stream = beast::tcp_stream;

    std::unique_ptr<Stream> takeIdleConnection(const tcp::endpoint& endpoint);

    asio::io_context& m_context;
    IdleConnections m_idleConnections;
};

/// Parses `IP:PORT`.
std::optional<tcp::endpoint> parseEndpoint(const std::string& text);

} // namespace eelgrassloft::io
