#pragma once

#include "eelgrassloft/name_table.h"

#include <ostream>
#include <sstream>
#include <string>
#include <string_view>

// Writes the Prometheus text format. The names of metrics and labels come from the name tables.
namespace eelgrassloft::io {

constexpr std::string_view metricPrefix = "eelgrassloft_";

inline void writeSample(std::ostream& out, std::string_view metric, std::string_view label, std::string_view value, uint64_t count)
{
    out << metricPrefix << metric << '{' << label << "=\"" << value << "\"} " << count << '\n';
}

/// Writes one counter, with a sample for each value of an enumeration, which is its label.
template <CountedEnum E>
void writeLabelledCounter(std::ostream& out, std::string_view metric, std::string_view label, const EnumArray<E, uint64_t>& counts)
{
    out << "# TYPE " << metricPrefix << metric << " counter\n";
    forEachValue<E>([&](E value) { writeSample(out, metric, label, name(value), counts[value]); });
}

/// Writes a counter for each value of an enumeration.
template <CountedEnum E>
void writeCounters(std::ostream& out, const EnumArray<E, uint64_t>& counts)
{
    forEachValue<E>([&](E value) {
        out << "# TYPE " << metricPrefix << name(value) << "_total counter\n"
            << metricPrefix << name(value) << "_total " << counts[value] << '\n';
    });
}

/// A gauge without labels.
inline std::string gaugeText(std::string_view metric, double value)
{
    std::ostringstream out;
    out << "# TYPE " << metricPrefix << metric << " gauge\n"
        << metricPrefix << metric << ' ' << value << '\n';
    return out.str();
}

} // namespace eelgrassloft::io
