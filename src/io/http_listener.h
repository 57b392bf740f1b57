#pragma once

#include "io/http_transfer.h"
#include "io/listen.h"
#include "io/scoped_count.h"
#include "io/shed_log.h"

#include "eelgrassloft/config.h"

#include <concepts>
#include <iterator>
#include <limits>
#include <memory>

namespace eelgrassloft::io {

/// What a handler says to a request of which only the header is known.
struct RequestScreen {
    std::optional<HttpResponse> refusal; ///< Answers the request at once; its body is not read.
    size_t bodyBytes = 0; ///< Largest body that the request may have.
    size_t responseBytes = 0; ///< Expected body of the response, if it is large.
};

/// Handles the requests of a listener: `screen` judges the header of one before its body is read,
/// `respond` answers one that was read, `refuse` one that could not be. `refuse` gets
/// `http::error::body_limit` or `header_limit` for a request over a limit.
template <typename T>
concept HttpHandler = requires(T handler, HttpRequest request, const HttpRequestHeader& header)
{
    {
        handler.screen(header)
        } -> std::same_as<RequestScreen>;
    {
        handler.respond(std::move(request))
        } -> std::same_as<awaitable<HttpResponse>>;
    {
        handler.refuse(error_code {})
        } -> std::same_as<HttpResponse>;
};

/// A handler that has to ask others whether a body may be read. It is asked only if the body has not
/// arrived with the header; `respond` checks again.
template <typename T>
concept ScreensBodies = requires(T handler, const HttpRequestHeader& header)
{
    {
        handler.admitBody(header)
        } -> std::same_as<awaitable<std::optional<HttpResponse>>>;
};

/// A handler that is told what is refused or closed, in addition to the requests that it refuses itself.
template <typename T>
concept ObservesShedding = requires(T handler, ShedReason reason)
{
    handler.didShed(reason);
};

struct HttpLimits {
    size_t headerBytes = config::maxHeaderBytes;
    size_t bodyBytes = config::maxBodyBytes; ///< Of any request; a handler's screen may allow less.
    Duration headerTimeout = config::requestHeaderTimeout;
    Duration stallTimeout = config::httpStallTimeout;
    Duration idleTimeout = config::callerIdleTimeout;
    std::optional<int> receiveBufferBytes = std::nullopt; ///< Of a socket; the system's if not set.
};

/// The part that a listener has in the budget of its process.
struct ListenerBudget {
    ConnectionBudget& budget;
    ShedLog& shedLog;
    ListenerKind kind;
};

/// Serves HTTP on one address, with one task for each connection.
template <HttpHandler Handler>
class HttpListener {
public:
    HttpListener(asio::io_context& context, Handler& handler, HttpLimits limits, ListenerBudget budget)
        : m_context(context)
        , m_handler(handler)
        , m_limits(limits)
        , m_acceptor(context)
        , m_budget(budget.budget)
        , m_shedLog(budget.shedLog)
        , m_kind(budget.kind)
    {
    }

    /// A listener with a budget of its own, for a process that has no other.
    HttpListener(asio::io_context& context, Handler& handler, HttpLimits limits, BudgetLimits budget = {}, EventLog* log = nullptr)
        : m_context(context)
        , m_handler(handler)
        , m_limits(limits)
        , m_acceptor(context)
        , m_own(std::make_shared<OwnBudget>(budget, log))
        , m_budget(m_own->budget)
        , m_shedLog(m_own->shedLog)
        , m_kind(ListenerKind::Callers)
    {
    }

    /// Starts listening. Returns an error if it cannot; `setting` names the setting to correct.
    std::optional<Error> start(const std::string& address, uint16_t port, const std::string& setting)
    {
        if (auto error = listenOn(m_acceptor, address, port, setting))
            return error;
        limitSocketBuffers(m_acceptor, m_limits.receiveBufferBytes);
        const auto onShortage = [this] { shed(ShedReason::AcceptFailed); };
        asio::co_spawn(m_context, acceptConnections(
                                      m_context, m_acceptor, m_isAccepting, [this](tcp::socket socket) { return serveConnection(std::move(socket)); }, onShortage),
            asio::detached);
        return std::nullopt;
    }

    /// Port on which it listens; with port 0 in `start`, the one that the system has chosen.
    uint16_t port() const
    {
        error_code ignored;
        return m_acceptor.local_endpoint(ignored).port();
    }

    /// Serves a connection that was accepted elsewhere.
    awaitable<void> serveConnection(tcp::socket socket)
    {
        const auto own = m_own; // The task may be destroyed after its listener.
        Connection connection(m_budget, m_kind, std::move(socket), m_limits.headerBytes);
        if (!m_budget.tryAdmit(connection, closeEvicted())) {
            report(ShedReason::Connections);
            co_return;
        }
        error_code error;
        connection.stream.socket().set_option(tcp::no_delay(true), error);
        try {
            while (co_await serveRequest(connection)) { }
        } catch (const std::exception&) { // For example, for lack of memory. The outcome of the request is not known.
            shed(ShedReason::HandlerFailed);
        }
        connection.stream.socket().shutdown(tcp::socket::shutdown_send, error);
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
    using Clock = MinimumRate::Clock;
    // A body goes into a buffer that grows as it arrives, as its declared size is not to be trusted. The
    // parser sees only chunked ones.
    using Parser = http::request_parser<http::buffer_body>;

    struct OwnBudget {
        OwnBudget(BudgetLimits limits, EventLog* log)
            : budget(limits, { ListenerKind::Callers })
            , shedLog(budget, log)
        {
        }

        ConnectionBudget budget;
        ShedLog shedLog;
    };

    struct Connection : ConnectionBudget::Connection {
        Connection(ConnectionBudget& budget, ListenerKind kind, tcp::socket socket, size_t maxBufferBytes)
            : ConnectionBudget::Connection(budget, kind)
            , stream(std::move(socket))
            , buffer(maxBufferBytes)
        {
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer; ///< Bounds what is read of the next request while one is served.
        uint64_t headerBytes = 0; ///< Counted for the header of the present request.
    };

    /// How the reading of a request or its screening ended.
    enum class Progress : uint8_t {
        Done,
        Refused, ///< The response says why.
        Closed, ///< There is nobody to answer, or no time.
        Count
    };

    /// Closes the socket of a connection that the budget has evicted: its task ends with an error.
    auto closeEvicted()
    {
        return [this](ConnectionBudget::Connection& victim, ShedReason reason) {
            static_cast<Connection&>(victim).stream.close();
            report(reason);
        };
    }

    void shed(ShedReason reason)
    {
        m_budget.count(m_kind, reason);
        report(reason);
    }

    /// Reports what the budget has counted itself.
    void report(ShedReason reason)
    {
        m_shedLog.report(m_kind, reason);
        if constexpr (ObservesShedding<Handler>)
            m_handler.didShed(reason);
    }

    bool trySetBytes(Connection& connection, uint64_t bodyBytes)
    {
        if (m_budget.trySetBytes(connection, connection.buffer.capacity() + connection.headerBytes + bodyBytes, closeEvicted()))
            return true;
        if (!connection.isEvicted())
            report(ShedReason::Memory);
        return false;
    }

    /// Serves one request of a connection. Returns false if the connection is to be closed.
    awaitable<bool> serveRequest(Connection& connection)
    {
        HttpResponse response;
        bool isPersistent = false;
        {
            Parser parser;
            parser.header_limit(static_cast<uint32_t>(m_limits.headerBytes));
            parser.body_limit(std::numeric_limits<uint64_t>::max()); // The screen's limit applies instead.
            Progress progress = co_await receiveHeader(connection, parser, response);
            RequestScreen screen;
            std::string body;
            if (progress == Progress::Done)
                progress = screenHeader(parser, screen, response);
            if (progress == Progress::Done && !parser.is_done())
                progress = co_await receiveBody(connection, parser, screen, body, response);
            if (progress == Progress::Closed || connection.isEvicted())
                co_return false;
            const ScopedCount inFlight(m_inFlight);
            if (progress == Progress::Done && !trySetBytes(connection, body.capacity() + expectResponse(connection, screen, body))) {
                if (connection.isEvicted())
                    co_return false;
                response = unavailable();
                progress = Progress::Refused;
            }
            if (progress == Progress::Done) {
                connection.setPhase(ConnectionPhase::Answering);
                HttpRequest request(std::move(parser.get().base()), std::move(body));
                isPersistent = request.keep_alive();
                connection.stream.expires_never();
                response = co_await m_handler.respond(std::move(request));
            }
            if (progress == Progress::Refused)
                std::string().swap(body);
            isPersistent = isPersistent && !m_isClosing;
            if (!co_await answer(connection, response, isPersistent))
                co_return false;
            if (progress == Progress::Refused)
                co_await drain(connection);
        }
        connection.headerBytes = 0;
        connection.setLarge(false);
        if (connection.buffer.size() == 0 && connection.buffer.capacity() > config::keptReadBufferBytes)
            connection.buffer.shrink_to_fit();
        trySetBytes(connection, 0);
        co_return isPersistent;
    }

    static size_t expectResponse(Connection& connection, const RequestScreen& screen, const std::string& body)
    {
        connection.setLarge(body.size() > config::smallRequestBytes || screen.responseBytes > config::smallRequestBytes);
        return screen.responseBytes;
    }

    static size_t fieldCount(const Parser& parser) { return static_cast<size_t>(std::distance(parser.get().begin(), parser.get().end())); }

    HttpResponse refuseFor(ShedReason reason, http::error error)
    {
        shed(reason);
        return m_handler.refuse(http::make_error_code(error));
    }

    /// Response to a request for which there is no memory. Nothing of it has run.
    static HttpResponse unavailable()
    {
        HttpResponse response(http::status::service_unavailable, 11);
        response.set(http::field::retry_after, "1");
        return response;
    }

    awaitable<Progress> receiveHeader(Connection& connection, Parser& parser, HttpResponse& response)
    {
        uint64_t bytes = 0;
        bool hasBegun = connection.buffer.size() > 0;
        connection.setPhase(hasBegun ? ConnectionPhase::Receiving : ConnectionPhase::Idle);
        connection.stream.expires_after(hasBegun ? m_limits.headerTimeout : m_limits.idleTimeout);
        while (true) {
            error_code error;
            if (connection.buffer.size() > 0) {
                const size_t used = parser.put(connection.buffer.data(), error);
                connection.buffer.consume(used);
                bytes += used;
                connection.headerBytes = bytes + fieldCount(parser) * config::headerFieldBytes;
                // The parser's own limit does not count the fields that it has taken from the buffer already.
                const bool isTooLong = parser.is_header_done() ? bytes > m_limits.headerBytes : bytes + connection.buffer.size() >= m_limits.headerBytes;
                if (error == http::error::header_limit || isTooLong || fieldCount(parser) > config::maxHeaderFields) {
                    response = refuseFor(ShedReason::HeaderTooLarge, http::error::header_limit);
                    co_return Progress::Refused;
                }
                if (!error)
                    co_return Progress::Done;
                if (error != http::error::need_more)
                    co_return refuseUnreadable(error, response);
                if (!trySetBytes(connection, 0))
                    co_return refuseForMemory(connection, response);
            }
            const size_t received = co_await connection.stream.async_read_some(connection.buffer.prepare(readSize(connection)), asio::redirect_error(use_awaitable, error));
            connection.buffer.commit(received);
            if (error == beast::error::timeout && hasBegun)
                shed(ShedReason::SlowHeader);
            if (error || connection.isEvicted())
                co_return Progress::Closed;
            if (!std::exchange(hasBegun, true)) // The time does not begin anew with each byte.
                connection.stream.expires_after(m_limits.headerTimeout);
            connection.setPhase(ConnectionPhase::Receiving);
        }
    }

    /// Bytes to read into the buffer at once: what it has room for already, if that is not too little.
    static size_t readSize(const Connection& connection)
    {
        const size_t size = connection.buffer.size();
        return std::min(connection.buffer.max_size() - size, std::max<size_t>(config::smallReadBytes, connection.buffer.capacity() - size));
    }

    Progress refuseForMemory(const Connection& connection, HttpResponse& response)
    {
        if (connection.isEvicted())
            return Progress::Closed;
        response = unavailable();
        return Progress::Refused;
    }

    /// Answers a request that is not HTTP. One that has ended early has nobody to answer.
    Progress refuseUnreadable(const error_code& error, HttpResponse& response)
    {
        const bool isOfHttp = error.category() == http::make_error_code(http::error::bad_method).category();
        if (!isOfHttp)
            return Progress::Closed;
        response = m_handler.refuse(error);
        return Progress::Refused;
    }

    Progress screenHeader(const Parser& parser, RequestScreen& screen, HttpResponse& response)
    {
        screen = m_handler.screen(parser.get().base());
        screen.bodyBytes = std::min(screen.bodyBytes, m_limits.bodyBytes);
        if (screen.refusal) {
            shed(ShedReason::NotTaken);
            response = std::move(*screen.refusal);
            return Progress::Refused;
        }
        const bool isTooLarge = parser.content_length().value_or(0) > screen.bodyBytes || (!parser.is_done() && !screen.bodyBytes);
        if (!isTooLarge)
            return Progress::Done;
        response = refuseFor(ShedReason::BodyTooLarge, http::error::body_limit);
        return Progress::Refused;
    }

    awaitable<Progress> receiveBody(Connection& connection, Parser& parser, const RequestScreen& screen, std::string& body, HttpResponse& response)
    {
        const uint64_t declared = parser.content_length().value_or(0);
        const bool isDeclared = parser.content_length().has_value();
        connection.setLarge(declared > config::smallRequestBytes);
        if constexpr (ScreensBodies<Handler>) {
            if (!isDeclared || declared > connection.buffer.size()) {
                connection.setPhase(ConnectionPhase::Answering);
                auto refusal = co_await m_handler.admitBody(std::as_const(parser).get().base());
                if (refusal) {
                    shed(ShedReason::NotTaken);
                    response = std::move(*refusal);
                    co_return Progress::Refused;
                }
            }
        }
        const MinimumRate rate(Clock::now(), m_limits.stallTimeout);
        uint64_t received = 0;
        size_t used = 0;
        while (isDeclared ? used < declared : !parser.is_done()) {
            if (used == body.size()) {
                const uint64_t most = isDeclared ? declared : screen.bodyBytes + 1;
                const uint64_t wanted = std::min<uint64_t>(most, std::max<uint64_t>(config::smallRequestBytes, 2 * used));
                if (wanted > config::smallRequestBytes)
                    connection.setLarge(true);
                // While it grows, both sizes are held. The string may round up to twice its present size.
                if (!trySetBytes(connection, std::max<uint64_t>(wanted, 2 * used) + used))
                    co_return refuseForMemory(connection, response);
                body.resize(wanted);
                trySetBytes(connection, body.capacity());
            }
            error_code error;
            if (connection.buffer.size() > 0) {
                if (isDeclared) {
                    const size_t copied = asio::buffer_copy(asio::buffer(body.data() + used, body.size() - used), connection.buffer.data());
                    connection.buffer.consume(copied);
                    used += copied;
                    continue;
                }
                auto& target = parser.get().body();
                target.data = body.data() + used;
                target.size = body.size() - used;
                connection.buffer.consume(parser.put(connection.buffer.data(), error));
                used = body.size() - target.size;
                if (used > screen.bodyBytes) {
                    response = refuseFor(ShedReason::BodyTooLarge, http::error::body_limit);
                    co_return Progress::Refused;
                }
                const bool isUnfinishedChunk = error == http::error::need_more && connection.buffer.size() == connection.buffer.max_size();
                if (isUnfinishedChunk || fieldCount(parser) > config::maxHeaderFields) { // With those behind the body.
                    response = refuseFor(ShedReason::HeaderTooLarge, http::error::header_limit);
                    co_return Progress::Refused;
                }
                if (!error || error == http::error::need_buffer)
                    continue;
                if (error != http::error::need_more)
                    co_return refuseUnreadable(error, response);
                error = {};
            }
            connection.setPhase(ConnectionPhase::Receiving);
            connection.stream.expires_at(rate.deadline(Clock::now(), received));
            size_t count = 0;
            if (isDeclared) {
                count = co_await connection.stream.async_read_some(asio::buffer(body.data() + used, body.size() - used), asio::redirect_error(use_awaitable, error));
                used += count;
            } else {
                count = co_await connection.stream.async_read_some(connection.buffer.prepare(readSize(connection)), asio::redirect_error(use_awaitable, error));
                connection.buffer.commit(count);
                if (!error && !trySetBytes(connection, body.capacity()))
                    co_return refuseForMemory(connection, response);
            }
            received += count;
            if (error == beast::error::timeout)
                shed(ShedReason::SlowBody);
            if (error || connection.isEvicted())
                co_return Progress::Closed;
        }
        body.resize(used);
        co_return Progress::Done;
    }

    /// Sends a response. Returns false if the connection has ended.
    awaitable<bool> answer(Connection& connection, HttpResponse& response, bool isPersistent)
    {
        response.keep_alive(isPersistent);
        response.prepare_payload();
        connection.setLarge(response.body().size() > config::smallRequestBytes);
        connection.setPhase(ConnectionPhase::Sending);
        // The request may have run: without room for the response, its outcome is left open.
        if (!trySetBytes(connection, response.body().capacity()))
            co_return false;
        const MinimumRate rate(Clock::now(), m_limits.stallTimeout);
        const error_code error = co_await sendResponse(connection.stream, response, rate, [&] { connection.setPhase(ConnectionPhase::Sending); });
        if (error == beast::error::timeout)
            shed(ShedReason::SlowReader);
        co_return !error && !connection.isEvicted();
    }

    /// Reads on for a short time after a refusal: if the socket was closed with bytes unread, the
    /// connection would be reset, and the client might not see the response.
    awaitable<void> drain(Connection& connection)
    {
        error_code error;
        connection.stream.socket().shutdown(tcp::socket::shutdown_send, error);
        connection.setPhase(ConnectionPhase::Receiving);
        connection.buffer.clear();
        connection.stream.expires_after(config::refusalDrainTime);
        size_t bytes = 0;
        while (!error && bytes < config::refusalDrainBytes && !connection.isEvicted()) {
            const auto target = connection.buffer.prepare(std::min<size_t>(m_limits.headerBytes, config::keptReadBufferBytes));
            bytes += co_await connection.stream.async_read_some(target, asio::redirect_error(use_awaitable, error));
        }
    }

    asio::io_context& m_context;
    Handler& m_handler;
    HttpLimits m_limits;
    tcp::acceptor m_acceptor;
    std::shared_ptr<OwnBudget> m_own; ///< Null if it shares its process's budget.
    ConnectionBudget& m_budget;
    ShedLog& m_shedLog;
    ListenerKind m_kind;
    size_t m_inFlight = 0;
    bool m_isClosing = false;
    bool m_isAccepting = true;
};

} // namespace eelgrassloft::io
