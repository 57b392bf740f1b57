#pragma once

#include "eelgrassloft/config.h"
#include "eelgrassloft/resources.h"

#include <algorithm>
#include <map>
#include <string>

namespace eelgrassloft {

/// Memory sizes learned from tasks that used more than their job declares. Kept on the leader only;
/// a new leader learns them again from the next reports.
class LearnedSizes {
public:
    /// Learns from a task's usage. True where the task exceeds its memory reservation by more than
    /// `config::usageTolerancePercent`, so that it has to be stopped and placed again.
    bool recordUsage(const std::string& job, const Resources& reserved, const Resources& usage)
    {
        if (!exceedsTolerance(usage.memoryMiB, reserved.memoryMiB))
            return false;
        uint32_t& learned = m_memoryMiB[job];
        learned = std::max(learned, usage.memoryMiB + usage.memoryMiB / 100 * config::usageTolerancePercent);
        return true;
    }

    /// Size that a queued task of the job should reserve.
    Resources sizeFor(const std::string& job, Resources size) const
    {
        const auto learned = m_memoryMiB.find(job);
        if (learned != m_memoryMiB.end())
            size.memoryMiB = std::max(size.memoryMiB, learned->second);
        return size;
    }

    /// Whether usage exceeds a reservation by more than `config::usageTolerancePercent`.
    static bool exceedsTolerance(uint64_t used, uint64_t reserved)
    {
        return used * 100 > reserved * (100 + config::usageTolerancePercent);
    }

private:
    std::map<std::string, uint32_t> m_memoryMiB;
};

} // namespace eelgrassloft
