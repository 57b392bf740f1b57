#pragma once

#include "node_step.h"
#include "proposal.h"

namespace eelgrassloft {

/// Hosts and settings of one replicated log, as its member on this node uses them.
struct LogMemberOptions {
    LogKind log = LogKind::Cell;
    Duration heartbeat = config::heartbeatPeriod;
    std::vector<HostId> hosts; ///< All hosts that replicate the log.
    std::vector<HostId> voterHosts;
    size_t snapshotThreshold = config::snapshotThresholdEntries;
    bool hasStorage = true;
};

/// A node's member of one replicated log, with the proposals that the node makes and forwards.
template <StateMachine M, typename Context>
class LogMember {
public:
    using Command = typename M::Command;
    using Result = typename M::Result;
    using Client = ProposalClient<M, Context>;

    /// A proposal of this node that was applied or timed out.
    struct Completed {
        typename Client::Pending pending;
        std::optional<Result> result; ///< Empty after the deadline; the command may still be applied.
        bool wasLogReachable = true; ///< At the deadline: whether there was a host to send the proposal to.
    };

    LogMember(LogMemberOptions options, HostId self, uint64_t incarnation, Time now, uint64_t seed)
        : m_options(std::move(options))
        , m_seed(seed)
        , m_replica({ self, incarnation }, replicaOptions(), now)
    {
    }

    // Formation.

    /// Forms a new log once every voter has reported that it holds no state.
    void startForming() { m_isForming = true; }

    void restore(Time now, RestoredLog<M> log) { m_replica.restore(now, std::move(log)); }

    void receiveHello(NodeStep& step, HostId host, uint64_t incarnation, bool isEmpty)
    {
        m_replica.observeMember({ host, incarnation });
        if (!m_isForming)
            return;
        if (!isEmpty) {
            abandonForming(step);
            return;
        }
        m_emptyPeers[host] = incarnation;
        formIfComplete(step);
    }

    void formIfComplete(NodeStep& step)
    {
        if (!m_isForming)
            return;
        Membership membership;
        for (const HostId host : m_options.hosts) {
            const bool isSelf = host == m_replica.self().host;
            const auto emptyPeer = m_emptyPeers.find(host);
            const bool isVoter = contains(m_options.voterHosts, host);
            if (!isSelf && emptyPeer == m_emptyPeers.end()) {
                if (isVoter)
                    return;
                continue;
            }
            const Member member = isSelf ? m_replica.self() : Member { host, emptyPeer->second };
            (isVoter ? membership.voters : membership.learners).push_back(member);
        }
        m_isForming = false;
        m_replica.form(step.now, membership);
        step.log(LogEventKind::LogFormed, { { "log", std::string(name(m_options.log)) } });
    }

    bool isForming() const { return m_isForming; }

    // Proposals.

    uint64_t propose(NodeStep& step, Command command, Context context, std::string dataCentre, Time deadline)
    {
        const uint64_t number = m_client.add(std::move(command), std::move(context), std::move(dataCentre), deadline);
        submitProposal(step, number);
        return number;
    }

    /// Proposes to this host's replica without waiting for the result. Returns false where the
    /// replica does not accept the command.
    bool proposeLocally(NodeStep& step, Command command) { return m_replica.propose(step.now, std::move(command)).has_value(); }

    void receive(NodeStep& step, const Proposal<M>& proposal)
    {
        if (m_replica.role() != ReplicaRole::Leader) {
            const HostId leader = m_replica.leader().host;
            if (proposal.hops == 0 && leader.isValid() && step.peers.isConnected(leader)) {
                Proposal<M> forwarded = proposal;
                ++forwarded.hops;
                step.send(leader, std::move(forwarded));
                return;
            }
            reply(step, proposal.origin, { proposal.number, ProposalStatus::NotLeader, {} });
            return;
        }
        const auto index = m_replica.propose(step.now, proposal.command);
        if (!index) {
            reply(step, proposal.origin, { proposal.number, ProposalStatus::Busy, {} });
            return;
        }
        m_pendingReplies.add(*index, { proposal.origin, proposal.number, m_replica.term() });
    }

    void receive(NodeStep& step, const ProposalReply<M>& reply)
    {
        if (reply.status != ProposalStatus::Applied) {
            if (m_client.find(reply.number))
                m_client.scheduleRetry(reply.number, step.now + config::proposalRetryInterval / 4);
            return;
        }
        complete(reply.number, reply.result);
    }

    void receive(NodeStep& step, const ReplicaMessage<M>& message)
    {
        m_replica.receive(step.now, message);
        m_isForming = m_isForming && m_replica.isEmpty(); // Another voter may have formed the log already.
    }

    void completeWrites(NodeStep& step, uint64_t sequence)
    {
        if (m_replica.isStorageRefused())
            step.log(LogEventKind::StorageRestored, { { "log", std::string(name(m_options.log)) } });
        m_replica.completeWrites(step.now, sequence);
    }

    void refuseWrites(NodeStep& step, const std::string& reason)
    {
        m_replica.refuseWrites();
        step.log(LogEventKind::StorageRefused, { { "log", std::string(name(m_options.log)) }, { "error", reason } });
    }

    // Steps.

    void tick(NodeStep& step)
    {
        if (m_isForming)
            return;
        if (step.now >= m_replica.nextDeadline())
            m_replica.tick(step.now);
        while (const auto number = m_client.firstDue(step.now)) {
            if (step.now < m_client.find(*number)->deadline) {
                submitProposal(step, *number);
                continue;
            }
            const bool wasLogReachable = target(step, *m_client.find(*number)).isValid();
            m_completed.push_back({ *m_client.take(*number), std::nullopt, wasLogReachable });
        }
    }

    /// Turns the replica's output into effects. Returns whether the state machine changed.
    bool flush(NodeStep& step)
    {
        typename Replica<M>::Output output = m_replica.takeOutput(step.now);
        const bool hasApplied = !output.applied.empty() || output.wasRestored;
        if (output.write)
            step.emit(WriteLog<M> { m_replica.self().incarnation, std::move(*output.write) });
        for (auto& outgoing : output.messages) {
            const HostId to = outgoing.message.to.host;
            if (step.peers.isConnected(to))
                step.send(to, std::move(outgoing.message), m_options.log, outgoing.afterWrite);
        }
        for (const auto& applied : output.applied) {
            step.counters.add(CounterKind::EntriesCommitted);
            finishProposal(step, applied);
        }
        handleLeaderChange(step);
        return hasApplied;
    }

    std::vector<Completed> takeCompleted() { return std::exchange(m_completed, {}); }

    Time nextDeadline() const { return std::min(m_isForming ? never : m_replica.nextDeadline(), m_client.nextDeadline()); }

    const Replica<M>& replica() const { return m_replica; }
    const M& stateMachine() const { return m_replica.stateMachine(); }
    bool isLeader() const { return m_replica.role() == ReplicaRole::Leader; }
    bool hasLease(Time now) const { return m_replica.hasLease(now); }
    HostId leader() const { return m_replica.leader().host; }
    size_t pendingProposalCount() const { return m_client.size(); }

private:
    static bool contains(const std::vector<HostId>& hosts, HostId host)
    {
        return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
    }

    ReplicaOptions replicaOptions() const
    {
        return { m_options.heartbeat, m_options.snapshotThreshold, m_options.hasStorage, m_options.voterHosts, m_seed };
    }

    /// Stops forming the log. Where a peer holds state, this host may have held some as well, so it
    /// joins the existing log as a new incarnation.
    void abandonForming(NodeStep& step)
    {
        m_isForming = false;
        step.log(LogEventKind::IncarnationChanged, { { "log", std::string(name(m_options.log)) }, { "reason", "others-hold-state" } });
    }

    /// Host to send a proposal to; invalid where none is connected.
    HostId target(const NodeStep& step, const typename Client::Pending& pending) const
    {
        const bool isOwnLog = pending.dataCentre.empty() || pending.dataCentre == step.peers.ownDataCentre();
        if (!isOwnLog)
            return step.peers.connectedHostIn(pending.dataCentre, pending.attempts);
        if (isLeader())
            return step.peers.self();
        const HostId leader = m_replica.leader().host;
        return leader.isValid() && step.peers.isConnected(leader) ? leader : HostId {};
    }

    void submitProposal(NodeStep& step, uint64_t number)
    {
        const auto& pending = *m_client.find(number);
        const HostId to = target(step, pending);
        Command command = pending.command;
        m_client.scheduleRetry(number, step.now + (to.isValid() ? config::proposalRetryInterval : config::proposalRetryInterval / 4));
        if (!to.isValid())
            return;
        if (to != step.peers.self()) {
            step.send(to, Proposal<M> { step.peers.self(), number, 0, std::move(command) });
            return;
        }
        if (const auto index = m_replica.propose(step.now, std::move(command)))
            m_pendingReplies.add(*index, { to, number, m_replica.term() });
    }

    void finishProposal(NodeStep& step, const typename Replica<M>::Applied& applied)
    {
        const auto entry = m_pendingReplies.take(applied.index);
        if (entry && entry->term == applied.term)
            reply(step, entry->origin, { entry->number, ProposalStatus::Applied, applied.result });
    }

    void reply(NodeStep& step, HostId origin, ProposalReply<M> reply)
    {
        if (origin == step.peers.self())
            receive(step, reply);
        else if (step.peers.isConnected(origin))
            step.send(origin, std::move(reply));
    }

    void complete(uint64_t number, const Result& result)
    {
        if (auto pending = m_client.take(number))
            m_completed.push_back({ std::move(*pending), result, true });
    }

    void handleLeaderChange(NodeStep& step)
    {
        const Member leader = m_replica.leader();
        if (leader == m_knownLeader && m_replica.term() == m_knownTerm)
            return;
        if (leader != m_knownLeader && leader.host.isValid()) {
            step.log(LogEventKind::LeaderChanged, { { "log", std::string(name(m_options.log)) }, { "leader", std::to_string(leader.host.value) }, { "term", std::to_string(m_replica.term()) } });
        }
        m_knownLeader = leader;
        m_knownTerm = m_replica.term();
        if (isLeader())
            return;
        for (const auto& [index, entry] : m_pendingReplies.takeAll())
            reply(step, entry.origin, { entry.number, ProposalStatus::NotLeader, {} });
    }

    LogMemberOptions m_options;
    uint64_t m_seed;
    Replica<M> m_replica;
    Client m_client;
    PendingReplies<M> m_pendingReplies;
    std::vector<Completed> m_completed;
    bool m_isForming = false;
    std::map<HostId, uint64_t> m_emptyPeers; ///< Incarnations of the peers without state.
    Member m_knownLeader;
    uint64_t m_knownTerm = 0;
};

} // namespace eelgrassloft
