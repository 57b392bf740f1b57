#pragma once

#include "io/connection_budget.h"
#include "io/event_log.h"

namespace eelgrassloft::io {

/// Counts what the listeners refuse or close, and logs it: one line a second for each reason.
class ShedLog {
public:
    ShedLog(ConnectionBudget& budget, EventLog* log)
        : m_budget(budget)
        , m_log(log)
    {
    }

    void add(ListenerKind listener, ShedReason reason)
    {
        m_budget.count(listener, reason);
        report(listener, reason);
    }

    /// Logs what the budget has counted itself.
    void report(ListenerKind listener, ShedReason reason)
    {
        const auto now = std::chrono::steady_clock::now();
        if (!m_log || !m_limiters[listener].tryAcquire(name(reason), now))
            return;
        uint64_t& reported = m_reported[listener][reason];
        const uint64_t total = m_budget.shed(listener, reason);
        m_log->write("request-shed", { { "listener", std::string(name(listener)) }, { "reason", std::string(name(reason)) }, { "count", std::to_string(total - reported) }, { "total", std::to_string(total) }, { "connections", std::to_string(m_budget.connections(listener)) }, { "bytes", std::to_string(m_budget.bytes(listener)) } });
        reported = total;
    }

private:
    ConnectionBudget& m_budget;
    EventLog* m_log;
    EnumArray<ListenerKind, LogRateLimiter> m_limiters { { LogRateLimiter(1), LogRateLimiter(1), LogRateLimiter(1), LogRateLimiter(1) } };
    EnumArray<ListenerKind, EnumArray<ShedReason, uint64_t>> m_reported;
};

} // namespace eelgrassloft::io
