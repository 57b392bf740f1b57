#include "ready_steps.h"

#include "workspace_room.h"

#include <algorithm>
#include <utility>

namespace eelgrassloft {

namespace {

/// A job's result has no value to its caller after this multiple of its objective.
constexpr int lateLimitFactor = 3;

constexpr double sampleWeight = 0.02; ///< Of a job in the average work of its queue.

double workOf(const StepSpec& step) { return static_cast<double>(step.count) * step.size.processorMillis * static_cast<double>(step.estimate.count()); }

/// Estimated processor time of one occurrence of a job.
double totalWork(const WorkSpec& work)
{
    double total = 0;
    for (const StepSpec& step : work.steps)
        total += workOf(step);
    return total;
}

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

Duration criticalPathLength(const WorkSpec& work)
{
    Duration longest = Duration::zero();
    for (uint32_t first = 0; first < work.steps.size(); ++first) {
        if (work.steps[first].deps.empty())
            longest = std::max(longest, criticalPathLength(work, first));
    }
    return longest;
}

Duration objectiveOf(const QueueSpec& queue, const WorkSpec& work) { return scaled(criticalPathLength(work), queue.stretch) + queue.targetLatency; }

Duration lateLimitOf(const QueueSpec& queue, const WorkSpec& work) { return objectiveOf(queue, work) * lateLimitFactor; }

size_t ReadySteps::update(const WorkTable& table, Time now)
{
    size_t examined = 0;
    m_nextDue = never;
    const bool isNewConfig = std::exchange(m_configVersion, table.config().version) != table.config().version;
    auto position = m_jobs.begin();
    // Both are in the order of the keys.
    for (const JobKey key : table.openJobs()) {
        while (position != m_jobs.end() && position->first < key)
            position = m_jobs.erase(position);
        if (position == m_jobs.end() || position->first != key)
            position = m_jobs.insert(position, { key, { table.job(key) } });
        JobEntry& entry = position->second;
        const bool isCurrent = entry.changes == entry.job->changes && now < entry.nextDue;
        if (!isCurrent) {
            examine(entry, table.config(), now);
            ++examined;
        } else if (isNewConfig) {
            noteQuota(entry, table.config());
        }
        m_nextDue = std::min(m_nextDue, entry.nextDue);
        ++position;
    }
    m_jobs.erase(position, m_jobs.end());
    return examined;
}

bool ReadySteps::areDependenciesDone(const OccurrenceRecord& occurrence, const StepSpec& step)
{
    return std::all_of(step.deps.begin(), step.deps.end(), [&](uint32_t dep) { return occurrence.steps[dep].isDone(); });
}

void ReadySteps::examine(JobEntry& entry, const FleetConfig& config, Time now)
{
    const WorkJob& job = *entry.job;
    if (entry.changes == neverExamined) {
        entry.work = totalWork(job.work);
        double& usual = m_usualWork.try_emplace(job.queue.name, entry.work).first->second;
        usual += (entry.work - usual) * sampleWeight;
    }
    entry.changes = job.changes;
    entry.nextDue = never;
    entry.steps.clear();
    for (uint32_t i = 0; i < job.occurrences.size(); ++i) {
        const Time due = job.work.dueTime(i);
        if (due > now)
            entry.nextDue = std::min(entry.nextDue, due);
        else
            addOccurrence(entry, i, std::max(due, job.submittedAt));
    }
    noteQuota(entry, config);
}

void ReadySteps::noteQuota(JobEntry& entry, const FleetConfig& config)
{
    for (ReadyStep& step : entry.steps)
        step.canFitQuota = canEverFitQuota(config, step.job->workspace, step.spec());
}

/// Adds the steps of an occurrence that began at `begin`.
void ReadySteps::addOccurrence(JobEntry& entry, uint32_t index, Time begin)
{
    const WorkJob& job = *entry.job;
    const OccurrenceRecord& occurrence = job.occurrences[index];
    const double total = entry.work;
    const double usual = m_usualWork.at(job.queue.name);
    for (uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        const StepRecord& record = occurrence.steps[s];
        if (record.isDone() || !areDependenciesDone(occurrence, job.work.steps[s]))
            continue;
        ReadyStep step;
        for (uint32_t t = 0; t < record.tasks.size(); ++t) {
            if (record.tasks[t].phase == TaskPhase::Waiting && !record.tasks[t].isHeld())
                step.waiting.push_back(t);
        }
        if (step.waiting.empty())
            continue;
        step.job = &job;
        step.step = { job.key, index, s, 0 };
        const Duration allowed = objectiveOf(job);
        step.objective = begin + allowed;
        step.lateLimit = begin + allowed * lateLimitFactor;
        step.remainingCriticalPath = criticalPathLength(job.work, s);
        for (uint32_t later = s; later < job.work.steps.size(); ++later) {
            const StepSpec& other = job.work.steps[later];
            const uint32_t openTasks = other.count - std::min(other.count, occurrence.steps[later].doneCount);
            step.remainingWork += static_cast<double>(openTasks) * other.size.processorMillis * static_cast<double>(other.estimate.count());
        }
        step.jobWork = total;
        if (total > 0 && usual > 0) {
            step.relativeWork = total / usual;
            step.remainingShare = step.remainingWork / total;
        }
        addWaiting(entry, std::move(step));
    }
}

/// Adds the waiting tasks of a step, those that need isolation apart from the others.
void ReadySteps::addWaiting(JobEntry& entry, ReadyStep step)
{
    const auto& tasks = step.job->occurrences[step.step.occurrence].steps[step.step.step].tasks;
    if (std::none_of(tasks.begin(), tasks.end(), [](const WorkTask& task) { return task.isSuspect; })) {
        entry.steps.push_back(std::move(step));
        return;
    }
    const bool isGang = step.spec().isGang;
    const auto isSuspect = [&](uint32_t index) { return isGang || tasks[index].isSuspect; };
    ReadyStep suspects = step;
    suspects.isSuspect = true;
    std::erase_if(suspects.waiting, [&](uint32_t index) { return !isSuspect(index); });
    std::erase_if(step.waiting, isSuspect);
    for (ReadyStep* part : { &step, &suspects }) {
        if (!part->waiting.empty())
            entry.steps.push_back(std::move(*part));
    }
}

} // namespace eelgrassloft
