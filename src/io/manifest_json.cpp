#include "io/manifest_json.h"

#include <algorithm>
#include <cmath>

namespace eelgrassloft::io {

namespace {

constexpr double millisPerProcessor = 1000;
constexpr double maxProcessors = 4000000;

std::string readName(JsonFields& fields, const std::string& field)
{
    auto result = fields.required<std::string>(field);
    const auto isAllowed = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
    if (result.empty() || result.size() > config::maxNameBytes || !std::all_of(result.begin(), result.end(), isAllowed)) {
        throw JsonError { ErrorKind::OutOfRange, fields.pathOf(field), "\"" + result + "\" is not a name",
            "use 1 to " + std::to_string(config::maxNameBytes) + " letters, digits, '-', '_' or '.'" };
    }
    return result;
}

Resources readResourcesOf(JsonFields& fields, const std::string& field)
{
    const Json* value = fields.find(field);
    if (!value)
        throw JsonError { ErrorKind::MissingField, fields.path(), "\"" + field + "\" is missing", "add it" };
    JsonFields inner(*value, fields.pathOf(field));
    const Resources result = readResources(inner);
    inner.rejectUnknownFields();
    return result;
}

JobSpec readJob(JsonFields& fields, const std::vector<std::string>& dataCentres)
{
    JobSpec job;
    job.name = readName(fields, "name");
    job.kind = fields.required<JobKind>("kind");
    job.urgency = fields.optional<Urgency>("urgency", Urgency::Normal);
    job.onPartition = fields.optional<PartitionPolicy>("onCutOff", PartitionPolicy::Keep);
    job.team = fields.required<std::string>("team");
    job.dataCentre = fields.optional<std::string>("dataCentre", "");
    job.command = fields.optional<std::string>("command", "");
    job.size = readResourcesOf(fields, "size");
    job.tasks = fields.optional<uint32_t>("tasks", 1);
    job.canCheckpoint = fields.optional<bool>("canCheckpoint", false);
    if (!job.size.processorMillis)
        throw JsonError { ErrorKind::OutOfRange, fields.pathOf("size"), "a task needs processors", "reserve at least 0.001 processors" };
    if (!job.tasks || job.tasks > config::maxTasksPerJob)
        throw JsonError { ErrorKind::OutOfRange, fields.pathOf("tasks"), "a job has 1 to " + std::to_string(config::maxTasksPerJob) + " tasks", "split the job" };
    const bool isKnown = job.dataCentre.empty() || dataCentres.empty() || std::find(dataCentres.begin(), dataCentres.end(), job.dataCentre) != dataCentres.end();
    if (!isKnown)
        throw JsonError { ErrorKind::UnknownName, fields.pathOf("dataCentre"), "\"" + job.dataCentre + "\" is not a data centre of the settings", "correct the name, or leave it out" };
    if (job.onPartition == PartitionPolicy::Move)
        throw JsonError { ErrorKind::OutOfRange, fields.pathOf("onCutOff"), "moving a job of a cut-off data centre is not supported yet", "use \"keep\"" };
    return job;
}

template <typename Value>
void addUnique(std::vector<Value>& list, std::set<std::string>& names, const std::string& itemName, Value value, const std::string& path)
{
    if (!names.insert(itemName).second)
        throw JsonError { ErrorKind::Duplicate, path, "\"" + itemName + "\" stands twice", "keep one row for each name" };
    list.push_back(std::move(value));
}

Manifest readManifest(JsonFields& fields, const std::vector<std::string>& dataCentres)
{
    Manifest manifest;
    std::set<std::string> teams;
    std::set<std::string> services;
    std::set<std::string> jobs;
    fields.forEach("teams", [&](JsonFields& row) {
        TeamQuota quota { readName(row, "team"), readResourcesOf(row, "limit") };
        const std::string team = quota.team;
        addUnique(manifest.teams, teams, team, std::move(quota), row.path());
    });
    fields.forEach("services", [&](JsonFields& row) {
        ServiceLimits limits;
        limits.name = readName(row, "name");
        limits.maxQueued = row.optional<uint32_t>("maxQueued", config::maxQueuedRequests);
        if (!limits.maxQueued || limits.maxQueued > config::maxQueuedRequests)
            throw JsonError { ErrorKind::OutOfRange, row.pathOf("maxQueued"), "the queue holds 1 to " + std::to_string(config::maxQueuedRequests) + " requests", "use a number in this range" };
        const std::string service = limits.name;
        addUnique(manifest.services, services, service, std::move(limits), row.path());
    });
    fields.forEach("jobs", [&](JsonFields& row) {
        JobSpec job = readJob(row, dataCentres);
        if (!teams.empty() && !teams.contains(job.team))
            throw JsonError { ErrorKind::UnknownName, row.pathOf("team"), "\"" + job.team + "\" is not one of the sheet's teams", "add the team, or correct the name" };
        const std::string jobName = job.name;
        addUnique(manifest.jobs, jobs, jobName, std::move(job), row.path());
    });
    return manifest;
}

template <typename Value, typename Convert>
Json listOf(const std::vector<Value>& values, Convert&& convert)
{
    Json list = Json::array();
    for (const Value& value : values)
        list.push_back(convert(value));
    return list;
}

} // namespace

Resources readResources(JsonFields& fields)
{
    const auto processors = fields.optional<double>("processors", 0);
    if (!(processors >= 0 && processors <= maxProcessors))
        throw JsonError { ErrorKind::OutOfRange, fields.pathOf("processors"), "the number of processors is out of range", "use a number from 0 up" };
    Resources result;
    result.processorMillis = static_cast<uint32_t>(std::lround(processors * millisPerProcessor));
    result.memoryMiB = fields.optional<uint32_t>("memoryMiB", 0);
    result.accelerators = fields.optional<uint32_t>("accelerators", 0);
    return result;
}

std::optional<Manifest> ManifestReader::read(std::string_view text, const std::vector<std::string>& dataCentres)
{
    Error error;
    auto manifest = readJson<Manifest>(text, error, [&](JsonFields& fields) { return readManifest(fields, dataCentres); });
    return manifest ? std::move(manifest) : fail(error);
}

Json toJson(const Resources& resources)
{
    return { { "processors", resources.processorMillis / millisPerProcessor }, { "memoryMiB", resources.memoryMiB },
        { "accelerators", resources.accelerators } };
}

Json toJson(const JobSpec& job)
{
    return { { "name", job.name }, { "kind", name(job.kind) }, { "urgency", name(job.urgency) }, { "team", job.team },
        { "dataCentre", job.dataCentre }, { "command", job.command }, { "size", toJson(job.size) }, { "tasks", job.tasks },
        { "canCheckpoint", job.canCheckpoint } };
}

Json toJson(const ManifestDiff& diff)
{
    const auto toTeam = [](const TeamQuota& quota) { return Json { { "team", quota.team }, { "limit", toJson(quota.limit) } }; };
    const auto toService = [](const ServiceLimits& limits) { return Json { { "name", limits.name }, { "maxQueued", limits.maxQueued } }; };
    return { { "setTeams", listOf(diff.setTeams, toTeam) }, { "removeTeams", diff.removeTeams },
        { "setServices", listOf(diff.setServices, toService) }, { "removeServices", diff.removeServices },
        { "setJobs", listOf(diff.setJobs, [](const JobSpec& job) { return toJson(job); }) }, { "removeJobs", diff.removeJobs } };
}

} // namespace eelgrassloft::io
