#pragma once

#include "claim_coordinator.h"
#include "forwarded_reports.h"
#include "manifest_controller.h"
#include "node_start.h"
#include "request_router.h"
#include "share_agent.h"
#include "task_controller.h"

namespace eelgrassloft {

/// State machine of one entry host, without input or output. `step` is its only entry point: it
/// takes a time and an event, changes the state and returns the effects to carry out. It is
/// deterministic: the same state, seed and events give the same effects.
template <RoutingPolicy Routing = PowerOfTwoChoices, PlacementPolicy Pack = BestFit, PlacementPolicy Spread = SpreadOverRacks>
class Node {
public:
    explicit Node(NodeStart start, Routing routing = {}, Pack pack = {}, Spread spread = {})
        : m_peers(std::move(start.settings))
        , m_random(start.seed)
        , m_incarnation(start.incarnation)
        , m_cell(cellLogOptions(m_peers.settings()), m_peers.self(), incarnationIn(start.cell, start), start.now, m_random.next())
        , m_dataCentre(dataCentreLogOptions(m_peers), m_peers.self(), incarnationIn(start.dataCentre, start), start.now, m_random.next())
        , m_router(std::move(routing), static_cast<uint32_t>(m_peers.settings().hostsIn(m_peers.ownDataCentre()).size()))
        , m_claims(m_peers.self(), start.incarnation)
        , m_taskController(std::move(pack), std::move(spread))
        , m_lastStepTime(start.now)
    {
        startLog(m_cell, std::move(start.cell), start);
        startLog(m_dataCentre, std::move(start.dataCentre), start);
    }

    Effects step(Time now, const Event& event)
    {
        NodeStep step { now, m_peers, m_counters, m_random };
        checkTimeLeap(step);
        std::visit([&](const auto& body) { handle(step, body); }, event);
        tick(step);
        return std::move(step.effects);
    }

    Time nextDeadline() const
    {
        const Time asLeader = hasLeaderLease() ? std::min(m_taskController.nextDeadline(), m_shareAgent.allocator().nextDeadline()) : never;
        return std::min({ m_cell.nextDeadline(), m_dataCentre.nextDeadline(), m_router.nextDeadline(), m_nextStatusTime,
            m_shareAgent.nextDeadline(m_router.hasQueue()), m_forwardedReports.nextDeadline(), asLeader });
    }

    /// Whether the balancer should send requests here.
    bool isReady(Time now) const { return !m_isDrainAnnounced && now < m_router.upstreams().leaseEnd(); }

    const Counters& counters() const { return m_counters; }
    const Peers& peers() const { return m_peers; }
    const CellLog& cell() const { return m_cell; }
    const DataCentreLog& dataCentre() const { return m_dataCentre; }
    const RequestRouter<Routing>& router() const { return m_router; }
    const ShareAllocator& allocator() const { return m_shareAgent.allocator(); }
    const TaskScheduler<Pack, Spread>& scheduler() const { return m_taskController.scheduler(); }
    const std::map<HostId, HostStatus>& hostStatus() const { return m_hostStatus; }
    bool isDraining() const { return m_isDraining; }
    bool hasLeaderLease() const { return m_taskController.hasLeaderLease(); }

private:
    void checkTimeLeap(NodeStep& step)
    {
        const Time expected = std::max(m_lastStepTime, std::min(m_expectedStepTime, step.now));
        if (step.now > expected + config::timeLeapThreshold) {
            step.counters.add(CounterKind::TimeLeaps);
            step.log(LogEventKind::TimeLeap, { { "milliseconds", std::to_string((step.now - expected) / std::chrono::milliseconds(1)) } });
        }
        m_lastStepTime = step.now;
    }

    // Requests.

    void handle(NodeStep&, const Tick&) { }

    void handle(NodeStep& step, const RequestArrived& event)
    {
        step.counters.add(CounterKind::RequestsArrived);
        const Request& request = event.request;
        const RefusalReason reason = m_isDraining ? RefusalReason::Draining : m_router.admissionRefusal(step.now, request);
        if (reason != RefusalReason::None) {
            finishRequest(step, { request.id, Outcome::NotRun, reason, {}, {} });
            return;
        }
        if (request.isRepeatable) {
            m_router.submit(step, request);
            return;
        }
        if (request.key.empty()) {
            finishRequest(step, { request.id, Outcome::NotRun, RefusalReason::MissingKey, {}, {} });
            return;
        }
        m_dataCentre.propose(step, m_claims.claimFor(request), ClaimContext { request }, m_peers.homeDataCentreOf(request.key), request.deadline);
    }

    void handle(NodeStep& step, const RequestRejected& event)
    {
        step.counters.add(CounterKind::RequestsArrived);
        ++m_counters.outcomes[Outcome::NotRun];
        ++m_counters.refusals[event.reason];
    }

    void handle(NodeStep& step, const CallerGone& event) { m_router.callerGone(step, event.request); }
    void handle(NodeStep& step, const AttemptAnswered& event) { m_router.attemptAnswered(step, event.attempt, event.upstreamResponse); }
    void handle(NodeStep& step, const AttemptFailed& event) { m_router.attemptFailed(step, event.attempt, event.failure); }

    void handleCompletedClaim(NodeStep& step, const Request& request, const DataCentreLog::Completed& completed)
    {
        if (!completed.result) {
            // Nothing was dispatched. The claim may have been granted and its reply lost, so it is settled as not run.
            m_claims.track(request);
            const bool isHomeLocal = m_peers.homeDataCentreOf(request.key) == m_peers.ownDataCentre();
            const RefusalReason unreachable = isHomeLocal ? RefusalReason::NoLeader : RefusalReason::HomeUnreachable;
            finishRequest(step, { request.id, Outcome::NotRun, completed.wasLogReachable ? RefusalReason::LogBusy : unreachable, {}, {} });
            return;
        }
        const ClaimResult& result = std::get<ClaimResult>(*completed.result);
        if (result.status != ClaimStatus::Granted) {
            step.counters.add(CounterKind::ClaimsRepeated);
            finishRequest(step, endedByClaim(request.id, result));
            return;
        }
        step.counters.add(CounterKind::ClaimsGranted);
        m_claims.track(request);
        const RefusalReason reason = m_isDraining ? RefusalReason::Draining : m_router.admissionRefusal(step.now, request);
        if (reason != RefusalReason::None)
            finishRequest(step, { request.id, Outcome::NotRun, reason, {}, {} });
        else
            m_router.submit(step, request);
    }

    /// Counts the outcome, settles the request's claim, if it holds one, and answers the caller.
    void finishRequest(NodeStep& step, EndedRequest ended)
    {
        ++m_counters.outcomes[ended.outcome];
        if (ended.outcome == Outcome::NotRun)
            ++m_counters.refusals[ended.refusal];
        if (ended.outcome == Outcome::Unknown)
            ++m_counters.unknowns[ended.unknown];
        if (m_claims.isTracked(ended.request)) {
            const std::string key = m_claims.keyOf(ended.request);
            m_dataCentre.propose(step, *m_claims.settle(ended), SettleContext { ended.request }, m_peers.homeDataCentreOf(key), step.now + config::claimSettleTimeout);
        }
        step.emit(AnswerCaller { std::move(ended) });
    }

    // Upstreams.

    void handle(NodeStep& step, const UpstreamAnnounced& event)
    {
        applyAnnouncement(step, event.announcement);
        for (const HostId host : m_peers.settings().hostsIn(m_peers.ownDataCentre())) {
            if (m_peers.isConnected(host))
                step.send(host, event.announcement);
        }
    }

    void applyAnnouncement(NodeStep& step, const UpstreamAnnouncement& announcement)
    {
        UpstreamSet& upstreams = m_router.upstreams();
        const UpstreamId known = upstreams.find(announcement.name);
        const bool wasAnnounced = known.isValid() && upstreams.at(known).isAnnounced(step.now);
        if (!upstreams.announce(step.now, announcement).isValid())
            return;
        m_shareAgent.applyAnnouncement(announcement);
        if (wasAnnounced == announcement.isLeaving) {
            const auto kind = announcement.isLeaving ? LogEventKind::UpstreamLeaving : LogEventKind::UpstreamAnnounced;
            step.log(kind, { { "upstream", announcement.name }, { "service", announcement.service }, { "slots", std::to_string(announcement.slots) } });
        }
        m_router.dispatchQueued(step, announcement.service);
    }

    // Operators.

    void handle(NodeStep& step, const ManifestSubmitted& event) { m_manifestController.apply(step, m_cell, event); }

    void handle(NodeStep& step, const JobsCancelled& event)
    {
        TaskCommand command = CancelJobs { event.jobs };
        m_dataCentre.propose(step, std::move(command), CancelContext { event.call }, event.dataCentre, step.now + config::operatorTimeout);
    }

    void handleCompletedCancellation(NodeStep& step, CallId call, const DataCentreLog::Completed& completed)
    {
        if (completed.result)
            step.emit(AnswerOperator { call, std::get<TaskCommandResult>(*completed.result) });
        else
            step.emit(AnswerOperator { call, Error { ErrorKind::NotLeader, "the data centre's log did not confirm the cancellation", "send it again" } });
    }

    void handle(NodeStep&, const DrainAnnounced&) { m_isDrainAnnounced = true; }
    void handle(NodeStep& step, const DrainStarted&)
    {
        m_isDrainAnnounced = m_isDraining = true;
        step.log(LogEventKind::Draining, { { "pending", std::to_string(m_router.pendingCount()) } });
    }

    // Workers.

    void handle(NodeStep& step, const WorkerReported& event)
    {
        const HostId leader = m_dataCentre.leader();
        if (hasLeaderLease()) {
            m_taskController.report(step, m_dataCentre, event.report, { m_peers.self(), event.call });
        } else if (leader.isValid() && leader != m_peers.self() && m_peers.isConnected(leader)) {
            m_forwardedReports.add(event.call, step.now + config::forwardedReportTimeout);
            step.send(leader, ForwardedReport { event.call, event.report });
        } else {
            step.emit(AnswerWorker { event.call, { WorkerReplyStatus::NoLeader, {}, {} } });
        }
    }

    // Peers.

    void handle(NodeStep& step, const PeerUp& event)
    {
        m_peers.setConnected(event.host, true);
        const auto& cell = m_cell.replica();
        const auto& dataCentre = m_dataCentre.replica();
        step.send(event.host, PeerHello { cell.self().incarnation, dataCentre.self().incarnation, cell.isEmpty(), dataCentre.isEmpty() });
    }

    void handle(NodeStep& step, const PeerDown& event)
    {
        m_peers.setConnected(event.host, false);
        m_hostStatus.erase(event.host);
        m_forwardedReports.abandon(step);
    }

    void handle(NodeStep& step, const PeerMessageReceived& event)
    {
        std::visit([&](const auto& body) { receive(step, event.host, body); }, event.message);
    }

    void receive(NodeStep& step, HostId from, const PeerHello& hello)
    {
        m_cell.receiveHello(step, from, hello.cellIncarnation, hello.isCellEmpty);
        if (m_peers.isInOwnDataCentre(from))
            m_dataCentre.receiveHello(step, from, hello.dataCentreIncarnation, hello.isDataCentreEmpty);
    }

    void receive(NodeStep&, HostId from, const HostStatus& status) { m_hostStatus[from] = status; }
    void receive(NodeStep& step, HostId, const ReplicaMessage<CellStateMachine>& message) { m_cell.receive(step, message); }
    void receive(NodeStep& step, HostId, const ReplicaMessage<DataCentreStateMachine>& message) { m_dataCentre.receive(step, message); }
    void receive(NodeStep& step, HostId, const Proposal<CellStateMachine>& proposal) { m_cell.receive(step, proposal); }
    void receive(NodeStep& step, HostId, const Proposal<DataCentreStateMachine>& proposal) { m_dataCentre.receive(step, proposal); }
    void receive(NodeStep& step, HostId, const ProposalReply<CellStateMachine>& reply) { m_cell.receive(step, reply); }
    void receive(NodeStep& step, HostId, const ProposalReply<DataCentreStateMachine>& reply) { m_dataCentre.receive(step, reply); }
    void receive(NodeStep& step, HostId, const UpstreamAnnouncement& announcement) { applyAnnouncement(step, announcement); }
    void receive(NodeStep& step, HostId from, const ShareReport& report) { m_shareAgent.receive(step, m_router.upstreams(), from, report); }

    void receive(NodeStep&, HostId, const ShareGrants& grants) { m_shareAgent.receive(m_router.upstreams(), grants); }
    void receive(NodeStep& step, HostId, const ShareRecalls& recalls) { m_shareAgent.receive(step, m_router.upstreams(), recalls); }

    void receive(NodeStep& step, HostId from, const ForwardedReport& forwarded)
    {
        const WorkerCall call { from, forwarded.call };
        if (hasLeaderLease())
            m_taskController.report(step, m_dataCentre, forwarded.report, call);
        else
            sendWorkerReply(step, call, { WorkerReplyStatus::NoLeader, {}, {} });
    }

    void receive(NodeStep& step, HostId, const ForwardedReply& forwarded)
    {
        if (m_forwardedReports.remove(forwarded.call))
            step.emit(AnswerWorker { forwarded.call, forwarded.reply });
    }

    void handle(NodeStep& step, const LogWritten& event)
    {
        if (event.log == LogKind::Cell)
            m_cell.completeWrites(step, event.sequence);
        else
            m_dataCentre.completeWrites(step, event.sequence);
    }

    void handle(NodeStep& step, const LogRefused& event)
    {
        if (event.log == LogKind::Cell)
            m_cell.refuseWrites(step, event.reason);
        else
            m_dataCentre.refuseWrites(step, event.reason);
    }

    // Work of every step.

    void tick(NodeStep& step)
    {
        m_cell.formIfComplete(step);
        m_dataCentre.formIfComplete(step);
        m_cell.tick(step);
        m_dataCentre.tick(step);
        m_router.tick(step);
        tickShares(step);
        m_forwardedReports.expire(step);
        finishRequests(step);
        flushLogs(step);
        m_taskController.tick(step, m_dataCentre, m_cell.stateMachine());
        tickStatus(step);
        finishDrain(step);
        updateReplicaCounters();
        m_expectedStepTime = nextDeadline();
    }

    void finishRequests(NodeStep& step)
    {
        for (EndedRequest& ended : std::exchange(step.ended, {}))
            finishRequest(step, std::move(ended));
    }

    /// Emits the logs' writes and messages, applies committed entries, and handles the completed
    /// proposals in the same step.
    void flushLogs(NodeStep& step)
    {
        if (m_cell.flush(step))
            applyCellRevision(step);
        const bool hasApplied = m_dataCentre.flush(step);
        m_taskController.updateLeadership(step, m_dataCentre);
        if (hasApplied)
            m_taskController.handleApplied(step, m_dataCentre);
        for (auto& completed : m_cell.takeCompleted())
            m_manifestController.handleCompletedChange(step, m_cell, std::move(completed));
        for (auto& completed : m_dataCentre.takeCompleted())
            handleCompletedProposal(step, std::move(completed));
        finishRequests(step);
    }

    void applyCellRevision(NodeStep& step)
    {
        const CellStateMachine& stateMachine = m_cell.stateMachine();
        if (stateMachine.revision == m_revisionInForce)
            return;
        requireInvariant(stateMachine.revision > m_revisionInForce, "the revision in force never goes back");
        m_revisionInForce = stateMachine.revision;
        for (const auto& [service, limits] : stateMachine.services)
            m_router.setLimits(limits);
        step.log(LogEventKind::RevisionInForce, { { "revision", std::to_string(stateMachine.revision) } });
        m_nextStatusTime = step.now;
    }

    void handleCompletedProposal(NodeStep& step, DataCentreLog::Completed completed)
    {
        const DataCentreContext& context = completed.pending.context;
        if (const auto* claim = std::get_if<ClaimContext>(&context))
            handleCompletedClaim(step, claim->request, completed);
        else if (const auto* cancel = std::get_if<CancelContext>(&context))
            handleCompletedCancellation(step, cancel->call, completed);
    }

    void tickShares(NodeStep& step)
    {
        m_shareAgent.setLeader(step, m_dataCentre.leader(), m_dataCentre.hasLease(step.now), m_dataCentre.replica().term());
        withdrawExpiredUpstreams(step);
        m_shareAgent.tick(step, m_router.upstreams(), m_router.demands(), m_router.hasQueue());
        m_router.tick(step);
        if (step.hasReturnedShares)
            m_shareAgent.tick(step, m_router.upstreams(), m_router.demands(), m_router.hasQueue());
    }

    void withdrawExpiredUpstreams(const NodeStep& step)
    {
        if (!m_shareAgent.allocator().isActive())
            return;
        for (const Upstream& upstream : m_router.upstreams().all()) {
            if (!upstream.isAnnounced(step.now))
                m_shareAgent.withdrawUpstream(upstream.announcement.name);
        }
    }

    void tickStatus(NodeStep& step)
    {
        if (step.now < m_nextStatusTime)
            return;
        m_nextStatusTime = step.now + config::statusPeriod;
        for (const HostId host : m_peers.connected())
            step.send(host, HostStatus { m_cell.stateMachine().revision, m_isDrainAnnounced });
    }

    void finishDrain(NodeStep& step)
    {
        const bool isDone = m_isDraining && !m_router.pendingCount() && !m_router.attemptCount() && !m_dataCentre.pendingProposalCount();
        if (isDone && !std::exchange(m_hasDrained, true))
            step.emit(DrainFinished {});
    }

    void updateReplicaCounters()
    {
        m_counters.events[CounterKind::ElectionsStarted] = m_cell.replica().electionsStarted() + m_dataCentre.replica().electionsStarted();
        m_counters.events[CounterKind::ElectionsWon] = m_cell.replica().electionsWon() + m_dataCentre.replica().electionsWon();
        m_counters.events[CounterKind::SnapshotsSent] = m_cell.replica().snapshotsSent() + m_dataCentre.replica().snapshotsSent();
    }

    Peers m_peers;
    Random m_random;
    Counters m_counters;
    uint64_t m_incarnation;
    CellLog m_cell;
    DataCentreLog m_dataCentre;
    RequestRouter<Routing> m_router;
    ClaimCoordinator m_claims;
    ManifestController m_manifestController;
    ShareAgent m_shareAgent;
    TaskController<Pack, Spread> m_taskController;
    ForwardedReports m_forwardedReports;
    std::map<HostId, HostStatus> m_hostStatus; ///< Last status of each connected host.
    Time m_lastStepTime;
    Time m_expectedStepTime = never;
    Time m_nextStatusTime {};
    uint64_t m_revisionInForce = 0;
    bool m_isDrainAnnounced = false;
    bool m_isDraining = false;
    bool m_hasDrained = false;
};

// Compiled once, in node.cpp.
extern template class Node<>;

} // namespace eelgrassloft
