#pragma once

#include "idempotency_table.h"
#include "task_table.h"

namespace eelgrassloft {

/// State machine of a data centre's log: idempotency records, jobs, tasks and workers.
struct DataCentreStateMachine {
    using Command = std::variant<ClaimKey, SettleKey, TaskCommand>;
    using Result = std::variant<ClaimResult, TaskCommandResult>;

    IdempotencyTable idempotencyRecords;
    TaskTable tasks;

    static constexpr auto members() { return std::make_tuple(&DataCentreStateMachine::idempotencyRecords, &DataCentreStateMachine::tasks); }

    Result apply(Time at, const Command& command);

    /// Size of the state, which determines the number of entries between snapshots.
    size_t recordCount() const { return idempotencyRecords.size() + tasks.tasks().size(); }

    /// Rebuilds derived state after decoding.
    void rebuild() { tasks.rebuild(); }
};

} // namespace eelgrassloft
