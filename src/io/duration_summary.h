#pragma once

#include <sstream> // Boost's quantiles use it without including it.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace eelgrassloft::io {

/// Count, sum, maximum and estimated quantiles of a duration, in constant memory.
class DurationSummary {
public:
    DurationSummary();

    void add(std::chrono::nanoseconds value);
    /// The durations as a Prometheus summary, in seconds.
    std::string text(std::string_view metric) const;

private:
    using Accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::max, boost::accumulators::tag::extended_p_square_quantile>>;

    Accumulator m_accumulator;
};

} // namespace eelgrassloft::io
