#pragma once

#include "eelgrassloft/counters.h"
#include "eelgrassloft/time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <string>

namespace eelgrassloft::io {

/// Durations that the shell measures.
enum class TimerKind : uint8_t {
    Request, ///< From a caller's whole request to its answer.
    Step, ///< One step of the core.
    Count
};

constexpr NameTable<TimerKind> nameTable(TimerKind)
{
    constexpr NameTable<TimerKind> table { "request_seconds", "step_seconds" };
    return table;
}

/// Distribution of a duration, estimated in constant memory.
class DurationStatistic {
public:
    DurationStatistic();

    void add(std::chrono::nanoseconds value);
    /// Lines of a Prometheus summary.
    std::string text(std::string_view metric) const;

private:
    using Accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::max, boost::accumulators::tag::extended_p_square_quantile>>;

    Accumulator m_accumulator;
};

/// Counters of the core in the Prometheus text format: one line for each name of each table.
std::string counterText(const Counters& counters);

/// A single value.
std::string gaugeText(std::string_view metric, double value);

} // namespace eelgrassloft::io
