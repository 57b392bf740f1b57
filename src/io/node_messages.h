#pragma once

#include "io/mailbox.h"
#include "node_events.h"

#include <memory>
#include <string>

namespace eelgrassloft::io {

/// Mailbox in which a task waits for the reply to one of its messages.
template <typename T>
using ReplyMailbox = std::shared_ptr<Mailbox<T>>;

template <typename T>
ReplyMailbox<T> makeReplyMailbox(const asio::any_io_executor& executor) { return std::make_shared<Mailbox<T>>(executor, 1); }

/// A caller's complete request. The node task assigns its id.
struct SubmitRequest {
    Request request;
    Blob body;
    std::string contentType;
    ReplyMailbox<EndedRequest> reply;
};

struct SubmitReport {
    WorkerReport report;
    ReplyMailbox<WorkerReply> reply;
};

using OperatorReply = decltype(AnswerOperator::reply);

struct SubmitManifest {
    ManifestSubmitted change;
    ReplyMailbox<OperatorReply> reply;
};

struct SubmitCancel {
    JobsCancelled cancel;
    ReplyMailbox<OperatorReply> reply;
};

/// Queries that do not change the node.
enum class QueryKind : uint8_t {
    Status,
    Jobs,
    Workers,
    Upstreams,
    Explain,
    Diff,
    Metrics,
    Ready,
    Count
};

constexpr NameTable<QueryKind> nameTable(QueryKind)
{
    constexpr NameTable<QueryKind> table { "status", "jobs", "workers", "upstreams", "explain", "diff", "metrics", "ready" };
    static_assert(eelgrassloft::detail::isComplete<QueryKind>(table));
    return table;
}

struct QueryReply {
    bool isFound = true;
    std::string text;
};

struct SubmitQuery {
    QueryKind kind = QueryKind::Status;
    std::string argument; ///< Name of the job, for `Explain`.
    Manifest manifest; ///< Compared with the cell's state, for `Diff`.
    ReplyMailbox<QueryReply> reply;
};

/// A message to the node task.
using NodeMessage = std::variant<Event, SubmitRequest, SubmitReport, SubmitManifest, SubmitCancel, SubmitQuery>;
using NodeMailbox = Mailbox<NodeMessage>;

/// Reports to the node which writes of one of its logs are durable, and that the disk refuses them.
struct NodeLogWriteObserver {
    LogKind log = LogKind::Cell;
    NodeMailbox& nodeMailbox;

    void didSync(uint64_t sequence) { nodeMailbox.tryPushUrgent(Event(LogWritten { log, sequence })); }
    void didRefuse(const Error& error) { nodeMailbox.tryPushUrgent(Event(LogRefused { log, error.text() })); }
};

} // namespace eelgrassloft::io
