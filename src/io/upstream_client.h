#pragma once

#include "io/idle_connections.h"
#include "io/node_messages.h"

#include <memory>

namespace eelgrassloft::io {

/// Parts of a caller's request that an attempt sends to the upstream.
struct AttemptPayload {
    Blob body;
    std::string contentType;
    std::string key;
};

/// Sends attempts to upstreams, and reuses idle connections. Each attempt is a task that owns its
/// connection while it lasts and ends with one event to the node.
class UpstreamClient {
public:
    UpstreamClient(asio::io_context& context, NodeMailbox& nodeMailbox);

    void start(const DispatchAttempt& attempt, AttemptPayload payload, Duration remaining);
    void closeIdleConnections();

private:
    using Stream = beast::tcp_stream;

    awaitable<void> run(DispatchAttempt attempt, AttemptPayload payload, Duration remaining);
    awaitable<Event> performAttempt(DispatchAttempt attempt, AttemptPayload payload, Duration remaining);
    awaitable<std::unique_ptr<Stream>> connect(tcp::endpoint endpoint);
    std::unique_ptr<Stream> takeIdleConnection(const tcp::endpoint& endpoint, Duration maxIdle);

    asio::io_context& m_context;
    NodeMailbox& m_nodeMailbox;
    IdleConnections m_idleConnections;
};

} // namespace eelgrassloft::io
