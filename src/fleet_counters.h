#pragma once

#include "fleet_messages.h"

namespace eelgrassloft {

/// Counted events of a control host or an entry host.
enum class FleetCounter : uint8_t {
    JobsAccepted,
    JobsResubmitted, ///< Submitted again with a known key.
    CallsForwarded, ///< Calls forwarded to the leader, including retries.
    RunsPlaced,
    RunsLost, ///< Runs requeued without a reported end.
    RunsPreempted,
    WorkersLost, ///< Workers without a response until their lease expired.
    WorkersQuarantined,
    AdviceQueries,
    AdviceUnanswered,
    CallsRelayed, ///< Calls to workers that go through another control host.
    RelaysUnanswered,
    Plans,
    ReportsRefused, ///< Reports of workers that can't be read or that name no worker.
    ReportsOutdated, ///< Reports of workers that arrived after a later one.
    AnswersUnreadable, ///< Answers of workers to orders.
    StartsWithdrawn, ///< Starts that would have exceeded a capacity that shrank after the placement.
    JobsExamined, ///< Open jobs whose tasks plans went through.
    StorageRefusals, ///< Times that the disk began to refuse the writes of the log.
    TasksSuspected, ///< Possible causes of crashes of workers; a task counts again with each crash.
    JobsGivenUp, ///< Failed because a task crashed its workers.
    JobsRefusedBehindUrgent, ///< Submissions refused for the work of the most urgent priority.
    JobsRefusedBehindOwed, ///< Submissions beyond a share, refused for the work that is owed.
    JobsPastLimit, ///< Jobs that ended after their late limit.
    ForecastsTooLate, ///< Jobs that ended before the forecast, which is to be a lower bound.
    WorkersRefused, ///< Reports of further workers while there were as many as allowed.
    StartsUndelivered, ///< Starts that were given up as the worker answered only polls.
    WorkersRestrained, ///< Workers that get less work for a while, as they crashed or lost runs.
    Count
};

constexpr NameTable<FleetCounter> nameTable(FleetCounter)
{
    constexpr NameTable<FleetCounter> table { "jobs_accepted", "jobs_repeated", "calls_passed_on", "runs_placed", "runs_lost",
        "runs_stopped_for_gangs", "workers_lost", "workers_set_aside", "advice_asked", "advice_unanswered",
        "calls_relayed", "relays_unanswered", "plans", "reports_refused", "reports_outdated", "answers_unreadable", "starts_withdrawn", "jobs_examined", "storage_refusals", "tasks_suspected", "jobs_given_up",
        "jobs_refused_behind_urgent", "jobs_refused_behind_owed", "jobs_past_limit", "forecasts_too_late", "workers_refused", "starts_undelivered", "workers_restrained" };
    static_assert(detail::isComplete<FleetCounter>(table));
    return table;
}

/// Current values of a control host or an entry host.
enum class FleetGauge : uint8_t {
    IsLeading,
    Term,
    CommitIndex,
    ConfigVersion,
    OpenJobs,
    Workers,
    UnresponsiveWorkers,
    ActiveRuns, ///< Runs that occupy capacity on workers.
    PendingCalls, ///< Calls to forward to the leader that have no reply yet.
    StorageRefused, ///< Whether the disk refuses the writes of the log.
    Count
};

constexpr NameTable<FleetGauge> nameTable(FleetGauge)
{
    constexpr NameTable<FleetGauge> table { "is_leading", "term", "commit_index", "config_version", "open_jobs", "workers",
        "silent_workers", "held_runs", "waiting_calls", "storage_refused" };
    static_assert(detail::isComplete<FleetGauge>(table));
    return table;
}

/// Durations measured by the core.
enum class FleetTimer : uint8_t {
    SubmitToCommit,
    CommitToStart, ///< From the commit of a placement to the worker's confirmation.
    OrderRoundTrip, ///< Start and stop orders that had a response.
    AcknowledgementAge, ///< Leader: from sending a message of the log until its acknowledgement is handled.
    MailboxWait, ///< Of messages to the core's task, from their arrival until they are handled.
    UrgentMailboxWait, ///< Of urgent ones.
    YieldWait, ///< From a yield of the core's task until it runs again: the work of all other tasks that were ready.
    LogSync, ///< From the core's write until it is durable.
    EndAfterForecast, ///< From the forecast end of an admitted job to its end.
    Count
};

constexpr NameTable<FleetTimer> nameTable(FleetTimer)
{
    constexpr NameTable<FleetTimer> table { "hand_in_to_commit_seconds", "commit_to_start_seconds", "order_round_trip_seconds",
        "acknowledgement_age_seconds", "mailbox_wait_seconds", "urgent_mailbox_wait_seconds", "yield_wait_seconds", "log_sync_seconds", "end_after_forecast_seconds" };
    static_assert(detail::isComplete<FleetTimer>(table));
    return table;
}

/// Counters of one host since its start.
struct FleetCounters {
    EnumArray<FleetCounter, uint64_t> events;
    EnumArray<ControlStatus, uint64_t> replies; ///< Replies that this host gave, by status.
    EnumArray<OrderKind, EnumArray<OrderOutcome, uint64_t>> orders;

    void add(FleetCounter counter, uint64_t amount = 1) { events[counter] += amount; }
};

using FleetGauges = EnumArray<FleetGauge, double>;

} // namespace eelgrassloft
