#pragma once

#include "io/http_client.h"
#include "io/node_messages.h"

namespace eelgrassloft::io {

/// Parts of a caller's request that an attempt sends to the upstream.
struct AttemptPayload {
    Blob body;
    std::string contentType;
    std::string key;
};

/// Sends attempts to upstreams. Each attempt is a task that ends with one event to the node. The core bounds
/// the attempts in flight to an upstream, and there are at most as many connections to it.
class UpstreamClient {
public:
    UpstreamClient(asio::io_context& context, NodeMailbox& nodeMailbox);

    void start(const DispatchAttempt& attempt, AttemptPayload payload, Duration remaining);

    /// Counters, and the connections to upstreams that are open now, in the Prometheus text format.
    std::string metricsText() const { return m_http.metricsText(); }

private:
    awaitable<void> run(DispatchAttempt attempt, AttemptPayload payload, Duration remaining);
    awaitable<Event> performAttempt(DispatchAttempt attempt, AttemptPayload payload, Duration remaining);

    asio::io_context& m_context;
    NodeMailbox& m_nodeMailbox;
    HttpClient m_http;
};

} // namespace eelgrassloft::io
