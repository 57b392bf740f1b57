#include "io/fleet_settings_json.h"

#include "io/fleet_peer_network.h"
#include "io/http_client.h"

namespace eelgrassloft::io {

namespace {

/// Removes members that are null: they count as missing.
Json withoutNulls(Json object)
{
    for (auto member = object.begin(); object.is_object() && member != object.end();)
        member = member->is_null() ? object.erase(member) : std::next(member);
    return object;
}

HostId readHostId(const std::string& text, const std::string& path)
{
    error_code error;
    const auto address = asio::ip::make_address_v4(text, error);
    if (error)
        throw JsonError { ErrorKind::WrongType, path, "\"" + text + "\" is not an IPv4 address", "write four numbers with dots, for example 10.0.0.1" };
    return hostIdOf(address);
}

/// Reads the usable seeds. One that is not `IP:PORT` with an IPv4 address must not keep the host from
/// the others.
std::vector<HostId> readSeeds(JsonFields& fields, std::vector<std::string>& ignored)
{
    std::vector<HostId> seeds;
    const Json* list = fields.find("seeds");
    if (!list || !list->is_array())
        throw JsonError { ErrorKind::MissingField, "seeds", "\"seeds\" is not a list", "list `IP:PORT` of some control hosts" };
    for (const Json& entry : *list) {
        const auto endpoint = entry.is_string() ? parseEndpoint(entry.get<std::string>()) : std::nullopt;
        if (endpoint && endpoint->address().is_v4() && endpoint->port())
            seeds.push_back(hostIdOf(endpoint->address().to_v4()));
        else
            ignored.push_back(entry.is_string() ? entry.get<std::string>() : std::string(entry.type_name()));
    }
    if (seeds.empty() && !ignored.empty())
        throw JsonError { ErrorKind::WrongType, "seeds", "no seed is `IP:PORT`", "list `IP:PORT` of some control hosts" };
    return seeds;
}

Duration readMilliseconds(JsonFields& fields, const std::string& name, Duration fallback)
{
    return std::chrono::milliseconds(fields.optional<uint32_t>(name, static_cast<uint32_t>(fallback / std::chrono::milliseconds(1))));
}

template <typename Number>
std::optional<Number> readNumber(JsonFields& fields, const std::string& name)
{
    return fields.find(name) ? std::optional(fields.required<Number>(name)) : std::nullopt;
}

BudgetSettings readBudget(JsonFields& fields)
{
    BudgetSettings budget;
    budget.memoryBudgetMiB = readNumber<double>(fields, "memoryBudgetMiB");
    budget.maxConnections = readNumber<uint32_t>(fields, "maxConnections");
    budget.machineMemoryMiB = readNumber<double>(fields, "memoryMiB");
    budget.machineDescriptors = readNumber<double>(fields, "maxDescriptors");
    return budget;
}

FleetProcessSettings readFields(JsonFields& fields)
{
    FleetProcessSettings settings;
    settings.node.self = readHostId(fields.required<std::string>("address"), "address");
    settings.node.dataCentre = fields.required<std::string>("dataCentre");
    settings.node.region = fields.optional<std::string>("region", {});
    settings.node.seeds = readSeeds(fields, settings.ignoredSeeds);
    settings.node.mayForm = fields.optional<bool>("mayForm", false);
    settings.node.voters = fields.optional<uint32_t>("toleratedLosses", 1) * 2 + 1;
    settings.node.maxLease = readMilliseconds(fields, "maxLeaseMs", settings.node.maxLease);
    settings.node.gangTimeout = readMilliseconds(fields, "gangTimeoutMs", settings.node.gangTimeout);
    settings.node.maxWorkers = fields.optional<uint32_t>("maxWorkers", settings.node.maxWorkers);
    settings.node.remoteFactor = fields.optional<double>("remoteFactor", settings.node.remoteFactor);
    settings.linkPort = fields.required<uint16_t>("linkPort");
    settings.dataFolder = fields.optional<std::string>("dataFolder", {});
    settings.callersListen = fields.optional<std::string>("callersListen", {});
    settings.readyListen = fields.optional<std::string>("readyListen", {});
    settings.controlListen = fields.optional<std::string>("controlListen", {});
    settings.metricsListen = fields.optional<std::string>("metricsListen", {});
    settings.adviceAddress = fields.optional<std::string>("adviceAddress", {});
    settings.stopGrace = std::chrono::milliseconds(static_cast<int64_t>(fields.optional<double>("stopGraceS", 6) * 1000));
    settings.budget = readBudget(fields);
    settings.callerHeaderTimeout = readMilliseconds(fields, "callerHeaderTimeoutMs", settings.callerHeaderTimeout);
    settings.callerStallTimeout = readMilliseconds(fields, "callerStallTimeoutMs", settings.callerStallTimeout);
    settings.logLevel = fields.optional<std::string>("logLevel", settings.logLevel);
    return settings;
}

} // namespace

std::optional<FleetProcessSettings> FleetSettingsReader::read(std::string_view text)
{
    try {
        const Json json = withoutNulls(parseJson(text));
        JsonFields fields(json, {});
        FleetProcessSettings settings = readFields(fields);
        fields.rejectUnknownFields();
        return settings;
    } catch (const JsonError& jsonError) {
        return fail(toError(text, jsonError));
    }
}

} // namespace eelgrassloft::io
