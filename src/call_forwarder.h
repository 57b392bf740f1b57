#pragma once

#include "fleet_events.h"
#include "hash.h"
#include "outage_policy.h"
#include "unsettled_jobs.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace eelgrassloft {

/// Forwards calls that arrive at a host other than the leader to the leader. Retries each until the
/// leader replies or the policy ends it, which is safe as all calls are idempotent. A call without an
/// answer is repeated seldom, as it may be large and still on its way; by turns it takes the way by
/// another control host, if one is connected.
template <OutagePolicy Policy = WaitForLeader>
class BasicCallForwarder {
public:
    explicit BasicCallForwarder(HostId self)
        : m_self(self)
    {
    }

    void add(FleetStep& step, const ControlCallReceived& called)
    {
        const uint64_t number = m_nextNumber++;
        PendingCall& pending = m_pending[number];
        pending.call = called.call;
        pending.request = called.request;
        pending.deadline = called.deadline;
        pending.arrivedAt = step.now;
        pending.uncertainAttempts = called.mayHaveRun || m_unsettled.contains(submittedJob(pending.request), step.now) ? 1 : 0;
        sendAttempt(step, number, pending, m_target);
    }

    HostId target() const { return m_target; }
    /// Tells how near a leader is, as far as this host knows from the control hosts that it is connected to.
    void setReach(Time now, LeaderReach reach, size_t connected) { m_view.update(now, reach, connected); }
    const OutageView& view() const { return m_view; }

    /// Holds calls that take effect back while the hosts to send them to are silent: a call that was sent to
    /// such a host may run late, so it could no longer be refused.
    void setHeld(FleetStep& step, bool isHeld)
    {
        if (!std::exchange(m_isHeld, isHeld) || isHeld)
            return;
        for (const uint64_t number : byDeadline()) {
            PendingCall& pending = m_pending.at(number);
            if (pending.isHeldBack)
                sendAttempt(step, number, pending, m_target);
        }
    }

    /// Sets the host to forward to, and whether it is known to lead or only may know the leader; invalid if
    /// there is none. Calls that it refused are sent again as soon as it leads.
    void setTarget(FleetStep& step, HostId target, bool isLeading = true)
    {
        const bool beginsToLead = isLeading && !std::exchange(m_isTargetLeading, isLeading);
        const bool isNew = target != std::exchange(m_target, target);
        if (isNew)
            sendAll(step);
        else if (beginsToLead)
            sendUnanswered(step);
    }

    /// Sets a host that may forward to the target; invalid if there is none.
    void setRelay(HostId relay) { m_relay = relay; }

    /// Sends nothing more to a host whose connection is lost. What was sent to it may still run.
    void didDisconnect(HostId host)
    {
        if (host == m_target)
            m_target = {};
        if (host == m_relay)
            m_relay = {};
    }

    /// A connection that is replaced loses the calls on it.
    void didConnect(FleetStep& step, HostId host)
    {
        if (host == m_target)
            sendAll(step);
    }

    void receive(FleetStep& step, const ForwardedCallReply& message)
    {
        const auto found = m_pending.find(message.number);
        if (found == m_pending.end())
            return;
        PendingCall& pending = found->second;
        const ControlStatus status = message.reply.status;
        if (hadNoEffect(status) && pending.uncertainAttempts)
            --pending.uncertainAttempts; // This attempt had no effect and won't have one.
        const bool isOutcomeOpen = (status == ControlStatus::NoMemory || status == ControlStatus::Overloaded) && pending.uncertainAttempts;
        const bool isRetryable = status == ControlStatus::Unavailable || status == ControlStatus::NotAccepted || isOutcomeOpen;
        if (isRetryable) {
            // When the call ends, `tick` replies by whether another attempt may have had an effect.
            pending.isRefused = true;
            pending.resendInterval = config::callResendInterval;
            pending.nextAttempt = std::min(pending.nextAttempt, std::max(step.now, pending.sentAt + config::callRetryInterval));
            return;
        }
        if (status == ControlStatus::Ok)
            m_unsettled.settle(submittedJob(pending.request));
        ++m_replies[status];
        step.emit(SendControlReply { pending.call, message.reply });
        m_pending.erase(found);
    }

    void tick(FleetStep& step)
    {
        m_unsettled.dropExpired(step.now);
        for (auto i = m_pending.begin(); i != m_pending.end();) {
            PendingCall& pending = i->second;
            const CallVerdict decided = verdict(m_policy, m_view, waitingCall(pending), step.now);
            if (decided != CallVerdict::Wait) {
                const ControlStatus status = decided == CallVerdict::GiveUp ? ControlStatus::Unavailable : ControlStatus::NotAccepted;
                if (decided == CallVerdict::GiveUp)
                    m_unsettled.add(submittedJob(pending.request), step.now);
                step.log(LogEventKind::CallUnanswered, unansweredFields(step.now, pending, status));
                ++m_replies[status];
                step.emit(SendControlReply { pending.call, { status, {}, 0, {} } });
                i = m_pending.erase(i);
                continue;
            }
            if (pending.nextAttempt <= step.now)
                sendAttempt(step, i->first, pending, nextHost(pending));
            ++i;
        }
    }

    /// Takes all calls out, for a host that has become the leader. Attempts without a reply may still
    /// reach this host by way of the former leader.
    std::vector<ControlCallReceived> takeAll()
    {
        std::vector<ControlCallReceived> calls;
        for (auto& [number, pending] : m_pending)
            calls.push_back({ pending.call, std::move(pending.request), pending.deadline, waitingCall(pending).mayHaveRun() });
        m_pending.clear();
        return calls;
    }

    Time nextDeadline() const
    {
        Time next = never;
        for (const auto& [number, pending] : m_pending)
            next = std::min({ next, pending.nextAttempt, m_policy.waitEnd(m_view, waitingCall(pending)) });
        return next;
    }

    size_t size() const { return m_pending.size(); }

    /// Load by the calls without a reply. They are numbered in the order of their arrival.
    HostLoad load(Time now) const
    {
        if (m_pending.empty())
            return {};
        return { static_cast<uint32_t>(m_pending.size()), now - m_pending.begin()->second.arrivedAt };
    }

    uint64_t forwardedCount() const { return m_forwardedCount; }
    const EnumArray<ControlStatus, uint64_t>& replies() const { return m_replies; }

private:
    struct PendingCall {
        CallId call;
        ControlRequest request;
        Time deadline {};
        Time nextAttempt {};
        Time arrivedAt {};
        Time sentAt {}; ///< Of the latest attempt.
        HostId sentTo; ///< Host of the latest attempt.
        Duration resendInterval = config::callResendInterval; ///< After the next attempt.
        bool isRefused = false; ///< Whether the latest attempt was.
        bool isHeldBack = false; ///< Whether the next attempt waits until hosts are no longer silent.
        uint32_t uncertainAttempts = 0; ///< Attempts that may have taken effect or may still do so.
        uint32_t attempts = 0;
    };

    /// Job that a call submits; invalid if it does something else.
    static JobKey submittedJob(const ControlRequest& request) { return std::holds_alternative<SubmitJob>(request) ? jobOf(request) : JobKey {}; }

    static WaitingCall waitingCall(const PendingCall& pending) { return { pending.arrivedAt, pending.deadline, takesEffect(pending.request), pending.uncertainAttempts > 0 }; }

    std::vector<LogField> unansweredFields(Time now, const PendingCall& pending, ControlStatus status) const
    {
        const JobKey job = jobOf(pending.request);
        return { { "call", std::string(callName(pending.request)) }, { "job", job.isValid() ? hexText(job.value) : "none" }, { "status", std::string(name(status)) },
            { "waitedMs", std::to_string((now - pending.arrivedAt) / std::chrono::milliseconds(1)) }, { "sends", std::to_string(pending.attempts) },
            { "open", std::to_string(pending.uncertainAttempts) }, { "target", m_target.isValid() ? std::to_string(m_target.value) : "none" }, { "reach", std::string(name(m_view.reach)) } };
    }

    /// By turns the target and the relay; a refusal by the leader is no reason to go round it.
    HostId nextHost(const PendingCall& pending) const
    {
        const bool goesRound = m_relay.isValid() && pending.sentTo == m_target && !(pending.isRefused && m_isTargetLeading);
        return goesRound ? m_relay : m_target;
    }

    /// The calls in the order of the time that they have left.
    std::vector<uint64_t> byDeadline() const
    {
        std::vector<std::pair<Time, uint64_t>> order;
        for (const auto& [number, pending] : m_pending)
            order.emplace_back(pending.deadline, number);
        std::sort(order.begin(), order.end());
        std::vector<uint64_t> numbers;
        numbers.reserve(order.size());
        for (const auto& [deadline, number] : order)
            numbers.push_back(number);
        return numbers;
    }

    /// Sends the calls again that the target refused before it led, or that it passed on to a former leader. A call
    /// that was sent just now may have arrived after it began to lead.
    void sendUnanswered(FleetStep& step)
    {
        for (const uint64_t number : byDeadline()) {
            PendingCall& pending = m_pending.at(number);
            const Time due = pending.isRefused ? step.now : pending.sentAt + config::callRetryInterval;
            if (due <= step.now)
                sendAttempt(step, number, pending, m_target);
            else
                pending.nextAttempt = std::min(pending.nextAttempt, due);
        }
    }

    void sendAll(FleetStep& step)
    {
        for (const uint64_t number : byDeadline()) {
            PendingCall& pending = m_pending.at(number);
            pending.resendInterval = config::callResendInterval;
            sendAttempt(step, number, pending, m_target);
        }
    }

    void sendAttempt(FleetStep& step, uint64_t number, PendingCall& pending, HostId to)
    {
        pending.nextAttempt = step.now + config::callRetryInterval;
        pending.isHeldBack = m_isHeld && takesEffect(pending.request);
        if (!to.isValid() || pending.isHeldBack)
            return;
        pending.sentAt = step.now;
        pending.sentTo = to;
        pending.isRefused = false;
        pending.nextAttempt = step.now + pending.resendInterval;
        pending.resendInterval = std::min(pending.resendInterval * 2, config::maxCallResendInterval);
        ++pending.uncertainAttempts;
        ++pending.attempts;
        ++m_forwardedCount;
        step.send(to, ForwardedCall { number, 0, m_self, pending.request });
    }

    HostId m_self;
    Policy m_policy;
    OutageView m_view;
    bool m_isHeld = false;
    HostId m_target;
    bool m_isTargetLeading = false;
    HostId m_relay;
    uint64_t m_nextNumber = 1;
    uint64_t m_forwardedCount = 0; ///< Attempts of all calls since the start.
    EnumArray<ControlStatus, uint64_t> m_replies; ///< Replies given to callers, by status.
    std::map<uint64_t, PendingCall> m_pending;
    UnsettledJobs m_unsettled;
};

using CallForwarder = BasicCallForwarder<>;

} // namespace eelgrassloft
