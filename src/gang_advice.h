#pragma once

#include "eelgrassloft/config.h"

#include <algorithm>
#include <concepts>
#include <cstdint>

namespace eelgrassloft {

/// Tasks of a gang for which a worker has capacity.
struct GangCapacity {
    uint32_t now = 0; ///< Tasks that fit beside the worker's runs.
    uint32_t empty = 0; ///< Tasks that fit on the worker without any runs.
};

/// Decides how many workers the advice service is asked about for a gang.
template <typename T>
concept GangAdvicePolicy = requires(const T policy, GangCapacity capacity, double expectedTasks, uint32_t members)
{
    {
        policy.expectedTasks(capacity)
        } -> std::same_as<double>; // Tasks that an allowed worker is expected to take soon.
    {
        policy.isSufficient(expectedTasks, members)
        } -> std::same_as<bool>; // Whether workers with so many expected tasks suffice for the gang.
    {
        policy.maxWorkersPerRequest()
        } -> std::same_as<size_t>;
};

/// Baseline: a fixed number of workers in a request, until the gang knows of every worker whether it
/// is allowed.
struct ExhaustiveGangAdvice {
    double expectedTasks(GangCapacity) const { return 0; }
    bool isSufficient(double, uint32_t) const { return false; }
    size_t maxWorkersPerRequest() const { return config::gangAdviceWorkers; }
};

/// Policy for bursts of large gangs, when hosts that are free to call the advice service are scarcer
/// than workers. A request has a high fixed cost, so one names enough workers for the whole gang, in a
/// full fleet too, and a gang that knows enough allowed workers waits for capacity there and asks no more.
struct SufficientGangAdvice {
    double expectedTasks(GangCapacity capacity) const
    {
        return std::max(static_cast<double>(capacity.now), static_cast<double>(capacity.empty) * usableShare);
    }
    bool isSufficient(double expectedTasks, uint32_t members) const { return expectedTasks >= members * margin; }
    size_t maxWorkersPerRequest() const { return config::maxAdviceWorkers; }

private:
    static constexpr double usableShare = 1.0 / 3; ///< Of a busy worker's capacity, which ends or can be preempted soon.
    static constexpr double margin = 2.5; ///< Expected tasks per member.
};

static_assert(GangAdvicePolicy<ExhaustiveGangAdvice> && GangAdvicePolicy<SufficientGangAdvice>);

} // namespace eelgrassloft
