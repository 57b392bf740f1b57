#include "placement.h"

#include <algorithm>

namespace eelgrassloft {

namespace {

/// Number of tasks of a size, up to `limit`, that fit on a worker now.
uint32_t fitCount(const CapacityIndex& index, WorkerSlot slot, const Resources& size, uint32_t limit)
{
    if (!index.fits(slot, size))
        return 0;
    return std::min(index.at(slot).takesOneTask ? 1 : limit, detail::fittingTasks(index.at(slot).freeCapacity, size));
}

/// Number of tasks that fit on the workers of a rack.
struct RackFit {
    uint32_t rack = 0;
    uint32_t count = 0;
};

/// The smallest rack that fits all tasks, or else all racks, largest first.
std::vector<RackFit> chooseRacks(std::vector<RackFit> racks, uint32_t count)
{
    std::stable_sort(racks.begin(), racks.end(), [](const RackFit& a, const RackFit& b) { return a.count > b.count; });
    const auto tooSmall = std::find_if(racks.begin(), racks.end(), [&](const RackFit& rack) { return rack.count < count; });
    if (tooSmall != racks.begin())
        return { *(tooSmall - 1) };
    return racks;
}

} // namespace

std::vector<WorkerSlot> chooseGangWorkers(const CapacityIndex& index, const Resources& size, uint32_t count)
{
    std::vector<RackFit> racks;
    uint64_t total = 0;
    for (uint32_t rack = 0; rack < index.racks().size(); ++rack) {
        RackFit fit { rack, 0 };
        for (const WorkerSlot slot : index.racks()[rack])
            fit.count += fitCount(index, slot, size, count);
        total += fit.count;
        if (fit.count)
            racks.push_back(fit);
    }
    std::vector<WorkerSlot> result;
    if (total < count)
        return result;
    for (const RackFit& rack : chooseRacks(std::move(racks), count)) {
        std::vector<std::pair<uint32_t, WorkerSlot>> workers;
        for (const WorkerSlot slot : index.racks()[rack.rack])
            workers.emplace_back(fitCount(index, slot, size, count), slot);
        std::stable_sort(workers.begin(), workers.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
        for (const auto& [fit, slot] : workers) {
            for (uint32_t i = 0; i < fit && result.size() < count; ++i)
                result.push_back(slot);
        }
        if (result.size() == count)
            break;
    }
    return result;
}

} // namespace eelgrassloft
