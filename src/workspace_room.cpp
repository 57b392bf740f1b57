#include "workspace_room.h"

#include <algorithm>

namespace eelgrassloft {

namespace {

bool hasQuota(const WorkspaceSpec& workspace) { return workspace.quota != Resources {}; }

uint32_t tasksWithin(uint64_t quota, uint64_t used, uint64_t size, uint32_t wanted)
{
    if (!quota || !size)
        return wanted;
    return static_cast<uint32_t>(std::min<uint64_t>(wanted, used < quota ? (quota - used) / size : 0));
}

uint32_t tasksWithin(const Resources& quota, const ResourceTotals& used, const Resources& size, uint32_t wanted)
{
    wanted = tasksWithin(quota.processorMillis, used.processorMillis, size.processorMillis, wanted);
    wanted = tasksWithin(quota.memoryMiB, used.memoryMiB, size.memoryMiB, wanted);
    return tasksWithin(quota.accelerators, used.accelerators, size.accelerators, wanted);
}

} // namespace

WorkspaceRoom::WorkspaceRoom(const WorkTable& table, const std::set<TaskRef>& inFlight)
{
    for (const WorkspaceSpec& workspace : table.config().workspaces) {
        if (hasQuota(workspace))
            m_rooms[workspace.name] = { workspace.quota, table.ledger().used(workspace.name) };
    }
    if (m_rooms.empty())
        return;
    for (const TaskRef& task : inFlight) {
        const WorkJob* job = table.job(task.job);
        if (job && task.step < job->work.steps.size())
            take(*job, job->work.steps[task.step], 1);
    }
}

uint32_t WorkspaceRoom::taskCapacity(const WorkJob& job, const StepSpec& step, uint32_t wanted) const
{
    if (job.workspace.empty())
        return wanted;
    const auto found = m_rooms.find(job.workspace);
    return found == m_rooms.end() ? wanted : tasksWithin(found->second.quota, found->second.used, step.size, wanted);
}

void WorkspaceRoom::take(const WorkJob& job, const StepSpec& step, uint32_t tasks)
{
    const auto found = m_rooms.find(job.workspace);
    if (found != m_rooms.end())
        found->second.used.add(step.size, tasks);
}

bool canEverFitQuota(const FleetConfig& config, const std::string& workspace, const StepSpec& step)
{
    const WorkspaceSpec* spec = config.workspace(workspace);
    const uint32_t needed = step.isGang ? step.count : 1;
    return !spec || tasksWithin(spec->quota, {}, step.size, needed) == needed;
}

} // namespace eelgrassloft
