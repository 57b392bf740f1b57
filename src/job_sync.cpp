#include "job_sync.h"

namespace eelgrassloft {

SyncJobs jobSyncCommand(const CellStateMachine& cell, const TaskTable& tasks, const std::string& dataCentre)
{
    SyncJobs command;
    command.cellRevision = cell.revision;
    for (const auto& [jobName, job] : cell.jobs) {
        if (job.homeDataCentre == dataCentre && job.revision > tasks.cellRevision())
            command.setJobs.push_back(job.spec);
    }
    for (const auto& [jobName, job] : tasks.jobs()) {
        const auto wanted = cell.jobs.find(jobName);
        if (!job.isRemoved && (wanted == cell.jobs.end() || wanted->second.homeDataCentre != dataCentre))
            command.removeJobs.push_back(jobName);
    }
    for (const auto& [team, quota] : cell.teams) {
        const Resources* known = tasks.quota(team);
        if (!known || *known != quota.limit)
            command.setTeams.push_back(quota);
    }
    for (const auto& [team, quota] : tasks.teams()) {
        if (!cell.teams.contains(team))
            command.removeTeams.push_back(team);
    }
    return command;
}

} // namespace eelgrassloft
