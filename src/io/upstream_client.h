#pragma once

#include "io/http_types.h"
#include "io/node_messages.h"

#include <list>
#include <map>

namespace eelgrassloft::io {

/// The part of a request that an attempt sends.
struct AttemptBody {
    Blob body;
    std::string contentType;
    std::string key;
};

/// Sends attempts to upstreams over kept connections. Each attempt is one task that owns its
/// connection while it lasts and ends with one event to the node.
class UpstreamClient {
public:
    UpstreamClient(asio::io_context& context, NodeMailbox& node);

    void start(const DispatchAttempt& attempt, AttemptBody body, Duration remaining);
    void closeIdle();

private:
    using Stream = beast::tcp_stream;

    struct Idle {
        std::unique_ptr<Stream> stream;
        std::chrono::steady_clock::time_point since;
    };

    awaitable<void> run(DispatchAttempt attempt, AttemptBody body, Duration remaining);
    awaitable<Event> exchange(DispatchAttempt attempt, AttemptBody body, Duration remaining);
    awaitable<std::unique_ptr<Stream>> connect(tcp::endpoint endpoint);
    std::unique_ptr<Stream> takeIdle(const tcp::endpoint& endpoint, Duration maxIdle);
    void keep(const tcp::endpoint& endpoint, std::unique_ptr<Stream> stream);

    asio::io_context& m_context;
    NodeMailbox& m_node;
    std::map<tcp::endpoint, std::list<Idle>> m_idle;
};

} // namespace eelgrassloft::io
