#pragma once

#include "fleet_counters.h"
#include "io/duration_statistic.h"

namespace eelgrassloft::io {

using FleetStatistics = EnumArray<FleetTimer, DurationStatistic>;

/// Counters, gauges and durations of a fleet's host in the Prometheus text format.
std::string fleetMetricsText(const FleetCounters& counters, const FleetGauges& gauges, const FleetStatistics& statistics);

} // namespace eelgrassloft::io
