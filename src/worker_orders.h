#pragma once

#include "work_table.h"

namespace eelgrassloft {

enum class OrderKind : uint8_t {
    Start,
    Stop,
    Poll, ///< Long poll: renews the lease; the response lists active and ended runs.
    Count
};

constexpr NameTable<OrderKind> nameTable(OrderKind)
{
    constexpr NameTable<OrderKind> table { "start", "stop", "look" };
    return table;
}

/// An instruction to a worker.
struct WorkerOrder {
    OrderKind kind = OrderKind::Poll;
    TaskRun run; ///< For starts and stops.
    std::string text; ///< For starts: the job's text, which only workers interpret.
    std::string checkpoint; ///< For starts: checkpoint to resume from; empty if there is none.
    std::string ticket; ///< For starts: empty if the queue needs no advice.
    int64_t leaseEndMs = 0; ///< On the worker's steady clock; 0 leaves the lease unchanged.
    uint64_t fencingToken = 0; ///< Workers reject a token lower than the highest that they have seen.
    uint64_t acknowledgedEnd = 0; ///< For polls: the worker may forget ends up to this number.
    Duration maxWait {}; ///< For polls: how long the worker may delay its response until a run ends.

    static constexpr auto members()
    {
        return std::make_tuple(&WorkerOrder::kind, &WorkerOrder::run, &WorkerOrder::text, &WorkerOrder::checkpoint, &WorkerOrder::ticket,
            &WorkerOrder::leaseEndMs, &WorkerOrder::fencingToken, &WorkerOrder::acknowledgedEnd, &WorkerOrder::maxWait);
    }
};

enum class OrderOutcome : uint8_t {
    Accepted,
    Fenced, ///< The worker has seen a higher fencing token.
    Outdated, ///< The same or a later run of the task was stopped or has ended there.
    LeaseExpired, ///< The lease that the order grants had expired already.
    InsufficientCapacity,
    BadTicket,
    Refused, ///< Rejected for another reason; nothing was done.
    OtherIncarnation, ///< Another incarnation of the worker responded, so the addressed one has ended.
    NoResponse, ///< No response; the order may still be carried out.
    NotSent, ///< No connection to the worker took the order in time.
    Count
};

constexpr NameTable<OrderOutcome> nameTable(OrderOutcome)
{
    constexpr NameTable<OrderOutcome> table { "accepted", "fenced", "outdated", "lease-over", "no-room", "bad-ticket",
        "refused", "other-life", "silent", "not-sent" };
    static_assert(detail::isComplete<OrderOutcome>(table));
    return table;
}

/// Whether the worker has responded.
constexpr bool isResponse(OrderOutcome outcome) { return outcome != OrderOutcome::NoResponse && outcome != OrderOutcome::NotSent; }

/// An active run as reported by its worker.
struct ReportedRun {
    TaskRun run;
    std::string checkpoint;
    uint32_t percent = 0; ///< Progress; for a task that serves requests, its readiness.

    static constexpr auto members() { return std::make_tuple(&ReportedRun::run, &ReportedRun::checkpoint, &ReportedRun::percent); }
};

/// Response of a worker to an order.
struct OrderResponse {
    OrderOutcome outcome = OrderOutcome::NoResponse;
    std::optional<int64_t> clockMs; ///< The worker's steady clock at its response.
    std::optional<int64_t> startedAtMs;
    std::vector<ReportedRun> running; ///< For polls: the worker's active runs.
    std::vector<EndedRun> ends; ///< For polls: ends that were not acknowledged yet, the earliest first.
    bool mayHaveMoreEnds = false; ///< For polls: whether the worker may have left out the latest ends.

    static constexpr auto members()
    {
        return std::make_tuple(&OrderResponse::outcome, &OrderResponse::clockMs, &OrderResponse::startedAtMs, &OrderResponse::running, &OrderResponse::ends,
            &OrderResponse::mayHaveMoreEnds);
    }
};

} // namespace eelgrassloft
