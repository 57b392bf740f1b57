#include "io/settings_json.h"

#include "io/asio.h"
#include "io/json_fields.h"

namespace eelgrassloft::io {

namespace {

HostSettings readHost(JsonFields& fields)
{
    HostSettings host;
    host.id = HostId { fields.required<uint32_t>("id") };
    if (!host.id.isValid())
        throw JsonError { ErrorKind::OutOfRange, fields.pathOf("id"), "the id is out of range", "use a small number" };
    host.name = fields.required<std::string>("name");
    host.dataCentre = fields.required<std::string>("dataCentre");
    host.region = fields.required<std::string>("region");
    host.address = fields.required<std::string>("address");
    error_code error;
    asio::ip::make_address(host.address, error);
    if (error)
        throw JsonError { ErrorKind::WrongType, fields.pathOf("address"), "\"" + host.address + "\" is not an IP address", "write the IP address of the host" };
    host.peerPort = fields.required<uint16_t>("peerPort");
    host.httpPort = fields.required<uint16_t>("httpPort");
    host.hasDisk = fields.optional<bool>("disk", false);
    return host;
}

void checkUnique(const NodeSettings& settings, const HostSettings& host, const std::string& path)
{
    for (const HostSettings& other : settings.hosts) {
        if (other.id == host.id)
            throw JsonError { ErrorKind::Duplicate, path, "id " + std::to_string(host.id.value) + " is taken by \"" + other.name + "\"", "give each host its own id" };
        if (other.name == host.name)
            throw JsonError { ErrorKind::Duplicate, path, "the name \"" + host.name + "\" is taken", "give each host its own name" };
        if (other.dataCentre == host.dataCentre && other.region != host.region)
            throw JsonError { ErrorKind::OutOfRange, path, "data centre \"" + host.dataCentre + "\" is in region \"" + other.region + "\" for \"" + other.name + "\"", "name one region for a data centre" };
    }
}

DaemonSettings readSettings(JsonFields& fields)
{
    DaemonSettings settings;
    settings.node.cluster = fields.required<std::string>("cluster");
    settings.node.self = HostId { fields.required<uint32_t>("self") };
    settings.dataFolder = fields.optional<std::string>("dataFolder", "");
    settings.logFile = fields.optional<std::string>("logFile", "");
    settings.logLevel = fields.optional<std::string>("logLevel", "info");
    if (settings.logLevel != "debug" && settings.logLevel != "info" && settings.logLevel != "warn" && settings.logLevel != "error")
        throw JsonError { ErrorKind::UnknownName, "logLevel", "\"" + settings.logLevel + "\" is not a log level", "use debug, info, warn or error" };
    fields.forEach("hosts", [&](JsonFields& element) {
        HostSettings host = readHost(element);
        checkUnique(settings.node, host, element.path());
        settings.node.hosts.push_back(std::move(host));
    });
    const HostSettings* self = settings.node.host(settings.node.self);
    if (!self)
        throw JsonError { ErrorKind::UnknownName, "self", "no host has id " + std::to_string(settings.node.self.value), "list this host under \"hosts\"" };
    if (self->hasDisk && settings.dataFolder.empty())
        throw JsonError { ErrorKind::MissingField, "self", "this host has a disk but no data folder", "add \"dataFolder\", or set \"disk\" to false" };
    if (!self->hasDisk && !settings.dataFolder.empty())
        throw JsonError { ErrorKind::OutOfRange, "dataFolder", "this host is listed without a disk", "set its \"disk\" to true, or remove \"dataFolder\"" };
    return settings;
}

} // namespace

std::optional<DaemonSettings> SettingsReader::read(std::string_view text)
{
    Error error;
    auto settings = readJson<DaemonSettings>(text, error, readSettings);
    return settings ? std::move(settings) : fail(error);
}

} // namespace eelgrassloft::io
