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

/// Adds a queue that needs no key, and two workspaces with a key each, of which the first has a quota.
inline FleetConfig configWithWorkspaces(uint64_t version, Resources quota = {}, double weight = 0)
{
    FleetConfig config = configWithOneQueue(20);
    config.version = version;
    config.queues.push_back({ "open", "host", "/open/", "pool", 0, 20, 2, std::chrono::milliseconds(400), {}, true });
    config.workspaces = { { "north", { "north-key" }, weight, quota }, { "south", { "south-key" }, 0, {} } };
    return config;
}

} // namespace eelgrassloft::testing
