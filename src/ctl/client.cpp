#include "ctl/client.h"

#include "eelgrassloft/config.h"

namespace eelgrassloft::ctl {

namespace {

constexpr std::chrono::seconds callTimeout { 30 };
constexpr size_t maxResponseBytes = 256 * 1024 * 1024;

} // namespace

std::optional<io::HttpResponse> Client::call(const Call& call)
{
    const size_t colon = m_host.rfind(':');
    io::error_code error;
    const auto address = io::asio::ip::make_address(m_host.substr(0, colon), error);
    unsigned port = 0;
    if (colon != std::string::npos)
        port = static_cast<unsigned>(std::strtoul(m_host.c_str() + colon + 1, nullptr, 10));
    if (error || !port || port > 65535)
        return fail(ErrorKind::Usage, "\"" + m_host + "\" is not ADDRESS:PORT", "write an IP number and a port, for example 127.0.0.1:7101");
    io::asio::io_context context;
    io::beast::tcp_stream stream(context);
    io::HttpRequest request { call.method, call.target, 11 };
    request.set(io::http::field::host, m_host);
    for (const Header& header : call.headers)
        request.set(header.name, header.value);
    request.body() = call.body;
    request.prepare_payload();
    io::beast::flat_buffer buffer;
    io::http::response_parser<io::http::string_body> parser;
    parser.body_limit(maxResponseBytes);
    stream.expires_after(callTimeout);
    const auto exchange = [&]() -> io::awaitable<void> {
        co_await stream.async_connect(io::tcp::endpoint(address, static_cast<uint16_t>(port)), io::asio::redirect_error(io::use_awaitable, error));
        if (!error)
            co_await io::http::async_write(stream, request, io::asio::redirect_error(io::use_awaitable, error));
        if (!error)
            co_await io::http::async_read(stream, buffer, parser, io::asio::redirect_error(io::use_awaitable, error));
    };
    io::asio::co_spawn(context, exchange(), io::asio::detached);
    context.run();
    if (error)
        return fail(ErrorKind::Unreachable, "cannot reach " + m_host + ": " + error.message(), "check the address, or name another host with --host");
    return parser.release();
}

} // namespace eelgrassloft::ctl
