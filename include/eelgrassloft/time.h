#pragma once

#include <chrono>
#include <cstdint>

namespace eelgrassloft {

/// Time scale of the core. It has no `now()`: every time enters the core as an argument.
struct CoreClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true;
};

/// Microseconds since the Unix epoch, never going back within one process.
using Time = CoreClock::time_point;

/// Length of time in microseconds.
using Duration = CoreClock::duration;

/// Deadline of something that never becomes due.
inline constexpr Time never = Time::max();

} // namespace eelgrassloft
