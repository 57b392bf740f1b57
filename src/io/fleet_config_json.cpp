#include "io/fleet_config_json.h"

#include "io/manifest_json.h"

namespace eelgrassloft::io {

namespace {

Duration readMillis(JsonFields& fields, const std::string& name) { return std::chrono::milliseconds(fields.optional<uint32_t>(name, 0)); }

AdviceTiming readAdvice(JsonFields& fields)
{
    return { readMillis(fields, "decisionTimeMillis"), readMillis(fields, "timePerWorkerMillis"), readMillis(fields, "validityMillis") };
}

QueueSpec readQueue(JsonFields& fields)
{
    QueueSpec queue;
    queue.name = fields.required<std::string>("name");
    queue.host = fields.required<std::string>("host");
    queue.pathPrefix = fields.required<std::string>("pathPrefix");
    queue.service = fields.required<std::string>("service");
    queue.priority = fields.optional<uint32_t>("priority", queue.priority);
    queue.maxAttempts = fields.optional<uint32_t>("maxAttempts", queue.maxAttempts);
    queue.stretch = fields.optional<double>("stretch", queue.stretch);
    queue.targetLatency = readMillis(fields, "targetLatencyMillis");
    queue.isPublic = fields.optional<bool>("isPublic", queue.isPublic);
    if (const Json* advice = fields.find("advice")) {
        JsonFields inner(*advice, fields.pathOf("advice"));
        queue.advice = readAdvice(inner);
        inner.rejectUnknownFields();
    }
    return queue;
}

PoolSpec readPool(JsonFields& fields)
{
    PoolSpec pool;
    pool.name = fields.required<std::string>("name");
    pool.hasAdmissionControl = fields.optional<bool>("hasAdmissionControl", pool.hasAdmissionControl);
    pool.isStandby = fields.optional<bool>("isStandby", pool.isStandby);
    return pool;
}

std::vector<std::string> readKeys(JsonFields& fields)
{
    std::vector<std::string> keys;
    const Json* list = fields.find("keys");
    if (!list)
        return keys;
    if (!list->is_array())
        throw JsonError { ErrorKind::WrongType, fields.pathOf("keys"), "\"keys\" is not a list", "write a list of strings" };
    for (size_t i = 0; i < list->size(); ++i) {
        if (!(*list)[i].is_string())
            throw JsonError { ErrorKind::WrongType, fields.pathOf("keys") + "[" + std::to_string(i) + "]", "the key is not a string", "write a string" };
        keys.push_back((*list)[i].get<std::string>());
    }
    return keys;
}

WorkspaceSpec readWorkspace(JsonFields& fields)
{
    WorkspaceSpec workspace;
    workspace.name = fields.required<std::string>("name");
    workspace.keys = readKeys(fields);
    workspace.weight = fields.optional<double>("weight", workspace.weight);
    if (const Json* quota = fields.find("quota")) {
        JsonFields inner(*quota, fields.pathOf("quota"));
        workspace.quota = readResources(inner);
        inner.rejectUnknownFields();
    }
    return workspace;
}

FleetConfig readConfig(JsonFields& fields)
{
    FleetConfig config;
    config.version = fields.required<uint64_t>("version");
    config.maxBodyBytes = fields.optional<uint64_t>("maxBodyBytes", config.maxBodyBytes);
    fields.forEach("queues", [&](JsonFields& row) { config.queues.push_back(readQueue(row)); });
    fields.forEach("pools", [&](JsonFields& row) { config.pools.push_back(readPool(row)); });
    fields.forEach("workspaces", [&](JsonFields& row) { config.workspaces.push_back(readWorkspace(row)); });
    return config;
}

} // namespace

std::optional<FleetConfig> FleetConfigReader::read(std::string_view text)
{
    Error error;
    auto config = readJson<FleetConfig>(text, error, readConfig);
    if (!config)
        return fail(std::move(error));
    config->text = std::string(text);
    return config;
}

} // namespace eelgrassloft::io
