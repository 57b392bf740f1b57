#pragma once

#include "eelgrassloft/name_table.h"

namespace eelgrassloft {

/// Result of a request as reported to its caller.
enum class Outcome : uint8_t {
    Answered, ///< The reply holds the upstream's complete answer.
    NotRun, ///< No upstream started the work.
    InProgress, ///< Another request with the same idempotency key is in flight.
    Unknown, ///< The work may or may not have run.
    Count
};

constexpr NameTable<Outcome> nameTable(Outcome)
{
    constexpr NameTable<Outcome> table { "answered", "not-run", "in-progress", "unknown" };
    return table;
}

/// Why a request ended in `Outcome::NotRun`.
enum class RefusalReason : uint8_t {
    None,
    UnknownService,
    NoUpstream,
    QueueFull,
    DeadlineUnreachable,
    DeadlineExpired,
    Draining,
    HeaderTooLarge,
    BodyTooLarge,
    Malformed,
    SlowCaller,
    MissingKey,
    KeyReused,
    HomeUnreachable, ///< No host of the idempotency key's home data centre is connected.
    NoLeader, ///< The key's home is this data centre, and no leader of its log is connected.
    LogBusy, ///< The log was reachable, but the claim was not committed in time.
    RetryBudget,
    AttemptLimit,
    UpstreamRefused,
    CallerGone,
    TooManyConnections,
    Count
};

constexpr NameTable<RefusalReason> nameTable(RefusalReason)
{
    constexpr NameTable<RefusalReason> table { "none", "unknown-service", "no-upstream", "queue-full",
        "deadline-unreachable", "deadline-expired", "draining", "header-too-large", "body-too-large", "malformed",
        "slow-caller", "missing-key", "key-reused", "home-unreachable", "no-leader", "log-busy", "retry-budget",
        "attempt-limit", "upstream-refused", "caller-gone", "too-many-connections" };
    static_assert(detail::isComplete<RefusalReason>(table));
    return table;
}

/// Returns what the caller can do about a refusal.
constexpr std::string_view remedy(RefusalReason reason)
{
    constexpr NameTable<RefusalReason> table { "nothing to do",
        "check the service name, or start an upstream that announces it",
        "wait until an upstream of the service announces itself, then send again",
        "send again later, or add upstreams to the service",
        "send again with a longer deadline, or when the queue is shorter",
        "send again with a longer deadline",
        "send again; the balancer picks another host",
        "shorten the request headers",
        "shorten the request body",
        "correct the request as the message says",
        "send the whole request without pauses",
        "add an Idempotency-Key header, or mark the request repeatable",
        "use a new key for a different request",
        "send again with the same key when the data centre of the key is reachable",
        "send again with the same key; a leader is being elected",
        "send again with the same key after a short pause",
        "send again later; too many requests are being retried",
        "send again later; several upstreams failed in a row",
        "send again later; the upstreams are refusing work",
        "nothing to do; the caller closed its connection",
        "close unused connections, or send again later" };
    static_assert(detail::isComplete<RefusalReason>(table));
    return table[static_cast<size_t>(reason)];
}

/// Why a request ended in `Outcome::Unknown`.
enum class UnknownReason : uint8_t {
    None,
    AnswerLost, ///< An attempt may have started the work, and no complete answer arrived.
    DeadlineInFlight, ///< The deadline passed during an attempt.
    OwnerLost, ///< The host that claimed the idempotency key did not settle it in time.
    AnswerNotKept, ///< The work ran once; its answer was too large to record.
    RecordNotSettled,
    Count
};

constexpr NameTable<UnknownReason> nameTable(UnknownReason)
{
    constexpr NameTable<UnknownReason> table { "none", "answer-lost", "deadline-in-flight", "owner-lost",
        "answer-not-kept", "record-not-settled" };
    static_assert(detail::isComplete<UnknownReason>(table));
    return table;
}

/// Returns how the caller can learn whether the work ran.
constexpr std::string_view remedy(UnknownReason reason)
{
    constexpr NameTable<UnknownReason> table { "nothing to do",
        "ask the upstream's own records whether the work ran",
        "ask the upstream's own records, or resend a repeatable request with a longer deadline",
        "ask the upstream's own records whether the work ran",
        "the work ran once; its answer was too large to record",
        "send again with the same key to learn the outcome" };
    static_assert(detail::isComplete<UnknownReason>(table));
    return table[static_cast<size_t>(reason)];
}

/// Why an attempt at an upstream ended without an answer.
enum class AttemptFailure : uint8_t {
    ConnectFailed, ///< No byte of the request was sent.
    RefusedByUpstream, ///< The upstream reported that it did not start the work.
    SendFailed, ///< Some bytes were sent; the upstream may have started the work.
    AnswerLost, ///< The whole request was sent, and no complete answer arrived.
    AnswerTooLarge,
    Unresponsive, ///< The connection timed out without a sign of the upstream.
    Count
};

constexpr NameTable<AttemptFailure> nameTable(AttemptFailure)
{
    constexpr NameTable<AttemptFailure> table { "connect-failed", "refused-by-upstream", "send-failed",
        "answer-lost", "answer-too-large", "silent" };
    static_assert(detail::isComplete<AttemptFailure>(table));
    return table;
}

/// Whether it is certain that the upstream did not start the work.
constexpr bool isKnownNotStarted(AttemptFailure failure)
{
    return failure == AttemptFailure::ConnectFailed || failure == AttemptFailure::RefusedByUpstream;
}

} // namespace eelgrassloft
