#pragma once

#include "fleet_messages.h"

namespace eelgrassloft {

/// Events of a fleet's host that are only counted.
enum class FleetCounter : uint8_t {
    JobsAccepted,
    JobsResubmitted, ///< Handed in again under a known name.
    CallsForwarded, ///< To the leader, repetitions included.
    RunsPlaced,
    RunsLost, ///< Given up without an end of their own.
    RunsPreempted,
    WorkersLost, ///< Silent until their lease had ended.
    WorkersQuarantined,
    AdviceQueries,
    AdviceUnanswered,
    CallsRelayed, ///< Calls to workers that another control host made.
    RelaysUnanswered,
    Count
};

constexpr NameTable<FleetCounter> nameTable(FleetCounter)
{
    constexpr NameTable<FleetCounter> table { "jobs_accepted", "jobs_repeated", "calls_passed_on", "runs_placed", "runs_lost",
        "runs_stopped_for_gangs", "workers_lost", "workers_set_aside", "advice_asked", "advice_unanswered",
        "calls_relayed", "relays_unanswered" };
    static_assert(detail::isComplete<FleetCounter>(table));
    return table;
}

/// What a host believes now.
enum class FleetGauge : uint8_t {
    IsLeading,
    Term,
    CommitIndex,
    ConfigVersion,
    OpenJobs,
    Workers,
    UnresponsiveWorkers,
    ActiveRuns, ///< That take room on workers.
    PendingCalls, ///< Passed on and not answered.
    Count
};

constexpr NameTable<FleetGauge> nameTable(FleetGauge)
{
    constexpr NameTable<FleetGauge> table { "is_leading", "term", "commit_index", "config_version", "open_jobs", "workers",
        "silent_workers", "held_runs", "waiting_calls" };
    static_assert(detail::isComplete<FleetGauge>(table));
    return table;
}

/// Durations that the core knows.
enum class FleetTimer : uint8_t {
    SubmitToCommit,
    CommitToStart, ///< From a durable placement to the worker's confirmation.
    OrderRoundTrip, ///< Of starts and stops that were answered.
    Count
};

constexpr NameTable<FleetTimer> nameTable(FleetTimer)
{
    constexpr NameTable<FleetTimer> table { "hand_in_to_commit_seconds", "commit_to_start_seconds", "order_round_trip_seconds" };
    static_assert(detail::isComplete<FleetTimer>(table));
    return table;
}

/// Counts of one host since its start.
struct FleetCounters {
    EnumArray<FleetCounter, uint64_t> events;
    EnumArray<ControlStatus, uint64_t> replies; ///< To calls that this host answered.
    EnumArray<OrderKind, EnumArray<OrderOutcome, uint64_t>> orders;

    void add(FleetCounter counter, uint64_t amount = 1) { events[counter] += amount; }
};

using FleetGauges = EnumArray<FleetGauge, double>;

} // namespace eelgrassloft
