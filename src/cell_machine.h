#pragma once

#include "eelgrassloft/job.h"

#include <map>
#include <string>

namespace eelgrassloft {

/// Change of the cell's sheet, checked against the revision on which it was made.
struct ApplyChange {
    std::string operationId; ///< Names the operator's call; a resend carries the same one.
    std::optional<uint64_t> expectRevision;
    ManifestDiff change;
    std::vector<std::string> homeDataCentres; ///< Data centre of each of `change.setJobs`.

    static constexpr auto members()
    {
        return std::make_tuple(&ApplyChange::operationId, &ApplyChange::expectRevision, &ApplyChange::change, &ApplyChange::homeDataCentres);
    }
};

enum class ChangeStatus : uint8_t {
    Accepted,
    Unchanged, ///< The sheet was in force already.
    Repeated, ///< The operation was accepted before; its first answer is given again.
    Conflict, ///< Another change has taken the revision.
    Count
};

constexpr NameTable<ChangeStatus> nameTable(ChangeStatus)
{
    constexpr NameTable<ChangeStatus> table { "accepted", "unchanged", "repeated", "conflict" };
    return table;
}

struct ChangeResult {
    ChangeStatus status = ChangeStatus::Accepted;
    uint64_t revision = 0; ///< Accepted, Repeated: the operation's; Conflict: the one in force.
    std::string winningOperation; ///< Conflict: operation that made the revision in force.

    static constexpr auto members()
    {
        return std::make_tuple(&ChangeResult::status, &ChangeResult::revision, &ChangeResult::winningOperation);
    }
};

/// A job of the sheet with its home.
struct CellJob {
    JobSpec spec;
    std::string homeDataCentre;
    uint64_t revision = 0; ///< That last changed it.

    static constexpr auto members() { return std::make_tuple(&CellJob::spec, &CellJob::homeDataCentre, &CellJob::revision); }
};

/// State behind the cell's log: the sheet in force and the operations that made it.
struct CellStateMachine {
    using Command = std::variant<ApplyChange>;
    using Result = ChangeResult;

    uint64_t revision = 0;
    std::string lastOperation;
    std::map<std::string, TeamQuota> teams;
    std::map<std::string, ServiceLimits> services;
    std::map<std::string, CellJob> jobs;
    std::map<std::string, uint64_t> operations; ///< Revision of each remembered operation.
    std::map<uint64_t, std::string> operationOrder; ///< By arrival, oldest first.
    uint64_t operationCount = 0;

    static constexpr auto members()
    {
        return std::make_tuple(&CellStateMachine::revision, &CellStateMachine::lastOperation, &CellStateMachine::teams,
            &CellStateMachine::services, &CellStateMachine::jobs, &CellStateMachine::operations, &CellStateMachine::operationOrder,
            &CellStateMachine::operationCount);
    }

    Result apply(Time at, const Command& command);

    /// Size of the state, for the distance between snapshots.
    size_t recordCount() const { return jobs.size() + operations.size(); }

    /// The sheet in force.
    Manifest manifest() const;

    /// What would have to change for `wanted` to be in force.
    ManifestDiff diffTo(const Manifest& wanted) const;

private:
    ChangeResult applyChange(const ApplyChange& change);
    void rememberOperation(const std::string& operationId);
};

} // namespace eelgrassloft
