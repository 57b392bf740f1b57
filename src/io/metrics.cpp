#include "io/metrics.h"

#include "peer_messages.h"

#include <array>
#include <sstream>

namespace eelgrassloft::io {

std::string counterText(const Counters& counters)
{
    std::ostringstream out;
    writeCounters(out, counters.events);
    writeTable(out, "outcomes_total", "outcome", counters.outcomes);
    writeTable(out, "refusals_total", "reason", counters.refusals);
    writeTable(out, "unknown_total", "reason", counters.unknowns);
    writeTable(out, "retries_total", "reason", counters.retries);
    writeTable(out, "attempt_failures_total", "reason", counters.failures);
    out << "# TYPE " << metricPrefix << "link_bytes_total counter\n";
    for (const auto& [kind, bytes] : counters.interRegionBytes)
        writeLine(out, "link_bytes_total", "message", name(static_cast<PeerMessageKind>(kind)), bytes);
    return out.str();
}

} // namespace eelgrassloft::io
