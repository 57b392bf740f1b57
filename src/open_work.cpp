#include "open_work.h"

#include <algorithm>
#include <limits>
#include <set>

namespace eelgrassloft {

namespace {

/// To which the end of a place in the order is rounded down, so that tasks of one size are summed up.
constexpr Duration aheadPrecision = std::chrono::milliseconds(250);

struct WaitingKey {
    Time aheadUntil {};
    std::string pool;
    bool isMostUrgent = false;
    uint32_t processorMillis = 0;
    uint32_t memoryMiB = 0;
    uint32_t accelerators = 0;

    friend auto operator<=>(const WaitingKey&, const WaitingKey&) = default;
};

bool needsNoSpecialRoom(const StepSpec& step)
{
    return !step.isGang && !step.isBestEffort && !step.isLongRunning && !step.maxPerWorker && step.label.empty();
}

/// Tasks that have not run before. Others may have less left than their estimate.
size_t newTasks(const ReadyStep& step)
{
    const auto& tasks = step.job->occurrences[step.step.occurrence].steps[step.step.step].tasks;
    return static_cast<size_t>(std::count_if(step.waiting.begin(), step.waiting.end(), [&](uint32_t index) { return !tasks[index].attempt; }));
}

std::set<std::string> workspacesWithQuota(const FleetConfig& config)
{
    std::set<std::string> names;
    for (const WorkspaceSpec& workspace : config.workspaces) {
        if (workspace.quota != Resources {})
            names.insert(workspace.name);
    }
    return names;
}

} // namespace

OpenWork summarizeOpenWork(const WorkTable& table, const std::map<WorkerNumber, WorkerView>& workerViews, const ReadySteps& readySteps, Time now)
{
    OpenWork openWork;
    openWork.at = now;
    openWork.isKnown = !workerViews.empty();
    for (const auto& [number, view] : workerViews) {
        openWork.isKnown = openWork.isKnown && (view.isSynced || view.isUnresponsive);
        if (!view.info.isLeaving && !view.hasEnded)
            openWork.pools[view.info.pool].processors += view.info.capacity.processorMillis / 1000.0;
    }
    const FleetConfig& config = table.config();
    std::map<std::string, const QueueSpec*> queues;
    openWork.mostUrgentPriority = std::numeric_limits<uint32_t>::max();
    for (const QueueSpec& queue : config.queues) {
        queues[queue.name] = &queue;
        openWork.mostUrgentPriority = std::min(openWork.mostUrgentPriority, queue.priority);
    }
    // Without shares, work of other priorities is ahead of no job for certain.
    const bool hasShares = std::any_of(config.workspaces.begin(), config.workspaces.end(), [](const WorkspaceSpec& workspace) { return workspace.weight > 0; });
    const std::set<std::string> limited = workspacesWithQuota(config);
    std::map<WaitingKey, OpenWork::Waiting, std::greater<>> sums;
    readySteps.forEach([&](const ReadyStep& step) {
        const StepSpec& spec = step.spec();
        const WorkJob& job = *step.job;
        const bool isMostUrgent = job.queue.priority == openWork.mostUrgentPriority;
        if (!isMostUrgent && !hasShares)
            return;
        const Time aheadUntil = step.lateLimit - step.remainingCriticalPath;
        const auto current = queues.find(job.queue.name);
        const QueueSpec& queue = current == queues.end() ? job.queue : *current->second;
        if (aheadUntil <= now || step.isSuspect || job.isBeyondShare || queue.advice || !needsNoSpecialRoom(spec) || limited.count(job.workspace))
            return;
        const Time rounded { aheadUntil.time_since_epoch() / aheadPrecision * aheadPrecision };
        OpenWork::Waiting& sum = sums[{ rounded, queue.service, isMostUrgent, spec.size.processorMillis, spec.size.memoryMiB, spec.size.accelerators }];
        sum.size = spec.size;
        sum.isMostUrgent = isMostUrgent;
        sum.aheadUntil = rounded;
        sum.processorSeconds += static_cast<double>(newTasks(step)) * spec.size.processorMillis / 1000.0 * std::chrono::duration<double>(spec.estimate).count();
        sum.longestRun = std::max(sum.longestRun, spec.estimate);
    });
    for (const auto& [key, sum] : sums)
        openWork.pools[key.pool].waiting.push_back(sum);
    return openWork;
}

} // namespace eelgrassloft
