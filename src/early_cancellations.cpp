#include "early_cancellations.h"

#include "eelgrassloft/config.h"

namespace eelgrassloft {

bool EarlyCancellations::add(Time at, JobKey job, const std::string& workspace)
{
    removeExpired(at);
    const auto [known, isNew] = m_cancellations[job].try_emplace(workspace, at);
    if (!isNew)
        m_byTime.erase({ known->second, job, workspace });
    else if (m_byTime.size() >= config::maxEarlyCancellations) {
        erase(job, workspace);
        return false;
    }
    known->second = at;
    m_byTime.insert({ at, job, workspace });
    return true;
}

bool EarlyCancellations::contains(JobKey job, const std::string& workspace) const
{
    const auto found = m_cancellations.find(job);
    return found != m_cancellations.end() && (workspace.empty() || found->second.count(workspace));
}

void EarlyCancellations::removeExpired(Time at)
{
    while (!m_byTime.empty() && std::get<Time>(*m_byTime.begin()) + config::endedJobRetention < at) {
        const auto& [expiredAt, job, workspace] = *m_byTime.begin();
        erase(job, workspace);
        m_byTime.erase(m_byTime.begin());
    }
}

void EarlyCancellations::erase(JobKey job, const std::string& workspace)
{
    const auto found = m_cancellations.find(job);
    found->second.erase(workspace);
    if (found->second.empty())
        m_cancellations.erase(found);
}

void EarlyCancellations::rebuild()
{
    m_byTime.clear();
    for (const auto& [job, workspaces] : m_cancellations) {
        for (const auto& [workspace, at] : workspaces)
            m_byTime.insert({ at, job, workspace });
    }
}

} // namespace eelgrassloft
