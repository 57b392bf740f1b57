#pragma once

#include "call_forwarder.h"
#include "call_relay.h"
#include "fleet_desk.h"
#include "job_report.h"
#include "replica.h"
#include "work_planner.h"

namespace eelgrassloft {

/// What a control host knows at its start.
struct ControlStart {
    FleetSettings settings;
    Time now {};
    uint64_t incarnation = 0;
    uint64_t seed = 0;
    std::optional<RestoredLog<WorkTable>> log;
};

/// Core of a control host: a member of the fleet's log. The one that leads plans, calls the
/// workers and answers; the others pass calls on to it.
template <QueueOrder Order = DeadlineOrder>
class ControlNode {
public:
    ControlNode(ControlStart start)
        : m_settings(start.settings)
        , m_forwarder(start.settings.self)
        , m_replica({ start.settings.self, start.log ? start.log->incarnation : start.incarnation }, replicaOptions(start), start.now)
        , m_desk(start.settings)
        , m_planner(start.settings.remoteFactor)
    {
        m_isForming = start.settings.mayForm && !start.log;
        if (start.log)
            m_replica.restore(start.now, std::move(*start.log));
    }

    std::vector<FleetEffect> step(Time now, const FleetEvent& event)
    {
        FleetStep step;
        step.now = m_lastStep = std::max(now, m_lastStep);
        std::visit([&](const auto& body) { handle(step, body); }, event);
        tick(step);
        return std::move(step.effects);
    }

    Time nextDeadline() const
    {
        Time next = std::min({ m_replica.nextDeadline(), m_forwarder.nextDeadline(), m_nextStatus });
        if (m_isLeading)
            next = std::min({ next, m_desk.nextDeadline(), m_advice.nextDeadline(), m_nextPlan });
        return std::max(next, m_lastStep);
    }

    const WorkTable& table() const { return m_replica.stateMachine(); }
    const Replica<WorkTable>& replica() const { return m_replica; }
    const FleetDesk& desk() const { return m_desk; }
    bool isLeading() const { return m_isLeading; }

    FleetCounters counters() const
    {
        FleetCounters counters = m_desk.counters();
        forEachValue<FleetCounter>([&](FleetCounter counter) { counters.events[counter] += m_counters.events[counter]; });
        counters.events[FleetCounter::CallsPassedOn] = m_forwarder.passedOn();
        counters.replies = m_counters.replies;
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
        gauges[FleetGauge::WaitingCalls] = static_cast<double>(m_forwarder.size());
        for (const auto& [number, link] : m_desk.links()) {
            gauges[FleetGauge::SilentWorkers] += link.isSilent;
            gauges[FleetGauge::HeldRuns] += static_cast<double>(link.runs.size());
        }
        return gauges;
    }

private:
    /// Who waits for the result of a proposal.
    struct ReplyTo {
        HostId host; ///< This host for calls of its own.
        HostId via; ///< Link that the call came over.
        uint64_t number = 0;
    };

    /// Last configuration that was sent to an entry host over its present link.
    struct SentConfig {
        uint64_t version = 0;
        Time at {};
    };

    struct Pending {
        uint64_t term = 0;
        std::optional<ReplyTo> reply;
        std::vector<RunPlacement> placements;
        Time proposedAt {};
    };

    static ReplicaOptions replicaOptions(const ControlStart& start)
    {
        ReplicaOptions options;
        options.heartbeat = config::fleetHeartbeat;
        options.minAppendInterval = config::minFleetAppendInterval;
        options.snapshotThreshold = config::fleetSnapshotEntries;
        options.targetVoters = start.settings.voters;
        options.seed = start.seed;
        return options;
    }

    // Links.

    void handle(FleetStep&, const FleetTick&) { }
    void handle(FleetStep&, const FleetStopRequested&) { } // The log goes on to the end.

    void handle(FleetStep& step, const SeedsChanged& event)
    {
        m_settings.seeds = event.seeds;
        m_dialed.clear();
        dial(step);
    }

    void handle(FleetStep& step, const FleetLinkUp& event)
    {
        m_connected.insert(event.host);
        step.send(event.host, LogHello { m_replica.self().incarnation, m_replica.isEmpty(), m_settings.region, m_settings.dataCentre });
        step.send(event.host, status());
        m_advice.setHosts(adviceHosts());
    }

    void handle(FleetStep& step, const FleetLinkDown& event)
    {
        m_connected.erase(event.host);
        m_entries.erase(event.host);
        m_relay.hostLost(event.host);
        m_desk.hostDown(step, table(), event.host);
        m_advice.setHosts(adviceHosts());
    }

    std::set<HostId> adviceHosts() const
    {
        std::set<HostId> hosts = m_connected;
        hosts.insert(m_settings.self);
        return hosts;
    }

    void dial(FleetStep& step)
    {
        std::set<HostId> hosts(m_settings.seeds.begin(), m_settings.seeds.end());
        for (const auto* list : { &m_replica.membership().voters, &m_replica.membership().learners }) {
            for (const Member& member : *list)
                hosts.insert(member.host);
        }
        hosts.erase(m_settings.self);
        if (hosts == m_dialed)
            return;
        m_dialed = hosts;
        step.emit(DialHosts { { hosts.begin(), hosts.end() } });
    }

    ControlStatusReport status() const
    {
        ControlStatusReport report;
        report.term = m_replica.term();
        report.leader = m_replica.leader().host;
        report.isLeading = m_isLeading;
        report.configVersion = m_isLeading ? table().config().version : 0;
        for (const Member& member : m_replica.membership().voters)
            report.hosts.push_back(member.host);
        return report;
    }

    void handle(FleetStep& step, const FleetReceived& event)
    {
        std::visit([&](const auto& body) { receive(step, event.host, body); }, event.message);
    }

    void receive(FleetStep& step, HostId from, const LogHello& hello)
    {
        m_replica.observeMember({ from, hello.incarnation });
        m_regions[from] = hello.region;
        m_desk.hostUp(from, hello.dataCentre);
        chooseHandicap();
        if (!m_isForming)
            return;
        if (!hello.isEmpty)
            m_isForming = false;
        m_heardEmpty[from] = hello.incarnation;
        formIfComplete(step);
    }

    /// A leader whose region holds no majority waits for the link between regions at every commit,
    /// so such a host stands for election later.
    void chooseHandicap()
    {
        size_t near = 1;
        for (const auto& [host, region] : m_regions)
            near += region == m_settings.region;
        const bool isNearMajority = near * 2 > m_regions.size() + 1;
        m_replica.setElectionDelay(isNearMajority ? Duration {} : m_replica.electionTimeout() * 2);
    }

    /// The first seeds found the log, once each has said that it holds no state.
    void formIfComplete(FleetStep& step)
    {
        if (!m_isForming)
            return;
        Membership membership;
        for (const HostId seed : m_settings.seeds) {
            if (seed == m_settings.self) {
                membership.voters.push_back(m_replica.self());
                continue;
            }
            const auto heard = m_heardEmpty.find(seed);
            if (heard == m_heardEmpty.end())
                return;
            membership.voters.push_back({ seed, heard->second });
        }
        m_isForming = false;
        if (!membership.hasVoter(m_replica.self()))
            return; // Joins as a learner.
        std::sort(membership.voters.begin(), membership.voters.end());
        m_replica.form(step.now, membership);
        step.log(LogEventKind::LogFormed, { { "log", "fleet" }, { "voters", std::to_string(membership.voters.size()) } });
    }

    void receive(FleetStep&, HostId, const ControlStatusReport&) { }
    void receive(FleetStep&, HostId, const ConfigUpdate&) { }
    void receive(FleetStep& step, HostId from, const AdviceRequest& request) { m_relay.call(step, from, request); }
    void receive(FleetStep& step, HostId from, const WorkerCallRequest& request) { m_relay.call(step, from, request); }

    void receive(FleetStep& step, HostId, const WorkerCallReply& reply)
    {
        if (m_deskTerm)
            handle(step, WorkerAnswered { CallId { reply.number }, reply.answer });
    }

    void receive(FleetStep& step, HostId from, const EntryStatusReport& report)
    {
        m_entries.try_emplace(from);
        // A host that does not lead may itself hold an older configuration than was accepted.
        if (m_isLeading && report.configVersion < table().config().version)
            sendConfig(step, from);
    }

    /// A large configuration takes its time on a slow link, so it is not sent again before that.
    void sendConfig(FleetStep& step, HostId entry)
    {
        SentConfig& sent = m_entries[entry];
        const uint64_t version = table().config().version;
        if (sent.version == version && step.now < sent.at + config::configResendInterval)
            return;
        sent = { version, step.now };
        step.send(entry, ConfigUpdate { table().config() });
    }

    void receive(FleetStep& step, HostId, const ReplicaMessage<WorkTable>& message)
    {
        m_replica.receive(step.now, message);
        m_isForming = m_isForming && m_replica.isEmpty();
    }

    void receive(FleetStep& step, HostId, const AdviceReply& reply)
    {
        m_advice.answered(step.now, table(), reply);
        requestPlan();
    }

    void handle(FleetStep& step, const AdviceAnswered& event)
    {
        if (!m_relay.answered(step, event.call, event.reply))
            receive(step, m_settings.self, event.reply);
    }

    void handle(FleetStep& step, const WorkLogWritten& event) { m_replica.completeWrites(step.now, event.sequence); }

    void handle(FleetStep& step, const WorkerAnswered& event)
    {
        if (m_relay.answered(step, event.call, event.answer))
            return;
        m_desk.answered(step, table(), event.call, event.answer);
        requestPlan();
    }

    // Calls.

    void handle(FleetStep& step, const ControlCalled& event)
    {
        updateLeadership(step);
        if (m_isLeading)
            process(step, { m_settings.self, m_settings.self, event.call.value }, event.request);
        else
            m_forwarder.add(step, event);
    }

    void receive(FleetStep& step, HostId from, const ForwardedCall& call)
    {
        updateLeadership(step);
        const ReplyTo reply { call.origin, from, call.number };
        const HostId leader = m_replica.leader().host;
        if (m_isLeading) {
            process(step, reply, call.request);
        } else if (call.hops == 0 && leader.isValid() && m_connected.count(leader)) {
            ForwardedCall next = call;
            ++next.hops;
            step.send(leader, std::move(next));
        } else {
            answer(step, reply, { ControlStatus::NotAccepted, {}, 0, {} });
        }
    }

    void receive(FleetStep& step, HostId, const ForwardedCallReply& reply)
    {
        if (reply.origin == m_settings.self)
            m_forwarder.receive(step, reply);
        else if (m_connected.count(reply.origin))
            step.send(reply.origin, reply);
    }

    void answer(FleetStep& step, const ReplyTo& to, ControlReply reply)
    {
        ++m_counters.replies[reply.status];
        if (to.host == m_settings.self)
            step.emit(AnswerControl { CallId { to.number }, std::move(reply) });
        else if (m_connected.count(to.via))
            step.send(to.via, ForwardedCallReply { to.number, to.host, std::move(reply) });
    }

    void process(FleetStep& step, const ReplyTo& to, const ControlRequest& request)
    {
        std::visit([&](const auto& body) { process(step, to, body); }, request);
    }

    void process(FleetStep& step, const ReplyTo& to, const SubmitJob& request)
    {
        if (table().job(request.work.key)) {
            m_counters.add(FleetCounter::JobsRepeated);
            answer(step, to, {});
        } else {
            propose(step, request.work, to);
        }
    }

    void process(FleetStep& step, const ReplyTo& to, const GetJobState& request)
    {
        const WorkJob* job = table().job(request.key);
        answer(step, to, { job ? ControlStatus::Ok : ControlStatus::UnknownJob, job ? job->state : WorkState::Queued, 0, {} });
    }

    void process(FleetStep& step, const ReplyTo& to, const CancelJob& request)
    {
        const WorkJob* job = table().job(request.key);
        if (job && isEnded(job->state))
            answer(step, to, {});
        else
            propose(step, CancelWork { request.key }, to);
    }

    void process(FleetStep& step, const ReplyTo& to, const CountPendingJobs& request)
    {
        const bool isKnown = table().config().queue(request.queue) != nullptr;
        answer(step, to, { isKnown ? ControlStatus::Ok : ControlStatus::UnknownQueue, {}, pendingCount(request.queue), {} });
    }

    /// Jobs of a queue of which nothing has begun, those included that a worker has yet to confirm.
    uint64_t pendingCount(const std::string& queue) const
    {
        const auto isPending = [&](JobKey key) {
            const WorkJob& job = *table().job(key);
            return job.queue.name == queue && !m_desk.hasBegun(key) && !job.hasEnds();
        };
        return static_cast<uint64_t>(std::count_if(table().openJobs().begin(), table().openJobs().end(), isPending));
    }

    void process(FleetStep& step, const ReplyTo& to, const PutConfig& request)
    {
        if (request.config.version <= table().config().version)
            answer(step, to, {});
        else
            propose(step, SetFleetConfig { request.config }, to);
    }

    void process(FleetStep& step, const ReplyTo& to, const GetConfig&)
    {
        const FleetConfig& config = table().config();
        answer(step, to, { config.version ? ControlStatus::Ok : ControlStatus::Unavailable, {}, config.version, config.text });
    }

    void process(FleetStep& step, const ReplyTo& to, const ReportWorker& request)
    {
        const WorkerNumber number = table().findWorker(request.info.id);
        const FleetWorker* record = number.isValid() ? table().worker(number) : nullptr;
        if (record && record->info == request.info) {
            m_desk.workerReported(number, step.now);
            answer(step, to, {});
            return;
        }
        propose(step, SetFleetWorker { request.info }, to);
    }

    /// The message may be late and from an earlier life, so the worker only gets nothing new; what
    /// ran there counts as running until its lease is over or its next life reports.
    void process(FleetStep& step, const ReplyTo& to, const WorkerGone& request)
    {
        const FleetWorker* record = table().worker(table().findWorker(request.id));
        if (!record || record->info.isLeaving) {
            answer(step, to, {});
            return;
        }
        WorkerInfo info = record->info;
        info.isLeaving = true;
        propose(step, SetFleetWorker { std::move(info) }, to);
    }

    bool propose(FleetStep& step, WorkCommand command, std::optional<ReplyTo> reply, std::vector<RunPlacement> placements = {})
    {
        const auto index = m_replica.propose(step.now, std::move(command));
        if (index)
            m_pending[*index] = { m_replica.term(), std::move(reply), std::move(placements), step.now };
        else if (reply)
            answer(step, *reply, { ControlStatus::NotAccepted, {}, 0, {} });
        return index.has_value();
    }

    // Every step.

    void tick(FleetStep& step)
    {
        formIfComplete(step);
        if (step.now >= m_replica.nextDeadline())
            m_replica.tick(step.now);
        flush(step);
        if (m_isLeading)
            lead(step);
        m_forwarder.setTarget(step, forwardTarget());
        m_forwarder.tick(step);
        tickStatus(step);
        dial(step);
    }

    HostId forwardTarget() const
    {
        const HostId leader = m_replica.leader().host;
        return leader != m_settings.self && m_connected.count(leader) ? leader : HostId {};
    }

    /// Hands the replica's work to the shell and lets what follows from it happen.
    void flush(FleetStep& step)
    {
        Replica<WorkTable>::Output output = m_replica.takeOutput(step.now);
        if (output.write)
            step.emit(WriteWorkLog { m_replica.self().incarnation, std::move(*output.write) });
        for (auto& outgoing : output.messages) {
            const HostId to = outgoing.message.to.host;
            if (m_connected.count(to))
                step.send(to, std::move(outgoing.message), outgoing.afterWrite);
        }
        updateLeadership(step);
        for (const auto& applied : output.applied)
            noteApplied(step, applied);
    }

    void updateLeadership(FleetStep& step)
    {
        const bool isLeading = m_replica.hasLease(step.now);
        const uint64_t term = m_replica.term();
        const bool isLeader = m_replica.role() == ReplicaRole::Leader;
        if (!isLeader && m_deskTerm)
            loseLead(step);
        if (isLeading && m_deskTerm != term) {
            if (m_deskTerm)
                loseLead(step);
            m_deskTerm = term;
            m_desk.start(table(), step.now, term);
            m_advice.clear();
            m_inFlight.clear();
            requestPlan();
        }
        if (isLeading != m_isLeading) {
            m_isLeading = isLeading;
            m_nextStatus = step.now;
            step.log(LogEventKind::LeaderChanged, { { "log", "fleet" }, { "leading", isLeading ? "yes" : "no" }, { "term", std::to_string(term) }, { "index", std::to_string(m_replica.commitIndex()) } });
            if (isLeading) {
                for (ControlCalled& call : m_forwarder.takeAll())
                    process(step, { m_settings.self, m_settings.self, call.call.value }, call.request);
            }
        }
    }

    void loseLead(FleetStep& step)
    {
        m_deskTerm = 0;
        m_desk.stop();
        m_inFlight.clear();
        for (auto& [index, pending] : std::exchange(m_pending, {})) {
            if (pending.reply)
                answer(step, *pending.reply, { ControlStatus::Unavailable, {}, 0, {} });
        }
    }

    void noteApplied(FleetStep& step, const Replica<WorkTable>::Applied& applied)
    {
        const auto* entry = m_replica.entryAt(applied.index);
        if (entry && m_deskTerm) {
            if (const auto* command = std::get_if<WorkCommand>(&entry->payload))
                std::visit([&](const auto& body) { follow(step, body, applied); }, *command);
        }
        const auto found = m_pending.find(applied.index);
        if (found == m_pending.end())
            return;
        const Pending pending = std::move(found->second);
        m_pending.erase(found);
        if (pending.term != applied.term)
            return;
        m_counters.add(FleetCounter::RunsPlaced, pending.placements.size());
        for (const RunPlacement& placement : pending.placements) {
            m_inFlight.erase(placement.run.task);
            m_desk.placed(table(), step.now, placement);
        }
        if (pending.reply)
            answer(step, *pending.reply, replyTo(applied.result));
    }

    static ControlReply replyTo(const WorkResult& result)
    {
        switch (result.status) {
        case WorkStatus::UnknownQueue:
            return { ControlStatus::UnknownQueue, {}, 0, {} };
        case WorkStatus::UnknownJob:
            return { ControlStatus::UnknownJob, {}, 0, {} };
        default:
            return {};
        }
    }

    // What the leader does when a command has been applied.

    using Applied = Replica<WorkTable>::Applied;

    void follow(FleetStep& step, const SubmitWork& command, const Applied& applied)
    {
        requestPlan();
        if (applied.result.status != WorkStatus::Applied)
            return;
        m_counters.add(FleetCounter::JobsAccepted);
        step.log(LogEventKind::JobAccepted, { { "job", hexText(command.key.value) }, { "queue", command.queue }, { "index", std::to_string(applied.index) }, { "term", std::to_string(applied.term) } });
        const auto pending = m_pending.find(applied.index);
        if (pending != m_pending.end())
            step.measure(FleetTimer::HandInToCommit, step.now - pending->second.proposedAt);
    }

    void follow(FleetStep&, const PlaceRuns&, const Applied&) { requestPlan(); }
    void follow(FleetStep&, const LoseRuns&, const Applied&) { requestPlan(); }
    void follow(FleetStep& step, const CancelWork& command, const Applied&) { jobEnded(step, command.key); }
    void follow(FleetStep& step, const SetFleetWorker&, const Applied&) { workersChanged(step); }
    void follow(FleetStep& step, const RemoveFleetWorker&, const Applied&) { workersChanged(step); }

    void follow(FleetStep& step, const RecordEnds& command, const Applied&)
    {
        m_desk.endsRecorded(command.worker, step.now);
        requestPlan();
        std::set<JobKey> ended;
        for (const ListedEnd& end : command.ends) {
            const WorkJob* job = table().job(end.run.task.job);
            if (job && isEnded(job->state) && job->endedBy == end.run && ended.insert(job->key).second)
                jobEnded(step, job->key);
        }
    }

    void follow(FleetStep& step, const SetFleetConfig&, const Applied&)
    {
        requestPlan();
        const uint64_t version = table().config().version;
        step.log(LogEventKind::RevisionInForce, { { "version", std::to_string(version) } });
        for (const auto& [entry, sent] : m_entries)
            sendConfig(step, entry);
    }

    void jobEnded(FleetStep& step, JobKey key)
    {
        m_advice.forget(key);
        m_desk.forget(key);
        const WorkJob* job = table().job(key);
        if (!job)
            return;
        if (job->state != WorkState::Done)
            m_desk.jobEnded(step.now, key);
        step.log(LogEventKind::JobEnded, jobEndFields(table(), *job));
        requestPlan();
    }

    void workersChanged(FleetStep& step)
    {
        m_desk.workersChanged(table(), step.now);
        requestPlan();
    }

    // Leading.

    void lead(FleetStep& step)
    {
        if (const size_t overdue = m_advice.tick(step.now)) {
            m_counters.add(FleetCounter::AdviceUnanswered, overdue);
            step.log(LogEventKind::AdviceUnanswered, { { "calls", std::to_string(overdue) } });
        }
        m_desk.tick(step, table());
        proposeDeskCommands(step);
        if (step.now >= m_nextPlan)
            plan(step);
        flush(step);
    }

    void proposeDeskCommands(FleetStep& step)
    {
        for (WorkCommand& command : m_desk.takeCommands()) {
            if (propose(step, std::move(command), std::nullopt))
                continue;
            // What the workers said would be lost: ask them all again.
            m_desk.start(table(), step.now, m_replica.term());
            return;
        }
    }

    void plan(FleetStep& step)
    {
        m_lastPlan = step.now;
        m_nextPlan = step.now + config::idlePlanPeriod / 5;
        WorkPlan plan = m_planner.plan(table(), m_desk.links(), m_advice, m_inFlight, step.now);
        m_planGap = config::minPlanInterval + config::planIntervalPerThousandPairs * static_cast<Duration::rep>(plan.waitingSteps * m_desk.links().size() / 1000);
        m_nextPlan = std::min(m_nextPlan, plan.nextDue);
        PlaceRuns command;
        for (const PlannedRun& run : plan.runs)
            command.placements.push_back(run.placement);
        if (!command.placements.empty() && propose(step, command, std::nullopt, command.placements)) {
            for (PlannedRun& run : plan.runs) {
                m_inFlight.insert(run.placement.run.task);
                m_desk.reserve(table(), run.placement, std::move(run.ticket));
            }
        }
        m_counters.add(FleetCounter::RunsStoppedForGangs, plan.stops.size());
        for (const RunPlacement& victim : plan.stops)
            m_desk.stopRun(step.now, victim.worker, victim.run);
        for (const AdviceBook::Question& question : plan.questions) {
            if (!m_advice.mayAsk(question.terms, question.workers.size()))
                continue;
            m_counters.add(FleetCounter::AdviceAsked);
            m_advice.ask(step, table(), m_settings.self, question);
        }
    }

    void requestPlan() { m_nextPlan = std::min(m_nextPlan, m_lastPlan + m_planGap); }

    void tickStatus(FleetStep& step)
    {
        if (step.now < m_nextStatus)
            return;
        m_nextStatus = step.now + config::fleetStatusPeriod;
        for (const HostId host : m_connected)
            step.send(host, status());
    }

    FleetSettings m_settings;
    CallForwarder m_forwarder;
    Replica<WorkTable> m_replica;
    FleetDesk m_desk;
    CallRelay m_relay;
    AdviceBook m_advice;
    WorkPlanner<Order> m_planner;
    std::set<HostId> m_connected;
    std::map<HostId, SentConfig> m_entries;
    std::set<HostId> m_dialed;
    bool m_isForming = false;
    std::map<HostId, uint64_t> m_heardEmpty;
    std::map<HostId, std::string> m_regions; ///< Of the other control hosts that were heard of.
    std::map<uint64_t, Pending> m_pending;
    std::set<TaskRef> m_inFlight; ///< Placements that were proposed and are not decided.
    Time m_lastStep {};
    Time m_nextStatus {};
    Time m_nextPlan = never;
    Time m_lastPlan {};
    Duration m_planGap = config::minPlanInterval; ///< Grows with the work of a plan.
    uint64_t m_deskTerm = 0; ///< Term under which the desk works; 0 while this host does not lead.
    bool m_isLeading = false; ///< With a lease.
    FleetCounters m_counters;
};

extern template class ControlNode<>;

} // namespace eelgrassloft
