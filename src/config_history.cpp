#include "config_history.h"

#include "record_hash.h"

#include "eelgrassloft/config.h"

namespace eelgrassloft {

void ConfigHistory::observe(const FleetConfig& config)
{
    if (!m_version)
        m_completeSince = config.version;
    m_version = config.version;
    m_digest = 0;
    std::map<std::string_view, const QueueSpec*> present;
    for (const QueueSpec& queue : config.queues) {
        present[queue.name] = &queue;
        m_digest += recordHash(queue);
    }
    for (auto& [name, revision] : m_queues) {
        if (!revision.spec || present.count(name))
            continue;
        revision = { std::nullopt, m_version };
        ++m_removedCount;
    }
    for (const auto& [name, spec] : present) {
        const auto [position, isNew] = m_queues.try_emplace(std::string(name));
        QueueRevision& revision = position->second;
        if (revision.spec == *spec)
            continue;
        m_removedCount -= !isNew && !revision.spec;
        revision = { *spec, m_version };
    }
    for (const WorkspaceSpec& workspace : config.workspaces)
        m_digest += recordHash(workspace);
    if (m_workspaces != config.workspaces) {
        m_workspaces = config.workspaces;
        m_workspacesVersion = m_version;
    }
    if (m_removedCount > config::maxRemovedQueues)
        forgetRemovedQueues();
}

void ConfigHistory::forgetRemovedQueues()
{
    std::erase_if(m_queues, [](const auto& entry) { return !entry.second.spec; });
    m_removedCount = 0;
    m_completeSince = m_version;
}

std::optional<ConfigPart> ConfigHistory::part(const ConfigRequest& request) const
{
    if (request.baseVersion >= m_version)
        return std::nullopt;
    ConfigPart part;
    part.version = m_version;
    part.digest = m_digest;
    if (!request.baseVersion || request.baseVersion >= m_completeSince) {
        part.baseVersion = request.baseVersion;
        part.afterQueue = part.lastQueue = request.afterQueue;
    }
    size_t bytes = 0;
    for (auto i = m_queues.upper_bound(part.afterQueue); i != m_queues.end(); ++i) {
        const auto& [name, revision] = *i;
        if (revision.version <= part.baseVersion || (!revision.spec && !part.baseVersion))
            continue;
        bytes += revision.spec ? encodedSize(*revision.spec) : encodedSize(name);
        if (bytes > config::maxConfigPartBytes && part.lastQueue != part.afterQueue)
            return part;
        if (revision.spec)
            part.queues.push_back(*revision.spec);
        else
            part.removedQueues.push_back(name);
        part.lastQueue = name;
    }
    part.isLast = true;
    if (!part.baseVersion || m_workspacesVersion > part.baseVersion)
        part.workspaces = m_workspaces;
    return part;
}

} // namespace eelgrassloft
