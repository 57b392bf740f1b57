#include "io/fleet_metrics.h"

#include "io/metrics_text.h"

namespace eelgrassloft::io {

std::string fleetMetricsText(const FleetCounters& counters, const FleetGauges& gauges, const FleetStatistics& statistics)
{
    std::ostringstream out;
    writeCounters(out, counters.events);
    writeTable(out, "replies_total", "status", counters.replies);
    forEachValue<OrderKind>([&](OrderKind kind) {
        writeTable(out, std::string(name(kind)) + "_orders_total", "outcome", counters.orders[kind]);
    });
    forEachValue<FleetGauge>([&](FleetGauge gauge) { out << gaugeText(name(gauge), gauges[gauge]); });
    forEachValue<FleetTimer>([&](FleetTimer timer) { out << statistics[timer].text(name(timer)); });
    return out.str();
}

} // namespace eelgrassloft::io
