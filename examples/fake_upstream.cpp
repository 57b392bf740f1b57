// Fake upstream: announces itself, answers each request after a service time, and refuses requests
// beyond its slots. With --journal it appends the key of each request that it starts to a file.

#include "http_call.h"
#include "io/json_fields.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace eelgrassloft;
using namespace eelgrassloft::io;

constexpr std::chrono::milliseconds announcePeriod { 500 };
constexpr std::chrono::milliseconds callTimeout { 1000 };
constexpr std::chrono::milliseconds leaveGrace { 2500 };

struct Settings {
    std::string name = "upstream-1";
    std::string service = "quotes";
    std::string listen = "127.0.0.1:0";
    std::vector<std::string> hosts;
    unsigned slots = 8;
    unsigned connections = 64;
    unsigned serviceMs = 5;
    std::string journal;
};

class FakeUpstream {
public:
    FakeUpstream(asio::io_context& context, Settings settings)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_acceptor(context, examples::parseEndpoint(m_settings.listen))
        , m_timer(context)
    {
        if (!m_settings.journal.empty())
            m_journal.open(m_settings.journal, std::ios::app);
    }

    void start()
    {
        asio::co_spawn(m_context, acceptLoop(), asio::detached);
        asio::co_spawn(m_context, announceLoop(), asio::detached);
    }

    /// Announces that the upstream leaves, waits until no more requests can arrive, and stops.
    awaitable<void> leave()
    {
        m_isLeaving = true;
        co_await announce();
        asio::steady_timer timer(m_context, leaveGrace);
        co_await timer.async_wait(use_awaitable);
        m_context.stop();
    }

private:
    awaitable<void> acceptLoop()
    {
        for (;;) {
            tcp::socket socket = co_await m_acceptor.async_accept(use_awaitable);
            socket.set_option(tcp::no_delay(true));
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    awaitable<void> serve(tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer;
        error_code error;
        for (;;) {
            HttpRequest request;
            co_await http::async_read(stream, buffer, request, asio::redirect_error(use_awaitable, error));
            if (error)
                co_return;
            HttpResponse response = co_await respond(std::move(request));
            response.prepare_payload();
            co_await http::async_write(stream, response, asio::redirect_error(use_awaitable, error));
            if (error || !response.keep_alive())
                co_return;
        }
    }

    awaitable<HttpResponse> respond(HttpRequest request)
    {
        HttpResponse response { http::status::ok, 11 };
        response.keep_alive(request.keep_alive());
        if (m_running >= m_settings.slots || m_isLeaving) {
            response.result(http::status::service_unavailable);
            response.set(header::notStarted, "true");
            co_return response;
        }
        ++m_running;
        if (m_journal.is_open())
            m_journal << request[header::idempotencyKey] << std::endl;
        asio::steady_timer timer(m_context, std::chrono::milliseconds(m_settings.serviceMs));
        co_await timer.async_wait(use_awaitable);
        --m_running;
        response.set(http::field::content_type, "text/plain");
        response.body() = m_settings.name + " answers: " + request.body() + "\n";
        co_return response;
    }

    awaitable<void> announceLoop()
    {
        while (!m_isLeaving) {
            co_await announce();
            m_timer.expires_after(announcePeriod);
            co_await m_timer.async_wait(use_awaitable);
        }
    }

    /// Sends the announcement to the first host that responds, which forwards it to the others.
    awaitable<void> announce()
    {
        const tcp::endpoint own = m_acceptor.local_endpoint();
        const Json body { { "name", m_settings.name }, { "service", m_settings.service }, { "address", own.address().to_string() },
            { "port", own.port() }, { "slots", m_settings.slots }, { "connections", m_settings.connections }, { "leaving", m_isLeaving } };
        for (size_t i = 0; i < m_settings.hosts.size(); ++i) {
            const std::string& host = m_settings.hosts[m_nextHost % m_settings.hosts.size()];
            const auto response = co_await examples::postJson(examples::parseEndpoint(host), "/v1/upstreams", body.dump(), callTimeout);
            if (response)
                co_return;
            ++m_nextHost;
        }
    }

    asio::io_context& m_context;
    Settings m_settings;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    std::ofstream m_journal;
    unsigned m_running = 0;
    size_t m_nextHost = 0;
    bool m_isLeaving = false;
};

} // namespace

int main(int argc, char** argv)
{
    Settings settings;
    options::options_description description("fake_upstream: upstream for tests");
    description.add_options()("help", "print this text")("name", options::value(&settings.name))("service", options::value(&settings.service))("listen", options::value(&settings.listen), "ADDRESS:PORT")("host", options::value(&settings.hosts)->composing(), "entry host, ADDRESS:PORT; may be repeated")("slots", options::value(&settings.slots))("connections", options::value(&settings.connections))("service-ms", options::value(&settings.serviceMs))("journal", options::value(&settings.journal));
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help")) {
        std::cout << description;
        return 0;
    }
    asio::io_context context(1);
    FakeUpstream upstream(context, std::move(settings));
    upstream.start();
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](error_code error, int) {
        if (!error)
            asio::co_spawn(context, upstream.leave(), asio::detached);
    });
    context.run();
    return 0;
}
