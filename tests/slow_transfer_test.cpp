#include "io/http_transfer.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using namespace std::chrono_literals;

namespace {

constexpr Duration idleTimeout = 60s;
constexpr Duration stallTimeout = 10s;

/// A connection in virtual time that moves a few bytes at a time, each time after a pause.
class SlowStream {
public:
    using executor_type = asio::io_context::executor_type;

    SlowStream(asio::io_context& context, Duration pause, std::string input = {})
        : m_context(context)
        , m_pause(pause)
        , m_input(std::move(input))
    {
    }

    executor_type get_executor() { return m_context.get_executor(); }
    void expires_after(Duration timeout) { m_deadline = m_now + timeout; }

    template <typename Buffers, typename Token>
    auto async_write_some(const Buffers& buffers, Token&& token)
    {
        const size_t bytes = std::min(asio::buffer_size(buffers), bytesAtATime);
        return asio::async_initiate<Token, void(error_code, size_t)>([this, bytes](auto handler) { complete(std::move(handler), bytes); }, token);
    }

    template <typename Buffers, typename Token>
    auto async_read_some(const Buffers& buffers, Token&& token)
    {
        const size_t bytes = asio::buffer_copy(buffers, asio::buffer(m_input.data(), std::min(m_input.size(), bytesAtATime)));
        m_input.erase(0, bytes);
        return asio::async_initiate<Token, void(error_code, size_t)>([this, bytes](auto handler) { complete(std::move(handler), bytes); }, token);
    }

private:
    static constexpr size_t bytesAtATime = 100;

    template <typename Handler>
    void complete(Handler handler, size_t bytes)
    {
        m_now += m_pause;
        error_code error;
        if (m_now >= m_deadline)
            error = beast::error::timeout;
        asio::post(m_context, [handler = std::move(handler), error, bytes]() mutable { handler(error, error ? 0 : bytes); });
    }

    asio::io_context& m_context;
    Duration m_pause;
    Duration m_now {};
    Duration m_deadline = Duration::max();
    std::string m_input;
};

std::string requestOf(size_t bodyBytes)
{
    return "PUT /config HTTP/1.1\r\nHost: host\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
}

struct Fixture {
    asio::io_context context;

    error_code send(Duration pause)
    {
        SlowStream stream(context, pause);
        HttpResponse response(http::status::ok, 11);
        response.body() = std::string(10'000, 'x');
        response.prepare_payload();
        return run([&] { return sendResponse(stream, response, stallTimeout); });
    }

    error_code receive(Duration pause)
    {
        SlowStream stream(context, pause, requestOf(10'000));
        beast::flat_buffer buffer;
        http::request_parser<http::string_body> parser;
        return run([&] { return receiveRequest(stream, buffer, parser, idleTimeout, stallTimeout); });
    }

    template <typename Transfer>
    error_code run(Transfer transfer)
    {
        error_code result;
        const auto task = [&]() -> awaitable<void> { result = co_await transfer(); };
        asio::co_spawn(context, task(), asio::detached);
        context.run();
        return result;
    }
};

} // namespace

// The timeout of a request or response counted from its start, and so cut those of slow links.
BOOST_FIXTURE_TEST_SUITE(SlowTransferTakenForSilence, Fixture)

BOOST_AUTO_TEST_CASE(slowResponseIsSentAsLongAsItsBytesMove) { BOOST_TEST(!send(stallTimeout - 1s)); }

BOOST_AUTO_TEST_CASE(responseThatStallsEndsItsConnection) { BOOST_TEST((send(stallTimeout) == beast::error::timeout)); }

BOOST_AUTO_TEST_CASE(slowRequestIsReadAsLongAsItsBytesMove) { BOOST_TEST(!receive(stallTimeout - 1s)); }

BOOST_AUTO_TEST_CASE(idleConnectionEnds) { BOOST_TEST((receive(idleTimeout) == beast::error::timeout)); }

BOOST_AUTO_TEST_CASE(requestThatStallsEndsItsConnection) { BOOST_TEST((receive(stallTimeout) == beast::error::timeout)); }

BOOST_AUTO_TEST_SUITE_END()
