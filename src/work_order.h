#pragma once

#include "work_table.h"

#include <concepts>

namespace eelgrassloft {

/// A step of which tasks wait and may start.
struct ReadyStep {
    const WorkJob* job = nullptr;
    TaskRef step; ///< Its index is 0.
    std::vector<uint32_t> waiting; ///< Indices of its tasks that wait.
    Time objective {}; ///< By when the job should be done.
    Time lateLimit {}; ///< After this the job is worth nothing to its caller.
    Duration remainingCriticalPath {}; ///< Longest chain of work from this step on.
    double remainingWork = 0; ///< Processor-seconds of the job from this step on.

    const StepSpec& spec() const { return job->work.steps[step.step]; }
};

/// Order in which steps that wait get room; the lower key goes first.
template <typename T>
concept QueuePolicy = requires(const T order, const ReadyStep& step, Time now)
{
    {
        order.key(step, now)
        } -> std::totally_ordered;
};

/// Baseline: first come, first served within a priority.
struct ArrivalPolicy {
    using Key = std::pair<uint32_t, Time>;
    Key key(const ReadyStep& step, Time) const { return { step.job->queue.priority, step.job->submittedAt }; }
};

/// Answers bursts above the fleet's room. Priorities go first; what is past its limit, and so worth
/// nothing any more, goes behind everything else. Within a priority what can still meet its
/// objective goes before what is late: by the least slack among those in time, and by the least
/// work among the late, so that many are finished before their limit.
struct DeadlinePolicy {
    struct Key {
        bool isPastLimit = false;
        uint32_t priority = 0;
        bool isLate = false;
        double rank = 0;

        friend auto operator<=>(const Key&, const Key&) = default;
    };

    Key key(const ReadyStep& step, Time now) const
    {
        const Time earliest = now + step.remainingCriticalPath;
        const bool isLate = earliest > step.objective;
        const double slack = static_cast<double>((step.objective - earliest).count());
        return { earliest > step.lateLimit, step.job->queue.priority, isLate, isLate ? step.remainingWork : slack };
    }
};

} // namespace eelgrassloft
