#pragma once

#include "fleet_events.h"
#include "hash.h"

#include <algorithm>
#include <map>

namespace eelgrassloft {

/// Calls that arrived at a host that does not lead. They are passed on to the leader and sent
/// again until it answers or their time is over; all of them are idempotent.
class CallForwarder {
public:
    explicit CallForwarder(HostId self)
        : m_self(self)
    {
    }

    void add(FleetStep& step, ControlCalled called)
    {
        const uint64_t number = m_nextNumber++;
        Waiting& waiting = m_waiting[number];
        waiting = { called.call, std::move(called.request), called.deadline, {}, step.now, 0, 0 };
        trySend(step, number, waiting);
    }

    /// The host that leads, or another one that may know it; invalid where there is none.
    void setTarget(FleetStep& step, HostId target)
    {
        if (target == m_target)
            return;
        m_target = target;
        for (auto& [number, waiting] : m_waiting)
            trySend(step, number, waiting);
    }

    void receive(FleetStep& step, const ForwardedCallReply& message)
    {
        const auto found = m_waiting.find(message.number);
        if (found == m_waiting.end())
            return;
        Waiting& waiting = found->second;
        if (message.reply.status == ControlStatus::NotAccepted && waiting.openSends)
            --waiting.openSends; // That try had and will have no effect.
        const bool isNoAnswer = message.reply.status == ControlStatus::Unavailable || message.reply.status == ControlStatus::NotAccepted;
        if (isNoAnswer)
            return; // Tried again at its next time; at its deadline `tick` knows what its other tries may have done.
        ++m_replies[message.reply.status];
        step.emit(AnswerControl { found->second.call, message.reply });
        m_waiting.erase(found);
    }

    void tick(FleetStep& step)
    {
        for (auto i = m_waiting.begin(); i != m_waiting.end();) {
            Waiting& waiting = i->second;
            const Time end = waiting.openSends ? waiting.deadline : std::min(waiting.deadline, waiting.arrivedAt + config::unsentCallTimeout);
            if (end <= step.now) {
                const ControlStatus status = waiting.openSends ? ControlStatus::Unavailable : ControlStatus::NotAccepted;
                step.log(LogEventKind::CallUnanswered, unansweredFields(step.now, waiting, status));
                ++m_replies[status];
                step.emit(AnswerControl { waiting.call, { status, {}, 0, {} } });
                i = m_waiting.erase(i);
                continue;
            }
            if (waiting.nextTry <= step.now)
                trySend(step, i->first, waiting);
            ++i;
        }
    }

    /// Takes all calls back, for a host that has come to lead.
    std::vector<ControlCalled> takeAll()
    {
        std::vector<ControlCalled> calls;
        for (auto& [number, waiting] : m_waiting)
            calls.push_back({ waiting.call, std::move(waiting.request), waiting.deadline });
        m_waiting.clear();
        return calls;
    }

    Time nextDeadline() const
    {
        Time next = never;
        for (const auto& [number, waiting] : m_waiting)
            next = std::min({ next, waiting.deadline, waiting.nextTry, waiting.openSends ? never : waiting.arrivedAt + config::unsentCallTimeout });
        return next;
    }

    size_t size() const { return m_waiting.size(); }
    uint64_t passedOn() const { return m_passedOn; }
    const EnumArray<ControlStatus, uint64_t>& replies() const { return m_replies; }

private:
    struct Waiting {
        CallId call;
        ControlRequest request;
        Time deadline {};
        Time nextTry {};
        Time arrivedAt {};
        uint32_t openSends = 0; ///< Tries that may have been carried out.
        uint32_t sends = 0;
    };

    std::vector<LogField> unansweredFields(Time now, const Waiting& waiting, ControlStatus status) const
    {
        const JobKey job = jobOf(waiting.request);
        return { { "call", std::string(callName(waiting.request)) }, { "job", job.isValid() ? hexText(job.value) : "none" }, { "status", std::string(name(status)) },
            { "waitedMs", std::to_string((now - waiting.arrivedAt) / std::chrono::milliseconds(1)) }, { "sends", std::to_string(waiting.sends) },
            { "open", std::to_string(waiting.openSends) }, { "target", m_target.isValid() ? std::to_string(m_target.value) : "none" } };
    }

    void trySend(FleetStep& step, uint64_t number, Waiting& waiting)
    {
        waiting.nextTry = step.now + config::callRetryInterval;
        if (!m_target.isValid())
            return;
        ++waiting.openSends;
        ++waiting.sends;
        ++m_passedOn;
        step.send(m_target, ForwardedCall { number, 0, m_self, waiting.request });
    }

    HostId m_self;
    HostId m_target;
    uint64_t m_nextNumber = 1;
    uint64_t m_passedOn = 0; ///< Sends since the start.
    EnumArray<ControlStatus, uint64_t> m_replies; ///< That were given to callers.
    std::map<uint64_t, Waiting> m_waiting;
};

} // namespace eelgrassloft
