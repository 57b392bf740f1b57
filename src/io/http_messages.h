#pragma once

#include "io/http_types.h"
#include "io/json_fields.h"
#include "node_events.h"

namespace eelgrassloft::io {

/// HTTP status of a refusal.
http::status statusOf(RefusalReason reason);

HttpResponse textResponse(http::status status, std::string body, const std::string& contentType = "text/plain");
HttpResponse errorResponse(http::status status, const Error& error);
HttpResponse refusalResponse(RefusalReason reason, const std::string& detail);
/// The caller's answer in one of the closed set of outcomes.
HttpResponse endedResponse(const EndedRequest& ended);
HttpResponse changeResponse(const ChangeResult& result);

/// Readers of the JSON bodies of upstreams, workers and operators.
class MessageReader : public LastError {
public:
    std::optional<UpstreamAnnouncement> readAnnouncement(std::string_view text);
    std::optional<WorkerReport> readReport(std::string_view text);
    std::optional<JobsCancelled> readCancel(std::string_view text, const std::vector<std::string>& dataCentres);
};

/// A worker's reply as JSON.
std::string workerReplyJson(const WorkerReply& reply);

} // namespace eelgrassloft::io
