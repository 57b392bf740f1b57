#pragma once

#include "io/output_kind.h"

#include <optional>
#include <string>
#include <vector>

namespace eelgrassloft::ctl {

enum class CommandKind : uint8_t {
    CheckSettings,
    CheckConfiguration,
    Apply,
    Diff,
    Status,
    Jobs,
    Workers,
    Upstreams,
    Explain,
    Cancel,
    Count
};

constexpr NameTable<CommandKind> nameTable(CommandKind)
{
    constexpr NameTable<CommandKind> table { "check-settings", "check-configuration", "apply", "diff", "status", "jobs", "workers", "upstreams", "explain", "cancel" };
    static_assert(detail::isComplete<CommandKind>(table));
    return table;
}

/// Returns the help line of each command.
constexpr NameTable<CommandKind> commandHelp()
{
    constexpr NameTable<CommandKind> table { "check-settings FILE      check a settings file",
        "check-configuration FILE check a fleet's configuration before it is sent",
        "apply MANIFEST           apply a manifest of jobs, quotas and limits",
        "diff MANIFEST            show what a manifest would change",
        "status                   show a host, its logs, and the revision in force on every host",
        "jobs                     list the jobs and their tasks",
        "workers                  list the workers of the host's data centre",
        "upstreams                list the upstreams that the host knows",
        "explain JOB              explain why a job's tasks run or wait",
        "cancel DATACENTRE JOB... stop jobs" };
    static_assert(detail::isComplete<CommandKind>(table));
    return table;
}

using io::OutputKind;

/// Exit codes; docs/OPERATIONS.md lists them.
enum class ExitCode : uint8_t {
    Success,
    Failed, ///< The host answered with an error, or a check found errors.
    Usage,
    Unreachable,
    Conflict, ///< Another operator's change was committed first.
    Count
};

/// Parsed command line.
struct CommandLine {
    CommandKind command = CommandKind::Status;
    std::string host;
    OutputKind output = OutputKind::Text;
    std::optional<uint64_t> expectRevision;
    std::string operationId;
    std::string inForceFile; ///< Of `check-configuration`; empty if there is none.
    std::vector<std::string> arguments;
};

/// Executes a command and prints its result.
ExitCode runCommand(const CommandLine& line);

} // namespace eelgrassloft::ctl
