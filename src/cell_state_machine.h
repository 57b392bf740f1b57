#pragma once

#include "eelgrassloft/job.h"

#include <map>
#include <string>

namespace eelgrassloft {

/// Command: changes the cell's manifest, if the expected revision is still in force.
struct ApplyChange {
    std::string operationId; ///< Idempotency key of the operator's call; a retry carries the same one.
    std::optional<uint64_t> expectRevision;
    ManifestDiff diff;
    std::vector<std::string> homeDataCentres; ///< Of each of `diff.setJobs`, in the same order.

    static constexpr auto members()
    {
        return std::make_tuple(&ApplyChange::operationId, &ApplyChange::expectRevision, &ApplyChange::diff, &ApplyChange::homeDataCentres);
    }
};

enum class ChangeStatus : uint8_t {
    Accepted,
    Unchanged, ///< The manifest was in force already.
    Repeated, ///< A retry of a remembered operation; the result has that operation's revision.
    Conflict, ///< The expected revision is not in force.
    Count
};

constexpr NameTable<ChangeStatus> nameTable(ChangeStatus)
{
    constexpr NameTable<ChangeStatus> table { "accepted", "unchanged", "repeated", "conflict" };
    return table;
}

/// Result of `ApplyChange`.
struct ChangeResult {
    ChangeStatus status = ChangeStatus::Accepted;
    uint64_t revision = 0; ///< Accepted, Repeated: the operation's. Unchanged, Conflict: the one in force.
    std::string winningOperation; ///< Conflict: id of the operation that produced the revision in force.

    static constexpr auto members()
    {
        return std::make_tuple(&ChangeResult::status, &ChangeResult::revision, &ChangeResult::winningOperation);
    }
};

/// A job of the manifest and its home data centre.
struct CellJob {
    JobSpec spec;
    std::string homeDataCentre;
    uint64_t revision = 0; ///< Revision that last changed the job.

    static constexpr auto members() { return std::make_tuple(&CellJob::spec, &CellJob::homeDataCentre, &CellJob::revision); }
};

/// State machine of the cell's log: the manifest in force and the latest operations on it.
struct CellStateMachine {
    using Command = std::variant<ApplyChange>;
    using Result = ChangeResult;

    uint64_t revision = 0;
    std::string lastOperation;
    std::map<std::string, TeamQuota> teams;
    std::map<std::string, ServiceLimits> services;
    std::map<std::string, CellJob> jobs;
    std::map<std::string, uint64_t> operations; ///< Revision of each remembered operation.
    std::map<uint64_t, std::string> operationOrder; ///< Ids of the remembered operations by their number, oldest first.
    uint64_t operationCount = 0; ///< Of all operations so far; numbers the next one.

    static constexpr auto members()
    {
        return std::make_tuple(&CellStateMachine::revision, &CellStateMachine::lastOperation, &CellStateMachine::teams,
            &CellStateMachine::services, &CellStateMachine::jobs, &CellStateMachine::operations, &CellStateMachine::operationOrder,
            &CellStateMachine::operationCount);
    }

    Result apply(Time at, const Command& command);

    /// Size of the state, which determines the number of entries between snapshots.
    size_t recordCount() const { return jobs.size() + operations.size(); }

    /// The manifest in force.
    Manifest manifest() const;

    /// Difference that turns the manifest in force into `wanted`.
    ManifestDiff diffTo(const Manifest& wanted) const;

private:
    ChangeResult applyChange(const ApplyChange& command);
    void rememberOperation(const std::string& operationId);
};

} // namespace eelgrassloft
