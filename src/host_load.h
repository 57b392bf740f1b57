#pragma once

#include "eelgrassloft/time.h"

#include <cstdint>
#include <tuple>

namespace eelgrassloft {

/// Load of a host by its own report, which is part of its periodic status. Others that need a call made for
/// them, and may choose the host, choose one with less load.
struct HostLoad {
    uint32_t calls = 0; ///< In progress.
    Duration oldestCall {}; ///< How long the oldest of them has waited.

    static constexpr auto members() { return std::make_tuple(&HostLoad::calls, &HostLoad::oldestCall); }

    /// The load in calls. A call that waits long counts for several, as it shows that the host can't keep up.
    uint64_t score() const { return calls + static_cast<uint64_t>(oldestCall / waitPerCall); }

private:
    static constexpr Duration waitPerCall = std::chrono::milliseconds(100);
};

} // namespace eelgrassloft
