#pragma once

#include "eelgrassloft/effects.h"
#include "host_load.h"
#include "replica_messages.h"
#include "worker_orders.h"

namespace eelgrassloft {

// Calls of callers, operators and workers, which may arrive at any host.

/// Host name and path of a caller's request, which select its queue, and the key that it carries.
struct QueueAddress {
    std::string host;
    std::string path;
    std::string key {}; ///< Empty if the request carries none.

    static constexpr auto members() { return std::make_tuple(&QueueAddress::host, &QueueAddress::path, &QueueAddress::key); }
};

struct SubmitJob {
    SubmitWork work;
    std::optional<QueueAddress> address {}; ///< If known, goes before the queue's name.

    static constexpr auto members() { return std::make_tuple(&SubmitJob::work, &SubmitJob::address); }
};

struct GetJobState {
    JobKey key;
    std::string workspace {}; ///< For which the caller acts; empty for none.

    static constexpr auto members() { return std::make_tuple(&GetJobState::key, &GetJobState::workspace); }
};

struct CancelJob {
    JobKey key;
    std::string workspace {}; ///< For which the caller acts; empty for none.

    static constexpr auto members() { return std::make_tuple(&CancelJob::key, &CancelJob::workspace); }
};

struct CountPendingJobs {
    std::string queue;
    std::optional<QueueAddress> address {}; ///< If known, goes before the queue's name.

    static constexpr auto members() { return std::make_tuple(&CountPendingJobs::queue, &CountPendingJobs::address); }
};

struct PutConfig {
    FleetConfig config;

    static constexpr auto members() { return std::make_tuple(&PutConfig::config); }
};

/// Looks up the queue that serves an address in the configuration in force.
struct FindQueueInForce {
    QueueAddress address;

    static constexpr auto members() { return std::make_tuple(&FindQueueInForce::address); }
};

struct GetConfig {
    static constexpr auto members() { return std::make_tuple(); }
};

struct ReportWorker {
    WorkerInfo info;
    uint64_t sequence = 0; ///< Rises with each report of an incarnation; 0 if the worker doesn't number them.

    static constexpr auto members() { return std::make_tuple(&ReportWorker::info, &ReportWorker::sequence); }
};

/// Reports that an incarnation of a worker is ending.
struct DeregisterWorker {
    std::string id;

    static constexpr auto members() { return std::make_tuple(&DeregisterWorker::id); }
};

using ControlRequest = std::variant<SubmitJob, GetJobState, CancelJob, CountPendingJobs, PutConfig, GetConfig, ReportWorker, DeregisterWorker, FindQueueInForce>;

/// Name of the call's kind, for logs.
constexpr std::string_view callName(const ControlRequest& request)
{
    constexpr std::array<std::string_view, std::variant_size_v<ControlRequest>> names { "submit-job", "get-job-state", "cancel-job",
        "count-pending-jobs", "put-config", "get-config", "report-worker", "worker-gone", "find-queue" };
    return names[request.index()];
}

/// Job to which a call refers; invalid if there is none.
inline JobKey jobOf(const ControlRequest& request)
{
    if (const auto* submit = std::get_if<SubmitJob>(&request))
        return submit->work.key;
    if (const auto* get = std::get_if<GetJobState>(&request))
        return get->key;
    if (const auto* cancel = std::get_if<CancelJob>(&request))
        return cancel->key;
    return {};
}

/// Whether a call changes anything. Others may be carried out any number of times, or dropped.
constexpr bool takesEffect(const ControlRequest& request)
{
    return !std::holds_alternative<GetJobState>(request) && !std::holds_alternative<CountPendingJobs>(request)
        && !std::holds_alternative<GetConfig>(request) && !std::holds_alternative<FindQueueInForce>(request);
}

enum class ControlStatus : uint8_t {
    Ok,
    UnknownQueue, ///< No such queue in the configuration in force.
    UnknownJob, ///< To a cancellation also: the job won't be accepted.
    CancelledEarly, ///< The job was cancelled before it was submitted; it was not accepted and never runs.
    Unavailable, ///< The outcome is unknown: the call may or may not have taken effect.
    NotAccepted, ///< The call had and will have no effect.
    NoMemory, ///< Like `NotAccepted`, as the state has no room for the job or its cancellation. Sending it elsewhere doesn't help.
    UnknownKey, ///< The queue needs a key, and no workspace of the configuration in force has the call's.
    NameTaken, ///< Another workspace has a job of this name, so the job was not accepted and never runs.
    Overloaded, ///< Like `NotAccepted`, as the job could not end before its late limit.
    Count
};

constexpr NameTable<ControlStatus> nameTable(ControlStatus)
{
    constexpr NameTable<ControlStatus> table { "ok", "unknown-queue", "unknown-job", "cancelled-early", "unavailable", "not-accepted", "no-memory", "unknown-key", "name-taken", "overloaded" };
    static_assert(detail::isComplete<ControlStatus>(table));
    return table;
}

/// Whether a call with this status had no effect and won't have one, whatever its other attempts did.
constexpr bool hadNoEffect(ControlStatus status)
{
    return status == ControlStatus::NotAccepted || status == ControlStatus::NoMemory || status == ControlStatus::Overloaded;
}

struct ControlReply {
    ControlStatus status = ControlStatus::Ok;
    WorkState state = WorkState::Queued; ///< State of the requested job.
    uint64_t count = 0; ///< Number of pending jobs.
    std::string text; ///< The configuration in force.
    std::optional<QueueSpec> queue {}; ///< The requested queue.
    uint64_t configVersion = 0; ///< Version by which the call's queue was found; 0 in replies to other calls.
    std::string workspace {}; ///< For which the caller of a requested queue acts; empty for none.
    Duration retryAfter {}; ///< When the caller of a refused call should come back. Set by the leader if the call is refused for overload, otherwise by the host that took the call.

    static constexpr auto members()
    {
        return std::make_tuple(&ControlReply::status, &ControlReply::state, &ControlReply::count, &ControlReply::text, &ControlReply::queue, &ControlReply::configVersion, &ControlReply::workspace,
            &ControlReply::retryAfter);
    }
};

// Messages between the hosts of a fleet.

/// First message of a control host on each connection; identifies it as a member of the log.
struct LogHello {
    uint64_t incarnation = 0;
    bool isEmpty = true;
    std::string region;
    std::string dataCentre;

    static constexpr auto members()
    {
        return std::make_tuple(&LogHello::incarnation, &LogHello::isEmpty, &LogHello::region, &LogHello::dataCentre);
    }
};

/// Status of a control host, sent periodically and after changes.
struct ControlStatusReport {
    uint64_t term = 0;
    HostId leader; ///< Invalid if unknown.
    bool isLeading = false; ///< Whether the sender is the leader and holds a valid lease.
    std::vector<HostId> hosts; ///< Voters of the log.
    uint64_t configVersion = 0; ///< Version that the sender holds; the one in force if it leads.
    Time answeredAt {}; ///< Time of the receiver's latest status report that the sender knows, by the receiver's clock.
    HostLoad load {};

    static constexpr auto members()
    {
        return std::make_tuple(&ControlStatusReport::term, &ControlStatusReport::leader, &ControlStatusReport::isLeading,
            &ControlStatusReport::hosts, &ControlStatusReport::configVersion, &ControlStatusReport::answeredAt, &ControlStatusReport::load);
    }
};

/// Status of an entry host. The next status of a control host answers it.
struct EntryStatusReport {
    uint64_t configVersion = 0; ///< Version that the host uses.
    bool isStopping = false;
    Time sentAt {}; ///< By the sender's clock. The answer repeats it, so that a delayed answer does not count as new.
    HostLoad load {};

    static constexpr auto members() { return std::make_tuple(&EntryStatusReport::configVersion, &EntryStatusReport::isStopping, &EntryStatusReport::sentAt, &EntryStatusReport::load); }
};

/// Asks a control host for the queues that changed after a version of the configuration.
struct ConfigRequest {
    uint64_t baseVersion = 0; ///< Version that the sender has; 0 for none.
    std::string afterQueue; ///< Name up to which the sender has the changes; empty for the first part.

    static constexpr auto members() { return std::make_tuple(&ConfigRequest::baseVersion, &ConfigRequest::afterQueue); }
};

/// The changes between two versions of the queues whose names follow `afterQueue`, up to `lastQueue`.
struct ConfigPart {
    uint64_t version = 0; ///< Version that the sender holds.
    uint64_t baseVersion = 0; ///< As requested; 0, with an empty `afterQueue`, if the sender does not know what changed since.
    std::string afterQueue;
    std::string lastQueue;
    bool isLast = false; ///< No queue after `lastQueue` has changed.
    uint64_t digest = 0; ///< Sum of the hashes of all queues and workspaces of `version`.
    std::vector<QueueSpec> queues; ///< Added or changed.
    std::vector<std::string> removedQueues;
    std::optional<std::vector<WorkspaceSpec>> workspaces; ///< All of `version`, in the last part if any may have changed.

    static constexpr auto members()
    {
        return std::make_tuple(&ConfigPart::version, &ConfigPart::baseVersion, &ConfigPart::afterQueue, &ConfigPart::lastQueue,
            &ConfigPart::isLast, &ConfigPart::digest, &ConfigPart::queues, &ConfigPart::removedQueues, &ConfigPart::workspaces);
    }
};

/// A call that is forwarded to the leader.
struct ForwardedCall {
    uint64_t number = 0; ///< Chosen by the sender.
    uint8_t hops = 0;
    HostId origin;
    ControlRequest request;

    static constexpr auto members()
    {
        return std::make_tuple(&ForwardedCall::number, &ForwardedCall::hops, &ForwardedCall::origin, &ForwardedCall::request);
    }
};

struct ForwardedCallReply {
    uint64_t number = 0;
    HostId origin;
    ControlReply reply;

    static constexpr auto members()
    {
        return std::make_tuple(&ForwardedCallReply::number, &ForwardedCallReply::origin, &ForwardedCallReply::reply);
    }
};

/// Asks a host to call the advice service for the leader. The service serves one call of each host
/// at a time.
struct AdviceRequest {
    uint64_t number = 0;
    TaskRef step; ///< The task index is ignored.
    std::vector<std::string> workers;
    Duration timeout {};

    static constexpr auto members()
    {
        return std::make_tuple(&AdviceRequest::number, &AdviceRequest::step, &AdviceRequest::workers, &AdviceRequest::timeout);
    }
};

struct AdviceTicket {
    std::string worker;
    std::string ticket;

    static constexpr auto members() { return std::make_tuple(&AdviceTicket::worker, &AdviceTicket::ticket); }
};

struct AdviceReply {
    uint64_t number = 0;
    bool isAnswered = false; ///< False if the service refused or did not respond.
    std::vector<AdviceTicket> allowed;
    Duration validity {};

    static constexpr auto members()
    {
        return std::make_tuple(&AdviceReply::number, &AdviceReply::isAnswered, &AdviceReply::allowed, &AdviceReply::validity);
    }
};

/// Asks the control host of a worker's data centre to call the worker for the leader.
struct WorkerCallRequest {
    uint64_t number = 0;
    std::string workerId;
    std::string address;
    WorkerOrder order;

    static constexpr auto members()
    {
        return std::make_tuple(&WorkerCallRequest::number, &WorkerCallRequest::workerId, &WorkerCallRequest::address, &WorkerCallRequest::order);
    }
};

struct WorkerCallReply {
    uint64_t number = 0;
    OrderResponse response;

    static constexpr auto members() { return std::make_tuple(&WorkerCallReply::number, &WorkerCallReply::response); }
};

using FleetMessage = std::variant<LogHello, ControlStatusReport, EntryStatusReport, ConfigRequest, ConfigPart, ForwardedCall,
    ForwardedCallReply, AdviceRequest, AdviceReply, WorkerCallRequest, WorkerCallReply, ReplicaMessage<WorkTable>>;

} // namespace eelgrassloft
