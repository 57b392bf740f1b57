#pragma once

#include "work_table.h"

#include <algorithm>
#include <cmath>
#include <concepts>

namespace eelgrassloft {

/// A step with waiting tasks that can start.
struct ReadyStep {
    const WorkJob* job = nullptr;
    TaskRef step; ///< With task index 0.
    std::vector<uint32_t> waiting; ///< Indices of the waiting tasks.
    bool isSuspect = false; ///< Whether the tasks need isolation. A step with tasks of both kinds is listed twice.
    Time objective {}; ///< When the job should be done.
    Time lateLimit {}; ///< When the job's result loses its value to the caller.
    Duration remainingCriticalPath {}; ///< Critical path of the job from this step on.
    double remainingWork = 0; ///< Estimated processor time of the job's tasks from this step on that are not done; only compared.
    double jobWork = 0; ///< Estimated processor time of the whole job.
    double relativeWork = 1; ///< Estimated processor time of the whole job against the usual one of its queue.
    double remainingShare = 1; ///< Part of the job's work that `remainingWork` is.
    bool canFitQuota = true; ///< Whether the step can ever run within the quota of its workspace.

    const StepSpec& spec() const { return job->work.steps[step.step]; }
};

/// What the place of a step in the order depends on beside the step itself.
struct OrderContext {
    Time now {};
    uint32_t mostUrgentPriority = 0; ///< Of the configured queues.
    bool hasUrgentBeyondShare = false; ///< Whether steps of that priority wait that are beyond the share of their workspace.
    bool hasReservation = false; ///< Whether workers are reserved for the step, which is a gang.
};

/// Order in which waiting steps are placed: lowest key first.
template <typename T>
concept QueuePolicy = requires(const T policy, const ReadyStep& step, const OrderContext& context)
{
    {
        policy.key(step, context)
        } -> std::totally_ordered;
};

/// Baseline policy: first come, first served within a priority.
struct ArrivalPolicy {
    using Key = std::pair<uint32_t, Time>;
    Key key(const ReadyStep& step, const OrderContext&) const { return { step.job->queue.priority, step.job->submittedAt }; }
};

/// Policy for bursts beyond the fleet's capacity. Jobs past their late limit have lost their value
/// and go last; the others go by priority. Within a priority, jobs that can still meet their
/// objective go first, by least slack; late jobs follow by least remaining work, so that as many as
/// possible finish before their limit.
struct DeadlinePolicy {
    struct Key {
        bool isPastLimit = false;
        uint32_t priority = 0;
        bool isLate = false;
        double rank = 0;

        friend auto operator<=>(const Key&, const Key&) = default;
    };

    Key key(const ReadyStep& step, const OrderContext& context) const
    {
        const Time earliest = context.now + step.remainingCriticalPath;
        const bool isLate = earliest > step.objective;
        const double slack = static_cast<double>((step.objective - earliest).count());
        return { earliest > step.lateLimit, step.job->queue.priority, isLate, isLate ? step.remainingWork : slack };
    }
};

/// Policy for overload that outlasts the slack of large jobs, which `DeadlinePolicy` puts behind all
/// smaller late ones until their results have lost their value. A late job goes first again once its
/// late limit is near.
struct LastChancePolicy {
    enum class Chance : uint8_t {
        Last, ///< Late, and soon past its limit.
        InTime,
        Late,
        Count
    };

    struct Key {
        bool isPastLimit = false;
        uint32_t priority = 0;
        Chance chance = Chance::InTime;
        double rank = 0;

        friend auto operator<=>(const Key&, const Key&) = default;
    };

    Key key(const ReadyStep& step, const OrderContext& context) const
    {
        const Time earliest = context.now + step.remainingCriticalPath;
        const auto rank = [](Duration slack) { return static_cast<double>(slack.count()); };
        const uint32_t priority = step.job->queue.priority;
        if (earliest <= step.objective)
            return { false, priority, Chance::InTime, rank(step.objective - earliest) };
        if (earliest > step.lateLimit)
            return { true, priority, Chance::Late, step.remainingWork };
        const Duration slack = step.lateLimit - earliest;
        if (slack <= (step.lateLimit - step.objective) / lastChanceDivisor)
            return { false, priority, Chance::Last, rank(slack) };
        return { false, priority, Chance::Late, step.remainingWork };
    }

private:
    static constexpr int lastChanceDivisor = 4; ///< Of the time between the objective and the late limit.
};

/// Parts of the order of `TardinessCostPolicy`.
enum class OrderGroup : uint8_t {
    MostUrgent, ///< Owed, of the most urgent priority.
    Pressing, ///< Owed and soon past a limit, while urgent steps beyond a share wait.
    UrgentBeyondShare, ///< Of the most urgent priority.
    Reserved, ///< Owed gangs with a reservation, so that smaller steps do not take what becomes free for them.
    Others,
    PastLimit,
    Count
};

constexpr NameTable<OrderGroup> nameTable(OrderGroup)
{
    constexpr NameTable<OrderGroup> table { "most-urgent", "pressing", "urgent-beyond-share", "reserved", "others", "past-limit" };
    static_assert(detail::isComplete<OrderGroup>(table));
    return table;
}

/// Policy for overload by several queues at once, where strict priorities let the last one pay for the
/// bursts of all others. Orders by apparent tardiness cost (Vepsalainen and Morton, 1987): what the caller
/// loses if the job misses its next limit, for the work that it still needs, discounted while there is
/// slack. A caller's loss grows with the job's work, but part of it is the same for every job of a queue.
/// What is beyond its workspace's share goes behind all that is owed, and jobs that have lost their value
/// go last. No job waits for ever: the cost of one rises until its late limit, and those past it go by their
/// remaining work.
struct TardinessCostPolicy {
    struct Key {
        OrderGroup group = OrderGroup::Others;
        bool isBeyondShare = false;
        double rank = 0;

        friend auto operator<=>(const Key&, const Key&) = default;
    };

    Key key(const ReadyStep& step, const OrderContext& context) const
    {
        const Time earliest = context.now + step.remainingCriticalPath;
        const bool isBeyondShare = step.job->isBeyondShare;
        if (earliest > step.lateLimit)
            return { OrderGroup::PastLimit, isBeyondShare, step.remainingWork };
        const bool isInTime = earliest <= step.objective;
        const Time limit = isInTime ? step.objective : step.lateLimit;
        const bool isLastChance = !isInTime && limit - earliest <= (step.lateLimit - step.objective) / lastChanceDivisor;
        const double value = (isInTime || isLastChance ? 1 : lateValue) * priorityWeight(step.job->queue.priority) * valueOfWork(step.relativeWork);
        const double work = std::max(step.relativeWork * step.remainingShare, leastWork);
        const double slack = std::chrono::duration<double>(limit - earliest).count();
        const double horizon = lookahead * std::chrono::duration<double>(std::max(step.remainingCriticalPath, shortestPath)).count();
        return { groupInTime(step, context), isBeyondShare, -value / work * std::exp(-slack / horizon) };
    }

    /// Each priority stands out less from the next one than the one before it.
    static double priorityWeight(uint32_t priority) { return 1 + urgencyGain / ((1.0 + priority) * (1.0 + priority)); }

    /// Value of a job's result against that of a usual one of its queue, by its work against the usual one.
    static double valueOfWork(double relativeWork) { return baseValue + (1 - baseValue) * relativeWork; }

    static constexpr double lateValue = 0.25; ///< Of a result after its objective, against one in time.

private:
    /// Group of a step that can be done before its late limit.
    static OrderGroup groupInTime(const ReadyStep& step, const OrderContext& context)
    {
        const bool isOwed = !step.job->isBeyondShare;
        if (step.job->queue.priority == context.mostUrgentPriority)
            return isOwed ? OrderGroup::MostUrgent : OrderGroup::UrgentBeyondShare;
        if (!isOwed)
            return OrderGroup::Others;
        if (context.hasUrgentBeyondShare && isPressing(step, context.now))
            return OrderGroup::Pressing;
        return context.hasReservation ? OrderGroup::Reserved : OrderGroup::Others;
    }

    /// Whether the step has little slack left until its next limit.
    static bool isPressing(const ReadyStep& step, Time now)
    {
        const Time earliest = now + step.remainingCriticalPath;
        const Time limit = earliest <= step.objective ? step.objective : step.lateLimit;
        return limit - earliest <= (step.lateLimit - step.objective) / pressingDivisor;
    }

    static constexpr double baseValue = 0.2; ///< Part of a usual job's value that does not depend on its work.
    static constexpr int lastChanceDivisor = 4; ///< Of the time between the objective and the late limit, in whose last part a late job counts in full.
    static constexpr int pressingDivisor = 8; ///< Of the same time. A quarter of the time allowed leaves enough to wait for capacity.
    static constexpr double leastWork = 0.02; ///< Against the usual work of a queue; estimates may be far too low.
    static constexpr double lookahead = 12; ///< Slack, in critical paths, at which the cost is 1/e of that without slack.
    static constexpr double urgencyGain = 9; ///< By which a job of priority 0 counts more than one of the lowest priority.
    static constexpr Duration shortestPath = std::chrono::milliseconds(100);
};

} // namespace eelgrassloft
