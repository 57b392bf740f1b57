#pragma once

#include "eelgrassloft/config.h"
#include "eelgrassloft/resources.h"

#include <algorithm>
#include <map>
#include <string>

namespace eelgrassloft {

/// Memory that the tasks of a job were seen to use beyond their declaration. Kept by the leader
/// alone: a new one learns again from the next reports.
class LearnedSizes {
public:
    /// Whether a task uses so much more memory than it reserves that it has to be stopped.
    bool recordUsage(const std::string& job, const Resources& reserved, const Resources& usage)
    {
        if (!exceedsTolerance(usage.memoryMiB, reserved.memoryMiB))
            return false;
        uint32_t& learned = m_memoryMiB[job];
        learned = std::max(learned, usage.memoryMiB + usage.memoryMiB / 100 * config::usageTolerancePercent);
        return true;
    }

    /// What a waiting task of the job should reserve.
    Resources sizeFor(const std::string& job, Resources size) const
    {
        const auto learned = m_memoryMiB.find(job);
        if (learned != m_memoryMiB.end())
            size.memoryMiB = std::max(size.memoryMiB, learned->second);
        return size;
    }

    static bool exceedsTolerance(uint64_t used, uint64_t reserved)
    {
        return used * 100 > reserved * (100 + config::usageTolerancePercent);
    }

private:
    std::map<std::string, uint32_t> m_memoryMiB;
};

} // namespace eelgrassloft
