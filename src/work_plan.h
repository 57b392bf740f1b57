#pragma once

#include "advice_client.h"

namespace eelgrassloft {

/// A proposed placement and the ticket that its start order carries.
struct PlannedRun {
    RunPlacement placement;
    std::string ticket;
};

/// Why none of a step's waiting tasks was placed.
enum class PlacementObstacle : uint8_t {
    None, ///< Some were placed.
    Capacity, ///< No worker that may run the step has room.
    Ticket, ///< The advice service has not answered yet which workers with room are allowed, or no host is free to ask it.
    GangMembers, ///< Other members of the gang can't be placed yet.
    IsolationTurn, ///< Other suspects come first.
    IsolationLimit, ///< As many workers as allowed are isolated.
    IsolationWorker, ///< The workers with room have other runs to lose.
    Quota, ///< The job's workspace has no room left in its quota.
    QuotaTooSmall, ///< The gang or task can never fit the quota of its workspace.
    Count
};

constexpr NameTable<PlacementObstacle> nameTable(PlacementObstacle)
{
    constexpr NameTable<PlacementObstacle> table { "placed", "noCapacity", "noTicket", "gangMembers", "isolationTurn", "isolationLimit", "isolationWorker", "quotaReached", "quotaTooSmall" };
    static_assert(detail::isComplete<PlacementObstacle>(table));
    return table;
}

struct WorkPlan {
    std::vector<PlannedRun> runs;
    std::vector<RunPlacement> preemptions; ///< Runs to stop in favour of a gang.
    std::vector<AdviceClient::Query> queries;
    std::map<uint32_t, size_t> placedSteps; ///< Steps of which tasks are placed, by the priority of their queue.
    EnumArray<PlacementObstacle, size_t> obstacles; ///< Number of waiting steps by what is in their way.
    size_t examinedJobs = 0; ///< Jobs whose tasks were gone through.
    Time nextDue = never; ///< When the next occurrence of a job becomes due.
};

/// Whether both are tasks of one step of one occurrence.
inline bool isSameStep(const TaskRef& a, const TaskRef& b) { return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step; }

} // namespace eelgrassloft
