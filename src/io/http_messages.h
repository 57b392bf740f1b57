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
/// Response to the caller of an ended request, with the outcome in its headers.
HttpResponse endedResponse(const EndedRequest& ended);
HttpResponse changeResponse(const ChangeResult& result);

/// Reads the JSON bodies that upstreams, workers and operators send.
class MessageReader : public LastError {
public:
    std::optional<UpstreamAnnouncement> readAnnouncement(std::string_view text);
    std::optional<WorkerReport> readReport(std::string_view text);
    std::optional<JobsCancelled> readCancel(std::string_view text, const std::vector<std::string>& dataCentres);
};

/// Reply to a worker's report, as JSON.
std::string workerReplyJson(const WorkerReply& reply);

} // namespace eelgrassloft::io
