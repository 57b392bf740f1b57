#pragma once

#include "io/wall_clock.h"

#include <ctime>

namespace eelgrassloft::io {

/// A steady clock that also advances while the machine is suspended, so that leases expire on time.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    static time_point now()
    {
        timespec time {};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

using FleetClock = BasicWallClock<BootClock>;

} // namespace eelgrassloft::io
