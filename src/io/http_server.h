#pragma once

#include "io/event_log.h"
#include "io/http_types.h"
#include "io/node_messages.h"

#include "eelgrassloft/settings.h"

namespace eelgrassloft::io {

/// Serves callers, upstreams, workers and operators over HTTP/1.1. Each connection is a task that
/// owns its socket and communicates with the node by messages only.
class HttpServer {
public:
    HttpServer(asio::io_context& context, const NodeSettings& settings, NodeMailbox& nodeMailbox, EventLog& log);

    /// Starts listening. Returns an error if the port cannot be opened.
    std::optional<Error> start();
    /// Stops accepting connections; open ones are closed after their next response.
    void stopAccepting();
    size_t connectionCount() const { return m_connectionCount; }

private:
    awaitable<void> serveConnection(tcp::socket socket);
    awaitable<bool> serveRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer);
    awaitable<HttpResponse> respond(HttpRequest request, beast::tcp_stream& stream);
    HttpResponse refuse(RefusalReason reason, const std::string& detail);

    awaitable<HttpResponse> respondToCaller(HttpRequest request, std::string service, beast::tcp_stream& stream);
    awaitable<HttpResponse> respondToUpstream(HttpRequest request);
    awaitable<HttpResponse> respondToWorker(HttpRequest request, std::string worker);
    awaitable<HttpResponse> respondToManifest(HttpRequest request);
    awaitable<HttpResponse> respondToCancel(HttpRequest request);
    awaitable<HttpResponse> respondToQuery(SubmitQuery query, std::string contentType);

    asio::io_context& m_context;
    const NodeSettings& m_settings;
    NodeMailbox& m_nodeMailbox;
    EventLog& m_log;
    tcp::acceptor m_acceptor;
    std::vector<std::string> m_dataCentres;
    size_t m_connectionCount = 0;
    bool m_isAccepting = true;
};

} // namespace eelgrassloft::io
