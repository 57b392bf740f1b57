#pragma once

#include "eelgrassloft/config.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace eelgrassloft::io {

/// Decides until when the next byte of a transfer has to move: it must not stall, and its average rate
/// must not be below the minimum once the grace is over.
class MinimumRate {
public:
    using Clock = std::chrono::steady_clock;
    using TimePoint = Clock::time_point;

    MinimumRate(TimePoint start, Duration stallTimeout)
        : m_start(start)
        , m_stallTimeout(stallTimeout)
    {
    }

    /// `now` is the time at which the last of `bytes` moved.
    TimePoint deadline(TimePoint now, uint64_t bytes) const
    {
        const auto atMinimumRate = std::chrono::seconds(bytes / config::minTransferBytesPerSecond);
        return std::min<TimePoint>(now + m_stallTimeout, m_start + config::minTransferRateGrace + atMinimumRate);
    }

private:
    TimePoint m_start;
    Duration m_stallTimeout;
};

} // namespace eelgrassloft::io
