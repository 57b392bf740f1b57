#pragma once

#include "io/http_transfer.h"
#include "io/listen.h"
#include "io/scoped_count.h"

#include "eelgrassloft/config.h"

#include <concepts>

namespace eelgrassloft::io {

/// Handles the requests of a listener: `respond` answers one that was read, `refuse` one that could
/// not be.
template <typename T>
concept HttpHandler = requires(T handler, HttpRequest request)
{
    {
        handler.respond(std::move(request))
        } -> std::same_as<awaitable<HttpResponse>>;
    {
        handler.refuse(error_code {})
        } -> std::same_as<HttpResponse>;
};

struct HttpLimits {
    size_t headerBytes = config::maxHeaderBytes;
    size_t bodyBytes = config::maxBodyBytes;
};

/// Serves HTTP on one address, with one task for each connection.
template <HttpHandler Handler>
class HttpListener {
public:
    HttpListener(asio::io_context& context, Handler& handler, HttpLimits limits)
        : m_context(context)
        , m_handler(handler)
        , m_limits(limits)
        , m_acceptor(context)
    {
    }

    /// Starts listening. Returns an error if it cannot; `setting` names the setting to correct.
    std::optional<Error> start(const std::string& address, uint16_t port, const std::string& setting)
    {
        if (auto error = listenOn(m_acceptor, address, port, setting))
            return error;
        asio::co_spawn(m_context, acceptConnections(m_context, m_acceptor, m_isAccepting, [this](tcp::socket socket) { return serveConnection(std::move(socket)); }), asio::detached);
        return std::nullopt;
    }

    /// Port on which it listens; with port 0 in `start`, the one that the system has chosen.
    uint16_t port() const
    {
        error_code ignored;
        return m_acceptor.local_endpoint(ignored).port();
    }

    /// Closes each connection after its next response.
    void closeConnections() { m_isClosing = true; }

    void stopAccepting()
    {
        m_isClosing = true;
        m_isAccepting = false;
        error_code ignored;
        m_acceptor.close(ignored);
    }

    /// Number of requests that were read and whose response is not fully sent.
    size_t inFlight() const { return m_inFlight; }

private:
    awaitable<void> serveConnection(tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        error_code error;
        stream.socket().set_option(tcp::no_delay(true), error);
        beast::flat_buffer buffer;
        while (co_await serveRequest(stream, buffer)) { }
        stream.socket().shutdown(tcp::socket::shutdown_send, error);
    }

    /// Serves one request of a connection. Returns false if the connection is to be closed.
    awaitable<bool> serveRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer)
    {
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<uint32_t>(m_limits.headerBytes));
        parser.body_limit(m_limits.bodyBytes);
        error_code error = co_await receiveRequest(stream, buffer, parser, config::callerIdleTimeout, config::httpStallTimeout);
        const bool isUnreadable = error == http::error::header_limit || error == http::error::body_limit
            || (error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream && error != http::error::partial_message);
        if (error && !isUnreadable)
            co_return false;
        const ScopedCount inFlight(m_inFlight);
        bool isPersistent = false;
        HttpResponse response;
        if (error) {
            response = m_handler.refuse(error);
        } else {
            HttpRequest request = parser.release();
            isPersistent = request.keep_alive();
            stream.expires_never();
            response = co_await m_handler.respond(std::move(request));
        }
        isPersistent = isPersistent && !m_isClosing;
        response.keep_alive(isPersistent);
        response.prepare_payload();
        error = co_await sendResponse(stream, response, config::httpStallTimeout);
        co_return isPersistent && !error;
    }

    asio::io_context& m_context;
    Handler& m_handler;
    HttpLimits m_limits;
    tcp::acceptor m_acceptor;
    size_t m_inFlight = 0;
    bool m_isClosing = false;
    bool m_isAccepting = true;
};

} // namespace eelgrassloft::io
