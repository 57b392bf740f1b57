#include "io/manifest_json.h"
#include "io/node_task.h"

namespace eelgrassloft::io {

namespace {

constexpr int jsonIndent = 2;

template <typename M, typename Context>
Json logStatus(const LogMember<M, Context>& log)
{
    const Replica<M>& replica = log.replica();
    return { { "role", name(replica.role()) }, { "term", replica.term() },
        { "leader", replica.leader().host.isValid() ? Json(replica.leader().host.value) : Json() },
        { "commitIndex", replica.commitIndex() }, { "voters", replica.membership().voters.size() },
        { "learners", replica.membership().learners.size() }, { "forming", log.isForming() } };
}

Json hostsStatus(const DaemonNode& node)
{
    Json hosts = Json::array();
    for (const HostSettings& host : node.peers().settings().hosts) {
        Json entry { { "id", host.id.value }, { "name", host.name }, { "dataCentre", host.dataCentre }, { "region", host.region } };
        const bool isSelf = host.id == node.peers().self();
        entry["connected"] = isSelf || node.peers().isConnected(host.id);
        const auto status = node.hostStatus().find(host.id);
        if (isSelf)
            entry["revision"] = node.cell().stateMachine().revision;
        else if (status != node.hostStatus().end())
            entry["revision"] = status->second.cellRevision;
        else
            entry["revision"] = Json();
        entry["draining"] = isSelf ? node.isDraining() : status != node.hostStatus().end() && status->second.isDraining;
        hosts.push_back(std::move(entry));
    }
    return hosts;
}

Json status(const DaemonNode& node, Time now)
{
    const TaskTable& tasks = node.dataCentre().stateMachine().tasks;
    const CellStateMachine& cell = node.cell().stateMachine();
    return { { "cluster", node.peers().settings().cluster }, { "host", node.peers().self().value },
        { "dataCentre", node.peers().ownDataCentre() }, { "ready", node.isReady(now) },
        { "revision", cell.revision }, { "lastOperation", cell.lastOperation },
        { "hasCellLeader", node.cell().leader().isValid() },
        { "logs", { { "cell", logStatus(node.cell()) }, { "dataCentre", logStatus(node.dataCentre()) } } },
        { "hosts", hostsStatus(node) },
        { "requests", { { "pending", node.router().pendingCount() }, { "attempts", node.router().attemptCount() } } },
        { "tasks", { { "jobs", tasks.jobs().size() }, { "tasks", tasks.tasks().size() }, { "workers", tasks.workers().size() }, { "revision", tasks.cellRevision() } } },
        { "records", node.dataCentre().stateMachine().idempotencyRecords.size() } };
}

Json taskCounts(const TaskTable& tasks, const JobRecord& job)
{
    EnumArray<TaskState, uint32_t> counts;
    for (const TaskId id : job.tasks)
        ++counts[tasks.task(id)->state];
    Json result = Json::object();
    forEachValue<TaskState>([&](TaskState state) {
        if (counts[state])
            result[std::string(name(state))] = counts[state];
    });
    return result;
}

Json jobs(const DaemonNode& node)
{
    const TaskTable& tasks = node.dataCentre().stateMachine().tasks;
    Json list = Json::array();
    for (const auto& [jobName, cellJob] : node.cell().stateMachine().jobs) {
        Json entry = toJson(cellJob.spec);
        entry["home"] = cellJob.homeDataCentre;
        const JobRecord* job = tasks.job(jobName);
        entry["taskStates"] = job ? taskCounts(tasks, *job) : Json::object();
        entry["cancelled"] = job && job->isCancelled;
        list.push_back(std::move(entry));
    }
    return list;
}

Json workers(const DaemonNode& node)
{
    Json list = Json::array();
    for (const auto& [workerName, worker] : node.dataCentre().stateMachine().tasks.workers()) {
        list.push_back({ { "name", workerName }, { "rack", worker.rack }, { "state", name(worker.state) },
            { "capacity", toJson(worker.capacity) }, { "committed", toJson(worker.committed) }, { "tasks", worker.tasks.size() },
            { "failedJobs", worker.failedJobs } });
    }
    return list;
}

Json upstreams(const DaemonNode& node, Time now)
{
    Json list = Json::array();
    for (const Upstream& upstream : node.router().upstreams().all()) {
        list.push_back({ { "name", upstream.announcement.name }, { "service", upstream.announcement.service },
            { "address", upstream.announcement.address }, { "port", upstream.announcement.port },
            { "slots", upstream.announcement.slots }, { "announced", upstream.isAnnounced(now) },
            { "leaving", upstream.announcement.isLeaving }, { "share", upstream.share }, { "inFlight", upstream.inFlight },
            { "setAside", now < upstream.pausedUntil }, { "latencyMs", static_cast<double>(upstream.latency.count()) / 1000 } });
    }
    return list;
}

/// Explains for each task of a job why it runs or waits. Only the leader knows why tasks wait.
std::optional<Json> explain(const DaemonNode& node, const std::string& jobName)
{
    const auto& cellJobs = node.cell().stateMachine().jobs;
    const TaskTable& tasks = node.dataCentre().stateMachine().tasks;
    const JobRecord* job = tasks.job(jobName);
    if (!cellJobs.contains(jobName) && !job)
        return std::nullopt;
    Json result { { "job", jobName }, { "home", cellJobs.contains(jobName) ? Json(cellJobs.at(jobName).homeDataCentre) : Json() },
        { "askedDataCentre", node.peers().ownDataCentre() }, { "leads", node.hasLeaderLease() }, { "tasks", Json::array() } };
    if (!job)
        return result;
    for (const TaskId id : job->tasks) {
        const TaskRecord& task = *tasks.task(id);
        Json entry { { "task", id.value }, { "state", name(task.state) }, { "epoch", task.epoch }, { "failures", task.failures },
            { "worker", task.worker }, { "detail", task.detail } };
        if (task.state == TaskState::Queued)
            entry["waitsFor"] = node.hasLeaderLease() ? name(node.scheduler().waitReason(id)) : "known to the leader of the data centre";
        result["tasks"].push_back(std::move(entry));
    }
    return result;
}

} // namespace

QueryReply answerQuery(const DaemonNode& node, const SubmitQuery& query, Time now)
{
    switch (query.kind) {
    case QueryKind::Status:
        return { true, status(node, now).dump(jsonIndent) };
    case QueryKind::Jobs:
        return { true, jobs(node).dump(jsonIndent) };
    case QueryKind::Workers:
        return { true, workers(node).dump(jsonIndent) };
    case QueryKind::Upstreams:
        return { true, upstreams(node, now).dump(jsonIndent) };
    case QueryKind::Diff: {
        Json result { { "revision", node.cell().stateMachine().revision }, { "change", toJson(node.cell().stateMachine().diffTo(query.manifest)) } };
        return { true, result.dump(jsonIndent) };
    }
    case QueryKind::Ready:
        return { node.isReady(now), node.isReady(now) ? "ready\n" : "not ready\n" };
    case QueryKind::Explain: {
        const auto result = explain(node, query.argument);
        return { result.has_value(), result ? result->dump(jsonIndent) : std::string {} };
    }
    default:
        return { false, {} };
    }
}

} // namespace eelgrassloft::io
