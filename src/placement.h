#pragma once

#include "capacity_index.h"
#include "random.h"

#include <algorithm>
#include <cmath>
#include <concepts>
#include <limits>
#include <optional>

namespace eelgrassloft {

/// A task to place.
struct PlacementRequest {
    Resources size;
    /// Number of tasks of the same job on each rack and worker, for policies that spread a job.
    std::map<uint32_t, uint32_t> tasksPerRack;
    std::map<WorkerSlot, uint32_t> tasksPerWorker;
};

/// Chooses a worker that fits a task, or none. The choice depends on the arguments only.
template <typename T>
concept PlacementPolicy = requires(T policy, const CapacityIndex& index, const PlacementRequest& request, Random& random)
{
    {
        policy.choose(index, request, random)
        } -> std::same_as<WorkerSlot>;
};

namespace detail {
/// Number of tasks of a size that fit into `freeCapacity` together.
constexpr uint32_t fittingTasks(const Resources& freeCapacity, const Resources& size)
{
    uint32_t count = std::numeric_limits<uint32_t>::max();
    forEachValue<Dimension>([&](Dimension dimension) {
        if (size.amount(dimension))
            count = std::min(count, freeCapacity.amount(dimension) / size.amount(dimension));
    });
    return count;
}

/// Processors that `freeCapacity` lacks for a task of the size, in thousandths.
constexpr uint32_t processorShortfall(const Resources& freeCapacity, const Resources& size)
{
    return size.processorMillis - std::min(size.processorMillis, freeCapacity.processorMillis);
}

/// Score of the capacity that a task would leave free on a worker; lower is a better fit. Processors
/// and memory left free in unequal proportions cannot both be used later, so their difference has
/// the largest weight.
inline double leftoverScore(const CapacityIndex::Worker& worker, const Resources& size)
{
    const auto leftover = [&](Dimension dimension) {
        const uint32_t capacity = worker.capacity.amount(dimension);
        return capacity ? static_cast<double>(worker.freeCapacity.amount(dimension) - size.amount(dimension)) / capacity : 0;
    };
    const double processors = leftover(Dimension::Processors);
    const double memory = leftover(Dimension::Memory);
    // Keeps accelerators that the task does not use free for tasks that do.
    const double accelerators = leftover(Dimension::Accelerators) * (size.accelerators ? 1 : config::idleAcceleratorWeight);
    return processors + memory + accelerators + config::imbalanceWeight * std::abs(processors - memory);
}
} // namespace detail

/// Bin packing by best fit: of the first `config::maxBestFitCandidates` workers with the least
/// sufficient free capacity in the scarcest dimension, the one with the lowest leftover score.
class BestFit {
public:
    WorkerSlot choose(const CapacityIndex& index, const PlacementRequest& request, Random&) const
    {
        WorkerSlot best;
        double bestScore = std::numeric_limits<double>::max();
        size_t fitting = 0;
        index.visitFitting(request.size, [&](WorkerSlot slot) {
            const double score = detail::leftoverScore(index.at(slot), request.size);
            if (score < bestScore) {
                bestScore = score;
                best = slot;
            }
            return ++fitting < config::maxBestFitCandidates;
        });
        return best;
    }
};

/// Spreads a job over racks first and workers second. Ties go to the best fit, so that large free
/// capacities are kept for large tasks.
class SpreadOverRacks {
public:
    WorkerSlot choose(const CapacityIndex& index, const PlacementRequest& request, Random&) const
    {
        WorkerSlot best;
        Score bestScore {};
        size_t examined = 0;
        size_t onUnusedRacks = 0;
        index.visitFitting(request.size, [&](WorkerSlot slot) {
            const uint32_t tasksOnRack = countAt(request.tasksPerRack, index.at(slot).rack);
            const Score score(tasksOnRack, countAt(request.tasksPerWorker, slot), detail::leftoverScore(index.at(slot), request.size));
            if (!best.isValid() || score < bestScore) {
                bestScore = score;
                best = slot;
            }
            onUnusedRacks += tasksOnRack == 0;
            return onUnusedRacks < config::spreadCandidates && ++examined < config::maxSpreadCandidates;
        });
        return best;
    }

private:
    using Score = std::tuple<uint32_t, uint32_t, double>; ///< Tasks of the job on the rack, tasks on the worker, leftover score.

    template <typename Key>
    static uint32_t countAt(const std::map<Key, uint32_t>& counts, Key key)
    {
        const auto found = counts.find(key);
        return found == counts.end() ? 0 : found->second;
    }
};

/// Baseline: the first worker that fits, in the order of the index.
class FirstFit {
public:
    WorkerSlot choose(const CapacityIndex& index, const PlacementRequest& request, Random&) const
    {
        for (uint32_t i = 0; i < index.workers().size(); ++i) {
            if (index.fits(WorkerSlot { i }, request.size))
                return WorkerSlot { i };
        }
        return {};
    }
};

/// Baseline: the first worker that fits, from a random position on.
class RandomFit {
public:
    WorkerSlot choose(const CapacityIndex& index, const PlacementRequest& request, Random& random) const
    {
        const size_t count = index.workers().size();
        const size_t start = count ? random.below(count) : 0;
        for (size_t i = 0; i < count; ++i) {
            const WorkerSlot slot { static_cast<uint32_t>((start + i) % count) };
            if (index.fits(slot, request.size))
                return slot;
        }
        return {};
    }
};

static_assert(PlacementPolicy<BestFit> && PlacementPolicy<SpreadOverRacks> && PlacementPolicy<FirstFit> && PlacementPolicy<RandomFit>);

/// Places all of `count` equal tasks in as few racks as possible, or none. Returns a worker for each
/// task, or nothing; allocates no capacity.
std::vector<WorkerSlot> chooseGangWorkers(const CapacityIndex& index, const Resources& size, uint32_t count);

} // namespace eelgrassloft
