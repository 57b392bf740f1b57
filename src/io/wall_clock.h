#pragma once

#include "eelgrassloft/time.h"

#include <chrono>

namespace eelgrassloft::io {

/// Maps a steady clock to the core's time. The system's time is read once, at the start, so the time
/// never goes back. Tests pass a `Clock` that they pause and advance.
template <typename Clock>
class BasicWallClock {
public:
    explicit BasicWallClock(Time startedAt)
        : m_startedAt(startedAt)
        , m_steadyStart(Clock::now())
    {
    }

    Time now() const { return m_startedAt + std::chrono::duration_cast<Duration>(Clock::now() - m_steadyStart); }

    typename Clock::time_point steadyTime(Time time) const
    {
        if (time == never)
            return Clock::time_point::max();
        // Rounded up, so that the time is reached when the timer expires.
        return m_steadyStart + std::chrono::ceil<typename Clock::duration>(time - m_startedAt);
    }

private:
    Time m_startedAt;
    typename Clock::time_point m_steadyStart;
};

using WallClock = BasicWallClock<std::chrono::steady_clock>;

/// The system's time, as the core's time.
inline Time systemTime()
{
    return Time(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

} // namespace eelgrassloft::io
