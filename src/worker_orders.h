#pragma once

#include "work_table.h"

namespace eelgrassloft {

enum class OrderKind : uint8_t {
    Start,
    Stop,
    Poll, ///< Renews the lease and lists what runs and what has ended.
    Count
};

constexpr NameTable<OrderKind> nameTable(OrderKind)
{
    constexpr NameTable<OrderKind> table { "start", "stop", "look" };
    return table;
}

/// A call to a worker.
struct WorkerOrder {
    OrderKind kind = OrderKind::Poll;
    TaskRun run; ///< Start and stop.
    std::string text; ///< Start: passed on from the job.
    std::string checkpoint; ///< Start: empty for none.
    std::string ticket; ///< Start: empty where the queue needs none.
    int64_t leaseEndMs = 0; ///< On the worker's clock; 0 leaves the lease as it is.
    uint64_t fencingToken = 0; ///< The worker does nothing for a lower one than it has seen.
    uint64_t acknowledgedEnd = 0; ///< Look: ends up to this number may be forgotten.
    Duration maxWait {}; ///< Look: how long the worker may wait for an end.

    static constexpr auto members()
    {
        return std::make_tuple(&WorkerOrder::kind, &WorkerOrder::run, &WorkerOrder::text, &WorkerOrder::checkpoint, &WorkerOrder::ticket,
            &WorkerOrder::leaseEndMs, &WorkerOrder::fencingToken, &WorkerOrder::acknowledgedEnd, &WorkerOrder::maxWait);
    }
};

enum class OrderOutcome : uint8_t {
    Accepted,
    Fenced, ///< The worker has seen a higher fence.
    Outdated, ///< A run that is not lower was stopped or has ended there.
    LeaseExpired, ///< The lease of the order has passed.
    InsufficientCapacity,
    BadTicket,
    Refused, ///< For another reason; nothing was done.
    OtherIncarnation, ///< Another life of the worker answered: the one meant is over.
    NoResponse, ///< No answer; the order may still be carried out.
    Count
};

constexpr NameTable<OrderOutcome> nameTable(OrderOutcome)
{
    constexpr NameTable<OrderOutcome> table { "accepted", "fenced", "outdated", "lease-over", "no-room", "bad-ticket",
        "refused", "other-life", "silent" };
    static_assert(detail::isComplete<OrderOutcome>(table));
    return table;
}

/// A run that a worker lists.
struct ReportedRun {
    TaskRun run;
    std::string checkpoint;
    uint32_t percent = 0; ///< Of its work that is done; of a task that serves, of its readiness.

    static constexpr auto members() { return std::make_tuple(&ReportedRun::run, &ReportedRun::checkpoint, &ReportedRun::percent); }
};

struct OrderResponse {
    OrderOutcome outcome = OrderOutcome::NoResponse;
    std::optional<int64_t> clockMs; ///< The worker's steady clock when it answered.
    std::optional<int64_t> startedAtMs;
    std::vector<ReportedRun> running; ///< Looks only.
    std::vector<EndedRun> ends;

    static constexpr auto members()
    {
        return std::make_tuple(&OrderResponse::outcome, &OrderResponse::clockMs, &OrderResponse::startedAtMs, &OrderResponse::running, &OrderResponse::ends);
    }
};

} // namespace eelgrassloft
