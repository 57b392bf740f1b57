#pragma once

#include "worker_view.h"

#include <concepts>
#include <optional>

namespace eelgrassloft {

/// Expects when runs end and free their capacity.
template <typename T>
concept RunForecast = requires(const T forecast, const RunView& run, double workerSpeed, Time now)
{
    {
        forecast.endOf(run, workerSpeed, now)
        } -> std::same_as<Time>;
};

/// Baseline: all runs end together, at an unknown time. Workers have to become empty for what does not
/// fit now.
struct UnknownForecast {
    Time endOf(const RunView& run, double, Time now) const { return run.isLongRunning ? never : now + std::chrono::hours(1); }
};

/// Policy for full fleets, where some capacity becomes free all the time: the run's end by the progress
/// that its worker reports, or by its estimate, which may be far off, and the speed of its worker until there
/// is some. A run that
/// takes longer than expected is expected to take half as long again as it is overdue.
struct ProgressForecast {
    Time endOf(const RunView& run, double workerSpeed, Time now) const
    {
        const std::optional<Duration> expected = leftAtProgress(run, workerSpeed);
        if (run.isLongRunning || !expected)
            return UnknownForecast().endOf(run, workerSpeed, now);
        const Time since = run.isReported ? run.progressAt : run.confirmedAt == Time {} ? now
                                                                                        : run.confirmedAt;
        const Duration left = since + *expected - now;
        return now + std::max(left, -left / 2);
    }

private:
    /// Time that the run had left when its progress last changed.
    static std::optional<Duration> leftAtProgress(const RunView& run, double workerSpeed)
    {
        const auto left = static_cast<Duration::rep>(100 - std::min(run.percent, 100U));
        if (run.percent > run.firstPercent && run.progressAt > run.reportedSince)
            return (run.progressAt - run.reportedSince) * left / static_cast<Duration::rep>(run.percent - run.firstPercent);
        if (run.estimate > Duration::zero())
            return std::chrono::duration_cast<Duration>(run.estimate * left / 100 / workerSpeed);
        return std::nullopt;
    }
};

static_assert(RunForecast<UnknownForecast> && RunForecast<ProgressForecast>);

} // namespace eelgrassloft
