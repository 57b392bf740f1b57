#pragma once

#include "fleet_events.h"
#include "io/asio.h"
#include "io/json_fields.h"

namespace eelgrassloft::io {

/// Part of a process in a fleet.
enum class FleetRole : uint8_t {
    Control, ///< Holds the log; takes calls of workers and operators.
    Entry, ///< Takes calls of callers.
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
    std::string callersListen; ///< `IP:PORT`; empty where the role has no such callers.
    std::string readyListen;
    std::string controlListen;
    std::string metricsListen; ///< Empty for none.
    std::string adviceAddress; ///< Empty where there is no advice service.
    Duration stopGrace = std::chrono::seconds(6); ///< From the order to stop until the process is killed.
    std::string logLevel = "info";
};

/// Reads the settings of a fleet's process: JSON with comments.
class FleetSettingsReader : public LastError {
public:
    std::optional<FleetProcessSettings> read(std::string_view text);
};

} // namespace eelgrassloft::io
