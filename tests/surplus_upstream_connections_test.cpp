#include "io/upstream_client.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using namespace std::chrono_literals;

namespace {

constexpr size_t waveSize = 8;
constexpr Duration remainingTime = 60s;

/// What the upstream does with a complete request.
enum class Reaction : uint8_t {
    Answer, ///< Once a whole wave is in flight.
    Close,
    Count
};

/// An upstream that counts its open connections.
class CountingUpstream {
public:
    explicit CountingUpstream(asio::io_context& context)
        : m_acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_waveArrived(context, std::chrono::steady_clock::time_point::max())
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    size_t open() const { return m_sockets.size(); }
    size_t accepted() const { return m_accepted; }
    void setReaction(Reaction reaction) { m_reaction = reaction; }

    void closeConnections()
    {
        for (const auto& socket : m_sockets)
            socket->close();
    }

private:
    using Socket = std::shared_ptr<tcp::socket>;

    awaitable<void> accept()
    {
        while (true) {
            tcp::socket socket = co_await m_acceptor.async_accept(use_awaitable);
            ++m_accepted;
            const auto shared = std::make_shared<tcp::socket>(std::move(socket));
            m_sockets.insert(shared);
            asio::co_spawn(m_acceptor.get_executor(), serve(shared), asio::detached);
        }
    }

    awaitable<void> serve(Socket socket)
    {
        beast::flat_buffer buffer;
        error_code error;
        while (!error) {
            HttpRequest request;
            co_await http::async_read(*socket, buffer, request, asio::redirect_error(use_awaitable, error));
            if (error || m_reaction == Reaction::Close)
                break;
            co_await waitForWave();
            HttpResponse response(http::status::ok, 11);
            response.prepare_payload();
            co_await http::async_write(*socket, response, asio::redirect_error(use_awaitable, error));
        }
        m_sockets.erase(socket);
    }

    awaitable<void> waitForWave()
    {
        if (++m_requests % waveSize == 0)
            m_waveArrived.cancel();
        else {
            error_code ignored;
            co_await m_waveArrived.async_wait(asio::redirect_error(use_awaitable, ignored));
        }
    }

    tcp::acceptor m_acceptor;
    asio::steady_timer m_waveArrived;
    Reaction m_reaction = Reaction::Answer;
    std::set<Socket> m_sockets;
    size_t m_accepted = 0;
    size_t m_requests = 0;
};

struct Fixture {
    asio::io_context context;
    CountingUpstream upstream { context };
    NodeMailbox nodeMailbox { context.get_executor(), 1000 };
    UpstreamClient client { context, nodeMailbox };
    uint64_t lastAttempt = 0;

    void start(uint16_t port, bool isRecorded = false)
    {
        const uint64_t id = ++lastAttempt;
        client.start({ AttemptId { id }, RequestId { id }, UpstreamId { 0 }, "127.0.0.1", port, {}, isRecorded }, { makeBlob("x"), {}, {} }, remainingTime);
    }

    void startWave(bool isRecorded)
    {
        for (size_t i = 0; i < waveSize; ++i)
            start(upstream.port(), isRecorded);
    }

    /// Runs the tasks until the condition holds. Returns false if it never does.
    template <typename Condition>
    bool runUntil(Condition holds, int attempts = 20000)
    {
        for (int i = 0; i < attempts && !holds(); ++i) {
            context.poll();
            std::this_thread::sleep_for(1ms);
        }
        return holds();
    }

    void runFor(Duration duration)
    {
        runUntil([] { return false; }, static_cast<int>(duration / 1ms));
    }

    /// The events of attempts that have ended, once there are as many.
    std::vector<Event> endedAttempts(size_t count)
    {
        runUntil([&] { return nodeMailbox.size() >= count; });
        std::vector<Event> events;
        while (auto message = nodeMailbox.tryPop())
            events.push_back(std::get<Event>(std::move(*message)));
        return events;
    }

    size_t answeredAttempts(size_t count)
    {
        size_t answered = 0;
        for (const Event& event : endedAttempts(count))
            answered += std::holds_alternative<AttemptAnswered>(event);
        return answered;
    }

    AttemptFailure failureOfAttempt()
    {
        const auto events = endedAttempts(1);
        BOOST_REQUIRE(events.size() == 1U);
        BOOST_REQUIRE(std::holds_alternative<AttemptFailed>(events[0]));
        return std::get<AttemptFailed>(events[0]).failure;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SurplusUpstreamConnections, Fixture)

/// Each wave of at-most-once work opened its connections beside those of the earlier waves, which it does not reuse.
BOOST_AUTO_TEST_CASE(atMostOnceWorkDoesNotAddConnectionsToIdleOnes)
{
    for (int wave = 0; wave < 3; ++wave) {
        startWave(true);
        BOOST_TEST(answeredAttempts(waveSize) == waveSize);
        runFor(config::atMostOnceIdleLimit + 50ms);
        BOOST_TEST(upstream.open() <= waveSize);
    }
    BOOST_TEST(upstream.accepted() == 3 * waveSize); // No connection was reused beyond the limit.
}

/// Idle connections stayed open until the next request to the same upstream, or for ever.
BOOST_AUTO_TEST_CASE(idleConnectionsCloseWithoutAFurtherRequest)
{
    startWave(false);
    BOOST_TEST(answeredAttempts(waveSize) == waveSize);
    BOOST_TEST(upstream.open() == waveSize);
    BOOST_TEST(runUntil([&] { return upstream.open() == 0; }));
}

BOOST_AUTO_TEST_CASE(idleConnectionsAreReused)
{
    for (const bool isRecorded : { false, true, false }) {
        startWave(isRecorded);
        BOOST_TEST(answeredAttempts(waveSize) == waveSize);
    }
    BOOST_TEST(upstream.accepted() == waveSize);
}

BOOST_AUTO_TEST_CASE(connectionsThatTheUpstreamClosedAreReplaced)
{
    startWave(false);
    BOOST_TEST(answeredAttempts(waveSize) == waveSize);
    upstream.closeConnections();
    BOOST_TEST(runUntil([&] { return upstream.open() == 0; }));
    startWave(false);
    BOOST_TEST(answeredAttempts(waveSize) == waveSize);
    BOOST_TEST(upstream.open() == waveSize);
}

BOOST_AUTO_TEST_CASE(anAttemptFailsIfItsConnectionIsRefused)
{
    tcp::acceptor closed(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const uint16_t port = closed.local_endpoint().port();
    closed.close();
    start(port);
    BOOST_TEST((failureOfAttempt() == AttemptFailure::ConnectFailed));
}

/// The upstream may have done the work.
BOOST_AUTO_TEST_CASE(anAnswerIsLostIfItsConnectionEnds)
{
    upstream.setReaction(Reaction::Close);
    start(upstream.port());
    BOOST_TEST((failureOfAttempt() == AttemptFailure::AnswerLost));
}

/// The client opened one connection after the other until the attempt's deadline.
BOOST_AUTO_TEST_CASE(aConnectionThatIsClosedAtOnceIsNotReplaced)
{
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    acceptor.non_blocking(true);
    start(acceptor.local_endpoint().port());
    size_t accepted = 0;
    for (int i = 0; i < 1000 && accepted < 5 && !nodeMailbox.size(); ++i) {
        context.poll_one();
        tcp::socket socket(context);
        error_code error;
        acceptor.accept(socket, error); // Closed before the client's next step.
        accepted += !error;
        std::this_thread::sleep_for(1ms);
    }
    BOOST_TEST(accepted == 1U);
    BOOST_TEST((failureOfAttempt() == AttemptFailure::ConnectFailed));
}

BOOST_AUTO_TEST_SUITE_END()
