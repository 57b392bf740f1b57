#include "http.h"

#include <utility> // Boost 1.74 uses std::exchange without it.

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

std::optional<HttpReply> callHttp(const HttpCall& call)
{
    const size_t colon = call.address.rfind(':');
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(call.address.substr(0, colon)), static_cast<uint16_t>(std::stoul(call.address.substr(colon + 1))));
    asio::io_context context;
    beast::tcp_stream stream(context);
    http::request<http::string_body> request(http::string_to_verb(call.method), call.path, 11);
    request.set(http::field::host, call.host.empty() ? call.address : call.host);
    request.set(http::field::content_type, "application/json");
    if (call.deadlineMs)
        request.set("X-Eelgrassloft-Deadline-Ms", std::to_string(call.deadlineMs));
    request.keep_alive(false);
    request.body() = call.body;
    request.prepare_payload();
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    bool isComplete = false;
    stream.expires_after(call.timeout);
    stream.async_connect(endpoint, [&](beast::error_code connectError) {
        if (connectError)
            return;
        http::async_write(stream, request, [&](beast::error_code writeError, size_t) {
            if (writeError)
                return;
            http::async_read(stream, buffer, response, [&](beast::error_code readError, size_t) { isComplete = !readError; });
        });
    });
    context.run();
    if (!isComplete)
        return std::nullopt;
    return HttpReply { response.result_int(), response.body() };
}

} // namespace review
