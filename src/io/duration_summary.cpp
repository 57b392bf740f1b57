#include "io/duration_summary.h"

#include "io/metrics_text.h"

#include <array>

namespace eelgrassloft::io {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> quantiles { 0.5, 0.9, 0.99 };

} // namespace

DurationSummary::DurationSummary()
    : m_accumulator(accumulators::extended_p_square_probabilities = quantiles)
{
}

void DurationSummary::add(std::chrono::nanoseconds value) { m_accumulator(std::chrono::duration<double>(value).count()); }

std::string DurationSummary::text(std::string_view metric) const
{
    std::ostringstream out;
    out << "# TYPE " << metricPrefix << metric << " summary\n";
    const size_t count = accumulators::count(m_accumulator);
    for (const double quantile : quantiles) {
        const double value = count > quantiles.size() ? accumulators::quantile(m_accumulator, accumulators::quantile_probability = quantile) : 0;
        out << metricPrefix << metric << "{quantile=\"" << quantile << "\"} " << value << '\n';
    }
    out << metricPrefix << metric << "_sum " << accumulators::sum(m_accumulator) << '\n';
    out << metricPrefix << metric << "_count " << count << '\n';
    out << metricPrefix << metric << "_max " << (count ? accumulators::max(m_accumulator) : 0) << '\n';
    return out.str();
}

} // namespace eelgrassloft::io
