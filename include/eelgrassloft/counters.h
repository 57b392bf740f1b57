#pragma once

#include "eelgrassloft/outcome.h"

#include <cstdint>
#include <map>

namespace eelgrassloft {

/// Events that are exported as counters.
enum class CounterKind : uint8_t {
    RequestsArrived,
    AttemptsStarted,
    AnswersLate, ///< Answers to attempts whose request had already ended.
    OutliersEjected,
    InterRegionBytesSent, ///< Encoded bytes to hosts of other regions.
    PeerBytesSent,
    PeerMessagesSent,
    ClaimsGranted,
    ClaimsRepeated,
    SharesGranted,
    SharesRecalled,
    ElectionsStarted,
    ElectionsWon,
    EntriesCommitted,
    SnapshotsSent,
    TasksPlaced,
    TasksLost,
    TasksPreempted,
    WorkersQuarantined,
    TimeLeaps,
    Count
};

constexpr NameTable<CounterKind> nameTable(CounterKind)
{
    constexpr NameTable<CounterKind> table { "requests_arrived", "attempts_started", "answers_late",
        "outliers_set_aside", "link_bytes_sent", "peer_bytes_sent", "peer_messages_sent", "claims_granted",
        "claims_repeated", "shares_granted", "shares_recalled", "elections_started", "elections_won",
        "entries_committed", "snapshots_sent", "tasks_placed", "tasks_lost", "tasks_preempted",
        "workers_set_aside", "time_leaps" };
    static_assert(detail::isComplete<CounterKind>(table));
    return table;
}

/// Counters of one node since it started.
struct Counters {
    EnumArray<CounterKind, uint64_t> events;
    EnumArray<Outcome, uint64_t> outcomes;
    EnumArray<RefusalReason, uint64_t> refusals;
    EnumArray<UnknownReason, uint64_t> unknowns;
    EnumArray<AttemptFailure, uint64_t> retries; ///< Retries by the failure that caused them.
    EnumArray<AttemptFailure, uint64_t> failures;
    std::map<size_t, uint64_t> interRegionBytes; ///< Encoded bytes sent to hosts of other regions, by index of the message type.

    void add(CounterKind kind, uint64_t amount = 1) { events[kind] += amount; }
};

} // namespace eelgrassloft
