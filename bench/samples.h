#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <vector>

namespace eelgrassloft::bench {

/// Returns the quantile `fraction` of the samples, with `fraction` from 0 to 1.
template <typename Value>
Value quantile(std::vector<Value> samples, double fraction)
{
    if (samples.empty())
        return {};
    const auto position = static_cast<size_t>(fraction * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + static_cast<ptrdiff_t>(position), samples.end());
    return samples[position];
}

/// Returns the processor time that this process has used.
inline std::chrono::nanoseconds processorTime()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace eelgrassloft::bench
