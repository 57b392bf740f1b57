#pragma once

#include "capacity_view.h"
#include "queue_policy.h"

#include <algorithm>
#include <concepts>

namespace eelgrassloft {

/// Weighs the workers that fit a task, beside the room that it would leave there. `slack` is asked once for a
/// step, `cost` for each worker, in remaining fractions of a worker; the lowest sum wins.
/// `allowance` is the part of a worker's capacity that may be in use.
template <typename T>
concept WorkerPreference = requires(const T preference, const CapacityView::Worker& worker, const WorkerView& view, const ReadyStep& step, Time now, double slack, bool isRoomLacking)
{
    {
        preference.slack(step, now)
        } -> std::same_as<double>;
    {
        preference.cost(worker, slack)
        } -> std::same_as<double>;
    {
        preference.allowance(view, now, isRoomLacking)
        } -> std::same_as<double>;
};

/// Baseline: best fit alone.
struct BestFitPreference {
    double slack(const ReadyStep&, Time) const { return 0; }
    double cost(const CapacityView::Worker&, double) const { return 0; }
    double allowance(const WorkerView&, Time, bool) const { return 1; }
};

/// Policy for fleets whose workers differ in speed or crash again and again: a step avoids workers on which it would be late, and
/// patient steps prefer slow ones, which keeps the fast ones free. Best fit remains the main term, as what is
/// left in pieces on many workers has no room for a gang. A worker that crashed or lost runs gets less for a while.
struct UnevenFleetPreference {
    /// How many times as long as on a usual worker the rest of the job may take.
    double slack(const ReadyStep& step, Time now) const
    {
        const double path = seconds(step.remainingCriticalPath);
        if (path <= 0)
            return neutralSlack;
        if (now >= step.lateLimit)
            return maxSlack;
        const double toObjective = seconds(step.objective - now) / path;
        return std::clamp(toObjective < lostSlack ? seconds(step.lateLimit - now) / path : toObjective, lostSlack, maxSlack);
    }

    double cost(const CapacityView::Worker& worker, double slack) const
    {
        const double relativeTime = 1 / worker.speed;
        const double lateness = std::clamp((relativeTime / slack - safePart) / (latePart - safePart), 0.0, 1.0);
        const double patience = std::clamp((slack - neutralSlack) / neutralSlack, -1.0, 1.0);
        return lateWeight * lateness - slowWeight * patience * std::clamp(relativeTime - 1, -1.0, 1.0) + restraintCost(worker);
    }

    double allowance(const WorkerView& view, Time now, bool isRoomLacking) const { return view.restraint.allowance(now, isRoomLacking); }

private:
    /// Work goes to a restrained worker last, as it may be lost there.
    static double restraintCost(const CapacityView::Worker& worker)
    {
        if (!worker.withheld.processorMillis)
            return 0;
        return restraintWeight * worker.withheld.processorMillis / worker.view->info.capacity.processorMillis;
    }

    static double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    static constexpr double lateWeight = 0.6;
    static constexpr double slowWeight = 0.2;
    static constexpr double restraintWeight = 1;
    static constexpr double neutralSlack = 2; // Less than this calls for a fast worker, more allows for a slow one.
    static constexpr double lostSlack = 0.7; // With less, no worker meets the objective; the late limit is next.
    static constexpr double maxSlack = 10;
    // Estimates are rough: a run may be late if it takes more than the safe part of the time left.
    static constexpr double safePart = 0.8;
    static constexpr double latePart = 1.2;
};

static_assert(WorkerPreference<BestFitPreference> && WorkerPreference<UnevenFleetPreference>);

} // namespace eelgrassloft
