#include "job_admission.h"

#include "random.h"

#include <algorithm>

namespace eelgrassloft {

namespace {

constexpr int jitterSteps = 1000;

/// Work that is certain to go ahead of a job.
enum class WorkAhead : uint8_t {
    None,
    MostUrgent, ///< Owed work of the most urgent priority.
    AllOwed,
    Count
};

WorkAhead workAheadOf(const JobToAdmit& job, const OpenWork& openWork)
{
    const bool isMostUrgent = job.queue.priority <= openWork.mostUrgentPriority;
    if (job.isBeyondShare)
        return isMostUrgent ? WorkAhead::MostUrgent : WorkAhead::AllOwed;
    return isMostUrgent ? WorkAhead::None : WorkAhead::MostUrgent;
}

/// Whether the job must not be refused, or its place in the order is not certain: a gang may reserve
/// workers and preempt runs.
bool isExempt(const WorkSpec& work)
{
    return work.repeats > 0 || work.steps.empty() || std::any_of(work.steps.begin(), work.steps.end(), [](const StepSpec& step) { return step.isLongRunning || step.isGang; });
}

/// Whether a task of this size fits on a worker whenever any task of the job's first steps does, so that
/// it takes the room if it goes ahead.
bool takesRoomOf(const Resources& size, const WorkSpec& work)
{
    return std::all_of(work.steps.begin(), work.steps.end(), [&](const StepSpec& step) { return !step.deps.empty() || (!step.isBestEffort && size.fitsIn(step.size)); });
}

Duration seconds(double count) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count)); }

struct Start {
    Time at {}; ///< Lower bound of the job's first start.
    double processorSeconds = 0; ///< Of the work ahead that the bound counts.
};

/// The work ahead has started by the time at which the job does. All that started is done by then, but what
/// one run at a time on the whole pool leaves. Work ahead counts only while it keeps its place, so that its
/// end bounds what it adds.
Start earliestStart(const JobToAdmit& job, const OpenWork& openWork, const OpenWork::Pool& pool, WorkAhead ahead, Time now)
{
    Start start { now, 0 };
    Duration longestRun {};
    for (const OpenWork::Waiting& waiting : pool.waiting) {
        if (start.at >= waiting.aheadUntil)
            break;
        if ((ahead == WorkAhead::MostUrgent && !waiting.isMostUrgent) || !takesRoomOf(waiting.size, job.work))
            continue;
        start.processorSeconds += waiting.processorSeconds;
        longestRun = std::max(longestRun, waiting.longestRun);
        const Time done = openWork.at + seconds(start.processorSeconds / pool.processors) - longestRun;
        start.at = std::max(start.at, std::min(done, waiting.aheadUntil));
    }
    return start;
}

Duration comeBackAfter(Duration wait, JobKey key)
{
    const Duration bounded = std::clamp(wait, config::minOverloadRetryAfter, config::maxOverloadRetryAfter);
    return bounded + bounded / 2 * static_cast<Duration::rep>(mixHash(key.value) % jitterSteps) / jitterSteps;
}

} // namespace

AdmissionDecision AcceptAllAdmission::decide(const JobToAdmit& job, const OpenWork&, Time now) const
{
    AdmissionDecision decision;
    decision.forecastEnd = now + criticalPathLength(job.work);
    decision.lateLimit = now + lateLimitOf(job.queue, job.work);
    return decision;
}

AdmissionDecision ForecastAdmission::decide(const JobToAdmit& job, const OpenWork& openWork, Time now) const
{
    AdmissionDecision decision = AcceptAllAdmission().decide(job, openWork, now);
    const auto pool = openWork.pools.find(job.queue.service);
    const WorkAhead ahead = workAheadOf(job, openWork);
    if (!openWork.isKnown || pool == openWork.pools.end() || pool->second.processors <= 0 || ahead == WorkAhead::None || isExempt(job.work))
        return decision;
    const Start start = earliestStart(job, openWork, pool->second, ahead, now);
    const Time limit = decision.lateLimit;
    decision.forecastEnd += start.at - now;
    decision.processorSecondsAhead = start.processorSeconds;
    decision.processors = pool->second.processors;
    // Without a wait there is no time to come back at which the job would fare better.
    if (start.at == now || decision.forecastEnd - now <= (limit - now) * limitFactor)
        return decision;
    decision.refusal = ahead == WorkAhead::MostUrgent ? AdmissionRefusal::BehindUrgentWork : AdmissionRefusal::BehindOwedWork;
    decision.comeBack = comeBackAfter(decision.forecastEnd - limit, job.key);
    return decision;
}

} // namespace eelgrassloft
