#pragma once

#include "eelgrassloft/config.h"
#include "random.h"

#include <algorithm>
#include <concepts>

namespace eelgrassloft {

/// Tells a caller whose call was refused, and has not run, when to come back. `outage` is the time since
/// this host last heard from a leader; `number` differs between calls.
template <typename T>
concept AdmissionPolicy = requires(const T policy, Duration outage, uint64_t number)
{
    {
        policy.retryAfter(outage, number)
        } -> std::same_as<Duration>;
};

/// Baseline: the same time for all.
struct FixedAdmission {
    Duration retryAfter(Duration, uint64_t) const { return config::minRetryAfter; }
};

/// Policy for outages of all control hosts, when many callers return at once and each only a few times.
/// What has lasted for some time is expected to last as long again, so callers come back after that,
/// and spread over half of it, or at least over two seconds. The times are whole seconds, as callers are told no others:
/// a spread over fractions would be rounded up to one time for all.
struct OutageAdmission {
    Duration retryAfter(Duration outage, uint64_t number) const
    {
        const auto expected = std::chrono::ceil<std::chrono::seconds>(std::clamp(outage, config::minRetryAfter, config::maxRetryAfter));
        const auto times = static_cast<uint64_t>(std::max<std::chrono::seconds::rep>(expected.count() / 2, 1)) + 1;
        return expected + std::chrono::seconds(mixHash(number) % times);
    }
};

static_assert(AdmissionPolicy<FixedAdmission> && AdmissionPolicy<OutageAdmission>);

} // namespace eelgrassloft
