#pragma once

#include "eelgrassloft/config.h"
#include "eelgrassloft/record.h"
#include "eelgrassloft/time.h"

#include <algorithm>
#include <map>

namespace eelgrassloft {

/// Tells which submissions lie within the weight of their workspace: a token bucket for each, which
/// holds what is owed in `config::shareWindow`. Part of the replicated state, as each host has to decide alike.
class ShareMeter {
public:
    /// Takes in a submission. Returns whether it is owed to the workspace, of which `weight` jobs a second are.
    bool admit(Time at, const std::string& workspace, double weight)
    {
        if (weight <= 0)
            return true;
        const double depth = std::max(1.0, weight * std::chrono::duration<double>(config::shareWindow).count());
        const auto [position, isNew] = m_buckets.try_emplace(workspace, Bucket { depth, at });
        Bucket& bucket = position->second;
        const double elapsed = std::chrono::duration<double>(std::max(at - bucket.at, Duration::zero())).count();
        bucket.tokens = std::min(depth, bucket.tokens + elapsed * weight);
        bucket.at = std::max(bucket.at, at);
        if (bucket.tokens < 1)
            return false;
        bucket.tokens -= 1;
        return true;
    }

    /// Forgets the workspaces for which `isKnown` does not hold.
    template <typename Predicate>
    void retain(Predicate isKnown)
    {
        std::erase_if(m_buckets, [&](const auto& entry) { return !isKnown(entry.first); });
    }

    static constexpr auto members() { return std::make_tuple(&ShareMeter::m_buckets); }

private:
    struct Bucket {
        double tokens = 0; ///< Jobs.
        Time at {}; ///< Of the latest submission.

        static constexpr auto members() { return std::make_tuple(&Bucket::tokens, &Bucket::at); }
    };

    std::map<std::string, Bucket> m_buckets;
};

} // namespace eelgrassloft
