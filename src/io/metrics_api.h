#pragma once

#include "io/fleet_mailbox.h"
#include "io/http_types.h"

namespace eelgrassloft::io {

/// HTTP handler that answers every request with the host's metrics.
class MetricsApi {
public:
    explicit MetricsApi(FleetMailbox& nodeMailbox)
        : m_nodeMailbox(nodeMailbox)
    {
    }

    awaitable<HttpResponse> respond(HttpRequest)
    {
        const auto executor = co_await asio::this_coro::executor;
        const auto reply = std::make_shared<Mailbox<std::string>>(executor, 1);
        HttpResponse response(http::status::service_unavailable, 11);
        if (!m_nodeMailbox.tryPush(ReadMetrics { reply }))
            co_return response;
        auto text = co_await reply->pop();
        response.result(http::status::ok);
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        response.body() = text.value_or(std::string());
        co_return response;
    }

    HttpResponse refuse(const error_code&) const { return HttpResponse(http::status::bad_request, 11); }

private:
    FleetMailbox& m_nodeMailbox;
};

} // namespace eelgrassloft::io
