#pragma once

#include "random.h"

#include "eelgrassloft/handle.h"
#include "eelgrassloft/time.h"

#include <concepts>
#include <optional>
#include <span>

namespace eelgrassloft {

/// An upstream with a free slot.
struct RouteCandidate {
    UpstreamId upstream;
    uint32_t inFlight = 0;
    uint32_t freeSlots = 0;
    Duration latency {};
};

/// Chooses one of the candidates by index; the span is never empty.
template <typename T>
concept RoutingPolicy = requires(T policy, std::span<const RouteCandidate> candidates, Random& random)
{
    {
        policy.choose(candidates, random)
        } -> std::same_as<size_t>;
};

/// Draws two random candidates and chooses the one with the lower expected wait
/// (power of two choices, Mitzenmacher, IEEE TPDS 2001).
class PowerOfTwoChoices {
public:
    size_t choose(std::span<const RouteCandidate> candidates, Random& random)
    {
        const size_t first = random.below(candidates.size());
        const size_t second = random.below(candidates.size());
        return cost(candidates[second]) < cost(candidates[first]) ? second : first;
    }

private:
    static int64_t cost(const RouteCandidate& candidate)
    {
        return (candidate.latency.count() + 1) * (candidate.inFlight + 1);
    }
};

/// Baseline: a uniformly random candidate.
class RandomChoice {
public:
    size_t choose(std::span<const RouteCandidate> candidates, Random& random) { return random.below(candidates.size()); }
};

/// Baseline: candidates in turn.
class RoundRobin {
public:
    size_t choose(std::span<const RouteCandidate> candidates, Random&) { return m_next++ % candidates.size(); }

private:
    size_t m_next = 0;
};

static_assert(RoutingPolicy<PowerOfTwoChoices> && RoutingPolicy<RandomChoice> && RoutingPolicy<RoundRobin>);

} // namespace eelgrassloft
