#include "io/budget_metrics.h"

#include "io/metrics_text.h"

namespace eelgrassloft::io {

namespace {

template <typename Value>
void writeGauge(std::ostream& out, const ConnectionBudget& budget, std::string_view metric, Value value)
{
    out << "# TYPE " << metricPrefix << metric << " gauge\n";
    forEachValue<ListenerKind>([&](ListenerKind listener) {
        if (budget.has(listener))
            writeSample(out, metric, "listener", name(listener), value(listener));
    });
}

} // namespace

std::string budgetMetricsText(const ConnectionBudget& budget)
{
    std::ostringstream out;
    out << "# TYPE " << metricPrefix << "requests_shed_total counter\n";
    forEachValue<ListenerKind>([&](ListenerKind listener) {
        if (!budget.has(listener))
            return;
        forEachValue<ShedReason>([&](ShedReason reason) {
            out << metricPrefix << "requests_shed_total{listener=\"" << name(listener) << "\",reason=\"" << name(reason) << "\"} " << budget.shed(listener, reason) << '\n';
        });
    });
    writeGauge(out, budget, "connections_open", [&](ListenerKind listener) { return budget.connections(listener); });
    writeGauge(out, budget, "connections_limit", [&](ListenerKind listener) { return budget.connectionLimit(listener); });
    writeGauge(out, budget, "connection_bytes", [&](ListenerKind listener) { return budget.bytes(listener); });
    writeGauge(out, budget, "connection_bytes_limit", [&](ListenerKind listener) { return budget.byteLimit(listener); });
    return out.str();
}

} // namespace eelgrassloft::io
