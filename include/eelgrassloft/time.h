#pragma once

#include <chrono>
#include <cstdint>

namespace eelgrassloft {

/// Clock type of the core's time points. It has no `now()`: the current time is passed to the core
/// as an argument, so that tests run in simulated time.
struct CoreClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true;
};

/// Microseconds since the Unix epoch; monotonic within one process.
using Time = CoreClock::time_point;

/// Time span in microseconds.
using Duration = CoreClock::duration;

/// Deadline of an event that is not scheduled.
inline constexpr Time never = Time::max();

} // namespace eelgrassloft
