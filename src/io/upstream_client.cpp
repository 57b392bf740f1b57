#include "io/upstream_client.h"

namespace eelgrassloft::io {

namespace {

HttpClientSettings clientSettings()
{
    HttpClientSettings settings;
    // An attempt whose connection is refused fails at once, so that the core can choose another upstream.
    settings.limits = { unlimitedConnections, {}, {}, config::idleConnectionLifetime, config::idleConnectionLifetime, RefusalPolicy::FailRequest };
    settings.connectTimeout = config::upstreamConnectTimeout;
    settings.maxResponseBytes = config::maxBodyBytes;
    settings.isKeepAliveEnabled = true;
    return settings;
}

HttpRequest requestFor(const AttemptPayload& payload, Duration remaining)
{
    HttpRequest request { http::verb::post, "/requests", 11 };
    request.set(header::timeoutMs, std::to_string(remaining / std::chrono::milliseconds(1)));
    if (!payload.contentType.empty())
        request.set(http::field::content_type, payload.contentType);
    if (!payload.key.empty())
        request.set(header::idempotencyKey, payload.key);
    if (payload.body)
        request.body() = *payload.body;
    return request;
}

AttemptFailure failureOf(const ExchangeResult& result)
{
    if (result.outcome == ExchangeOutcome::NotSent)
        return AttemptFailure::ConnectFailed;
    if (result.outcome == ExchangeOutcome::TimedOut)
        return AttemptFailure::Unresponsive;
    if (!result.isRequestSent)
        return AttemptFailure::SendFailed;
    if (result.error == http::error::body_limit)
        return AttemptFailure::AnswerTooLarge;
    return result.error == asio::error::timed_out ? AttemptFailure::Unresponsive : AttemptFailure::AnswerLost;
}

} // namespace

UpstreamClient::UpstreamClient(asio::io_context& context, NodeMailbox& nodeMailbox)
    : m_context(context)
    , m_nodeMailbox(nodeMailbox)
    , m_http(context, clientSettings())
{
}

void UpstreamClient::start(const DispatchAttempt& attempt, AttemptPayload payload, Duration remaining)
{
    asio::co_spawn(m_context, run(attempt, std::move(payload), remaining), asio::detached);
}

awaitable<void> UpstreamClient::run(DispatchAttempt attempt, AttemptPayload payload, Duration remaining)
{
    Event event = co_await performAttempt(std::move(attempt), std::move(payload), remaining);
    m_nodeMailbox.tryPush(NodeMessage(std::move(event)));
}

awaitable<Event> UpstreamClient::performAttempt(DispatchAttempt attempt, AttemptPayload payload, Duration remaining)
{
    const tcp::endpoint endpoint(asio::ip::make_address(attempt.address), attempt.port);
    HttpRequest request = requestFor(payload, remaining);
    // The network may have dropped a connection that was idle for long, so work that runs at most once avoids it.
    const Duration maxIdle = attempt.isRecorded ? config::atMostOnceIdleLimit : config::idleConnectionLifetime;
    // The caller is answered at its deadline. The connection waits longer, so that a late answer frees its slot.
    ExchangeResult result = co_await m_http.call(endpoint, std::move(request), remaining + config::lateAnswerTimeout, { maxIdle });
    if (!result)
        co_return AttemptFailed { attempt.attempt, failureOf(result) };
    HttpResponse& response = result.response;
    if (response.result() == http::status::service_unavailable && response[header::notStarted] == "true")
        co_return AttemptFailed { attempt.attempt, AttemptFailure::RefusedByUpstream };
    UpstreamResponse upstreamResponse { static_cast<uint16_t>(response.result_int()), std::string(response[http::field::content_type]), makeBlob(std::move(response.body())) };
    co_return AttemptAnswered { attempt.attempt, std::move(upstreamResponse) };
}

} // namespace eelgrassloft::io
