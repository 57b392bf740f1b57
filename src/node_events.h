#pragma once

#include "peer_messages.h"

#include "eelgrassloft/effects.h"
#include "eelgrassloft/error.h"

namespace eelgrassloft {

// Events: the inputs of a node's `step`.

struct RequestArrived {
    Request request;
};

/// The I/O layer refused a request before it was read completely.
struct RequestRejected {
    RefusalReason reason = RefusalReason::Malformed;
};

/// A caller closed its connection before it received its response.
struct CallerGone {
    RequestId request;
};

struct AttemptAnswered {
    AttemptId attempt;
    UpstreamResponse upstreamResponse;
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

/// An operator submitted a manifest.
struct ManifestSubmitted {
    CallId call;
    std::string operationId;
    std::optional<uint64_t> expectRevision;
    Manifest manifest;
};

/// An operator cancelled jobs of one data centre.
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

/// A write to a log, and every earlier one, is on stable storage.
struct LogWritten {
    LogKind log = LogKind::Cell;
    uint64_t sequence = 0;
};

/// The disk refuses the writes of a log. They are retried, and `LogWritten` follows once it takes them.
struct LogRefused {
    LogKind log = LogKind::Cell;
    std::string reason;
};

/// The time that the node's `nextDeadline` returned has come.
struct Tick { };

/// The node no longer reports itself ready, but admits requests until the balancer has reacted.
struct DrainAnnounced { };

/// The node refuses new requests from now on.
struct DrainStarted { };

using Event = std::variant<Tick, RequestArrived, RequestRejected, CallerGone, AttemptAnswered, AttemptFailed, UpstreamAnnounced,
    WorkerReported, ManifestSubmitted, JobsCancelled, PeerUp, PeerDown, PeerMessageReceived, LogWritten, LogRefused, DrainAnnounced, DrainStarted>;

// Effects: the outputs of a node's `step`, for the I/O layer to carry out.

/// Sends a request with its body to an upstream.
struct DispatchAttempt {
    AttemptId attempt;
    RequestId request;
    UpstreamId upstream;
    std::string address;
    uint16_t port = 0;
    Time deadline {};
    bool isRecorded = false; ///< The response will be recorded under the request's idempotency key.
};

/// How a request ended.
struct EndedRequest {
    RequestId request;
    Outcome outcome = Outcome::Unknown;
    RefusalReason refusal = RefusalReason::None;
    UnknownReason unknown = UnknownReason::None;
    UpstreamResponse upstreamResponse;
};

/// Sends the response to a caller.
struct AnswerCaller {
    EndedRequest ended;
};

/// Sends the reply to a worker's report.
struct AnswerWorker {
    CallId call;
    WorkerReply reply;
};

/// Sends the result of `ManifestSubmitted` or `JobsCancelled`, or an error, to the operator.
struct AnswerOperator {
    CallId call;
    std::variant<ChangeResult, TaskCommandResult, Error> reply;
};

/// Sends a message to another host, but not before the write `afterWrite` of `log` is synced.
struct SendPeerMessage {
    HostId to;
    PeerMessage message;
    LogKind log = LogKind::Cell;
    uint64_t afterWrite = 0;
};

/// Writes to the stored log of the member with this incarnation. `LogWritten` confirms it.
template <typename M>
struct WriteLog {
    uint64_t incarnation = 0;
    LogWrite<M> write;
};

/// No request, attempt or proposal is left after `DrainStarted`.
struct DrainFinished { };

using Effect = std::variant<DispatchAttempt, AnswerCaller, AnswerWorker, AnswerOperator, SendPeerMessage, WriteLog<CellStateMachine>,
    WriteLog<DataCentreStateMachine>, LogEvent, DrainFinished>;
using Effects = std::vector<Effect>;

} // namespace eelgrassloft
