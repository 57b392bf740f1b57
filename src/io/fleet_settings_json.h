#pragma once

#include "fleet_events.h"
#include "io/asio.h"
#include "io/connection_budget.h"
#include "io/json_fields.h"

namespace eelgrassloft::io {

/// Role of a process in a fleet.
enum class FleetRole : uint8_t {
    Control, ///< Holds the log; serves workers and operators.
    Entry, ///< Serves callers.
    Count
};

constexpr NameTable<FleetRole> nameTable(FleetRole)
{
    constexpr NameTable<FleetRole> table { "control", "entry" };
    return table;
}

/// Settings of one process of a fleet.
struct FleetProcessSettings {
    FleetSettings node;
    uint16_t linkPort = 0;
    std::string dataFolder; ///< Control hosts only.
    std::string callersListen; ///< `IP:PORT`; empty if the role has no such callers.
    std::string readyListen;
    std::string controlListen;
    std::string metricsListen; ///< Empty if metrics are not served.
    std::string adviceAddress; ///< Empty if there is no advice service.
    Duration stopGrace = std::chrono::seconds(6); ///< From the stop signal until the process is killed.
    std::string logLevel = "info";
    BudgetSettings budget; ///< Of the connections of clients.
    Duration callerHeaderTimeout = config::requestHeaderTimeout;
    Duration callerStallTimeout = config::httpStallTimeout;
    std::vector<std::string> ignoredSeeds; ///< Entries of the list of seeds that are not `IP:PORT`.
};

/// Reads the settings of a fleet process from JSON with comments.
class FleetSettingsReader : public LastError {
public:
    std::optional<FleetProcessSettings> read(std::string_view text);
};

} // namespace eelgrassloft::io
