// Closed-loop load generator: each keep-alive connection sends its next request once the last one is
// answered. Prints the throughput, the latency and the number of requests by outcome. With --direct
// the target is an upstream instead of an entry host.

#include "../examples/http_call.h"
#include "samples.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <map>

namespace {

namespace options = boost::program_options;
using namespace eelgrassloft;
using namespace eelgrassloft::io;
using Clock = std::chrono::steady_clock;

struct Settings {
    std::string target = "127.0.0.1:7101";
    std::string service = "quotes";
    unsigned connections = 8;
    unsigned requests = 20000; ///< Over all connections.
    bool isDirect = false; ///< The target is an upstream.
    bool isAtMostOnce = false; ///< Each request has an idempotency key and runs at most once.
};

struct Run {
    unsigned sent = 0;
    std::vector<double> micros;
    std::map<std::string, unsigned> outcomes;
};

awaitable<void> callerLoop(const Settings& settings, Run& run)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(std::chrono::seconds(120));
    co_await stream.async_connect(examples::parseEndpoint(settings.target), use_awaitable);
    stream.socket().set_option(tcp::no_delay(true));
    beast::flat_buffer buffer;
    while (run.sent < settings.requests) {
        const unsigned number = run.sent++;
        HttpRequest request { http::verb::post, settings.isDirect ? "/requests" : "/v1/services/" + settings.service + "/requests", 11 };
        request.set(http::field::host, settings.target);
        if (settings.isAtMostOnce)
            request.set(header::idempotencyKey, "load-" + std::to_string(Clock::now().time_since_epoch().count()) + "-" + std::to_string(number));
        request.body() = "two corn brooms";
        request.prepare_payload();
        const auto before = Clock::now();
        co_await http::async_write(stream, request, use_awaitable);
        HttpResponse response;
        co_await http::async_read(stream, buffer, response, use_awaitable);
        run.micros.push_back(std::chrono::duration<double, std::micro>(Clock::now() - before).count());
        const auto outcome = response[header::outcome];
        const auto reason = response[header::reason];
        ++run.outcomes[outcome.empty() ? std::to_string(response.result_int()) : std::string(outcome) + (reason.empty() ? "" : ":" + std::string(reason))];
    }
}

} // namespace

int main(int argc, char** argv)
{
    Settings settings;
    options::options_description description("load_tool: closed-loop load generator");
    description.add_options()("help", "print this text")("target", options::value(&settings.target), "ADDRESS:PORT")("service", options::value(&settings.service))("connections", options::value(&settings.connections))("requests", options::value(&settings.requests))("direct", options::bool_switch(&settings.isDirect), "the target is an upstream")("once", options::bool_switch(&settings.isAtMostOnce), "send an idempotency key with each request");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help")) {
        std::cout << description;
        return 0;
    }
    asio::io_context context(1);
    Run run;
    const auto start = Clock::now();
    for (unsigned i = 0; i < settings.connections; ++i)
        asio::co_spawn(context, callerLoop(settings, run), asio::detached);
    context.run();
    const double seconds = std::chrono::duration<double>(Clock::now() - start).count();
    std::cout << "requests/s " << static_cast<unsigned>(static_cast<double>(run.micros.size()) / seconds) << ", median us " << static_cast<unsigned>(bench::quantile(run.micros, 0.5))
              << ", p99 us " << static_cast<unsigned>(bench::quantile(run.micros, 0.99));
    for (const auto& [outcome, count] : run.outcomes)
        std::cout << ", " << outcome << " " << count;
    std::cout << "\n";
    return 0;
}
