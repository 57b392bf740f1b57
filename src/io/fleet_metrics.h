#pragma once

#include "fleet_counters.h"
#include "io/duration_summary.h"

namespace eelgrassloft::io {

using FleetDurationSummaries = EnumArray<FleetTimer, DurationSummary>;

/// Counters, gauges and durations of a fleet host in the Prometheus text format.
std::string fleetMetricsText(const FleetCounters& counters, const FleetGauges& gauges, const FleetDurationSummaries& durations);

} // namespace eelgrassloft::io
