#pragma once

#include "call_admission.h"
#include "call_forwarder.h"
#include "call_relay.h"
#include "config_receiver.h"
#include "control_host_views.h"
#include "queue_lookup.h"

namespace eelgrassloft {

/// Core of an entry host, which has no log. It forwards calls to the leading control host, keeps the
/// configuration in force and calls the advice service on the leader's behalf.
class EntryNode {
public:
    explicit EntryNode(FleetSettings settings)
        : m_settings(std::move(settings))
        , m_forwarder(m_settings.self)
        , m_configReceiver(m_settings)
    {
    }

    std::vector<FleetEffect> receive(Time now, const FleetEvent& event);
    std::vector<FleetEffect> finish(Time now);
    void didFinish(Duration) { }
    Time nextDeadline() const { return std::min({ m_forwarder.nextDeadline(), m_configReceiver.nextDeadline(), m_nextStatus }); }

    FleetCounters counters() const
    {
        FleetCounters counters;
        counters.events[FleetCounter::CallsForwarded] = m_forwarder.forwardedCount();
        counters.replies = m_forwarder.replies();
        return counters;
    }

    FleetGauges gauges() const
    {
        FleetGauges gauges;
        gauges[FleetGauge::Term] = static_cast<double>(m_leaderTerm);
        gauges[FleetGauge::ConfigVersion] = static_cast<double>(config().version);
        gauges[FleetGauge::PendingCalls] = static_cast<double>(m_forwarder.size());
        return gauges;
    }

    /// Latest configuration received; version 0 before the first.
    const FleetConfig& config() const { return m_configReceiver.config(); }
    /// Whether the leader answered a status that this host sent within `leaderContactTimeout`.
    bool hasLeaderContact(Time now) const { return now < m_lastLeaderContact + config::leaderContactTimeout; }
    /// Whether a newer configuration is known to be in force.
    bool isStale() const { return config().version < std::max(m_configReceiver.latestVersion(), m_answeredVersion); }
    /// Whether the configuration is known to be the one in force.
    bool isConfigCurrent(Time now) const { return config().version && hasLeaderContact(now) && !isStale(); }
    /// Whether the host should receive new calls.
    bool isReady(Time now) const { return !m_isStopping && config().version && hasLeaderContact(now); }

private:
    void handle(FleetStep&, const FleetTick&) { }
    void handle(FleetStep&, const InputRefused&) { }
    void handle(FleetStep&, const WorkLogWritten&) { }
    void handle(FleetStep&, const WorkLogRefused&) { }
    void handle(FleetStep&, const OrderResponseReceived&) { }
    void handle(FleetStep& step, const FleetPeerUp& event);
    void handle(FleetStep& step, const FleetPeerDown& event);
    void handle(FleetStep& step, const FleetMessageReceived& event);
    void handle(FleetStep& step, const ControlCallReceived& event);
    void handle(FleetStep& step, const AdviceReplyReceived& event);
    void handle(FleetStep& step, const FleetStopRequested& event);
    void handle(FleetStep& step, const SeedsChanged& event);

    template <typename Message>
    void receive(FleetStep&, HostId, const Message&) { } // Other messages are for control hosts.
    void receive(FleetStep& step, HostId from, const ControlStatusReport& report);
    void receive(FleetStep& step, HostId from, const ConfigPart& part) { m_configReceiver.receive(step, from, part); }
    void receive(FleetStep&, HostId from, const LogHello& hello) { m_configReceiver.locateHost(from, hello); }
    void receive(FleetStep& step, HostId from, const ForwardedCallReply& reply);
    void receive(FleetStep& step, HostId from, const AdviceRequest& request);

    void noteTime(Time now);
    Duration expectedOutage(Time now) const;
    void adviseRefusedCalls(FleetStep& step) const;
    void findQueue(FleetStep& step, const ControlCallReceived& event, const QueueAddress& address);
    void updateConnectTargets(FleetStep& step);
    void chooseTarget(FleetStep& step);
    EntryStatusReport status(Time now) const { return { config().version, m_isStopping, now, m_forwarder.load(now) }; }
    void sendStatus(FleetStep& step);
    void logReadiness(FleetStep& step);

    FleetSettings m_settings;
    CallForwarder m_forwarder;
    OutageAdmission m_admission;
    Time m_startedAt = Time::min(); ///< Of the first step.
    ConfigReceiver m_configReceiver;
    std::set<HostId> m_connected;
    ControlHostViews m_views; ///< Of the connected hosts.
    std::set<HostId> m_connectTargets;
    std::vector<HostId> m_controlHosts; ///< From the latest status report that listed hosts; older terms are ignored.
    HostId m_leader;
    uint64_t m_leaderTerm = 0;
    uint64_t m_confirmedTerm = 0; ///< Latest term in which a leader itself said that it leads.
    Time m_lastLeaderContact = Time::min(); ///< When this host sent the latest status that a leader answered.
    uint64_t m_answeredVersion = 0; ///< Highest version by which the leader answered a lookup.
    Time m_nextStatus {};
    bool m_isStopping = false;
    bool m_wasReady = false; ///< At the latest `finish`.
    CallRelay m_relay;
};

} // namespace eelgrassloft
