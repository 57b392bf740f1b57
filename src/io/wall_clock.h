#pragma once

#include "eelgrassloft/time.h"

#include <chrono>

namespace eelgrassloft::io {

/// Maps a steady clock to the core's time. `Clock` is the steady clock in the daemon and one that
/// tests pause and advance elsewhere. The epoch is read once, so the time never goes back.
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
        // Rounded up, so that the time has come when the timer ends.
        return m_steadyStart + std::chrono::ceil<typename Clock::duration>(time - m_startedAt);
    }

private:
    Time m_startedAt;
    typename Clock::time_point m_steadyStart;
};

using WallClock = BasicWallClock<std::chrono::steady_clock>;

/// The system's time at this moment, in the core's scale.
inline Time systemTime()
{
    return Time(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

} // namespace eelgrassloft::io
