#pragma once

#include "io/budget_metrics.h"
#include "io/fleet_mailbox.h"
#include "io/http_listener.h"

namespace eelgrassloft::io {

/// HTTP handler that answers every request with the host's metrics.
class MetricsApi {
public:
    MetricsApi(FleetMailbox& nodeMailbox, const ConnectionBudget& budget)
        : m_nodeMailbox(nodeMailbox)
        , m_budget(budget)
    {
    }

    RequestScreen screen(const HttpRequestHeader&) const { return { std::nullopt, 0, expectedBytes }; }

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
        response.body() = text.value_or(std::string()) + budgetMetricsText(m_budget);
        co_return response;
    }

    HttpResponse refuse(const error_code& error) const { return HttpResponse(refusalStatus(error), 11); }

private:
    static constexpr size_t expectedBytes = 64UL * 1024;

    FleetMailbox& m_nodeMailbox;
    const ConnectionBudget& m_budget;
};

} // namespace eelgrassloft::io
