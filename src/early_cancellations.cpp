#include "early_cancellations.h"

#include "eelgrassloft/config.h"

namespace eelgrassloft {

bool EarlyCancellations::add(Time at, JobKey job)
{
    removeExpired(at);
    const auto known = m_cancelledAt.find(job);
    if (known != m_cancelledAt.end())
        m_byTime.erase({ known->second, job });
    else if (m_cancelledAt.size() >= config::maxEarlyCancellations)
        return false;
    m_cancelledAt[job] = at;
    m_byTime.insert({ at, job });
    return true;
}

void EarlyCancellations::removeExpired(Time at)
{
    while (!m_byTime.empty() && m_byTime.begin()->first + config::endedJobRetention < at) {
        m_cancelledAt.erase(m_byTime.begin()->second);
        m_byTime.erase(m_byTime.begin());
    }
}

void EarlyCancellations::rebuild()
{
    m_byTime.clear();
    for (const auto& [job, cancelledAt] : m_cancelledAt)
        m_byTime.insert({ cancelledAt, job });
}

} // namespace eelgrassloft
