#pragma once

#include "io/duration_summary.h"
#include "io/metrics_text.h"

#include "eelgrassloft/counters.h"
#include "eelgrassloft/time.h"

#include <string>

namespace eelgrassloft::io {

/// Durations that are measured outside the core.
enum class TimerKind : uint8_t {
    Request, ///< From the receipt of a caller's complete request to its answer.
    Step, ///< One step of the core.
    Count
};

constexpr NameTable<TimerKind> nameTable(TimerKind)
{
    constexpr NameTable<TimerKind> table { "request_seconds", "step_seconds" };
    return table;
}

/// Counters of the core in the Prometheus text format.
std::string counterText(const Counters& counters);

} // namespace eelgrassloft::io
