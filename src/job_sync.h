#pragma once

#include "cell_machine.h"
#include "task_table.h"

namespace eelgrassloft {

/// What a data centre's tasks need to follow the cell's sheet.
SyncJobs jobSyncCommand(const CellMachine& cell, const TaskTable& tasks, const std::string& dataCentre);

} // namespace eelgrassloft
