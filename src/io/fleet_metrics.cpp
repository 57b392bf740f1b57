#include "io/fleet_metrics.h"

#include "io/metrics_text.h"

namespace eelgrassloft::io {

std::string fleetMetricsText(const FleetCounters& counters, const FleetGauges& gauges, const FleetDurations& durations)
{
    std::ostringstream out;
    writeCounters(out, counters.events);
    writeLabelledCounter(out, "replies_total", "status", counters.replies);
    forEachValue<OrderKind>([&](OrderKind kind) {
        writeLabelledCounter(out, std::string(name(kind)) + "_orders_total", "outcome", counters.orders[kind]);
    });
    forEachValue<FleetGauge>([&](FleetGauge gauge) { out << gaugeText(name(gauge), gauges[gauge]); });
    forEachValue<FleetTimer>([&](FleetTimer timer) { out << durations.timers[timer].text(name(timer)); });
    forEachValue<FleetEventKind>([&](FleetEventKind kind) { out << durations.steps[kind].text("step_" + std::string(name(kind)) + "_seconds"); });
    return out.str();
}

} // namespace eelgrassloft::io
