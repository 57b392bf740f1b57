#pragma once

#include "eelgrassloft/time.h"

#include <algorithm>

namespace eelgrassloft {

/// Tells when a host that stops has nothing left to answer. A request that is on its way when the
/// last one was answered still counts, so nothing may be in flight for some time on end.
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
