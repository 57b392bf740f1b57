#pragma once

#include "io/node_durability_gate.h"
#include "node_cluster_models.h"

namespace eelgrassloft::testing {

/// Discrete-event simulation of nodes with model workers and upstreams, in virtual time. Checks
/// the invariants that span several nodes on every step.
template <typename NodeType = Node<>>
class NodeCluster {
public:
    explicit NodeCluster(NodeClusterOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    {
        const uint32_t count = m_options.dataCentres * m_options.hostsPerDataCentre;
        for (uint32_t i = 0; i < count; ++i) {
            const uint32_t dataCentre = i / m_options.hostsPerDataCentre;
            m_settings.host(i, "dc-" + std::to_string(dataCentre), "region-" + std::to_string(dataCentre / m_options.dataCentresPerRegion));
        }
        m_hosts.resize(count);
        for (uint32_t i = 0; i < count; ++i)
            startHost(i, true);
        for (uint32_t i = 0; i < count; ++i)
            connectAll(i);
    }

    // Time.

    Time now() const { return m_now; }

    void run(Duration duration) { runUntil(m_now + duration); }

    void runUntil(Time end)
    {
        while (m_now < end) {
            const Time next = nextTime();
            m_now = std::min(end, std::max(next, m_now));
            if (next > end)
                return;
            runDue();
        }
    }

    /// Runs until `condition` holds. False where it does not hold within `limit`.
    template <typename Condition>
    bool runUntilTrue(Condition&& condition, Duration limit)
    {
        const Time end = m_now + limit;
        while (!condition()) {
            if (m_now >= end)
                return false;
            run(std::chrono::milliseconds(1));
        }
        return true;
    }

    // Hosts.

    NodeType& node(uint32_t i) { return *m_hosts[i].node; }
    size_t hostCount() const { return m_hosts.size(); }
    bool isUp(uint32_t i) const { return m_hosts[i].node.has_value(); }

    /// Kills a host's process: its memory is lost, and its peers see their connections close.
    void kill(uint32_t i)
    {
        m_hosts[i].node.reset();
        ++m_hosts[i].incarnation;
        for (uint32_t other = 0; other < m_hosts.size(); ++other)
            schedule(other, {}, Event(PeerDown { HostId { i } }));
    }

    /// Starts a killed host with empty logs and a new incarnation.
    void restart(uint32_t i)
    {
        startHost(i, false);
        connectAll(i);
    }

    /// Drops all messages between two hosts; both notice the lost connection after 2 s.
    void partition(uint32_t a, uint32_t b)
    {
        m_partitions.insert({ std::min(a, b), std::max(a, b) });
        schedule(a, std::chrono::seconds(2), Event(PeerDown { HostId { b } }));
        schedule(b, std::chrono::seconds(2), Event(PeerDown { HostId { a } }));
    }

    void healPartitions()
    {
        for (const auto& [a, b] : std::exchange(m_partitions, {})) {
            schedule(a, {}, Event(PeerUp { HostId { b } }));
            schedule(b, {}, Event(PeerUp { HostId { a } }));
        }
    }

    /// Host that leads the log of a data centre under a valid lease.
    std::optional<uint32_t> dataCentreLeader(uint32_t dataCentre)
    {
        for (uint32_t i = dataCentre * m_options.hostsPerDataCentre; i < (dataCentre + 1) * m_options.hostsPerDataCentre; ++i) {
            if (isUp(i) && node(i).dataCentre().hasLease(m_now))
                return i;
        }
        return std::nullopt;
    }

    std::optional<uint32_t> cellLeader()
    {
        for (uint32_t i = 0; i < m_hosts.size(); ++i) {
            if (isUp(i) && node(i).cell().hasLease(m_now))
                return i;
        }
        return std::nullopt;
    }

    /// Runs until every log has a leader with a lease.
    bool runUntilLeadersElected()
    {
        return runUntilTrue([&] {
            for (uint32_t i = 0; i < m_options.dataCentres; ++i) {
                if (!dataCentreLeader(i))
                    return false;
            }
            return cellLeader().has_value();
        },
            std::chrono::seconds(30));
    }

    // Upstreams.

    UpstreamModel& addUpstream(uint32_t dataCentre, const std::string& service, uint32_t slots, Duration serviceTime)
    {
        auto& model = m_upstreams.emplace_back(std::make_unique<UpstreamModel>());
        model->announcement = { "upstream-" + std::to_string(m_upstreams.size()), service, "10.0.0.1", static_cast<uint16_t>(m_upstreams.size()), slots, slots * 8, false };
        model->dataCentre = "dc-" + std::to_string(dataCentre);
        model->serviceTime = serviceTime;
        announce(m_upstreams.size() - 1);
        return *model;
    }

    UpstreamModel& upstream(size_t i) { return *m_upstreams[i]; }

    /// Announces that an upstream is leaving.
    void announceLeaving(size_t i)
    {
        m_upstreams[i]->announcement.isLeaving = true;
        sendAnnouncement(i);
    }

    // Callers.

    RequestId request(uint32_t host, const std::string& service, Duration timeout, const std::string& key = {}, uint64_t digest = 1, Duration ownServiceTime = {})
    {
        Request request { RequestId { m_nextRequest++ }, service, m_now + timeout, key.empty(), key, digest };
        m_requests.arrive(m_now, request, ownServiceTime);
        schedule(host, {}, Event(RequestArrived { request }));
        return request.id;
    }

    const EndedRequest* ended(RequestId id) const { return m_requests.ended(id); }
    Duration latency(RequestId id) const { return m_requests.latency(id); }

    // Operators.

    CallId submitManifest(uint32_t host, const Manifest& manifest, const std::string& operationId, std::optional<uint64_t> expectRevision = {})
    {
        const CallId call { m_nextCall++ };
        schedule(host, {}, Event(ManifestSubmitted { call, operationId, expectRevision, manifest }));
        return call;
    }

    CallId cancel(uint32_t host, const std::string& dataCentre, std::vector<std::string> jobs)
    {
        const CallId call { m_nextCall++ };
        schedule(host, {}, Event(JobsCancelled { call, dataCentre, std::move(jobs) }));
        return call;
    }

    const decltype(AnswerOperator::reply)* operatorReply(CallId call) const
    {
        const auto found = m_operatorReplies.find(call);
        return found == m_operatorReplies.end() ? nullptr : &found->second;
    }

    // Workers.

    examples::WorkerModel& addWorker(uint32_t dataCentre, const std::string& workerName, const std::string& rack, Resources capacity)
    {
        auto& worker = m_workers.emplace_back(std::make_unique<WorkerHost>(examples::WorkerModel(workerName, ++m_nextIncarnation, rack, capacity), dataCentre));
        m_actions.emplace(m_now, makeAction(ActionKind::WorkerReport, static_cast<uint32_t>(m_workers.size() - 1)));
        return worker->model;
    }

    /// Disconnects a worker from all hosts, or connects it again.
    void setWorkerDisconnected(size_t i, bool isDisconnected) { m_workers[i]->isDisconnected = isDisconnected; }

    const std::vector<examples::WorkerEvent>& workerEvents() const { return m_tasks.events(); }
    uint64_t countEvents(const std::string& what, const std::string& job) const { return m_tasks.count(what, job); }
    /// When a task of the job was last started.
    Time startedAt(const std::string& job) const { return m_tasks.startedAt(job); }

    const std::vector<size_t>& trace() const { return m_trace; }
    void sendEvent(uint32_t host, Event event) { schedule(host, {}, std::move(event)); }
    bool hasDrained(uint32_t host) const { return m_hosts[host].hasDrained; }

private:
    struct Host {
        std::optional<NodeType> node;
        uint64_t incarnation = 0; ///< Number of times that the process was killed.
        io::NodeDurabilityGate gate;
        std::map<CallId, size_t> workerCalls;
        bool hasDrained = false;
    };

    struct WorkerHost {
        WorkerHost(examples::WorkerModel modelValue, uint32_t dataCentreValue)
            : model(std::move(modelValue))
            , dataCentre(dataCentreValue)
        {
        }

        examples::WorkerModel model;
        uint32_t dataCentre;
        bool isDisconnected = false;
        uint64_t reportCount = 0; ///< Rises with each report and each reply to one. Selects the host to report to.
        Time sentAt {};
        CallId call; ///< Of the last report; replies to earlier ones are ignored.
    };

    enum class ActionKind : uint8_t {
        HostEvent,
        Announce,
        WorkerReport,
        WorkerTimeout,
        UpstreamDone,
        Count
    };

    struct Action {
        ActionKind kind = ActionKind::HostEvent;
        uint32_t target = 0;
        Event event;
        AttemptId attempt;
        uint64_t incarnation = 0; ///< Of the target host; for a worker's timeout the worker's `reportCount`. An outdated action is dropped.
        uint32_t upstream = 0;
        HostId from; ///< Sender of a peer message, which is dropped where a partition separates it from the target.
    };

    static Action makeAction(ActionKind kind, uint32_t target, uint64_t incarnation = 0)
    {
        Action action;
        action.kind = kind;
        action.target = target;
        action.incarnation = incarnation;
        return action;
    }

    bool isPartitioned(uint32_t a, uint32_t b) const { return m_partitions.contains({ std::min(a, b), std::max(a, b) }); }

    void startHost(uint32_t i, bool mayForm)
    {
        NodeStart start;
        start.settings = m_settings.self(i).build();
        start.now = m_now;
        start.seed = m_options.seed * 1000 + i + m_hosts[i].incarnation;
        start.incarnation = ++m_nextIncarnation;
        start.mayForm = mayForm;
        m_hosts[i].node.emplace(std::move(start));
        m_hosts[i].gate = {};
    }

    void connectAll(uint32_t i)
    {
        for (uint32_t other = 0; other < m_hosts.size(); ++other) {
            if (other == i || !isUp(other) || isPartitioned(i, other))
                continue;
            schedule(i, {}, Event(PeerUp { HostId { other } }));
            schedule(other, {}, Event(PeerUp { HostId { i } }));
        }
    }

    void schedule(uint32_t host, Duration delay, Event event, HostId from = {})
    {
        m_actions.emplace(m_now + delay, Action { ActionKind::HostEvent, host, std::move(event), {}, m_hosts[host].incarnation, 0, from });
    }

    Time nextTime() const
    {
        Time next = m_actions.empty() ? never : m_actions.begin()->first;
        for (const Host& host : m_hosts) {
            if (host.node)
                next = std::min(next, host.node->nextDeadline());
        }
        return next;
    }

    void runDue()
    {
        while (!m_actions.empty() && m_actions.begin()->first <= m_now) {
            const Action action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
            runAction(action);
        }
        for (uint32_t i = 0; i < m_hosts.size(); ++i) {
            if (isUp(i) && m_hosts[i].node->nextDeadline() <= m_now) {
                step(i, Tick {});
                requireInvariant(m_hosts[i].node->nextDeadline() > m_now, "the next deadline of a node is in the future after a tick");
            }
        }
        for (auto& worker : m_workers) {
            if (worker->model.nextTransition() <= m_now) {
                worker->model.advance(m_now);
                recordWorkerEvents(*worker);
            }
        }
    }

    void runAction(const Action& action)
    {
        switch (action.kind) {
        case ActionKind::HostEvent:
            if (isUp(action.target) && m_hosts[action.target].incarnation == action.incarnation && !(action.from.isValid() && isPartitioned(action.from.value, action.target)))
                step(action.target, action.event);
            break;
        case ActionKind::Announce:
            announce(action.target);
            break;
        case ActionKind::WorkerReport:
            reportWorker(action.target);
            break;
        case ActionKind::WorkerTimeout:
            if (m_workers[action.target]->reportCount == action.incarnation)
                reportWorker(action.target);
            break;
        default:
            finishAttempt(action);
        }
    }

    void step(uint32_t i, const Event& event)
    {
        if (const auto* written = std::get_if<LogWritten>(&event))
            releaseMessages(i, *written);
        Effects effects = m_hosts[i].node->step(m_now, event);
        if (m_options.recordsTrace)
            m_trace.push_back(effects.size());
        for (Effect& effect : effects)
            std::visit([&](auto& body) { perform(i, body); }, effect);
        checkShares(i);
    }

    void releaseMessages(uint32_t i, const LogWritten& written)
    {
        for (const SendPeerMessage& message : m_hosts[i].gate.release(written))
            transmit(i, message);
    }

    void transmit(uint32_t i, const SendPeerMessage& effect)
    {
        if (!isPartitioned(i, effect.to.value))
            schedule(effect.to.value, m_options.delay(i, effect.to.value), Event(PeerMessageReceived { HostId { i }, effect.message }), HostId { i });
    }

    void perform(uint32_t i, SendPeerMessage& effect)
    {
        if (m_trace.size() && m_options.recordsTrace)
            m_trace.push_back(encodedSize(effect.message));
        if (const auto message = m_hosts[i].gate.admit(std::move(effect)))
            transmit(i, *message);
    }

    template <typename M>
    void performWrite(uint32_t i, LogKind log, const WriteLog<M>& effect)
    {
        schedule(i, m_options.syncTime, Event(LogWritten { log, effect.write.sequence }));
    }

    void perform(uint32_t i, WriteLog<CellStateMachine>& effect) { performWrite(i, LogKind::Cell, effect); }
    void perform(uint32_t i, WriteLog<DataCentreStateMachine>& effect) { performWrite(i, LogKind::DataCentre, effect); }
    void perform(uint32_t, LogEvent&) { }
    void perform(uint32_t i, DrainFinished&) { m_hosts[i].hasDrained = true; }

    void perform(uint32_t, AnswerCaller& effect) { m_requests.end(m_now, effect.ended); }
    void perform(uint32_t, AnswerOperator& effect) { m_operatorReplies.emplace(effect.call, effect.reply); }

    // Upstreams.

    void announce(size_t i)
    {
        if (m_upstreams[i]->isAnnouncing)
            sendAnnouncement(i);
        m_actions.emplace(m_now + std::chrono::milliseconds(500), makeAction(ActionKind::Announce, static_cast<uint32_t>(i)));
    }

    void sendAnnouncement(size_t i)
    {
        const uint32_t dataCentre = static_cast<uint32_t>(std::stoul(m_upstreams[i]->dataCentre.substr(3)));
        for (uint32_t k = 0; k < m_options.hostsPerDataCentre; ++k) {
            const uint32_t host = dataCentre * m_options.hostsPerDataCentre + (static_cast<uint32_t>(i) + k) % m_options.hostsPerDataCentre;
            if (isUp(host)) {
                schedule(host, m_options.intraDataCentreDelay, Event(UpstreamAnnounced { m_upstreams[i]->announcement }));
                return;
            }
        }
    }

    void perform(uint32_t i, DispatchAttempt& effect)
    {
        const uint32_t index = effect.port - 1U;
        UpstreamModel& model = *m_upstreams[index];
        Action completion { ActionKind::UpstreamDone, i, {}, effect.attempt, m_hosts[i].incarnation, index, {} };
        if (model.refuses) {
            completion.event = AttemptFailed { effect.attempt, AttemptFailure::RefusedByUpstream };
            m_actions.emplace(m_now + m_options.intraDataCentreDelay * 2, std::move(completion));
            return;
        }
        model.start(m_requests.keyOf(effect.request));
        m_requests.start(effect.request);
        completion.event = model.result(effect.attempt, effect.request);
        const Duration service = m_requests.serviceTime(effect.request, model.serviceTime);
        const Duration time = model.isUnresponsive ? std::chrono::seconds(3) : service;
        m_actions.emplace(m_now + time, std::move(completion));
    }

    void finishAttempt(const Action& action)
    {
        UpstreamModel& model = *m_upstreams[action.upstream];
        const auto* failed = std::get_if<AttemptFailed>(&action.event);
        if (!failed || failed->failure != AttemptFailure::RefusedByUpstream)
            --model.running;
        if (isUp(action.target) && m_hosts[action.target].incarnation == action.incarnation)
            step(action.target, action.event);
    }

    /// Checks that the unexpired shares of running hosts sum to no more than each upstream's slots.
    void checkShares(uint32_t i)
    {
        for (const Upstream& known : m_hosts[i].node->router().upstreams().all()) {
            uint32_t sum = 0;
            for (uint32_t other = 0; other < m_hosts.size(); ++other) {
                if (!isUp(other))
                    continue;
                const UpstreamSet& set = m_hosts[other].node->router().upstreams();
                const UpstreamId id = set.find(known.announcement.name);
                if (id.isValid() && m_now < set.leaseEnd())
                    sum += set.at(id).share;
            }
            requireInvariant(sum <= known.announcement.slots, "shares of an upstream sum to no more than its slots");
        }
    }

    // Workers.

    void reportWorker(uint32_t i)
    {
        WorkerHost& worker = *m_workers[i];
        ++worker.reportCount;
        m_actions.emplace(m_now + std::chrono::seconds(2), makeAction(ActionKind::WorkerTimeout, i, worker.reportCount));
        const uint32_t host = worker.dataCentre * m_options.hostsPerDataCentre + static_cast<uint32_t>(worker.reportCount % m_options.hostsPerDataCentre);
        WorkerReport report = worker.model.report(m_now);
        recordWorkerEvents(worker);
        if (worker.isDisconnected || !isUp(host))
            return;
        worker.call = CallId { m_nextCall++ };
        worker.sentAt = m_now;
        m_hosts[host].workerCalls[worker.call] = i;
        schedule(host, m_options.intraDataCentreDelay, Event(WorkerReported { worker.call, std::move(report) }));
    }

    void perform(uint32_t i, AnswerWorker& effect)
    {
        const auto found = m_hosts[i].workerCalls.find(effect.call);
        if (found == m_hosts[i].workerCalls.end())
            return;
        const size_t index = found->second;
        m_hosts[i].workerCalls.erase(found);
        WorkerHost& worker = *m_workers[index];
        if (worker.isDisconnected || worker.call != effect.call)
            return;
        const bool isRenewed = worker.model.handleReply(m_now, worker.sentAt, effect.reply);
        recordWorkerEvents(worker);
        ++worker.reportCount;
        m_actions.emplace(m_now + std::chrono::milliseconds(isRenewed ? 10 : 100), makeAction(ActionKind::WorkerReport, static_cast<uint32_t>(index)));
    }

    void recordWorkerEvents(WorkerHost& worker)
    {
        for (examples::WorkerEvent& event : worker.model.takeEvents())
            m_tasks.add(m_now, worker.model.name(), std::move(event));
    }

    NodeClusterOptions m_options;
    Random m_random;
    NodeSettingsBuilder m_settings;
    Time m_now { std::chrono::hours(1) };
    std::vector<Host> m_hosts;
    std::vector<std::unique_ptr<UpstreamModel>> m_upstreams;
    std::vector<std::unique_ptr<WorkerHost>> m_workers;
    std::multimap<Time, Action> m_actions;
    std::set<std::pair<uint32_t, uint32_t>> m_partitions;
    RequestRecords m_requests;
    TaskRecords m_tasks;
    std::map<CallId, decltype(AnswerOperator::reply)> m_operatorReplies;
    std::vector<size_t> m_trace;
    uint64_t m_nextIncarnation = 0;
    uint64_t m_nextRequest = 1;
    uint64_t m_nextCall = 1;
};

} // namespace eelgrassloft::testing
