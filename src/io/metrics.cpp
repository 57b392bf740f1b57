#include "io/metrics.h"

#include "peer_messages.h"

#include <array>
#include <sstream>

namespace eelgrassloft::io {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::string_view prefix = "eelgrassloft_";
constexpr std::array<double, 3> quantiles { 0.5, 0.9, 0.99 };

void writeLine(std::ostream& out, std::string_view metric, std::string_view label, std::string_view value, uint64_t count)
{
    out << prefix << metric << '{' << label << "=\"" << value << "\"} " << count << '\n';
}

template <CountedEnum E>
void writeTable(std::ostream& out, std::string_view metric, std::string_view label, const EnumArray<E, uint64_t>& counts)
{
    out << "# TYPE " << prefix << metric << " counter\n";
    forEachValue<E>([&](E value) { writeLine(out, metric, label, name(value), counts[value]); });
}

} // namespace

DurationStatistic::DurationStatistic()
    : m_accumulator(accumulators::extended_p_square_probabilities = quantiles)
{
}

void DurationStatistic::add(std::chrono::nanoseconds value) { m_accumulator(std::chrono::duration<double>(value).count()); }

std::string DurationStatistic::text(std::string_view metric) const
{
    std::ostringstream out;
    out << "# TYPE " << prefix << metric << " summary\n";
    const size_t count = accumulators::count(m_accumulator);
    for (const double quantile : quantiles) {
        const double value = count > quantiles.size() ? accumulators::quantile(m_accumulator, accumulators::quantile_probability = quantile) : 0;
        out << prefix << metric << "{quantile=\"" << quantile << "\"} " << value << '\n';
    }
    out << prefix << metric << "_sum " << accumulators::sum(m_accumulator) << '\n';
    out << prefix << metric << "_count " << count << '\n';
    out << prefix << metric << "_max " << (count ? accumulators::max(m_accumulator) : 0) << '\n';
    return out.str();
}

std::string counterText(const Counters& counters)
{
    std::ostringstream out;
    forEachValue<CounterKind>([&](CounterKind kind) {
        out << "# TYPE " << prefix << name(kind) << "_total counter\n"
            << prefix << name(kind) << "_total " << counters.events[kind] << '\n';
    });
    writeTable(out, "outcomes_total", "outcome", counters.outcomes);
    writeTable(out, "refusals_total", "reason", counters.refusals);
    writeTable(out, "unknown_total", "reason", counters.unknowns);
    writeTable(out, "retries_total", "reason", counters.retries);
    writeTable(out, "attempt_failures_total", "reason", counters.failures);
    out << "# TYPE " << prefix << "link_bytes_total counter\n";
    for (const auto& [kind, bytes] : counters.linkBytes)
        writeLine(out, "link_bytes_total", "message", name(static_cast<PeerMessageKind>(kind)), bytes);
    return out.str();
}

std::string gaugeText(std::string_view metric, double value)
{
    std::ostringstream out;
    out << "# TYPE " << prefix << metric << " gauge\n"
        << prefix << metric << ' ' << value << '\n';
    return out.str();
}

} // namespace eelgrassloft::io
