#pragma once

#include "peer_messages.h"

#include "eelgrassloft/effects.h"
#include "eelgrassloft/error.h"

namespace eelgrassloft {

// Events: what a node is told.

struct RequestArrived {
    Request request;
};

/// The shell refused a request before it was whole.
struct RequestRejected {
    RefusalReason reason = RefusalReason::Malformed;
};

struct CallerGone {
    RequestId request;
};

struct AttemptAnswered {
    AttemptId attempt;
    Answer answer;
};

struct AttemptFailed {
    AttemptId attempt;
    AttemptFailure failure = AttemptFailure::ConnectFailed;
};

/// An upstream announced itself at this host.
struct UpstreamAnnounced {
    UpstreamAnnouncement announcement;
};

/// A worker reported at this host.
struct WorkerReported {
    CallId call;
    WorkerReport report;
};

/// An operator applies a sheet.
struct ManifestSubmitted {
    CallId call;
    std::string operationId;
    std::optional<uint64_t> expectRevision;
    Manifest manifest;
};

/// An operator cancels jobs of one data centre.
struct JobsCancelled {
    CallId call;
    std::string dataCentre;
    std::vector<std::string> jobs;
};

struct PeerUp {
    HostId host;
};

struct PeerDown {
    HostId host;
};

struct PeerMessageReceived {
    HostId host;
    PeerMessage message;
};

/// Storage finished a write and all earlier ones of the log.
struct LogWritten {
    LogKind log = LogKind::Cell;
    uint64_t sequence = 0;
};

/// `nextDeadline` has come.
struct Tick { };

/// Readiness ends; new requests are still taken.
struct DrainAnnounced { };

/// New requests are refused from now on.
struct DrainStarted { };

using Event = std::variant<Tick, RequestArrived, RequestRejected, CallerGone, AttemptAnswered, AttemptFailed, UpstreamAnnounced,
    WorkerReported, ManifestSubmitted, JobsCancelled, PeerUp, PeerDown, PeerMessageReceived, LogWritten, DrainAnnounced, DrainStarted>;

// Effects: what a node wants done.

/// Send a request's body to an upstream.
struct DispatchAttempt {
    AttemptId attempt;
    RequestId request;
    UpstreamId upstream;
    std::string address;
    uint16_t port = 0;
    Time deadline {};
    bool isRecorded = false; ///< The answer is kept under the idempotency key.
};

/// How a request ended.
struct EndedRequest {
    RequestId request;
    Outcome outcome = Outcome::Unknown;
    RefusalReason refusal = RefusalReason::None;
    UnknownReason unknown = UnknownReason::None;
    Answer answer;
};

struct AnswerCaller {
    EndedRequest ended;
};

struct AnswerWorker {
    CallId call;
    WorkerReply reply;
};

/// Reply to `ManifestSubmitted` and `JobsCancelled`: a result or an error.
struct AnswerOperator {
    CallId call;
    std::variant<ChangeResult, TaskCommandResult, Error> reply;
};

/// A message to another host. It must not leave before the write `afterWrite` of `log` is synced.
struct SendPeerMessage {
    HostId to;
    PeerMessage message;
    LogKind log = LogKind::Cell;
    uint64_t afterWrite = 0;
};

/// Storage of a log under `incarnation`. Reported back with `LogWritten`.
template <typename M>
struct WriteLog {
    uint64_t incarnation = 0;
    LogWrite<M> write;
};

/// Nothing is in flight any more after `DrainStarted`.
struct DrainFinished { };

using Effect = std::variant<DispatchAttempt, AnswerCaller, AnswerWorker, AnswerOperator, SendPeerMessage, WriteLog<CellMachine>,
    WriteLog<DataCentreMachine>, LogEvent, DrainFinished>;
using Effects = std::vector<Effect>;

} // namespace eelgrassloft
