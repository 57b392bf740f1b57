#include "io/http_listener.h"

#include "support/socket_pair.h"

#include <boost/test/unit_test.hpp>

#include <boost/asio/executor_work_guard.hpp>

#include <list>
#include <stdexcept>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using namespace std::chrono_literals;

namespace {

constexpr size_t bodyLimit = 256UL * 1024;
constexpr size_t headerLimit = 16UL * 1024;

/// Answers what is posted to /echo with its body; /large has a large response, /fail throws.
struct EchoApi {
    RequestScreen screen(const HttpRequestHeader& header) const
    {
        if (header.target() == "/echo")
            return { std::nullopt, header.method() == http::verb::post ? bodyLimit : 0, 0 };
        if (header.target() == "/large" || header.target() == "/fail")
            return {};
        return { HttpResponse(http::status::not_found, 11), 0, 0 };
    }

    awaitable<std::optional<HttpResponse>> admitBody(const HttpRequestHeader& header)
    {
        ++questions;
        if (header.count("X-Unknown"))
            co_return HttpResponse(http::status::unauthorized, 11);
        co_return std::nullopt;
    }

    awaitable<HttpResponse> respond(HttpRequest request)
    {
        ++requests;
        if (request.target() == "/fail")
            throw std::length_error("too long");
        HttpResponse response(http::status::ok, 11);
        response.body() = request.target() == "/large" ? std::string(1UL << 20, 'x') : request.body();
        co_return response;
    }

    HttpResponse refuse(const error_code& error) const { return HttpResponse(refusalStatus(error), 11); }

    size_t requests = 0;
    size_t questions = 0;
};

struct Fixture {
    explicit Fixture(BudgetLimits limits = {}, Duration timeout = 10s)
        : budget(limits, { ListenerKind::Callers })
        , shedLog(budget, nullptr)
        , listener(context, api, HttpLimits { headerLimit, bodyLimit, timeout, timeout, timeout, std::nullopt }, ListenerBudget { budget, shedLog, ListenerKind::Callers })
    {
    }

    uint64_t shed(ShedReason reason) const { return budget.shed(ListenerKind::Callers, reason); }

    ConnectionBudget budget; // Before the context, like a process's.
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work { context.get_executor() };
    ShedLog shedLog;
    EchoApi api;
    HttpListener<EchoApi> listener;
};

/// A client's end of a connection that the listener serves.
class Client {
public:
    explicit Client(Fixture& fixture)
        : m_context(fixture.context)
        , m_sockets(fixture.context)
    {
        m_sockets.far.non_blocking(true);
        asio::co_spawn(m_context, fixture.listener.serveConnection(std::move(m_sockets.near)), asio::detached);
        m_context.poll();
    }

    /// Sends as much as is taken. Returns the number of bytes.
    size_t send(std::string_view text)
    {
        size_t sent = 0;
        for (int tries = 0; sent < text.size() && tries < 20; ++tries) {
            error_code error;
            const size_t bytes = m_sockets.far.write_some(asio::buffer(text.data() + sent, text.size() - sent), error);
            sent += bytes;
            if (bytes)
                tries = 0;
            m_context.run_for(1ms);
        }
        return sent;
    }

    /// Waits for `count` responses, or the end of the connection, and pauses after each read. Returns the status
    /// of the last one.
    unsigned receive(size_t count = 1, Duration pause = 1ms)
    {
        unsigned status = 0;
        for (int tries = 0; count && !m_isEnded && tries < 3000; ++tries) {
            status = takeResponse(count).value_or(status);
            if (count)
                read(pause);
        }
        return status;
    }

    /// Neither sends nor reads for some time.
    void pause(Duration duration) { m_context.run_for(duration); }

    /// Whether the listener has closed the connection.
    bool isClosed()
    {
        for (int tries = 0; !m_isEnded && tries < 20; ++tries)
            read();
        return m_isEnded;
    }

    const std::string& body() const { return m_body; }

private:
    void read(Duration pause = 1ms)
    {
        std::array<char, 65536> buffer;
        error_code error;
        const size_t bytes = m_sockets.far.read_some(asio::buffer(buffer), error);
        m_received.append(buffer.data(), bytes);
        m_isEnded = error && error != asio::error::would_block;
        m_context.run_for(pause);
    }

    std::optional<unsigned> takeResponse(size_t& count)
    {
        http::response_parser<http::string_body> parser;
        parser.eager(true);
        error_code error;
        const size_t used = parser.put(asio::buffer(m_received), error);
        if (error || !parser.is_done())
            return std::nullopt;
        m_received.erase(0, used);
        m_body = parser.get().body();
        --count;
        return parser.get().result_int();
    }

    asio::io_context& m_context;
    SocketPair m_sockets;
    std::string m_received;
    std::string m_body;
    bool m_isEnded = false;
};

std::string post(const std::string& target, size_t declared, const std::string& body = {}, const std::string& fields = {})
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\n" + fields + "Content-Length: " + std::to_string(declared) + "\r\n\r\n" + body;
}

std::string get(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"; }

const std::string chunkedHeader = "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string& text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n"
        << text << "\r\n";
    return out.str();
}

} // namespace

// Bodies were read in full before their path was looked at, and nothing bounded their sum.
BOOST_AUTO_TEST_SUITE(HttpListenerTests)

BOOST_AUTO_TEST_CASE(bodiesOfAllSizesArriveWhole)
{
    Fixture fixture;
    Client client(fixture);
    for (const size_t size : { 0UL, 1UL, 100UL, 16384UL, 16385UL, 100000UL, bodyLimit }) {
        std::string body(size, 'a');
        for (size_t i = 0; i < size; ++i)
            body[i] = static_cast<char>('a' + i % 23);
        BOOST_TEST(client.send(post("/echo", size, body)) > size);
        BOOST_TEST(client.receive() == 200U);
        BOOST_TEST((client.body() == body), size);
        BOOST_TEST(client.send(chunkedHeader) > 0U);
        for (size_t begin = 0; begin < size; begin += 9999)
            client.send(chunk(body.substr(begin, 9999)));
        client.send("0\r\n\r\n");
        BOOST_TEST(client.receive() == 200U);
        BOOST_TEST((client.body() == body), size);
    }
    BOOST_TEST(fixture.api.requests == 14U);
    BOOST_TEST(fixture.budget.bytes(ListenerKind::Callers) <= headerLimit);
}

BOOST_AUTO_TEST_CASE(requestInSmallPiecesIsServed)
{
    Fixture fixture;
    Client client(fixture);
    const std::string request = post("/echo", 50, std::string(50, 'x'));
    for (size_t i = 0; i < request.size(); i += 3)
        client.send(std::string_view(request).substr(i, 3));
    BOOST_TEST(client.receive() == 200U);
    BOOST_TEST(client.body().size() == 50U);
}

BOOST_AUTO_TEST_CASE(bodyOverTheLimitIsRefusedUnread)
{
    for (const std::string& request : { post("/echo", bodyLimit + 1), post("/echo", 1UL << 40), std::string("GET /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"), "PUT" + chunkedHeader.substr(4) }) {
        Fixture fixture;
        Client client(fixture);
        client.send(request);
        BOOST_TEST(client.receive() == 413U, request);
        BOOST_TEST(fixture.api.requests == 0U);
        BOOST_TEST(fixture.api.questions == 0U);
        BOOST_TEST(fixture.shed(ShedReason::BodyTooLarge) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(chunkedBodyOverTheLimitIsRefused)
{
    Fixture fixture;
    Client client(fixture);
    client.send(chunkedHeader);
    for (size_t sent = 0; sent <= bodyLimit; sent += 60000)
        client.send(chunk(std::string(60000, 'x')));
    BOOST_TEST(client.receive() == 413U);
    BOOST_TEST(fixture.api.requests == 0U);
}

BOOST_AUTO_TEST_CASE(unknownPathIsRefusedFromItsHeader)
{
    Fixture fixture;
    Client client(fixture);
    client.send(post("/other", 1000));
    BOOST_TEST(client.receive() == 404U);
    BOOST_TEST(fixture.shed(ShedReason::NotTaken) == 1U);
    Client sender(fixture);
    sender.send(post("/other", 200000, std::string(200000, 'x'))); // A reset for unread bytes would lose the response.
    BOOST_TEST(sender.receive() == 404U);
    BOOST_TEST(fixture.api.requests == 0U);
}

BOOST_AUTO_TEST_CASE(bodyThatHasNotArrivedIsAskedAbout)
{
    Fixture fixture;
    Client stranger(fixture);
    stranger.send(post("/echo", 1000, {}, "X-Unknown: 1\r\n"));
    BOOST_TEST(stranger.receive() == 401U);
    BOOST_TEST(fixture.api.questions == 1U);
    Client client(fixture);
    client.send(post("/echo", 100, std::string(100, 'x')));
    BOOST_TEST(client.receive() == 200U);
    BOOST_TEST(fixture.api.questions == 1U); // The handler checks in `respond` anyway.
}

/// The parser's own limit holds for what it has not taken from the buffer yet.
BOOST_AUTO_TEST_CASE(headerThatArrivesInPiecesHasALimit)
{
    Fixture fixture;
    Client client(fixture);
    client.send("GET /echo HTTP/1.1\r\nHost: h\r\n");
    const std::string field = "X: " + std::string(1000, 'x') + "\r\n";
    for (int i = 0; i < 20; ++i)
        client.send(field);
    BOOST_TEST(client.receive() == 431U);
    BOOST_TEST(fixture.shed(ShedReason::HeaderTooLarge) == 1U);
}

BOOST_AUTO_TEST_CASE(headerOfManyShortFieldsIsRefused)
{
    Fixture fixture;
    Client client(fixture);
    std::string request = "GET /echo HTTP/1.1\r\n";
    for (int i = 0; i < 1000; ++i)
        request += "a:\r\n";
    client.send(request + "\r\n");
    BOOST_TEST(client.receive() == 431U);
    Client oneLine(fixture);
    oneLine.send("GET /" + std::string(20000, 'x'));
    BOOST_TEST(oneLine.receive() == 431U);
    BOOST_TEST(fixture.api.requests == 0U);
}

BOOST_AUTO_TEST_CASE(fieldsBehindAChunkedBodyCountToo)
{
    Fixture fixture;
    Client client(fixture);
    std::string request = chunkedHeader + chunk("x") + "0\r\n";
    for (int i = 0; i < 1000; ++i)
        request += "a:\r\n";
    client.send(request + "\r\n");
    BOOST_TEST(client.receive() == 431U);
    BOOST_TEST(fixture.api.requests == 0U);
}

BOOST_AUTO_TEST_CASE(nextRequestWaitsUntilTheResponseIsTaken)
{
    Fixture fixture;
    Client client(fixture);
    std::string requests;
    for (int i = 0; i < 50; ++i)
        requests += get("/large");
    client.send(requests);
    fixture.context.run_for(50ms);
    BOOST_TEST(fixture.api.requests < 20U); // The sockets' buffers hold some of the 50 MiB.
    BOOST_TEST(fixture.budget.bytes(ListenerKind::Callers) < 2UL * 1024 * 1024);
    BOOST_TEST(client.receive(50) == 200U);
    BOOST_TEST(fixture.api.requests == 50U);
}

BOOST_AUTO_TEST_CASE(crowdThatStaysOpenDoesNotLockOutAClient)
{
    Fixture fixture({ 8UL * 1024 * 1024, 8 });
    std::list<Client> crowd;
    for (int i = 0; i < 50; ++i) {
        crowd.emplace_back(fixture).send("POST /echo HTTP/1.1\r\nHost");
        BOOST_TEST(fixture.budget.connections(ListenerKind::Callers) <= 8U);
    }
    BOOST_TEST(crowd.front().isClosed());
    BOOST_TEST(!crowd.back().isClosed());
    Client client(fixture);
    client.send(get("/echo"));
    BOOST_TEST(client.receive() == 200U);
    BOOST_TEST(fixture.shed(ShedReason::Connections) == 43U);
}

BOOST_AUTO_TEST_CASE(unfinishedBodiesStayWithinTheBudget)
{
    Fixture fixture({ 4UL * 1024 * 1024, 1000 });
    const std::string body(bodyLimit - 1, 'x');
    std::list<Client> crowd;
    for (int i = 0; i < 40; ++i) {
        crowd.emplace_back(fixture).send(post("/echo", bodyLimit, body));
        BOOST_TEST(fixture.budget.bytes(ListenerKind::Callers) <= fixture.budget.byteLimit(ListenerKind::Callers));
    }
    BOOST_TEST(crowd.front().isClosed());
    BOOST_TEST(fixture.api.requests == 0U);
    Client client(fixture);
    client.send(post("/echo", 5000, std::string(5000, 'x')));
    BOOST_TEST(client.receive() == 200U);
    Client large(fixture);
    large.send(post("/echo", bodyLimit, std::string(bodyLimit, 'x')));
    BOOST_TEST(large.receive() == 200U);
}

BOOST_AUTO_TEST_CASE(responsesThatNobodyReadsStayWithinTheBudget)
{
    Fixture fixture({ 4UL * 1024 * 1024, 1000 });
    std::list<Client> crowd;
    for (int i = 0; i < 20; ++i) {
        for (int request = 0; request < 10; ++request)
            crowd.emplace_back(fixture).send(get("/large"));
        BOOST_TEST(fixture.budget.bytes(ListenerKind::Callers) <= fixture.budget.byteLimit(ListenerKind::Callers));
    }
    Client client(fixture);
    client.send(get("/large"));
    BOOST_TEST(client.receive() == 200U);
}

BOOST_AUTO_TEST_CASE(exceptionOfAHandlerEndsOnlyItsConnection)
{
    Fixture fixture;
    Client client(fixture);
    client.send(get("/fail"));
    BOOST_TEST(client.isClosed());
    BOOST_TEST(fixture.shed(ShedReason::HandlerFailed) == 1U);
    BOOST_TEST(fixture.budget.connections(ListenerKind::Callers) == 0U);
    BOOST_TEST(fixture.listener.inFlight() == 0U);
    Client other(fixture);
    other.send(get("/echo"));
    BOOST_TEST(other.receive() == 200U);
}

BOOST_AUTO_TEST_CASE(chunkSizesOfAnyLengthAreNotBuffered)
{
    Fixture fixture;
    Client client(fixture);
    client.send(chunkedHeader + "1;" + std::string(20000, 'x'));
    BOOST_TEST(client.receive() == 431U);
    BOOST_TEST(fixture.api.requests == 0U);
}

/// Each byte began the time anew, so that a header could take hours.
BOOST_AUTO_TEST_CASE(timeOfAHeaderCountsFromItsFirstByte)
{
    Fixture fixture({}, 200ms);
    Client client(fixture);
    const auto begin = std::chrono::steady_clock::now();
    while (!client.isClosed() && std::chrono::steady_clock::now() < begin + 30s)
        client.send("G");
    BOOST_TEST(client.isClosed());
    BOOST_TEST(fixture.shed(ShedReason::SlowHeader) == 1U);
}

/// A client that stopped in the middle of a body held its connection and its memory for good.
BOOST_AUTO_TEST_CASE(bodyThatStallsIsClosed)
{
    for (const std::string& request : { post("/echo", 100000, std::string(50000, 'x')), post("/echo", 1000), chunkedHeader + chunk(std::string(50000, 'x')), chunkedHeader + "ff\r\nx" }) {
        Fixture fixture({}, 200ms);
        Client client(fixture);
        client.send(request);
        BOOST_TEST(fixture.budget.connections(ListenerKind::Callers) == 1U);
        client.pause(500ms);
        BOOST_TEST(client.isClosed());
        BOOST_TEST(fixture.shed(ShedReason::SlowBody) == 1U);
        BOOST_TEST(fixture.api.requests == 0U);
        BOOST_TEST(fixture.budget.connections(ListenerKind::Callers) == 0U);
        BOOST_TEST(fixture.budget.bytes(ListenerKind::Callers) == 0U);
    }
}

/// The limit holds for a pause, and not for a whole body: a legal one over a slow link takes longer.
BOOST_AUTO_TEST_CASE(bodyThatMovesIsServedHoweverLongItTakes)
{
    Fixture fixture({}, 500ms);
    Client client(fixture);
    client.send(post("/echo", 20));
    for (int i = 0; i < 20; ++i) {
        client.pause(60ms);
        client.send("x");
    }
    BOOST_TEST(client.receive() == 200U);
    BOOST_TEST(client.body().size() == 20U);
    BOOST_TEST(fixture.shed(ShedReason::SlowBody) == 0U);
}

/// A client that did not read its responses held them in memory for good.
BOOST_AUTO_TEST_CASE(readerThatStallsIsClosed)
{
    Fixture fixture({}, 200ms);
    Client client(fixture);
    std::string requests;
    for (int i = 0; i < 50; ++i)
        requests += get("/large"); // More than the sockets' buffers hold.
    client.send(requests);
    client.pause(800ms);
    BOOST_TEST(fixture.shed(ShedReason::SlowReader) == 1U);
    BOOST_TEST(fixture.api.requests < 50U);
    BOOST_TEST(fixture.budget.connections(ListenerKind::Callers) == 0U);
    BOOST_TEST(fixture.budget.bytes(ListenerKind::Callers) == 0U);
    BOOST_TEST(fixture.listener.inFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(readerThatGoesOnIsServedHoweverLongItTakes)
{
    Fixture fixture({}, 500ms);
    Client client(fixture);
    std::string requests;
    for (int i = 0; i < 16; ++i)
        requests += get("/large");
    client.send(requests);
    BOOST_TEST(client.receive(16, 5ms) == 200U);
    BOOST_TEST(fixture.api.requests == 16U);
    BOOST_TEST(fixture.shed(ShedReason::SlowReader) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
