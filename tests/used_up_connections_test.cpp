#include "io/http_client.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using namespace std::chrono_literals;

namespace {

constexpr Duration callTimeout = 60s;
constexpr const char* pollTarget = "/poll";
constexpr const char* startTarget = "/start";
constexpr const char* brokenTarget = "/broken";

/// A server that resets connections beyond a limit and never drops an open one. Answers polls when told to,
/// closes the connections of broken requests, and answers all others at once.
class LimitedServer {
public:
    explicit LimitedServer(size_t limit)
        : m_limit(limit)
        , m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        asio::co_spawn(m_context, accept(), asio::detached);
    }

    tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    void poll() { m_context.poll(); }
    size_t open() const { return m_open; }
    size_t refused() const { return m_refused; }
    size_t heldPolls() const { return m_heldPolls; }
    size_t received() const { return m_received; }
    void answerPolls() { m_arePollsAnswered = true; }

private:
    awaitable<void> accept()
    {
        while (true) {
            tcp::socket socket = co_await m_acceptor.async_accept(use_awaitable);
            if (m_open < m_limit) {
                asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
                continue;
            }
            ++m_refused;
            socket.set_option(tcp::socket::linger(true, 0)); // Closes with a reset.
        }
    }

    awaitable<void> serve(tcp::socket socket)
    {
        ++m_open;
        beast::flat_buffer buffer;
        asio::steady_timer timer(m_context);
        error_code error;
        while (!error) {
            HttpRequest request;
            co_await http::async_read(socket, buffer, request, asio::redirect_error(use_awaitable, error));
            if (error)
                break;
            ++m_received;
            if (request.target() == brokenTarget)
                break;
            if (request.target() == pollTarget) {
                ++m_heldPolls;
                while (!m_arePollsAnswered) {
                    timer.expires_after(1ms);
                    co_await timer.async_wait(use_awaitable);
                }
                --m_heldPolls;
            }
            HttpResponse response(http::status::ok, 11);
            response.prepare_payload();
            co_await http::async_write(socket, response, asio::redirect_error(use_awaitable, error));
        }
        --m_open;
    }

    size_t m_limit;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    size_t m_open = 0;
    size_t m_refused = 0;
    size_t m_heldPolls = 0;
    size_t m_received = 0; ///< Requests.
    bool m_arePollsAnswered = false;
};

/// A process that calls the server. It dies without closing its connections when it is no longer polled.
class Caller {
public:
    explicit Caller(tcp::endpoint server)
        : m_server(server)
        , m_client(m_context)
    {
    }

    void poll()
    {
        m_context.restart();
        m_context.poll();
    }

    void send(const char* target, Duration timeout = callTimeout) { asio::co_spawn(m_context, call(target, timeout), asio::detached); }
    size_t ended(ExchangeOutcome outcome) const { return m_ended[outcome]; }
    size_t answered() const { return ended(ExchangeOutcome::Answered); }
    size_t failed() const { return ended(ExchangeOutcome::NotSent) + ended(ExchangeOutcome::Broken) + ended(ExchangeOutcome::TimedOut); }

private:
    awaitable<void> call(const char* target, Duration timeout)
    {
        const ExchangeResult result = co_await m_client.call(m_server, HttpRequest(http::verb::post, target, 11), timeout);
        ++m_ended[result.outcome];
    }

    tcp::endpoint m_server;
    asio::io_context m_context;
    HttpClient m_client;
    EnumArray<ExchangeOutcome, size_t> m_ended;
};

/// Runs both processes until the condition holds. Returns false if it never does.
template <typename Condition>
bool runUntil(LimitedServer& server, Caller& caller, Condition holds, int attempts = 5000)
{
    for (int i = 0; i < attempts && !holds(); ++i) {
        caller.poll();
        server.poll();
        std::this_thread::sleep_for(1ms);
    }
    return holds();
}

/// A server whose connections are used up but for the given number, by callers that are gone.
struct FullServer {
    explicit FullServer(size_t limit, size_t freeConnections)
        : server(limit)
    {
        for (size_t i = freeConnections; i < limit; ++i) {
            halfOpen.emplace_back(context).connect(server.endpoint());
            server.poll();
        }
        for (int i = 0; i < 1000 && server.open() + freeConnections < limit; ++i) {
            std::this_thread::sleep_for(1ms);
            server.poll();
        }
    }

    asio::io_context context;
    LimitedServer server;
    std::list<tcp::socket> halfOpen;
};

} // namespace

BOOST_AUTO_TEST_SUITE(UsedUpConnectionsTests)

/// Control hosts that lost power again and again left connections half open, until workers reset those
/// of each start and accepted jobs never ran.
BOOST_AUTO_TEST_CASE(callersThatDieAgainAndAgainDoNotUseUpConnections)
{
    constexpr size_t limit = 64;
    constexpr int deaths = 8;
    constexpr size_t overlappingStarts = 12;
    LimitedServer server(limit);
    std::list<Caller> callers;
    for (int i = 0; i < deaths; ++i) {
        Caller& caller = callers.emplace_back(server.endpoint());
        caller.send(pollTarget);
        BOOST_TEST(runUntil(server, caller, [&] { return server.heldPolls() == static_cast<size_t>(i) + 1; }));
        for (size_t start = 0; start < overlappingStarts; ++start)
            caller.send(startTarget);
        runUntil(server, caller, [&] { return caller.answered() + caller.failed() == overlappingStarts; });
        BOOST_TEST(caller.answered() == overlappingStarts);
    }
    BOOST_TEST(server.refused() == 0U);
    BOOST_TEST(server.open() <= limit / 2);
}

/// Polls went on over the one open connection, while starts that overlapped them were reset for ever.
BOOST_AUTO_TEST_CASE(startsUseTheConnectionOfPollsWhereTheServerAcceptsNoOther)
{
    FullServer full(8, 1);
    Caller caller(full.server.endpoint());
    caller.send(pollTarget);
    BOOST_REQUIRE(runUntil(full.server, caller, [&] { return full.server.heldPolls() == 1; }));
    for (int i = 0; i < 2; ++i) { // Orders without a response are sent again.
        const size_t failed = caller.failed();
        caller.send(startTarget);
        caller.send(startTarget);
        runUntil(
            full.server, caller, [&] { return caller.failed() == failed + 2; }, 100);
    }
    full.server.answerPolls();
    runUntil(full.server, caller, [&] { return caller.answered() == 3; });
    BOOST_TEST(caller.answered() == 3U);
    BOOST_TEST(full.server.refused() <= 2U);
}

/// An order that a worker may have read must not count as unsent: its task would run twice.
BOOST_AUTO_TEST_CASE(outcomesTellWhetherARequestMayHaveBeenRead)
{
    constexpr Duration shortTimeout = 50ms;
    LimitedServer server(64);
    Caller caller(server.endpoint());
    caller.send(brokenTarget);
    BOOST_TEST(runUntil(server, caller, [&] { return caller.ended(ExchangeOutcome::Broken) == 1; }));
    caller.send(pollTarget, shortTimeout);
    BOOST_TEST(runUntil(server, caller, [&] { return caller.ended(ExchangeOutcome::TimedOut) == 1; }));
    BOOST_TEST(server.received() == 2U);
    for (size_t i = 1; i < config::maxOutgoingConnections; ++i)
        caller.send(pollTarget);
    runUntil(server, caller, [&] { return server.heldPolls() == config::maxOutgoingConnections; });
    const size_t received = server.received();
    caller.send(startTarget, shortTimeout);
    BOOST_TEST(runUntil(server, caller, [&] { return caller.ended(ExchangeOutcome::NotSent) == 1; }));
    BOOST_TEST(server.received() == received);
}

BOOST_AUTO_TEST_CASE(refusedConnectionsEndRequestsAsNotSent)
{
    LimitedServer server(64);
    asio::io_context context;
    const tcp::endpoint closed = tcp::acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 }).local_endpoint();
    Caller caller(closed);
    caller.send(startTarget);
    caller.send(startTarget);
    BOOST_TEST(runUntil(server, caller, [&] { return caller.ended(ExchangeOutcome::NotSent) == 2; }));
}

BOOST_AUTO_TEST_SUITE_END()
