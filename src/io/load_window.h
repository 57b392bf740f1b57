#pragma once

#include "fleet_events.h"

#include <algorithm>
#include <chrono>

namespace eelgrassloft::io {

/// A duration in whole milliseconds, for log lines.
inline std::string millisText(std::chrono::steady_clock::duration duration) { return std::to_string(duration / std::chrono::milliseconds(1)); }

/// Summarises the load of the core's task over windows of one second. Yields the fields of a log
/// line for each window in which a duration reached `config::delayToLog`.
class LoadWindow {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using TimeSpan = std::chrono::steady_clock::duration;

    void addDuration(FleetTimer timer, TimeSpan value) { m_longest[timer] = std::max(m_longest[timer], value); }

    void addStep(FleetEventKind kind, TimeSpan duration)
    {
        ++m_steps[kind].count;
        m_steps[kind].total += duration;
        m_longestStep = std::max(m_longestStep, duration);
    }

    /// Ends the current window if it has lasted a second. Returns the fields of its line, or nothing
    /// if the window goes on or saw no long delay.
    std::vector<LogField> finish(TimePoint now, size_t queuedMessages)
    {
        if (now < m_start + std::chrono::seconds(1))
            return {};
        std::vector<LogField> fields;
        if (hadDelay())
            fields = describe(now, queuedMessages);
        *this = {};
        m_start = now;
        return fields;
    }

private:
    /// Timers whose longest duration of a window is logged.
    static constexpr std::array loggedTimers { FleetTimer::MailboxWait, FleetTimer::UrgentMailboxWait, FleetTimer::YieldWait, FleetTimer::LogSync, FleetTimer::AcknowledgementAge };

    struct StepLoad {
        uint64_t count = 0;
        TimeSpan total {};
    };

    bool hadDelay() const
    {
        const auto isLong = [&](FleetTimer timer) { return m_longest[timer] >= config::delayToLog; };
        return m_longestStep >= config::delayToLog || std::any_of(loggedTimers.begin(), loggedTimers.end(), isLong);
    }

    std::vector<LogField> describe(TimePoint now, size_t queuedMessages) const
    {
        StepLoad all;
        FleetEventKind busiest = FleetEventKind::Tick;
        forEachValue<FleetEventKind>([&](FleetEventKind kind) {
            all.count += m_steps[kind].count;
            all.total += m_steps[kind].total;
            if (m_steps[kind].total > m_steps[busiest].total)
                busiest = kind;
        });
        std::vector<LogField> fields { { "windowMs", millisText(now - m_start) }, { "steps", std::to_string(all.count) }, { "stepsMs", millisText(all.total) }, { "longestStepMs", millisText(m_longestStep) },
            { "busiest", std::string(name(busiest)) }, { "busiestSteps", std::to_string(m_steps[busiest].count) }, { "busiestMs", millisText(m_steps[busiest].total) }, { "queued", std::to_string(queuedMessages) } };
        constexpr std::array<std::string_view, loggedTimers.size()> keys { "mailboxWaitMs", "urgentWaitMs", "yieldWaitMs", "syncMs", "ackAgeMs" };
        for (size_t i = 0; i < loggedTimers.size(); ++i)
            fields.push_back({ keys[i], millisText(m_longest[loggedTimers[i]]) });
        return fields;
    }

    TimePoint m_start {};
    EnumArray<FleetTimer, TimeSpan> m_longest;
    EnumArray<FleetEventKind, StepLoad> m_steps;
    TimeSpan m_longestStep {};
};

} // namespace eelgrassloft::io
