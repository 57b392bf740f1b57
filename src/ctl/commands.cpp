#include "ctl/commands.h"

#include "ctl/client.h"
#include "io/config_check_report.h"
#include "io/fleet_config_json.h"
#include "io/json_fields.h"
#include "io/read_file.h"
#include "io/settings_json.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <iostream>

namespace eelgrassloft::ctl {

namespace {

using io::Json;

std::optional<std::string> readFile(const std::string& path)
{
    auto text = io::readFile(path);
    if (!text)
        std::cerr << Error { ErrorKind::FileUnreadable, "cannot read \"" + path + "\"", "check the path" }.text() << "\n";
    return text;
}

std::string valueText(const Json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

/// Prints a list of objects as columns.
void printTable(const Json& list, const std::vector<std::string>& columns)
{
    std::vector<size_t> widths;
    for (const std::string& column : columns) {
        size_t width = column.size();
        for (const Json& row : list)
            width = std::max(width, valueText(row.value(column, Json())).size());
        widths.push_back(width);
    }
    const auto printRow = [&](auto&& textOf) {
        for (size_t i = 0; i < columns.size(); ++i) {
            const std::string text = textOf(columns[i]);
            std::cout << text << std::string(i + 1 < columns.size() ? widths[i] - text.size() + 2 : 0, ' ');
        }
        std::cout << "\n";
    };
    printRow([](const std::string& column) { return column; });
    for (const Json& row : list)
        printRow([&](const std::string& column) { return valueText(row.value(column, Json())); });
}

void printFields(const Json& object, const std::string& indent)
{
    for (const auto& [key, value] : object.items()) {
        if (value.is_object()) {
            std::cout << indent << key << ":\n";
            printFields(value, indent + "  ");
        } else if (!value.is_array() || value.empty() || !value[0].is_object()) {
            std::cout << indent << key << ": " << valueText(value) << "\n";
        }
    }
}

void printAsText(CommandKind command, const Json& json)
{
    switch (command) {
    case CommandKind::Status:
        printFields(json, {});
        std::cout << "hosts:\n";
        printTable(json["hosts"], { "id", "name", "dataCentre", "region", "connected", "revision", "draining" });
        break;
    case CommandKind::Jobs:
        printTable(json, { "name", "kind", "urgency", "team", "home", "tasks", "taskStates", "cancelled" });
        break;
    case CommandKind::Workers:
        printTable(json, { "name", "rack", "state", "tasks", "committed", "capacity" });
        break;
    case CommandKind::Upstreams:
        printTable(json, { "name", "service", "address", "port", "slots", "share", "inFlight", "announced", "leaving", "setAside" });
        break;
    case CommandKind::Explain:
        printFields(json, {});
        printTable(json["tasks"], { "task", "state", "worker", "epoch", "failures", "waitsFor", "detail" });
        break;
    default:
        printFields(json, {});
    }
}

ExitCode exitCodeOf(io::http::status status)
{
    if (status == io::http::status::conflict)
        return ExitCode::Conflict;
    return status == io::http::status::ok ? ExitCode::Success : ExitCode::Failed;
}

ExitCode callAndPrint(const CommandLine& line, const Call& call)
{
    Client client(line.host);
    const auto response = client.call(call);
    if (!response) {
        std::cerr << client.lastError().text() << "\n";
        return client.lastError().kind == ErrorKind::Usage ? ExitCode::Usage : ExitCode::Unreachable;
    }
    const ExitCode code = exitCodeOf(response->result());
    const Json json = Json::parse(response->body(), nullptr, false);
    const bool isError = json.is_object() && json.contains("error");
    if (line.output == OutputKind::Json || json.is_discarded())
        std::cout << response->body();
    else if (isError)
        std::cerr << json.value("error", "") << ": " << json.value("message", "") << "; " << json.value("remedy", "") << "\n";
    else
        printAsText(line.command, json);
    return code;
}

ExitCode checkSettings(const CommandLine& line)
{
    const auto text = readFile(line.arguments[0]);
    if (!text)
        return ExitCode::Usage;
    io::SettingsReader reader;
    const auto settings = reader.read(*text);
    if (!settings) {
        std::cerr << line.arguments[0] << ": " << reader.lastError().text() << "\n";
        return ExitCode::Failed;
    }
    const Json result { { "cluster", settings->node.cluster }, { "self", settings->node.selfHost().name },
        { "hosts", settings->node.hosts.size() }, { "dataCentres", settings->node.dataCentres() } };
    if (line.output == OutputKind::Json)
        std::cout << result.dump(2) << "\n";
    else
        printFields(result, {});
    return ExitCode::Success;
}

ExitCode checkConfiguration(const CommandLine& line)
{
    switch (io::checkConfigFiles({ line.arguments[0], line.inForceFile, line.output }, io::FleetConfigReader(), std::cout, std::cerr)) {
    case io::ConfigCheckExit::NoErrors:
        return ExitCode::Success;
    case io::ConfigCheckExit::Errors:
        return ExitCode::Failed;
    default:
        return ExitCode::Usage;
    }
}

ExitCode sendManifest(const CommandLine& line)
{
    const auto text = readFile(line.arguments[0]);
    if (!text)
        return ExitCode::Usage;
    Call call { io::http::verb::post, line.command == CommandKind::Diff ? "/v1/sheet/diff" : "/v1/sheet", {}, *text };
    if (line.command == CommandKind::Apply) {
        const std::string id = line.operationId.empty() ? to_string(boost::uuids::random_generator()()) : line.operationId;
        if (line.operationId.empty())
            std::cerr << "operation id: " << id << "\n"; // The operator needs it to resend the operation.
        call.headers.push_back({ io::header::operationId, id });
        if (line.expectRevision)
            call.headers.push_back({ io::header::expectRevision, std::to_string(*line.expectRevision) });
    }
    return callAndPrint(line, call);
}

ExitCode cancelJobs(const CommandLine& line)
{
    const std::vector<std::string> jobs(line.arguments.begin() + 1, line.arguments.end());
    const Json body { { "dataCentre", line.arguments[0] }, { "jobs", jobs } };
    return callAndPrint(line, { io::http::verb::post, "/v1/jobs/cancel", {}, body.dump() });
}

size_t requiredArguments(CommandKind command)
{
    switch (command) {
    case CommandKind::CheckSettings:
    case CommandKind::CheckConfiguration:
    case CommandKind::Apply:
    case CommandKind::Diff:
    case CommandKind::Explain:
        return 1;
    case CommandKind::Cancel:
        return 2;
    default:
        return 0;
    }
}

} // namespace

ExitCode runCommand(const CommandLine& line)
{
    const size_t needed = requiredArguments(line.command);
    const bool isListAllowed = line.command == CommandKind::Cancel;
    if (line.arguments.size() < needed || (line.arguments.size() > needed && !isListAllowed)) {
        std::cerr << "usage: eelgrassctl " << commandHelp()[static_cast<size_t>(line.command)] << "\n";
        return ExitCode::Usage;
    }
    switch (line.command) {
    case CommandKind::CheckSettings:
        return checkSettings(line);
    case CommandKind::CheckConfiguration:
        return checkConfiguration(line);
    case CommandKind::Apply:
    case CommandKind::Diff:
        return sendManifest(line);
    case CommandKind::Cancel:
        return cancelJobs(line);
    case CommandKind::Explain:
        return callAndPrint(line, { io::http::verb::get, "/v1/explain/" + line.arguments[0], {}, {} });
    default:
        return callAndPrint(line, { io::http::verb::get, "/v1/" + std::string(name(line.command)), {}, {} });
    }
}

} // namespace eelgrassloft::ctl
