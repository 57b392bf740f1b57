#pragma once

#include "eelgrassloft/config.h"
#include "eelgrassloft/time.h"

#include <algorithm>

namespace eelgrassloft {

/// Decides when the leader makes its next plan. Plans take a bounded share of its time, whatever they
/// cost, so that calls are handled between them however much work waits.
class PlanPacer {
public:
    /// Asks for a plan as soon as the interval since the last one is over.
    void request() { m_next = std::min(m_next, m_last + m_interval); }

    bool isDue(Time now) const { return now >= m_next; }
    Time nextDeadline() const { return m_next; }

    void begin(Time now)
    {
        m_last = now;
        m_next = now + config::idlePlanPeriod / 5;
    }

    /// Notes the time at which work becomes ready without an event.
    void planBy(Time due) { m_next = std::min(m_next, due); }

    /// Notes how long the step at `stepTime` took with its effects.
    void didFinish(Time stepTime, Duration took)
    {
        if (m_last != stepTime)
            return;
        m_interval = std::clamp(took * config::planIntervalFactor, config::minPlanInterval, config::idlePlanPeriod);
        m_next = std::max(m_next, m_last + m_interval);
    }

private:
    Time m_next = never;
    Time m_last {};
    Duration m_interval = config::minPlanInterval; ///< Minimum time between the beginnings of two plans.
};

} // namespace eelgrassloft
