#include "io/http_server.h"

#include "hash.h"
#include "io/http_messages.h"
#include "io/manifest_json.h"

#include <charconv>

namespace eelgrassloft::io {

namespace {

constexpr const char* jsonType = "application/json";
const Error mailboxFullError { ErrorKind::Busy, "the host has too many messages waiting", "send again after a pause" };

template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::string_view viewOf(beast::string_view text) { return { text.data(), text.size() }; }

/// The part of `target` between a prefix and a suffix; nothing if it lacks one or the part is empty.
std::optional<std::string> withoutPrefixAndSuffix(std::string_view target, std::string_view prefix, std::string_view suffix)
{
    if (target.size() <= prefix.size() + suffix.size() || !target.starts_with(prefix) || !target.ends_with(suffix))
        return std::nullopt;
    return std::string(target.substr(prefix.size(), target.size() - prefix.size() - suffix.size()));
}

/// Reads the headers of a caller's request. On failure, sets `detail` to the reason.
std::optional<Request> readRequest(const HttpRequest& http, const std::string& service, std::string& detail)
{
    Request request;
    request.service = service;
    request.key = std::string(viewOf(http[header::idempotencyKey]));
    const std::string_view repeatable = viewOf(http[header::repeatable]);
    if (!repeatable.empty() && repeatable != "true" && repeatable != "false") {
        detail = "the header Repeatable is neither true nor false";
        return std::nullopt;
    }
    // Without the header, a key means that the work is to run at most once.
    request.isRepeatable = repeatable.empty() ? request.key.empty() : repeatable == "true";
    if (request.isRepeatable)
        request.key.clear();
    if (request.key.size() > config::maxKeyBytes) {
        detail = "the Idempotency-Key is longer than " + std::to_string(config::maxKeyBytes) + " bytes";
        return std::nullopt;
    }
    Duration timeout = config::defaultRequestTimeout;
    if (const std::string_view text = viewOf(http[header::timeoutMs]); !text.empty()) {
        const auto milliseconds = parseNumber<uint32_t>(text);
        timeout = std::chrono::milliseconds(milliseconds.value_or(0));
        if (!milliseconds || timeout <= Duration::zero() || timeout > config::maxRequestTimeout) {
            detail = "Request-Timeout-Ms is not a number from 1 to " + std::to_string(config::maxRequestTimeout / std::chrono::milliseconds(1));
            return std::nullopt;
        }
    }
    request.deadline = Time(timeout); // Relative: the node task adds its time.
    request.digest = stableHash(http.body(), stableHash(service));
    return request;
}

} // namespace

HttpServer::HttpServer(asio::io_context& context, const NodeSettings& settings, NodeMailbox& nodeMailbox, EventLog& log)
    : m_settings(settings)
    , m_api(context, settings, nodeMailbox)
    , m_listener(context, m_api, HttpLimits {}, BudgetLimits { config::defaultConnectionMemory, config::maxCallerConnections }, &log)
{
}

std::optional<Error> HttpServer::start()
{
    const HostSettings& self = m_settings.selfHost();
    return m_listener.start(self.address, self.httpPort, "httpPort");
}

NodeApi::NodeApi(asio::io_context& context, const NodeSettings& settings, NodeMailbox& nodeMailbox)
    : m_context(context)
    , m_nodeMailbox(nodeMailbox)
    , m_dataCentres(settings.dataCentres())
{
}

RequestScreen NodeApi::screen(const HttpRequestHeader& header) const
{
    const std::string_view target = viewOf(header.target());
    if (header.method() != http::verb::post)
        return {};
    const bool takesBody = withoutPrefixAndSuffix(target, "/v1/services/", "/requests") || withoutPrefixAndSuffix(target, "/v1/workers/", "/report") || target == "/v1/upstreams"
        || target == "/v1/sheet" || target == "/v1/sheet/diff" || target == "/v1/jobs/cancel";
    if (takesBody)
        return { std::nullopt, config::maxBodyBytes, 0 };
    return { errorResponse(http::status::not_found, { ErrorKind::UnknownName, std::string(target) + " takes no POST", "see docs/CALLERS.md for the paths" }), 0, 0 };
}

RefusalReason NodeApi::refusalReasonOf(const error_code& error)
{
    if (error == http::error::header_limit)
        return RefusalReason::HeaderTooLarge;
    return error == http::error::body_limit ? RefusalReason::BodyTooLarge : RefusalReason::Malformed;
}

/// Counts what gets no response from `refuse`.
void NodeApi::didShed(ShedReason reason)
{
    if (reason == ShedReason::SlowHeader || reason == ShedReason::SlowBody)
        m_nodeMailbox.tryPush(Event(RequestRejected { RefusalReason::SlowCaller }));
    else if (reason == ShedReason::Connections || reason == ShedReason::Memory || reason == ShedReason::AcceptFailed)
        m_nodeMailbox.tryPush(Event(RequestRejected { RefusalReason::TooManyConnections }));
}

HttpResponse NodeApi::refuse(RefusalReason reason, const std::string& detail)
{
    m_nodeMailbox.tryPush(Event(RequestRejected { reason }));
    return refusalResponse(reason, detail);
}

awaitable<HttpResponse> NodeApi::respond(HttpRequest request)
{
    const std::string target(viewOf(request.target()));
    const bool isPost = request.method() == http::verb::post;
    if (auto service = withoutPrefixAndSuffix(target, "/v1/services/", "/requests"); service && isPost)
        co_return co_await respondToCaller(std::move(request), std::move(*service));
    if (auto worker = withoutPrefixAndSuffix(target, "/v1/workers/", "/report"); worker && isPost)
        co_return co_await respondToWorker(std::move(request), std::move(*worker));
    if (target == "/v1/upstreams" && isPost)
        co_return co_await respondToUpstream(std::move(request));
    if ((target == "/v1/sheet" || target == "/v1/sheet/diff") && isPost)
        co_return co_await respondToManifest(std::move(request));
    if (target == "/v1/jobs/cancel" && isPost)
        co_return co_await respondToCancel(std::move(request));
    if (isPost)
        co_return errorResponse(http::status::not_found, { ErrorKind::UnknownName, target + " takes no POST", "see docs/CALLERS.md for the paths" });
    if (target == "/healthz")
        co_return textResponse(http::status::ok, "ok\n");
    SubmitQuery query;
    if (target == "/metrics")
        query.kind = QueryKind::Metrics;
    else if (target == "/readyz")
        query.kind = QueryKind::Ready;
    else if (auto job = withoutPrefixAndSuffix(target, "/v1/explain/", "")) {
        query.kind = QueryKind::Explain;
        query.argument = std::move(*job);
    } else if (auto kind = parseName<QueryKind>(target.starts_with("/v1/") ? std::string_view(target).substr(4) : std::string_view())) {
        query.kind = *kind;
    } else {
        co_return errorResponse(http::status::not_found, { ErrorKind::UnknownName, target + " does not exist", "see docs/OPERATIONS.md for the paths" });
    }
    const bool isText = query.kind == QueryKind::Metrics || query.kind == QueryKind::Ready;
    co_return co_await respondToQuery(std::move(query), isText ? "text/plain" : jsonType);
}

awaitable<HttpResponse> NodeApi::respondToCaller(HttpRequest request, std::string service)
{
    std::string detail;
    auto parsed = readRequest(request, service, detail);
    if (!parsed)
        co_return refuse(RefusalReason::Malformed, detail);
    const auto reply = makeReplyMailbox<EndedRequest>(m_context.get_executor());
    SubmitRequest submit { std::move(*parsed), makeBlob(std::move(request.body())), std::string(viewOf(request[http::field::content_type])), reply };
    if (!m_nodeMailbox.tryPush(std::move(submit)))
        co_return refusalResponse(RefusalReason::QueueFull, {});
    const auto ended = co_await reply->pop();
    co_return ended ? endedResponse(*ended) : refusalResponse(RefusalReason::Draining, {});
}

awaitable<HttpResponse> NodeApi::respondToUpstream(HttpRequest request)
{
    MessageReader reader;
    auto announcement = reader.readAnnouncement(request.body());
    if (!announcement)
        co_return errorResponse(http::status::bad_request, reader.lastError());
    if (!m_nodeMailbox.tryPush(Event(UpstreamAnnounced { std::move(*announcement) })))
        co_return errorResponse(http::status::service_unavailable, mailboxFullError);
    const Json body { { "renewWithinMs", config::announcementLifetime / std::chrono::milliseconds(1) } };
    co_return textResponse(http::status::ok, body.dump() + "\n", jsonType);
}

awaitable<HttpResponse> NodeApi::respondToWorker(HttpRequest request, std::string worker)
{
    MessageReader reader;
    auto report = reader.readReport(request.body());
    if (!report)
        co_return errorResponse(http::status::bad_request, reader.lastError());
    if (report->name != worker)
        co_return errorResponse(http::status::bad_request, { ErrorKind::OutOfRange, "the report names " + report->name + " and the path " + worker, "report under the worker's own path" });
    const auto reply = makeReplyMailbox<WorkerReply>(m_context.get_executor());
    if (!m_nodeMailbox.tryPush(SubmitReport { std::move(*report), reply }))
        co_return errorResponse(http::status::service_unavailable, mailboxFullError);
    const auto result = co_await reply->pop();
    co_return textResponse(http::status::ok, workerReplyJson(result.value_or(WorkerReply { WorkerReplyStatus::NoLeader, {}, {} })), jsonType);
}

awaitable<HttpResponse> NodeApi::respondToManifest(HttpRequest request)
{
    ManifestReader reader;
    auto manifest = reader.read(request.body(), m_dataCentres);
    if (!manifest)
        co_return errorResponse(http::status::bad_request, reader.lastError());
    if (request.target() == "/v1/sheet/diff") {
        SubmitQuery query { QueryKind::Diff, {}, std::move(*manifest), {} };
        co_return co_await respondToQuery(std::move(query), jsonType);
    }
    ManifestSubmitted change;
    change.operationId = std::string(viewOf(request[header::operationId]));
    change.manifest = std::move(*manifest);
    if (change.operationId.empty() || change.operationId.size() > config::maxOperationIdBytes)
        co_return errorResponse(http::status::bad_request, { ErrorKind::MissingField, "the header Operation-Id is missing or too long", "send a new id of up to " + std::to_string(config::maxOperationIdBytes) + " bytes, and the same one in a resend" });
    if (const std::string_view text = viewOf(request[header::expectRevision]); !text.empty()) {
        change.expectRevision = parseNumber<uint64_t>(text);
        if (!change.expectRevision)
            co_return errorResponse(http::status::bad_request, { ErrorKind::WrongType, "the header Expect-Revision is not a number", "use the revision that `eelgrassctl status` shows" });
    }
    const auto reply = makeReplyMailbox<OperatorReply>(m_context.get_executor());
    if (!m_nodeMailbox.tryPush(SubmitManifest { std::move(change), reply }))
        co_return errorResponse(http::status::service_unavailable, mailboxFullError);
    const auto result = co_await reply->pop();
    if (!result || std::holds_alternative<Error>(*result))
        co_return errorResponse(http::status::service_unavailable, result ? std::get<Error>(*result) : mailboxFullError);
    co_return changeResponse(std::get<ChangeResult>(*result));
}

awaitable<HttpResponse> NodeApi::respondToCancel(HttpRequest request)
{
    MessageReader reader;
    auto cancel = reader.readCancel(request.body(), m_dataCentres);
    if (!cancel)
        co_return errorResponse(http::status::bad_request, reader.lastError());
    const auto reply = makeReplyMailbox<OperatorReply>(m_context.get_executor());
    if (!m_nodeMailbox.tryPush(SubmitCancel { std::move(*cancel), reply }))
        co_return errorResponse(http::status::service_unavailable, mailboxFullError);
    const auto result = co_await reply->pop();
    if (!result || std::holds_alternative<Error>(*result))
        co_return errorResponse(http::status::service_unavailable, result ? std::get<Error>(*result) : mailboxFullError);
    const auto& counts = std::get<TaskCommandResult>(*result);
    const Json body { { "cancelled", counts.accepted }, { "unknown", counts.refused } };
    co_return textResponse(http::status::ok, body.dump() + "\n", jsonType);
}

awaitable<HttpResponse> NodeApi::respondToQuery(SubmitQuery query, std::string contentType)
{
    query.reply = makeReplyMailbox<QueryReply>(m_context.get_executor());
    const auto reply = query.reply;
    const QueryKind kind = query.kind;
    if (!m_nodeMailbox.tryPush(std::move(query)))
        co_return errorResponse(http::status::service_unavailable, mailboxFullError);
    const auto result = co_await reply->pop();
    if (result && result->isFound)
        co_return textResponse(http::status::ok, result->text + (contentType == jsonType ? "\n" : ""), contentType);
    if (kind == QueryKind::Ready)
        co_return textResponse(http::status::service_unavailable, result ? result->text : "not ready\n");
    co_return errorResponse(http::status::not_found, { ErrorKind::UnknownName, "no such job", "see `eelgrassctl jobs` for the names" });
}

} // namespace eelgrassloft::io
