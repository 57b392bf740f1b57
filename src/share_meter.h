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
        const auto [position, isNew] = m_buckets.try_emplace(workspace, Bucket { depthOf(weight), at });
        Bucket& bucket = position->second;
        bucket.tokens = bucket.refilled(at, weight);
        bucket.at = std::max(bucket.at, at);
        if (bucket.tokens < 1)
            return false;
        bucket.tokens -= 1;
        return true;
    }

    /// Whether a submission would be beyond the weight of its workspace.
    bool isBeyondShare(Time at, const std::string& workspace, double weight) const
    {
        const auto found = m_buckets.find(workspace);
        return weight > 0 && found != m_buckets.end() && found->second.refilled(at, weight) < 1;
    }

    /// Forgets the workspaces for which `isKnown` does not hold.
    template <typename Predicate>
    void retain(Predicate isKnown)
    {
        std::erase_if(m_buckets, [&](const auto& entry) { return !isKnown(entry.first); });
    }

    static constexpr auto members() { return std::make_tuple(&ShareMeter::m_buckets); }

private:
    static double depthOf(double weight) { return std::max(1.0, weight * std::chrono::duration<double>(config::shareWindow).count()); }

    struct Bucket {
        double tokens = 0; ///< Jobs.
        Time at {}; ///< Of the latest submission.

        double refilled(Time now, double weight) const
        {
            const double elapsed = std::chrono::duration<double>(std::max(now - at, Duration::zero())).count();
            return std::min(depthOf(weight), tokens + elapsed * weight);
        }

        static constexpr auto members() { return std::make_tuple(&Bucket::tokens, &Bucket::at); }
    };

    std::map<std::string, Bucket> m_buckets;
};

} // namespace eelgrassloft
