#pragma once

#include "fleet_events.h"
#include "io/duration_summary.h"

namespace eelgrassloft::io {

/// Durations that a fleet host has measured since its start.
struct FleetDurations {
    EnumArray<FleetTimer, DurationSummary> timers;
    EnumArray<FleetEventKind, DurationSummary> steps; ///< Steps of the core with their effects, by kind of event.
};

/// Counters, gauges and durations of a fleet host in the Prometheus text format.
std::string fleetMetricsText(const FleetCounters& counters, const FleetGauges& gauges, const FleetDurations& durations);

} // namespace eelgrassloft::io
