#include "entry_node.h"

#include "hosts_text.h"

#include <algorithm>

namespace eelgrassloft {

std::vector<FleetEffect> EntryNode::receive(Time now, const FleetEvent& event)
{
    noteTime(now);
    FleetStep step;
    step.now = now;
    std::visit([&](const auto& body) { handle(step, body); }, event);
    adviseRefusedCalls(step);
    return std::move(step.effects);
}

std::vector<FleetEffect> EntryNode::finish(Time now)
{
    noteTime(now);
    FleetStep step;
    step.now = now;
    chooseTarget(step);
    m_forwarder.tick(step);
    m_configReceiver.tick(step);
    if (now >= m_nextStatus)
        sendStatus(step);
    logReadiness(step);
    updateConnectTargets(step);
    adviseRefusedCalls(step);
    return std::move(step.effects);
}

void EntryNode::noteTime(Time now)
{
    if (m_startedAt == Time::min())
        m_startedAt = now;
}

/// Time for which refused callers should stay away, before it is spread. An election ends soon, however long the
/// outage before it lasted.
Duration EntryNode::expectedOutage(Time now) const
{
    const OutageView& view = m_forwarder.view();
    const bool isElecting = view.reach == LeaderReach::Electing && now < view.since + config::maxElectionTime;
    return isElecting ? Duration {} : now - std::max(m_startedAt, m_lastLeaderContact);
}

void EntryNode::adviseRefusedCalls(FleetStep& step) const
{
    const Duration outage = expectedOutage(step.now);
    for (FleetEffect& effect : step.effects) {
        auto* sent = std::get_if<SendControlReply>(&effect);
        if (sent && sent->reply.status == ControlStatus::NotAccepted)
            sent->reply.retryAfter = m_admission.retryAfter(outage, m_settings.self.value + sent->call.value);
    }
}

void EntryNode::handle(FleetStep& step, const FleetPeerUp& event)
{
    m_connected.insert(event.host);
    m_views.add(event.host, step.now);
    m_forwarder.didConnect(step, event.host);
    step.send(event.host, status(step.now));
}

void EntryNode::handle(FleetStep&, const FleetPeerDown& event)
{
    m_connected.erase(event.host);
    m_views.remove(event.host);
    m_forwarder.didDisconnect(event.host);
    m_configReceiver.hostDown(event.host);
    m_relay.dropRequester(event.host);
}

void EntryNode::handle(FleetStep& step, const FleetMessageReceived& event)
{
    m_views.noteContact(event.host, step.now);
    std::visit([&](const auto& body) { receive(step, event.host, body); }, event.message);
}

void EntryNode::handle(FleetStep& step, const FleetStopRequested&)
{
    m_isStopping = true;
    sendStatus(step);
}

void EntryNode::handle(FleetStep&, const SeedsChanged& event)
{
    m_settings.seeds = event.seeds;
    m_connectTargets.clear();
}

/// A leader's report counts as contact from the time of the status that it answers: one that was held up in
/// the network or while this host was frozen may be older than the configuration in force.
void EntryNode::receive(FleetStep& step, HostId from, const ControlStatusReport& report)
{
    m_configReceiver.offer(from, report.configVersion);
    m_views.noteReport(from, report);
    if (report.term < m_leaderTerm)
        return;
    if (!report.hosts.empty()) // The leader may not be among the seeds.
        m_controlHosts = report.hosts;
    if (report.isLeading) {
        m_leaderTerm = report.term;
        m_leader = from;
        m_confirmedTerm = report.term;
        if (report.answeredAt != Time {} && report.answeredAt <= step.now)
            m_lastLeaderContact = std::max(m_lastLeaderContact, report.answeredAt);
        return;
    }
    if (report.term > m_leaderTerm && report.leader.isValid()) {
        m_leaderTerm = report.term;
        m_leader = report.leader;
    }
}

void EntryNode::receive(FleetStep& step, HostId, const ForwardedCallReply& reply)
{
    m_answeredVersion = std::max(m_answeredVersion, reply.reply.configVersion);
    m_forwarder.receive(step, reply);
}

void EntryNode::receive(FleetStep& step, HostId from, const AdviceRequest& request) { m_relay.call(step, from, request); }

void EntryNode::handle(FleetStep& step, const ControlCallReceived& event)
{
    m_forwarder.setHeld(step, m_views.areAllSilent(step.now));
    if (const auto* find = std::get_if<FindQueueInForce>(&event.request))
        findQueue(step, event, find->address);
    else
        m_forwarder.add(step, event);
}

/// Answers from the host's own configuration while that is known to be in force, otherwise asks the
/// leader.
void EntryNode::findQueue(FleetStep& step, const ControlCallReceived& event, const QueueAddress& address)
{
    if (isConfigCurrent(step.now))
        step.emit(SendControlReply { event.call, lookUpQueue(config(), address) });
    else if (m_connected.empty())
        step.emit(SendControlReply { event.call, { ControlStatus::NotAccepted, {}, 0, {} } });
    else
        m_forwarder.add(step, event);
}

void EntryNode::handle(FleetStep& step, const AdviceReplyReceived& event) { m_relay.handleResponse(step, event.call, event.reply); }

/// Forwards calls to the leader if it is connected, otherwise to a control host that knows it, or to any
/// one, which forwards them.
void EntryNode::chooseTarget(FleetStep& step)
{
    HostId target = m_forwarder.target();
    if (m_connected.count(m_leader))
        target = m_leader;
    else if (!m_connected.count(target) || !m_views.knowsLeader(target, m_leader, m_leaderTerm))
        target = m_views.hostToAsk(m_leader, m_leaderTerm, HostId {});
    m_forwarder.setReach(step.now, m_views.reach(m_controlHosts.size()), m_views.size());
    m_forwarder.setHeld(step, m_views.areAllSilent(step.now));
    m_forwarder.setRelay(m_views.hostToAsk(m_leader, m_leaderTerm, target));
    const bool isLeading = target == m_leader && m_confirmedTerm == m_leaderTerm && hasLeaderContact(step.now);
    m_forwarder.setTarget(step, target, isLeading);
}

void EntryNode::updateConnectTargets(FleetStep& step)
{
    std::set<HostId> hosts(m_settings.seeds.begin(), m_settings.seeds.end());
    hosts.insert(m_controlHosts.begin(), m_controlHosts.end());
    if (hosts == m_connectTargets)
        return;
    m_connectTargets = hosts;
    step.emit(ConnectHosts { { hosts.begin(), hosts.end() } });
}

void EntryNode::sendStatus(FleetStep& step)
{
    m_nextStatus = step.now + config::fleetStatusPeriod;
    for (const HostId host : m_connected)
        step.send(host, status(step.now));
}

void EntryNode::logReadiness(FleetStep& step)
{
    const bool isNowReady = isReady(step.now);
    if (isNowReady == m_wasReady)
        return;
    const auto text = [](bool value) { return std::string(value ? "ready" : "not-ready"); };
    const bool hadContact = m_lastLeaderContact != Time::min();
    step.log(LogEventKind::ReadinessChanged, { { "from", text(m_wasReady) }, { "to", text(isNowReady) }, { "contactMs", hadContact ? std::to_string((step.now - m_lastLeaderContact) / std::chrono::milliseconds(1)) : "none" }, { "term", std::to_string(m_leaderTerm) }, { "version", std::to_string(config().version) }, { "latestVersion", std::to_string(m_configReceiver.latestVersion()) }, { "connected", hostsText(m_connected) } });
    m_wasReady = isNowReady;
}

} // namespace eelgrassloft
