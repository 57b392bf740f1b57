#pragma once

#include "cell_state_machine.h"
#include "task_table.h"

namespace eelgrassloft {

/// Command that brings the jobs and quotas of one data centre up to the cell's manifest.
SyncJobs jobSyncCommand(const CellStateMachine& cell, const TaskTable& tasks, const std::string& dataCentre);

} // namespace eelgrassloft
