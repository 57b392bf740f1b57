#pragma once

#include "io/event_log.h"
#include "io/http_listener.h"
#include "io/node_messages.h"

#include "eelgrassloft/settings.h"

namespace eelgrassloft::io {

/// Answers the requests of callers, upstreams, workers and operators. Communicates with the node by
/// messages only.
class NodeApi {
public:
    NodeApi(asio::io_context& context, const NodeSettings& settings, NodeMailbox& nodeMailbox);

    RequestScreen screen(const HttpRequestHeader& header) const;
    awaitable<HttpResponse> respond(HttpRequest request);
    HttpResponse refuse(const error_code& error) { return refuse(refusalReasonOf(error), {}); }
    void didShed(ShedReason reason);

private:
    static RefusalReason refusalReasonOf(const error_code& error);
    HttpResponse refuse(RefusalReason reason, const std::string& detail);

    awaitable<HttpResponse> respondToCaller(HttpRequest request, std::string service);
    awaitable<HttpResponse> respondToUpstream(HttpRequest request);
    awaitable<HttpResponse> respondToWorker(HttpRequest request, std::string worker);
    awaitable<HttpResponse> respondToManifest(HttpRequest request);
    awaitable<HttpResponse> respondToCancel(HttpRequest request);
    awaitable<HttpResponse> respondToQuery(SubmitQuery query, std::string contentType);

    asio::io_context& m_context;
    NodeMailbox& m_nodeMailbox;
    std::vector<std::string> m_dataCentres;
};

/// Serves a node's interface over HTTP/1.1.
class HttpServer {
public:
    HttpServer(asio::io_context& context, const NodeSettings& settings, NodeMailbox& nodeMailbox, EventLog& log);

    /// Starts listening. Returns an error if the port cannot be opened.
    std::optional<Error> start();
    /// Stops accepting connections; open ones are closed after their next response.
    void stopAccepting() { m_listener.stopAccepting(); }

private:
    const NodeSettings& m_settings;
    NodeApi m_api;
    HttpListener<NodeApi> m_listener;
};

} // namespace eelgrassloft::io
