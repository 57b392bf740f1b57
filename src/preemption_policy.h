#pragma once

#include "queue_policy.h"
#include "worker_view.h"

#include <algorithm>
#include <concepts>
#include <span>

namespace eelgrassloft {

/// A gang for which runs could be stopped.
struct PreemptingGang {
    uint32_t priority = 0; ///< Of the job's queue.
    bool isBeyondShare = false; ///< Whether the job is beyond the share of its workspace.
    double work = 0; ///< Estimated processor time of the whole job, in processors times `Duration`.
    double relativeWork = 1; ///< Against the usual one of its queue.
    Duration criticalPath {}; ///< Of the job from the gang on.
    Time objective {};
    Time lateLimit {};
};

/// A run that would be stopped.
struct PreemptionVictim {
    uint32_t priority = 0;
    bool isBeyondShare = false;
    double processors = 0;
    Duration lostTime {}; ///< Time at work that has to be repeated, or in which its capacity does nothing.
};

/// What a preemption is decided by.
struct PreemptionCase {
    PreemptingGang gang;
    Time startsAt {}; ///< Of the gang once the victims have been stopped.
    Time startsAtWithout = never; ///< Of the gang if it waits for capacity.
    std::span<const PreemptionVictim> victims;
};

/// Decides whether runs are stopped for a gang that would have to wait for longer than its patience.
template <typename T>
concept PreemptionPolicy = requires(const T policy, const PreemptionCase& preemption)
{
    {
        policy.isWorthwhile(preemption)
        } -> std::same_as<bool>;
};

/// Baseline: every gang that would have to wait for too long.
struct AlwaysPreempt {
    bool isWorthwhile(const PreemptionCase&) const { return true; }
};

/// Policy for floods of gangs beyond their workspace's share, which otherwise keep stopping the owed work of
/// others, so that it never ends: a gang beyond its share stops no owed runs, unless it would never start otherwise.
struct SharePreemption {
    bool isWorthwhile(const PreemptionCase& preemption) const
    {
        const auto isOwed = [](const PreemptionVictim& victim) { return !victim.isBeyondShare; };
        const bool takesOwed = preemption.gang.isBeyondShare && std::any_of(preemption.victims.begin(), preemption.victims.end(), isOwed);
        return !takesOwed || preemption.startsAtWithout == never;
    }
};

/// Policy for fleets that are full of patient work, where gangs would stop it again and again for a start
/// that their callers do not need yet, or no longer. Runs are stopped only if the value that the gang gains by the
/// earlier start exceeds that of the work that they lose, both with the weights of `TardinessCostPolicy`.
/// A gang that would never start otherwise may stop them in any case, as accepted work has to end, and so may
/// one without estimates, whose gain is not known. Shares count as for `SharePreemption`.
struct ValuePreemption {
    bool isWorthwhile(const PreemptionCase& preemption) const
    {
        const PreemptingGang& gang = preemption.gang;
        if (preemption.victims.empty() || preemption.startsAtWithout == never)
            return true;
        if (!SharePreemption().isWorthwhile(preemption))
            return false;
        return gang.work <= 0 || gain(preemption) > loss(preemption.victims);
    }

    /// What the gang's result is worth more to its caller, in weighted processor time.
    static double gain(const PreemptionCase& preemption)
    {
        const PreemptingGang& gang = preemption.gang;
        const double value = TardinessCostPolicy::priorityWeight(gang.priority) * TardinessCostPolicy::valueOfWork(gang.relativeWork) / gang.relativeWork * gang.work;
        return value * (remainingValue(gang, preemption.startsAt) - remainingValue(gang, preemption.startsAtWithout));
    }

    /// What the work of the victims that is thrown away was worth.
    static double loss(std::span<const PreemptionVictim> victims)
    {
        double sum = 0;
        for (const PreemptionVictim& victim : victims)
            sum += TardinessCostPolicy::priorityWeight(victim.priority) * victim.processors * static_cast<double>(victim.lostTime.count());
        return sum;
    }

private:
    /// Part of the result's value that is expected to be left if the gang starts at the given time.
    static double remainingValue(const PreemptingGang& gang, Time start)
    {
        const Time end = start + gang.criticalPath;
        return TardinessCostPolicy::lateValue * chance(gang, gang.lateLimit - end) + (1 - TardinessCostPolicy::lateValue) * chance(gang, gang.objective - end);
    }

    /// Chance to meet a limit with the given slack. Estimates are rough, so that the end may be earlier or later.
    static double chance(const PreemptingGang& gang, Duration slack)
    {
        const double uncertainty = std::max(static_cast<double>(gang.criticalPath.count()) * uncertainPart, 1.0);
        return std::clamp(0.5 + static_cast<double>(slack.count()) / (2 * uncertainty), 0.0, 1.0);
    }

    static constexpr double uncertainPart = 0.5; ///< Of the critical path, by which the gang may end earlier or later.
};

static_assert(PreemptionPolicy<AlwaysPreempt> && PreemptionPolicy<SharePreemption> && PreemptionPolicy<ValuePreemption>);

/// Expected time to restore a run from its checkpoint, which workers do not report.
inline constexpr Duration restoreTime = std::chrono::milliseconds(600);

/// What a run loses if it is stopped now: its work so far if it has stored no checkpoint, and the times to stop
/// and to restore it.
inline PreemptionVictim victimOf(const RunView& run, bool isBeyondShare, Time now)
{
    const bool isAtWork = run.checkpoint.empty() && run.confirmedAt != Time {};
    const Duration atWork = isAtWork ? std::max(now - run.confirmedAt, Duration {}) : Duration {};
    return { run.priority, isBeyondShare, run.size.processorMillis / 1000.0, atWork + config::preemptionTime + restoreTime };
}

} // namespace eelgrassloft
