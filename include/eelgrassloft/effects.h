#pragma once

#include "eelgrassloft/handle.h"
#include "eelgrassloft/outcome.h"
#include "eelgrassloft/record.h"

#include <string>
#include <string_view>
#include <vector>

namespace eelgrassloft {

/// The replicated logs of a node.
enum class LogKind : uint8_t {
    Cell,
    DataCentre,
    Count
};

constexpr NameTable<LogKind> nameTable(LogKind)
{
    constexpr NameTable<LogKind> table { "cell", "data-centre" };
    return table;
}

/// Events that are written to the operator's log.
enum class LogEventKind : uint8_t {
    LeaderChanged,
    RevisionInForce,
    ChangeAccepted,
    ChangeRefused,
    UpstreamAnnounced,
    UpstreamLeaving,
    UpstreamEjected,
    WorkerJoined,
    WorkerLost,
    WorkerQuarantined,
    TimeLeap,
    Draining,
    LogFormed,
    MembershipChanged,
    IncarnationChanged,
    JobEnded,
    JobAccepted,
    JobRefused,
    JobCancelledEarly, ///< Cancelled before it was submitted.
    CallUnanswered,
    OrderRefused,
    RunFailed,
    RunLost,
    RunStuck,
    WorkerUnresponsive,
    WorkerResponsive,
    WorkerClockWentBack,
    AdviceUnanswered,
    LeaderSummary,
    StorageRefused, ///< The disk refuses the writes of a log, which are retried.
    StorageRestored,
    TaskSuspected,
    JobGivenUp,
    ReadinessChanged,
    QuotaTooSmall, ///< A step of an accepted job can never fit the quota of its workspace.
    Count
};

constexpr NameTable<LogEventKind> nameTable(LogEventKind)
{
    constexpr NameTable<LogEventKind> table { "leader-changed", "revision-in-force", "change-accepted",
        "change-refused", "upstream-announced", "upstream-leaving", "upstream-set-aside", "worker-joined",
        "worker-lost", "worker-set-aside", "time-leap", "draining",
        "log-formed", "membership-changed", "incarnation-changed", "job-ended", "job-accepted", "job-refused", "job-cancelled-early", "call-unanswered", "order-refused",
        "run-failed", "run-lost", "run-stuck", "worker-silent", "worker-back", "worker-clock-went-back", "advice-unanswered",
        "leader-summary", "storage-refused", "storage-restored", "task-suspected", "job-given-up", "readiness-changed", "quota-too-small" };
    static_assert(detail::isComplete<LogEventKind>(table));
    return table;
}

/// A key and its value in a log line.
struct LogField {
    std::string_view key;
    std::string value;
};

/// One line of the operator's log.
struct LogEvent {
    LogEventKind kind = LogEventKind::Count;
    std::vector<LogField> fields;
};

} // namespace eelgrassloft
