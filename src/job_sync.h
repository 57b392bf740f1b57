#pragma once

#include "cell_state_machine.h"
#include "task_table.h"

namespace eelgrassloft {

/// The difference between the cell's manifest and the jobs and quotas of one data centre.
SyncJobs jobSyncCommand(const CellStateMachine& cell, const TaskTable& tasks, const std::string& dataCentre);

} // namespace eelgrassloft
