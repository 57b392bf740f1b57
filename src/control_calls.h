#pragma once

#include "call_replies.h"

#include <variant>

namespace eelgrassloft {

/// What the leader knows when it decides on a call.
struct CallContext {
    const WorkTable& table;
    const WorkerDispatcher& dispatcher;
    bool isReportOutdated = false; ///< Whether the call is a worker's report that a later one overtook.
    uint32_t maxWorkers = 0; ///< If there are as many, further workers are refused; 0: no limit.
};

/// What the leader does with a call: it replies at once, or proposes a command whose result is the reply.
struct CallDecision {
    std::variant<ControlReply, WorkCommand> outcome;
    uint64_t configVersion = 0; ///< Version by which the queue of a proposed job was found.
    std::optional<FleetCounter> counter {}; ///< Counts the call.
    std::optional<SubmitWork> refused {}; ///< Job that is not accepted, if that is to be logged.

    const ControlReply* reply() const { return std::get_if<ControlReply>(&outcome); }
};

inline CallDecision decideCall(const CallContext& context, const SubmitJob& request)
{
    const WorkTable& table = context.table;
    const WorkJob* known = table.job(request.work.key);
    if (known && table.mayUse(request.work.workspace, *known))
        return { ControlReply {}, 0, FleetCounter::JobsResubmitted };
    ControlReply found = lookUpQueue(table.config(), request.work.queue, request.address);
    if (!found.queue)
        return { std::move(found) };
    if (known)
        return { ControlReply { ControlStatus::NameTaken, {}, 0, {} } };
    SubmitWork work = request.work;
    work.queue = found.queue->name;
    work.workspace = found.workspace;
    if (table.isCancelledEarly(work.key, work.workspace))
        return { ControlReply { ControlStatus::CancelledEarly, {}, 0, {} }, 0, {}, std::move(work) };
    return { WorkCommand { std::move(work) }, found.configVersion };
}

inline CallDecision decideCall(const CallContext& context, const GetJobState& request)
{
    const WorkJob* job = context.table.job(request.key);
    const bool isVisible = job && context.table.mayUse(request.workspace, *job);
    return { ControlReply { isVisible ? ControlStatus::Ok : ControlStatus::UnknownJob, isVisible ? job->state : WorkState::Queued, 0, {} } };
}

inline CallDecision decideCall(const CallContext& context, const CancelJob& request)
{
    const WorkJob* job = context.table.job(request.key);
    if (job && !context.table.mayUse(request.workspace, *job))
        return { ControlReply { ControlStatus::UnknownJob, {}, 0, {} } };
    if (job && isEnded(job->state))
        return { ControlReply {} };
    return { WorkCommand { CancelWork { request.key, request.workspace } } };
}

inline CallDecision decideCall(const CallContext& context, const CountPendingJobs& request)
{
    ControlReply found = lookUpQueue(context.table.config(), request.queue, request.address);
    if (!found.queue)
        return { std::move(found) };
    return { ControlReply { ControlStatus::Ok, {}, pendingJobs(context.table, context.dispatcher, found.queue->name), {}, {}, found.configVersion } };
}

inline CallDecision decideCall(const CallContext& context, const PutConfig& request)
{
    if (request.config.version <= context.table.config().version)
        return { ControlReply {} };
    return { WorkCommand { SetFleetConfig { request.config } } };
}

inline CallDecision decideCall(const CallContext& context, const FindQueueInForce& request) { return { lookUpQueue(context.table.config(), request.address) }; }

inline CallDecision decideCall(const CallContext& context, const GetConfig&)
{
    const FleetConfig& config = context.table.config();
    return { ControlReply { config.version ? ControlStatus::Ok : ControlStatus::Unavailable, {}, config.version, config.text } };
}

/// How a worker's report relates to what is known of the worker.
struct ReportComparison {
    bool isKnownIncarnation = false;
    bool namesUnknownPool = false; ///< Names a pool that the configuration lacks and would change a known worker, so that it must have no effect.
    bool isCorrection = false; ///< Replaces a report with an unknown pool, whose number says nothing.
};

inline ReportComparison compareReport(const WorkTable& table, const ReportWorker& request)
{
    const FleetConfig& config = table.config();
    const FleetWorker* record = table.worker(table.findWorker(request.info.id));
    ReportComparison comparison;
    comparison.isKnownIncarnation = record && record->info.startedAtMs == request.info.startedAtMs;
    const bool isPoolKnown = !config.version || config.pool(request.info.pool);
    const bool changesPool = comparison.isKnownIncarnation && record->info.pool != request.info.pool;
    comparison.namesUnknownPool = !isPoolKnown && (changesPool || table.displacesWorker(request.info));
    comparison.isCorrection = changesPool && !config.pool(record->info.pool);
    return comparison;
}

inline CallDecision decideCall(const CallContext& context, const ReportWorker& request)
{
    const WorkTable& table = context.table;
    if (compareReport(table, request).namesUnknownPool)
        return { ControlReply { ControlStatus::UnknownQueue, {}, 0, {} } };
    if (context.isReportOutdated)
        return { ControlReply {}, 0, FleetCounter::ReportsOutdated };
    const FleetWorker* record = table.worker(table.findWorker(request.info.id));
    if (record && record->info == request.info)
        return { ControlReply {} };
    if (!table.hasRoomFor(request.info, context.maxWorkers))
        return { ControlReply { ControlStatus::NoMemory, {}, 0, {} }, 0, FleetCounter::WorkersRefused };
    return { WorkCommand { SetFleetWorker { request.info, request.sequence, context.maxWorkers } } };
}

/// Stops placing tasks on the worker. The message may be delayed and belong to an earlier incarnation,
/// so the worker's runs count as running until the lease expires or the next incarnation reports.
inline CallDecision decideCall(const CallContext& context, const DeregisterWorker& request)
{
    const FleetWorker* record = context.table.worker(context.table.findWorker(request.id));
    if (!record || record->info.isLeaving)
        return { ControlReply {} };
    WorkerInfo info = record->info;
    info.isLeaving = true;
    return { WorkCommand { SetFleetWorker { std::move(info), record->reportSequence, 0 } } };
}

inline CallDecision decideCall(const CallContext& context, const ControlRequest& request)
{
    return std::visit([&](const auto& body) { return decideCall(context, body); }, request);
}

} // namespace eelgrassloft
