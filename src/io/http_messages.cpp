#include "io/http_messages.h"

#include "io/manifest_json.h"

#include "eelgrassloft/config.h"

#include <algorithm>

namespace eelgrassloft::io {

namespace {

beast::string_view beastView(std::string_view text) { return { text.data(), text.size() }; }

constexpr const char* jsonType = "application/json";

UpstreamAnnouncement readUpstreamAnnouncement(JsonFields& fields)
{
    UpstreamAnnouncement result;
    result.name = fields.required<std::string>("name");
    result.service = fields.required<std::string>("service");
    result.address = fields.required<std::string>("address");
    result.port = fields.required<uint16_t>("port");
    result.slots = fields.required<uint32_t>("slots");
    result.connections = fields.optional<uint32_t>("connections", result.slots);
    result.isLeaving = fields.optional<bool>("leaving", false);
    error_code error;
    asio::ip::make_address(result.address, error);
    if (error)
        throw JsonError { ErrorKind::WrongType, "address", "\"" + result.address + "\" is not an IP number", "announce the upstream's IP number" };
    if (result.name.empty() || result.name.size() > config::maxNameBytes || result.service.empty() || result.service.size() > config::maxNameBytes)
        throw JsonError { ErrorKind::OutOfRange, "name", "names have 1 to " + std::to_string(config::maxNameBytes) + " characters", "shorten or fill in the name" };
    if (!result.port)
        throw JsonError { ErrorKind::OutOfRange, "port", "0 is not a port that can be called", "announce the port that the upstream listens on" };
    if (!result.slots || result.slots > config::maxSlotsPerUpstream)
        throw JsonError { ErrorKind::OutOfRange, "slots", "an upstream has 1 to " + std::to_string(config::maxSlotsPerUpstream) + " slots", "announce a number in this range" };
    return result;
}

WorkerTask readWorkerTask(JsonFields& fields)
{
    WorkerTask task;
    task.task = TaskId { fields.required<uint64_t>("task") };
    task.epoch = fields.required<uint32_t>("epoch");
    task.state = fields.required<TaskState>("state");
    task.detail = fields.optional<std::string>("detail", "");
    if (const Json* usage = fields.find("usage")) {
        JsonFields inner(*usage, fields.pathOf("usage"));
        task.usage = readResources(inner);
        inner.rejectUnknownFields();
    }
    if (task.state != TaskState::Running && !isEnded(task.state))
        throw JsonError { ErrorKind::UnknownName, fields.pathOf("state"), "workers report running, finished, failed or cancelled", "use one of these" };
    return task;
}

WorkerReport readWorkerReport(JsonFields& fields)
{
    WorkerReport report;
    report.name = fields.required<std::string>("name");
    report.incarnation = fields.required<uint64_t>("incarnation");
    report.sequence = fields.required<uint64_t>("sequence");
    report.rack = fields.required<std::string>("rack");
    report.isLeaving = fields.optional<bool>("leaving", false);
    const Json* capacity = fields.find("capacity");
    if (!capacity)
        throw JsonError { ErrorKind::MissingField, "", "\"capacity\" is missing", "report the worker's processors, memory and accelerators" };
    JsonFields inner(*capacity, "capacity");
    report.capacity = readResources(inner);
    inner.rejectUnknownFields();
    fields.forEach("tasks", [&](JsonFields& row) { report.tasks.push_back(readWorkerTask(row)); });
    if (report.name.empty() || report.name.size() > config::maxNameBytes)
        throw JsonError { ErrorKind::OutOfRange, "name", "a worker's name has 1 to " + std::to_string(config::maxNameBytes) + " characters", "shorten or fill in the name" };
    return report;
}

JobsCancelled readCancelRequest(JsonFields& fields, const std::vector<std::string>& dataCentres)
{
    JobsCancelled cancel;
    cancel.dataCentre = fields.required<std::string>("dataCentre");
    if (std::find(dataCentres.begin(), dataCentres.end(), cancel.dataCentre) == dataCentres.end())
        throw JsonError { ErrorKind::UnknownName, "dataCentre", "\"" + cancel.dataCentre + "\" is not a data centre of the settings", "use the home that `eelgrassctl jobs` shows" };
    const Json* jobs = fields.find("jobs");
    if (!jobs || !jobs->is_array())
        throw JsonError { ErrorKind::MissingField, "jobs", "\"jobs\" is not a list of names", "name the jobs" };
    for (const Json& job : *jobs) {
        if (!job.is_string())
            throw JsonError { ErrorKind::WrongType, "jobs", "a job's name is not a string", "name the jobs" };
        cancel.jobs.push_back(job.get<std::string>());
    }
    return cancel;
}

} // namespace

http::status statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::UnknownService:
        return http::status::not_found;
    case RefusalReason::HeaderTooLarge:
        return http::status::request_header_fields_too_large;
    case RefusalReason::BodyTooLarge:
        return http::status::payload_too_large;
    case RefusalReason::Malformed:
    case RefusalReason::MissingKey:
        return http::status::bad_request;
    case RefusalReason::KeyReused:
        return http::status::unprocessable_entity;
    case RefusalReason::SlowCaller:
        return http::status::request_timeout;
    case RefusalReason::QueueFull:
        return http::status::too_many_requests;
    default:
        return http::status::service_unavailable;
    }
}

HttpResponse textResponse(http::status status, std::string body, const std::string& contentType)
{
    HttpResponse response { status, 11 };
    response.set(http::field::content_type, contentType);
    response.body() = std::move(body);
    return response;
}

HttpResponse errorResponse(http::status status, const Error& error)
{
    const Json body { { "error", name(error.kind) }, { "message", boundedText(error.message) }, { "remedy", error.remedy } };
    return textResponse(status, jsonText(body) + "\n", jsonType);
}

HttpResponse refusalResponse(RefusalReason reason, const std::string& detail)
{
    Json body { { "outcome", name(Outcome::NotRun) }, { "reason", name(reason) }, { "remedy", remedy(reason) } };
    if (!detail.empty())
        body["message"] = boundedText(detail);
    HttpResponse response = textResponse(statusOf(reason), jsonText(body) + "\n", jsonType);
    response.set(header::outcome, beastView(name(Outcome::NotRun)));
    response.set(header::reason, beastView(name(reason)));
    return response;
}

HttpResponse endedResponse(const EndedRequest& ended)
{
    if (ended.outcome == Outcome::NotRun)
        return refusalResponse(ended.refusal, {});
    HttpResponse response;
    if (ended.outcome == Outcome::Answered) {
        const Blob& body = ended.upstreamResponse.body;
        response = textResponse(static_cast<http::status>(ended.upstreamResponse.status), body ? *body : std::string {}, ended.upstreamResponse.contentType);
    } else {
        const bool isUnknown = ended.outcome == Outcome::Unknown;
        const Json body { { "outcome", name(ended.outcome) }, { "reason", name(ended.unknown) },
            { "remedy", isUnknown ? remedy(ended.unknown) : "send again with the same key after a pause" } };
        response = textResponse(isUnknown ? http::status::gateway_timeout : http::status::conflict, body.dump() + "\n", jsonType);
        response.set(header::reason, beastView(name(ended.unknown)));
    }
    response.set(header::outcome, beastView(name(ended.outcome)));
    return response;
}

HttpResponse changeResponse(const ChangeResult& result)
{
    const bool isConflict = result.status == ChangeStatus::Conflict;
    Json body { { "status", name(result.status) }, { "revision", result.revision } };
    if (isConflict) {
        body["winner"] = result.winningOperation;
        body["remedy"] = "look at the difference to the revision in force, then apply with --expect-revision " + std::to_string(result.revision);
    }
    return textResponse(isConflict ? http::status::conflict : http::status::ok, body.dump() + "\n", jsonType);
}

std::optional<UpstreamAnnouncement> MessageReader::readAnnouncement(std::string_view text)
{
    Error error;
    auto result = readJson<UpstreamAnnouncement>(text, error, readUpstreamAnnouncement);
    return result ? std::move(result) : fail(error);
}

std::optional<WorkerReport> MessageReader::readReport(std::string_view text)
{
    Error error;
    auto result = readJson<WorkerReport>(text, error, readWorkerReport);
    return result ? std::move(result) : fail(error);
}

std::optional<JobsCancelled> MessageReader::readCancel(std::string_view text, const std::vector<std::string>& dataCentres)
{
    Error error;
    auto result = readJson<JobsCancelled>(text, error, [&](JsonFields& fields) { return readCancelRequest(fields, dataCentres); });
    return result ? std::move(result) : fail(error);
}

std::string workerReplyJson(const WorkerReply& reply)
{
    Json commands = Json::array();
    for (const WorkerCommand& command : reply.commands) {
        Json entry { { "kind", name(command.kind) }, { "task", command.task.value }, { "epoch", command.epoch } };
        if (command.kind == WorkerCommandKind::Run) {
            entry["job"] = command.job;
            entry["command"] = command.command;
        }
        if (command.kind == WorkerCommandKind::Run || command.kind == WorkerCommandKind::Throttle)
            entry["size"] = toJson(command.size);
        commands.push_back(std::move(entry));
    }
    const Json body { { "status", name(reply.status) }, { "leaseMs", reply.lease / std::chrono::milliseconds(1) }, { "commands", commands } };
    return body.dump() + "\n";
}

} // namespace eelgrassloft::io
