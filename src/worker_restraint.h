#pragma once

#include "eelgrassloft/time.h"

#include <algorithm>

namespace eelgrassloft {

/// Limits what a worker gets after it has crashed or lost its runs. Made for a worker that crashes every few
/// seconds: each time it comes back idle, so that by the room that it has it would get more new work than any
/// other, and lose it again. The limit is a part of the worker's capacity. It rises with time to the whole,
/// more slowly after repeated losses, and is never zero.
class WorkerRestraint {
public:
    /// Notes that the worker has crashed or lost runs.
    void noteLoss(Time now)
    {
        m_losses = std::min(remainingLosses(now) + 1, maxLosses);
        m_lossAt = now;
        m_awaitsResponse = true;
    }

    /// Notes that the worker has responded; the limit rises from the first response after a loss on.
    void noteResponse(Time now)
    {
        if (!m_awaitsResponse)
            return;
        m_awaitsResponse = false;
        m_risesFrom = now;
    }

    /// Part of the worker's capacity that may be in use. `isRoomLacking` tells whether work waits for want of
    /// room: then the limit is short, as runs on a worker that may crash are better than none.
    double allowance(Time now, bool isRoomLacking) const
    {
        if (m_losses == 0)
            return 1;
        const double initial = 1 / (1 + m_losses);
        if (m_awaitsResponse)
            return initial;
        const double rampSeconds = isRoomLacking ? fullFleetRampSeconds : rampSecondsPerLoss * m_losses;
        return std::min(1.0, initial + (1 - initial) * secondsBetween(m_risesFrom, now) / rampSeconds);
    }

private:
    static double secondsBetween(Time from, Time to) { return std::chrono::duration<double>(std::max(to - from, Duration {})).count(); }

    double remainingLosses(Time now) const { return m_losses * forgetSeconds / (forgetSeconds + secondsBetween(m_lossAt, now)); }

    static constexpr double maxLosses = 4;
    static constexpr double rampSecondsPerLoss = 2;
    static constexpr double fullFleetRampSeconds = 1;
    static constexpr double forgetSeconds = 20; // Losses count half after this time.

    double m_losses = 0; ///< Recent losses as of the last one, with less weight for earlier ones.
    Time m_lossAt {};
    Time m_risesFrom {};
    bool m_awaitsResponse = false;
};

} // namespace eelgrassloft
