#include "work_planner.h"

namespace eelgrassloft {

namespace {

/// A job's result has no value to its caller after this multiple of its objective.
constexpr int lateLimitFactor = 3;

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

Duration criticalPathLength(const WorkSpec& work, uint32_t from)
{
    // Steps depend only on earlier ones, so one forward pass finds the longest path from `from`.
    std::vector<Duration> chain(work.steps.size(), Duration::zero());
    Duration longest = work.steps[from].estimate;
    chain[from] = longest;
    for (size_t i = from + 1; i < work.steps.size(); ++i) {
        Duration before = Duration::zero();
        for (const uint32_t dep : work.steps[i].deps)
            before = std::max(before, chain[dep]);
        if (before == Duration::zero())
            continue;
        chain[i] = before + work.steps[i].estimate;
        longest = std::max(longest, chain[i]);
    }
    return longest;
}

Duration objectiveOf(const WorkJob& job)
{
    Duration chain = Duration::zero();
    for (uint32_t first = 0; first < job.work.steps.size(); ++first) {
        if (job.work.steps[first].deps.empty())
            chain = std::max(chain, criticalPathLength(job.work, first));
    }
    return scaled(chain, job.queue.stretch) + job.queue.targetLatency;
}

ReadySteps::ReadySteps(const WorkTable& table, const std::set<TaskRef>& inFlight, Time now)
{
    for (const JobKey key : table.openJobs())
        addJob(*table.job(key), inFlight, now);
}

bool ReadySteps::areDependenciesDone(const OccurrenceRecord& occurrence, const StepSpec& step)
{
    return std::all_of(step.deps.begin(), step.deps.end(), [&](uint32_t dep) { return occurrence.steps[dep].isDone(); });
}

void ReadySteps::addJob(const WorkJob& job, const std::set<TaskRef>& inFlight, Time now)
{
    for (uint32_t i = 0; i < job.occurrences.size(); ++i) {
        const OccurrenceRecord& occurrence = job.occurrences[i];
        const Time due = job.work.dueTime(i);
        if (due > now) {
            m_nextDue = std::min(m_nextDue, due);
            continue;
        }
        const Time begin = std::max(due, job.submittedAt);
        for (uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            const StepSpec& spec = job.work.steps[s];
            if (occurrence.steps[s].isDone() || !areDependenciesDone(occurrence, spec))
                continue;
            ReadyStep step;
            step.job = &job;
            step.step = { job.key, i, s, 0 };
            for (uint32_t t = 0; t < occurrence.steps[s].tasks.size(); ++t) {
                const bool isWaiting = occurrence.steps[s].tasks[t].phase == TaskPhase::Waiting;
                if (isWaiting && !inFlight.count({ job.key, i, s, t }))
                    step.waiting.push_back(t);
            }
            if (step.waiting.empty())
                continue;
            const Duration allowed = objectiveOf(job);
            step.objective = begin + allowed;
            step.lateLimit = begin + allowed * lateLimitFactor;
            step.remainingCriticalPath = criticalPathLength(job.work, s);
            step.remainingWork = 0;
            for (uint32_t later = s; later < job.work.steps.size(); ++later) {
                const StepSpec& other = job.work.steps[later];
                step.remainingWork += static_cast<double>(other.count) * other.size.processorMillis * static_cast<double>(other.estimate.count());
            }
            m_steps.push_back(std::move(step));
        }
    }
}

} // namespace eelgrassloft
