#pragma once

#include "eelgrassloft/work.h"

#include <map>

namespace eelgrassloft {

/// Sum of resources over a whole fleet, which may exceed the range of `Resources`.
struct ResourceTotals {
    uint64_t processorMillis = 0;
    uint64_t memoryMiB = 0;
    uint64_t accelerators = 0;

    /// Adds the sizes of several tasks.
    ResourceTotals& add(const Resources& size, uint64_t tasks);
    ResourceTotals& operator+=(const Resources& size) { return add(size, 1); }
    ResourceTotals& operator-=(const Resources& size);

    friend bool operator==(const ResourceTotals&, const ResourceTotals&) = default;
};

/// What each workspace has on the workers. A run is charged from its placement until its end is
/// certain, so that runs that are being stopped or whose start may be carried out late count too.
class WorkspaceLedger {
public:
    /// Charges a run. Runs of no workspace are not charged.
    void charge(const TaskRun& run, const std::string& workspace, const Resources& size);
    /// Releases a run that is certainly over. Nothing happens if it is not charged.
    void release(const TaskRun& run);
    ResourceTotals used(const std::string& workspace) const;
    void clear();

private:
    struct Charge {
        uint32_t workspace = 0; ///< Position in `m_used`.
        Resources size;
    };

    std::map<std::string, uint32_t> m_positions;
    std::vector<ResourceTotals> m_used;
    std::map<TaskRun, Charge> m_charges;
};

} // namespace eelgrassloft
