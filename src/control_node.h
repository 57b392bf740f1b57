#pragma once

#include "admission_control.h"
#include "call_forwarder.h"
#include "call_relay.h"
#include "config_history.h"
#include "control_calls.h"
#include "control_peers.h"
#include "hosts_text.h"
#include "job_report.h"
#include "leader_summary.h"
#include "log_formation.h"
#include "plan_pacer.h"
#include "replica.h"
#include "work_planner.h"
#include "worker_dispatcher.h"

namespace eelgrassloft {

/// Initial state of a control host.
struct ControlNodeOptions {
    FleetSettings settings;
    Time now {};
    uint64_t incarnation = 0;
    uint64_t seed = 0;
    std::optional<RestoredLog<WorkTable>> log;
};

/// Core of a control host, which is a member of the fleet's replicated log. The leader plans
/// placements, sends orders to the workers and replies to calls; the other members forward calls
/// to it.
template <QueuePolicy Policy = TardinessCostPolicy, JobAdmissionPolicy Admission = ForecastAdmission>
class ControlNode {
public:
    ControlNode(ControlNodeOptions options)
        : m_settings(options.settings)
        , m_forwarder(options.settings.self)
        , m_replica({ options.settings.self, options.log ? options.log->incarnation : options.incarnation }, replicaOptions(options), options.now)
        , m_dispatcher(options.settings)
        , m_planner(options.settings.remoteFactor)
        , m_peers(options.settings.self)
        , m_formation(options.settings.mayForm && !options.log)
    {
        if (options.log)
            m_replica.restore(options.now, std::move(*options.log));
    }

    /// Takes in one event. What follows from several can be done at once, by `finish`.
    std::vector<FleetEffect> receive(Time now, const FleetEvent& event)
    {
        FleetStep step;
        step.now = m_lastStep = std::max(now, m_lastStep);
        std::visit([&](const auto& body) { handle(step, body); }, event);
        return std::move(step.effects);
    }

    /// Does what is due and what follows from the events since the last call.
    std::vector<FleetEffect> finish(Time now)
    {
        FleetStep step;
        step.now = m_lastStep = std::max(now, m_lastStep);
        tick(step);
        return std::move(step.effects);
    }

    /// Notes how long the last `finish` took with its effects.
    void didFinish(Duration took) { m_planPacer.didFinish(m_lastStep, took); }

    Time nextDeadline() const
    {
        Time next = std::min({ m_replica.nextDeadline(), m_forwarder.nextDeadline(), m_nextStatus });
        if (m_isLeading)
            next = std::min({ next, m_dispatcher.nextDeadline(), m_advice.nextDeadline(), m_planPacer.nextDeadline() });
        return std::max(next, m_lastStep);
    }

    const WorkTable& table() const { return m_replica.stateMachine(); }
    const Replica<WorkTable>& replica() const { return m_replica; }
    const WorkerDispatcher& dispatcher() const { return m_dispatcher; }
    bool isLeading() const { return m_isLeading; }

    FleetCounters counters() const
    {
        FleetCounters counters = m_dispatcher.counters();
        forEachValue<FleetCounter>([&](FleetCounter counter) { counters.events[counter] += m_counters.events[counter]; });
        counters.events[FleetCounter::CallsForwarded] = m_forwarder.forwardedCount();
        forEachValue<ControlStatus>([&](ControlStatus status) { counters.replies[status] = m_counters.replies[status] + m_forwarder.replies()[status]; });
        return counters;
    }

    FleetGauges gauges() const
    {
        FleetGauges gauges;
        gauges[FleetGauge::IsLeading] = m_isLeading;
        gauges[FleetGauge::Term] = static_cast<double>(m_replica.term());
        gauges[FleetGauge::CommitIndex] = static_cast<double>(m_replica.commitIndex());
        gauges[FleetGauge::ConfigVersion] = static_cast<double>(table().config().version);
        gauges[FleetGauge::OpenJobs] = static_cast<double>(table().openJobs().size());
        gauges[FleetGauge::Workers] = static_cast<double>(table().workers().size());
        gauges[FleetGauge::PendingCalls] = static_cast<double>(m_forwarder.size());
        gauges[FleetGauge::StorageRefused] = m_replica.isStorageRefused();
        for (const auto& [number, workerView] : m_dispatcher.workerViews()) {
            gauges[FleetGauge::UnresponsiveWorkers] += workerView.isUnresponsive;
            gauges[FleetGauge::ActiveRuns] += static_cast<double>(workerView.runs.size());
        }
        return gauges;
    }

private:
    /// Where the reply to a call goes.
    struct ReplyTarget {
        HostId host; ///< Host at which the call arrived; this host for its own calls.
        HostId via; ///< Host from which this host received the call.
        uint64_t number = 0;
        bool mayHaveRun = false; ///< Whether an earlier attempt may have had an effect, so that it can't be refused.
        uint64_t configVersion = 0; ///< Version by which the call's queue was found; 0 for none.
    };

    struct PendingProposal {
        uint64_t term = 0;
        std::optional<ReplyTarget> reply;
        std::vector<RunPlacement> placements;
        Time proposedAt {};
    };

    static ReplicaOptions replicaOptions(const ControlNodeOptions& options)
    {
        ReplicaOptions replica;
        replica.heartbeat = config::fleetHeartbeatPeriod;
        replica.minAppendInterval = config::minFleetAppendInterval;
        replica.snapshotThreshold = config::fleetSnapshotThresholdEntries;
        replica.targetVoters = options.settings.voters;
        replica.seed = options.seed;
        return replica;
    }

    // Connections.

    void handle(FleetStep&, const FleetTick&) { }
    void handle(FleetStep&, const InputRefused& event) { m_counters.add(event.counter); }
    void handle(FleetStep&, const FleetStopRequested&) { } // The host remains a member of the log until the process ends.

    void handle(FleetStep& step, const SeedsChanged& event)
    {
        m_settings.seeds = event.seeds;
        m_peers.forgetTargets();
        updateConnectTargets(step);
    }

    void handle(FleetStep& step, const FleetPeerUp& event)
    {
        m_peers.add(event.host);
        m_forwarder.didConnect(step, event.host);
        step.send(event.host, LogHello { m_replica.self().incarnation, m_replica.isEmpty(), m_settings.region, m_settings.dataCentre });
        step.send(event.host, status(step.now, event.host));
        m_advice.setHosts(m_peers.connectedAndSelf());
    }

    void handle(FleetStep& step, const FleetPeerDown& event)
    {
        m_peers.remove(event.host);
        m_forwarder.didDisconnect(event.host);
        m_relay.dropRequester(event.host);
        m_dispatcher.hostDown(step, table(), event.host);
        m_advice.setHosts(m_peers.connectedAndSelf());
    }

    void updateConnectTargets(FleetStep& step)
    {
        if (m_peers.updateTargets(step, m_replica, m_settings.seeds))
            updateElectionDelay();
    }

    /// Status for a host. The lease is checked anew, as it may have expired while this host was frozen.
    ControlStatusReport status(Time now, HostId to) const
    {
        ControlStatusReport report;
        report.term = m_replica.term();
        report.leader = m_replica.leader().host;
        report.isLeading = m_isLeading && m_replica.hasLease(now);
        report.configVersion = table().config().version;
        report.answeredAt = m_peers.entryStatusTime(to);
        report.load = m_forwarder.load(now);
        for (const Member& member : m_replica.membership().voters)
            report.hosts.push_back(member.host);
        return report;
    }

    void handle(FleetStep& step, const FleetMessageReceived& event)
    {
        std::visit([&](const auto& body) { receive(step, event.host, body); }, event.message);
    }

    void receive(FleetStep& step, HostId from, const LogHello& hello)
    {
        m_replica.observeMember({ from, hello.incarnation });
        m_peers.setRegion(from, hello.region);
        m_dispatcher.hostUp(from, hello.dataCentre, hello.region);
        updateElectionDelay();
        m_formation.observe({ from, hello.incarnation }, hello.isEmpty);
        formIfComplete(step);
    }

    /// Delays elections of this host while another region holds a majority of the voters: as leader it
    /// would wait for the link between regions at every commit.
    void updateElectionDelay()
    {
        const bool isMajorityElsewhere = m_peers.isMajorityElsewhere(m_replica.membership(), m_settings.region);
        m_replica.setElectionDelay(isMajorityElsewhere ? m_replica.electionTimeout() * 2 : Duration {});
    }

    void formIfComplete(FleetStep& step)
    {
        const auto membership = m_formation.complete(m_settings.seeds, m_replica.self());
        if (!membership)
            return;
        m_replica.form(step.now, *membership);
        step.log(LogEventKind::LogFormed, { { "log", "fleet" }, { "voters", std::to_string(membership->voters.size()) } });
    }

    void receive(FleetStep& step, HostId from, const ControlStatusReport& report)
    {
        m_replica.observeContact(step.now, from);
        m_dispatcher.noteLoad(from, report.load);
        m_advice.noteLoad(from, report.load);
    }

    void receive(FleetStep& step, HostId from, const EntryStatusReport& report)
    {
        m_advice.noteLoad(from, report.load);
        if (m_peers.noteEntryStatus(from, report.sentAt)) // The periodic status answers later ones.
            step.send(from, status(step.now, from));
    }

    void receive(FleetStep&, HostId, const ConfigPart&) { }

    void receive(FleetStep& step, HostId from, const ConfigRequest& request)
    {
        if (auto part = m_configHistory.part(request))
            step.send(from, std::move(*part));
    }

    void receive(FleetStep& step, HostId from, const AdviceRequest& request) { m_relay.call(step, from, request); }
    void receive(FleetStep& step, HostId from, const WorkerCallRequest& request) { m_relay.call(step, from, request); }

    void receive(FleetStep& step, HostId, const WorkerCallReply& reply)
    {
        if (m_dispatcherTerm)
            handle(step, OrderResponseReceived { CallId { reply.number }, reply.response });
    }

    void receive(FleetStep& step, HostId, const ReplicaMessage<WorkTable>& message)
    {
        if (const auto* reply = std::get_if<AppendReply>(&message.body); reply && m_isLeading)
            step.measure(FleetTimer::AcknowledgementAge, step.now - reply->sentAt);
        m_replica.receive(step.now, message);
        if (!m_replica.isEmpty())
            m_formation.cancel();
    }

    void receive(FleetStep& step, HostId, const AdviceReply& reply)
    {
        if (const auto host = m_advice.handleReply(step.now, table(), reply))
            noteAdviceUnanswered(step, { *host }, AdviceFailure::Failed);
        m_planPacer.request();
    }

    void handle(FleetStep& step, const AdviceReplyReceived& event)
    {
        if (!m_relay.handleResponse(step, event.call, event.reply))
            receive(step, m_settings.self, event.reply);
    }

    void handle(FleetStep& step, const WorkLogWritten& event)
    {
        if (m_replica.isStorageRefused())
            step.log(LogEventKind::StorageRestored, { { "log", "fleet" }, { "afterMs", std::to_string((step.now - m_storageRefusedAt) / std::chrono::milliseconds(1)) } });
        m_replica.completeWrites(step.now, event.sequence);
    }

    void handle(FleetStep& step, const WorkLogRefused& event)
    {
        m_replica.refuseWrites();
        m_storageRefusedAt = step.now;
        m_counters.add(FleetCounter::StorageRefusals);
        step.log(LogEventKind::StorageRefused, { { "log", "fleet" }, { "leading", m_isLeading ? "yes" : "no" }, { "error", event.reason } });
    }

    void handle(FleetStep& step, const OrderResponseReceived& event)
    {
        if (m_relay.handleResponse(step, event.call, event.response))
            return;
        m_dispatcher.handleResponse(step, table(), event.call, event.response);
        m_planPacer.request();
    }

    // Calls.

    void handle(FleetStep& step, const ControlCallReceived& event)
    {
        updateLeadership(step);
        if (m_isLeading)
            process(step, targetOf(event), event.request);
        else
            m_forwarder.add(step, event);
    }

    void receive(FleetStep& step, HostId from, const ForwardedCall& call)
    {
        updateLeadership(step);
        const ReplyTarget reply { call.origin, from, call.number };
        const HostId leader = m_replica.leader().host;
        if (m_isLeading) {
            m_summary.countCall(call.origin, call.number);
            process(step, reply, call.request);
        } else if (call.hops == 0 && leader.isValid() && m_peers.isConnected(leader)) {
            ForwardedCall next = call;
            ++next.hops;
            step.send(leader, std::move(next));
        } else {
            sendReply(step, reply, { ControlStatus::NotAccepted, {}, 0, {} });
        }
    }

    void receive(FleetStep& step, HostId, const ForwardedCallReply& reply)
    {
        if (reply.origin == m_settings.self)
            m_forwarder.receive(step, reply);
        else if (m_peers.isConnected(reply.origin))
            step.send(reply.origin, reply);
    }

    ReplyTarget targetOf(const ControlCallReceived& call) const { return { m_settings.self, m_settings.self, call.call.value, call.mayHaveRun }; }

    void sendReply(FleetStep& step, const ReplyTarget& to, ControlReply reply)
    {
        if (hadNoEffect(reply.status) && to.mayHaveRun)
            reply.status = ControlStatus::Unavailable;
        reply.configVersion = std::max(reply.configVersion, to.configVersion);
        ++m_counters.replies[reply.status];
        if (to.host == m_settings.self)
            step.emit(SendControlReply { CallId { to.number }, std::move(reply) });
        else if (m_peers.isConnected(to.via))
            step.send(to.via, ForwardedCallReply { to.number, to.host, std::move(reply) });
    }

    void process(FleetStep& step, const ReplyTarget& to, const ControlRequest& request)
    {
        const auto* report = std::get_if<ReportWorker>(&request);
        CallDecision decision = decideCall({ table(), m_dispatcher, report && !noteReport(step.now, *report), m_settings.maxWorkers }, request);
        if (decision.counter)
            m_counters.add(*decision.counter);
        if (decision.refused)
            logRefusal(step, table(), *decision.refused, WorkStatus::CancelledEarly);
        if (const ControlReply* reply = decision.reply()) {
            sendReply(step, to, *reply);
            return;
        }
        const auto* work = std::get_if<SubmitWork>(&std::get<WorkCommand>(decision.outcome));
        if (auto refusal = work ? m_admission.admit(step, m_counters, table(), *work, to.mayHaveRun) : std::nullopt) {
            sendReply(step, to, std::move(*refusal));
            return;
        }
        if (report) {
            m_dispatcher.endFormerIncarnations(step.now, report->info);
            proposeDispatcherCommands(step);
        }
        ReplyTarget target = to;
        target.configVersion = decision.configVersion;
        const JobKey key = work ? work->key : JobKey {};
        if (!propose(step, std::move(std::get<WorkCommand>(decision.outcome)), target))
            m_admission.didPropose(key, false);
    }

    /// Returns false if a later report of the same incarnation has arrived before.
    bool noteReport(Time now, const ReportWorker& request)
    {
        const WorkerNumber number = table().findWorker(request.info.id);
        const ReportComparison comparison = compareReport(table(), request);
        if (comparison.namesUnknownPool || !comparison.isKnownIncarnation)
            return true;
        return m_dispatcher.noteWorkerReport(number, request.sequence, now, comparison.isCorrection);
    }

    bool propose(FleetStep& step, WorkCommand command, std::optional<ReplyTarget> reply, std::vector<RunPlacement> placements = {})
    {
        const auto index = m_replica.propose(step.now, std::move(command));
        if (index)
            m_pending[*index] = { m_replica.term(), std::move(reply), std::move(placements), step.now };
        else if (reply)
            sendReply(step, *reply, { ControlStatus::NotAccepted, {}, 0, {} });
        return index.has_value();
    }

    // Work of every step.

    void tick(FleetStep& step)
    {
        formIfComplete(step);
        if (step.now >= m_replica.nextDeadline())
            m_replica.tick(step.now);
        flush(step);
        if (m_isLeading)
            tickLeader(step);
        m_forwarder.setTarget(step, forwardTarget());
        m_forwarder.setReach(step.now, m_peers.reach(m_replica.membership(), forwardTarget()), m_peers.reachableVoters(m_replica.membership()));
        m_forwarder.tick(step);
        tickStatus(step);
        updateConnectTargets(step);
    }

    HostId forwardTarget() const
    {
        const HostId leader = m_replica.leader().host;
        return leader != m_settings.self && m_peers.isConnected(leader) ? leader : HostId {};
    }

    /// Emits the replica's writes and messages and processes the entries that it has applied.
    void flush(FleetStep& step)
    {
        Replica<WorkTable>::Output output = m_replica.takeOutput(step.now);
        if (output.write)
            step.emit(WriteWorkLog { m_replica.self().incarnation, std::move(*output.write) });
        for (auto& outgoing : output.messages) {
            const HostId to = outgoing.message.to.host;
            if (m_peers.isConnected(to))
                step.send(to, std::move(outgoing.message), outgoing.afterWrite);
        }
        updateLeadership(step);
        for (const auto& applied : output.applied)
            processApplied(step, applied);
        observeConfig(step);
    }

    /// Announces a new configuration to the entry hosts, which then request it.
    void observeConfig(const FleetStep& step)
    {
        if (table().config().version == m_configHistory.version())
            return;
        m_configHistory.observe(table().config());
        m_nextStatus = step.now;
    }

    void updateLeadership(FleetStep& step)
    {
        const bool isLeading = m_replica.hasLease(step.now);
        const uint64_t term = m_replica.term();
        const bool isLeader = m_replica.role() == ReplicaRole::Leader;
        if (!isLeader && m_dispatcherTerm)
            endLeadership(step);
        if (isLeading && m_dispatcherTerm != term) {
            if (m_dispatcherTerm)
                endLeadership(step);
            m_dispatcherTerm = term;
            m_dispatcher.start(table(), step.now, term);
            m_advice.clear();
            m_advice.setQueues(table().config().queues);
            m_planner.clear();
            m_admission.clear();
            m_inFlight.clear();
            m_summary.clear();
            m_planPacer.request();
        }
        if (isLeading != m_isLeading) {
            m_isLeading = isLeading;
            m_nextStatus = step.now;
            step.log(LogEventKind::LeaderChanged, { { "log", "fleet" }, { "leading", isLeading ? "yes" : "no" }, { "term", std::to_string(term) }, { "index", std::to_string(m_replica.commitIndex()) }, { "contactMs", std::to_string(m_replica.quorumContactAge(step.now) / std::chrono::milliseconds(1)) } });
            if (isLeading) {
                for (ControlCallReceived& call : m_forwarder.takeAll())
                    process(step, targetOf(call), call.request);
            }
        }
    }

    void endLeadership(FleetStep& step)
    {
        m_dispatcherTerm = 0;
        m_dispatcher.stop();
        m_inFlight.clear();
        for (auto& [index, pending] : std::exchange(m_pending, {})) {
            if (pending.reply)
                sendReply(step, *pending.reply, { ControlStatus::Unavailable, {}, 0, {} });
        }
    }

    void processApplied(FleetStep& step, const Replica<WorkTable>::Applied& applied)
    {
        const auto* entry = m_replica.entryAt(applied.index);
        if (entry && m_dispatcherTerm) {
            if (const auto* command = std::get_if<WorkCommand>(&entry->payload))
                std::visit([&](const auto& body) { didApply(step, body, applied); }, *command);
        }
        const auto found = m_pending.find(applied.index);
        if (found == m_pending.end())
            return;
        const PendingProposal pending = std::move(found->second);
        m_pending.erase(found);
        if (pending.term != applied.term)
            return;
        m_counters.add(FleetCounter::RunsPlaced, pending.placements.size());
        for (const RunPlacement& placement : pending.placements) {
            m_inFlight.erase(placement.run.task);
            m_dispatcher.completePlacement(table(), step.now, placement);
        }
        if (pending.reply)
            sendReply(step, *pending.reply, replyTo(applied.result));
    }

    // Reactions of the leader to applied commands.

    using Applied = Replica<WorkTable>::Applied;

    void didApply(FleetStep& step, const SubmitWork& command, const Applied& applied)
    {
        m_planPacer.request();
        m_admission.didPropose(command.key, applied.result.status == WorkStatus::Applied);
        if (applied.result.status == WorkStatus::NoMemory || applied.result.status == WorkStatus::CancelledEarly)
            logRefusal(step, table(), command, applied.result.status);
        if (applied.result.status != WorkStatus::Applied)
            return;
        m_counters.add(FleetCounter::JobsAccepted);
        step.log(LogEventKind::JobAccepted, { { "job", hexText(command.key.value) }, { "queue", command.queue }, { "index", std::to_string(applied.index) }, { "term", std::to_string(applied.term) } });
        logUnfittingSteps(step, table(), command);
        const auto pending = m_pending.find(applied.index);
        if (pending != m_pending.end())
            step.measure(FleetTimer::SubmitToCommit, step.now - pending->second.proposedAt);
    }

    void didApply(FleetStep&, const PlaceRuns&, const Applied&) { m_planPacer.request(); }
    void didApply(FleetStep& step, const RequeueLostRuns&, const Applied& applied)
    {
        m_planPacer.request();
        noteCrashes(step, applied.result);
    }

    void didApply(FleetStep& step, const CancelWork& command, const Applied& applied)
    {
        if (applied.result.status == WorkStatus::UnknownJob)
            step.log(LogEventKind::JobCancelledEarly, { { "job", hexText(command.key.value) }, { "index", std::to_string(applied.index) } });
        jobsEnded(step, applied.result.ended);
    }

    void didApply(FleetStep& step, const SetFleetWorker&, const Applied& applied) { updateWorkers(step, applied.result); }
    void didApply(FleetStep& step, const RemoveFleetWorker&, const Applied& applied) { updateWorkers(step, applied.result); }

    void didApply(FleetStep& step, const RecordRunOutcomes& command, const Applied& applied)
    {
        m_dispatcher.didRecordEnds(command.worker, step.now);
        m_planPacer.request();
        jobsEnded(step, applied.result.ended);
    }

    void didApply(FleetStep& step, const SetFleetConfig&, const Applied&)
    {
        m_planPacer.request();
        m_advice.setQueues(table().config().queues);
        const uint64_t version = table().config().version;
        step.log(LogEventKind::RevisionInForce, { { "version", std::to_string(version) } });
    }

    void jobsEnded(FleetStep& step, const std::vector<EndedJob>& ended)
    {
        for (const EndedJob& summary : ended) {
            m_advice.forget(summary.key);
            m_dispatcher.forget(summary.key);
            m_planPacer.request();
            const WorkJob* job = table().job(summary.key);
            m_admission.didEnd(step, m_counters, summary.key, job);
            if (!job)
                continue;
            if (job->state != WorkState::Done)
                m_dispatcher.stopJob(step.now, summary.key);
            if (summary.crashes) {
                m_counters.add(FleetCounter::JobsGivenUp);
                step.log(LogEventKind::JobGivenUp, givenUpFields(*job, summary));
            }
            step.log(LogEventKind::JobEnded, jobEndFields(table(), *job, summary));
        }
    }

    void updateWorkers(FleetStep& step, const WorkResult& result)
    {
        m_dispatcher.updateWorkers(table(), step.now);
        m_planPacer.request();
        noteCrashes(step, result);
    }

    /// Notes the tasks that a command has shown to be suspects, and the jobs that it has ended for that.
    void noteCrashes(FleetStep& step, const WorkResult& result)
    {
        m_counters.add(FleetCounter::TasksSuspected, result.suspected.size());
        for (const SuspectedTask& suspect : result.suspected)
            step.log(LogEventKind::TaskSuspected, suspectFields(suspect));
        jobsEnded(step, result.ended);
    }

    // Leading.

    void tickLeader(FleetStep& step)
    {
        noteAdviceUnanswered(step, m_advice.tick(step.now), AdviceFailure::Overdue);
        m_dispatcher.tick(step, table());
        proposeDispatcherCommands(step);
        if (m_planPacer.isDue(step.now))
            plan(step);
        flush(step);
    }

    /// Notes calls to the advice service that failed, by the hosts that made them.
    void noteAdviceUnanswered(FleetStep& step, const std::set<HostId>& hosts, AdviceFailure reason)
    {
        if (hosts.empty())
            return;
        m_counters.add(FleetCounter::AdviceUnanswered, hosts.size());
        step.log(LogEventKind::AdviceUnanswered, { { "calls", std::to_string(hosts.size()) }, { "reason", std::string(name(reason)) }, { "hosts", hostsText(hosts) } });
    }

    void proposeDispatcherCommands(FleetStep& step)
    {
        for (WorkCommand& command : m_dispatcher.takeCommands()) {
            if (propose(step, std::move(command), std::nullopt))
                continue;
            // The proposal failed, so what the workers reported would be lost. Restarting polls all
            // of them again.
            m_dispatcher.start(table(), step.now, m_replica.term());
            return;
        }
    }

    void plan(FleetStep& step)
    {
        m_planPacer.begin(step.now);
        WorkPlan plan = m_planner.plan(table(), m_dispatcher.workerViews(), m_advice, m_inFlight, step.now);
        m_counters.add(FleetCounter::Plans);
        m_counters.add(FleetCounter::JobsExamined, plan.examinedJobs);
        m_planPacer.planBy(plan.nextDue);
        if (m_admission.needsOpenWork(step.now))
            m_admission.update(summarizeOpenWork(table(), m_dispatcher.workerViews(), m_planner.readySteps(), step.now));
        PlaceRuns command;
        for (const PlannedRun& run : plan.runs)
            command.placements.push_back(run.placement);
        if (!command.placements.empty() && propose(step, command, std::nullopt, command.placements)) {
            for (PlannedRun& run : plan.runs) {
                m_inFlight.insert(run.placement.run.task);
                m_dispatcher.reserve(table(), run.placement, std::move(run.ticket));
            }
        }
        m_counters.add(FleetCounter::RunsPreempted, plan.preemptions.size());
        m_summary.countPlan(plan);
        if (m_summary.isDue(step.now))
            m_summary.write(step, table(), m_dispatcher, m_planner.readySteps(), m_advice);
        for (const RunPlacement& victim : plan.preemptions)
            m_dispatcher.stopRun(step.now, victim.worker, victim.run);
        for (const AdviceClient::Query& query : plan.queries) {
            if (!m_advice.canQuery(step.now, query.timing, query.workers.size()))
                continue;
            m_counters.add(FleetCounter::AdviceQueries);
            m_summary.countQuery(query);
            m_advice.sendQuery(step, table(), m_settings.self, query);
        }
    }

    void tickStatus(FleetStep& step)
    {
        if (step.now < m_nextStatus)
            return;
        m_nextStatus = step.now + config::fleetStatusPeriod;
        for (const HostId host : m_peers.connected())
            step.send(host, status(step.now, host));
    }

    FleetSettings m_settings;
    CallForwarder m_forwarder;
    Replica<WorkTable> m_replica;
    WorkerDispatcher m_dispatcher;
    CallRelay m_relay;
    AdviceClient m_advice;
    WorkPlanner<Policy> m_planner;
    AdmissionControl<Admission> m_admission;
    ControlPeers m_peers;
    ConfigHistory m_configHistory;
    LogFormation m_formation;
    std::map<uint64_t, PendingProposal> m_pending;
    std::set<TaskRef> m_inFlight; ///< Tasks whose placement is proposed but neither committed nor dropped.
    Time m_storageRefusedAt {};
    Time m_lastStep {};
    Time m_nextStatus {};
    PlanPacer m_planPacer;
    uint64_t m_dispatcherTerm = 0; ///< Term in which the dispatcher runs; 0 while this host is not the leader.
    bool m_isLeading = false; ///< Whether this host is the leader and holds a valid lease.
    FleetCounters m_counters;
    LeaderSummary m_summary;
};

extern template class ControlNode<>;

} // namespace eelgrassloft
