#pragma once

#include "eelgrassloft/time.h"

#include <algorithm>

namespace eelgrassloft {

/// Tells when a stopping host has drained. Requests that were on their way when the last one ended
/// still count, so a host has drained once nothing was in flight for `quietTime` without a break, or
/// at `end` at the latest.
class DrainMonitor {
public:
    DrainMonitor(Time now, Duration quietTime, Time end)
        : m_quietSince(now)
        , m_quietTime(quietTime)
        , m_end(end)
    {
    }

    bool isDrained(Time now, size_t inFlight)
    {
        if (inFlight)
            m_quietSince = now;
        return now >= m_end || now >= m_quietSince + m_quietTime;
    }

private:
    Time m_quietSince;
    Duration m_quietTime;
    Time m_end;
};

} // namespace eelgrassloft
