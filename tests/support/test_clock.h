#pragma once

#include "io/asio.h"

#include <chrono>
#include <thread>

namespace eelgrassloft::io {

/// A clock that tests pause and advance.
struct TestClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<TestClock>;
    static constexpr bool is_steady = true;

    static time_point now() { return s_now; }
    static inline time_point s_now {};
};

/// Makes timers poll the test clock instead of waiting in real time.
struct TestWaitTraits {
    static TestClock::duration to_wait_duration(const TestClock::duration&) { return TestClock::duration::zero(); }
    static TestClock::duration to_wait_duration(const TestClock::time_point& time) { return to_wait_duration(time - TestClock::now()); }
};

using TestTimer = asio::basic_waitable_timer<TestClock, TestWaitTraits>;

/// Runs what is ready. The reactor learns that timers are due from a descriptor, which the kernel
/// makes readable a moment after it is set, so that one poll may come too early.
inline void runReady(asio::io_context& context)
{
    constexpr int polls = 20;
    constexpr std::chrono::microseconds pollPause { 500 };
    for (int i = 0; i < polls; ++i) {
        context.restart();
        context.poll();
        std::this_thread::sleep_for(pollPause);
    }
}

} // namespace eelgrassloft::io
