#pragma once

#include "claim_table.h"
#include "task_table.h"

namespace eelgrassloft {

/// State behind the log of a data centre: records of idempotency keys, jobs, tasks and workers.
struct DataCentreStateMachine {
    using Command = std::variant<ClaimKey, SettleKey, TaskCommand>;
    using Result = std::variant<ClaimResult, TaskCommandResult>;

    IdempotencyTable claims;
    TaskTable tasks;

    static constexpr auto members() { return std::make_tuple(&DataCentreStateMachine::claims, &DataCentreStateMachine::tasks); }

    Result apply(Time at, const Command& command);

    /// Size of the state, for the distance between snapshots.
    size_t recordCount() const { return claims.size() + tasks.tasks().size(); }

    /// Restores derived state after decoding.
    void rebuild() { tasks.rebuild(); }
};

} // namespace eelgrassloft
