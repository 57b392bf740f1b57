#pragma once

#include "eelgrassloft/work.h"

#include <chrono>

namespace eelgrassloft::testing {

/// First configuration of a fleet, with one queue and the pool that runs its tasks.
inline FleetConfig configWithOneQueue(uint32_t maxAttempts = 4)
{
    FleetConfig config;
    config.version = 1;
    config.queues.push_back({ "queue", "host", "/jobs/", "pool", 0, maxAttempts, 2, std::chrono::milliseconds(400), {} });
    config.pools.push_back({ "pool" });
    return config;
}

} // namespace eelgrassloft::testing
