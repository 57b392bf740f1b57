#include "io/metrics.h"

#include "peer_messages.h"

#include <array>
#include <sstream>

namespace eelgrassloft::io {

std::string counterText(const Counters& counters)
{
    std::ostringstream out;
    writeCounters(out, counters.events);
    writeLabelledCounter(out, "outcomes_total", "outcome", counters.outcomes);
    writeLabelledCounter(out, "refusals_total", "reason", counters.refusals);
    writeLabelledCounter(out, "unknown_total", "reason", counters.unknowns);
    writeLabelledCounter(out, "retries_total", "reason", counters.retries);
    writeLabelledCounter(out, "attempt_failures_total", "reason", counters.failures);
    out << "# TYPE " << metricPrefix << "link_bytes_total counter\n";
    for (const auto& [kind, bytes] : counters.interRegionBytes)
        writeSample(out, "link_bytes_total", "message", name(static_cast<PeerMessageKind>(kind)), bytes);
    return out.str();
}

} // namespace eelgrassloft::io
