#pragma once

#include "io/http_types.h"

#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <sys/socket.h>

namespace eelgrassloft::io {

/// Open connections that a client keeps for its next requests, by endpoint.
class IdleConnections {
public:
    using Stream = beast::tcp_stream;
    using Clock = std::chrono::steady_clock;

    void add(const tcp::endpoint& endpoint, std::unique_ptr<Stream> stream)
    {
        stream->expires_never();
        m_connections[endpoint].push_back({ std::move(stream), Clock::now() });
    }

    /// Takes the connection that has been idle for the shortest time, or null if that is `maxIdle` or longer.
    std::unique_ptr<Stream> take(const tcp::endpoint& endpoint, Clock::duration maxIdle)
    {
        const auto found = m_connections.find(endpoint);
        if (found == m_connections.end() || found->second.empty())
            return nullptr;
        Connection& latest = found->second.back();
        if (Clock::now() - latest.idleSince >= maxIdle)
            return nullptr;
        std::unique_ptr<Stream> stream = std::move(latest.stream);
        found->second.pop_back();
        return stream;
    }

    /// Whether the server has left an idle connection open: if not, a read gives the end of the stream.
    static bool isOpen(Stream& stream)
    {
        char byte = 0;
        const ssize_t peeked = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    /// Closes the connections that have been idle for `lifetime` or longer.
    void closeExpired(const tcp::endpoint& endpoint, Clock::duration lifetime)
    {
        const auto found = m_connections.find(endpoint);
        if (found == m_connections.end())
            return;
        const auto now = Clock::now();
        std::erase_if(found->second, [&](const Connection& entry) { return now - entry.idleSince >= lifetime; });
    }

    void close(const tcp::endpoint& endpoint) { m_connections.erase(endpoint); }
    void closeAll() { m_connections.clear(); }

private:
    struct Connection {
        std::unique_ptr<Stream> stream;
        Clock::time_point idleSince;
    };

    std::map<tcp::endpoint, std::list<Connection>> m_connections; ///< The last of each list has been idle for the shortest time.
};

} // namespace eelgrassloft::io
