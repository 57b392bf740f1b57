#include "early_cancellations.h"

#include "access_control.h"

#include "eelgrassloft/config.h"

namespace eelgrassloft {

bool EarlyCancellations::add(Time at, JobKey job, const std::string& workspace)
{
    removeExpired(at);
    const auto known = m_cancellations.find(job);
    if (known != m_cancellations.end())
        m_byTime.erase({ known->second.at, job });
    else if (m_cancellations.size() >= config::maxEarlyCancellations)
        return false;
    m_cancellations[job] = { at, workspace };
    m_byTime.insert({ at, job });
    return true;
}

bool EarlyCancellations::contains(JobKey job, const std::string& workspace) const
{
    const auto found = m_cancellations.find(job);
    return found != m_cancellations.end() && mayUseJob(found->second.workspace, workspace);
}

void EarlyCancellations::removeExpired(Time at)
{
    while (!m_byTime.empty() && m_byTime.begin()->first + config::endedJobRetention < at) {
        m_cancellations.erase(m_byTime.begin()->second);
        m_byTime.erase(m_byTime.begin());
    }
}

void EarlyCancellations::rebuild()
{
    m_byTime.clear();
    for (const auto& [job, cancellation] : m_cancellations)
        m_byTime.insert({ cancellation.at, job });
}

} // namespace eelgrassloft
