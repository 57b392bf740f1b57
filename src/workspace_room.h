#pragma once

#include "work_table.h"

namespace eelgrassloft {

/// What the workspaces may still start within their quotas, during one plan.
class WorkspaceRoom {
public:
    WorkspaceRoom() = default;
    /// `inFlight` are tasks whose placement is proposed but not yet part of the ledger.
    WorkspaceRoom(const WorkTable& table, const std::set<TaskRef>& inFlight);

    /// Number of the step's tasks that the job's workspace may still start, at most `wanted`.
    uint32_t taskCapacity(const WorkJob& job, const StepSpec& step, uint32_t wanted) const;
    /// Takes room for tasks that the plan places.
    void take(const WorkJob& job, const StepSpec& step, uint32_t tasks);

private:
    struct Room {
        Resources quota; ///< 0 in a dimension: no limit.
        ResourceTotals used;
    };

    std::map<std::string, Room> m_rooms; ///< Of the workspaces with a quota.
};

/// Whether the step can run within the quota: a task of it, or all of its tasks if they are a gang.
bool canEverFitQuota(const FleetConfig& config, const std::string& workspace, const StepSpec& step);

} // namespace eelgrassloft
