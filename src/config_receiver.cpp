#include "config_receiver.h"

#include "record_hash.h"

#include <algorithm>

namespace eelgrassloft {

void ConfigReceiver::locateHost(HostId host, const LogHello& hello)
{
    Source& source = m_sources[host];
    source.dataCentre = hello.dataCentre;
    source.region = hello.region;
}

void ConfigReceiver::offer(HostId host, uint64_t version)
{
    m_sources[host].version = version;
    m_latestVersion = std::max(m_latestVersion, version);
}

void ConfigReceiver::hostDown(HostId host)
{
    m_sources.erase(host);
    if (m_requestedFrom == host)
        m_requestedFrom = {};
}

void ConfigReceiver::tick(FleetStep& step)
{
    if (m_requestedFrom.isValid()) {
        if (step.now < m_requestDeadline)
            return;
        ++m_sources[m_requestedFrom].unanswered;
        m_requestTimeout = std::min(m_requestTimeout * 2, config::maxConfigPartTimeout);
    }
    m_requestedFrom = chooseSource();
    if (!m_requestedFrom.isValid())
        return;
    if (!m_partCount)
        m_startedAt = step.now;
    m_requestDeadline = step.now + m_requestTimeout;
    step.send(m_requestedFrom, ConfigRequest { m_baseVersion, m_afterQueue });
}

/// The best of the hosts that hold something new; invalid if there is none.
HostId ConfigReceiver::chooseSource() const
{
    HostId best;
    for (const auto& [host, source] : m_sources) {
        if (source.version > std::max(m_baseVersion, m_config.version) && (!best.isValid() || rank(host, source) < rank(best, m_sources.at(best))))
            best = host;
    }
    return best;
}

/// Hosts as new as the parts of this pass come first, then those that answer, then the nearest. Entry
/// hosts take different ones of those that are equally near.
std::tuple<bool, uint32_t, int, uint32_t> ConfigReceiver::rank(HostId host, const Source& source) const
{
    const int distance = source.dataCentre == m_dataCentre ? 0 : source.region == m_region ? 1
                                                                                           : 2;
    return { source.version < m_highestVersion, source.unanswered, distance, (host.value ^ m_self.value) * 2654435761U };
}

void ConfigReceiver::receive(FleetStep& step, HostId from, const ConfigPart& part)
{
    const bool isNext = part.baseVersion == m_baseVersion && part.afterQueue == m_afterQueue;
    const bool isRestart = !part.baseVersion && part.afterQueue.empty(); // The sender does not know what changed since the base.
    if (!isNext && !(isRestart && from == m_requestedFrom)) // A slow link brings the next part after another host was asked for it.
        return;
    m_requestedFrom = {};
    m_requestTimeout = config::configPartTimeout;
    if (isRestart) {
        m_queues.clear();
        m_workspaces.clear();
        m_baseVersion = m_lowestVersion = m_highestVersion = 0;
    }
    apply(part);
    if (part.isLast)
        finishPass(step, part.digest);
}

void ConfigReceiver::apply(const ConfigPart& part)
{
    for (const QueueSpec& queue : part.queues)
        m_queues[queue.name] = queue;
    for (const std::string& name : part.removedQueues)
        m_queues.erase(name);
    if (part.workspaces)
        m_workspaces = *part.workspaces;
    m_lowestVersion = m_lowestVersion ? std::min(m_lowestVersion, part.version) : part.version;
    m_highestVersion = std::max(m_highestVersion, part.version);
    m_afterQueue = part.lastQueue;
    ++m_partCount;
}

/// Ends a pass, whose last part named `digest`. A control host may have missed versions in between,
/// and so not know of queues that were added and removed in them; then everything is requested.
void ConfigReceiver::finishPass(FleetStep& step, uint64_t digest)
{
    const bool isOneVersion = m_lowestVersion == m_highestVersion;
    m_baseVersion = m_lowestVersion;
    m_afterQueue.clear();
    m_lowestVersion = m_highestVersion = 0;
    for (auto& [host, source] : m_sources)
        source.unanswered = 0;
    if (!isOneVersion || m_baseVersion <= m_config.version)
        return;
    for (const auto& [name, queue] : m_queues)
        digest -= recordHash(queue);
    for (const WorkspaceSpec& workspace : m_workspaces)
        digest -= recordHash(workspace);
    if (digest) {
        m_queues.clear();
        m_baseVersion = 0;
        return;
    }
    m_config.version = m_baseVersion;
    m_config.queues.clear();
    for (const auto& [name, queue] : m_queues)
        m_config.queues.push_back(queue);
    m_config.workspaces = m_workspaces;
    step.log(LogEventKind::RevisionInForce, { { "version", std::to_string(m_config.version) }, { "queues", std::to_string(m_queues.size()) }, { "workspaces", std::to_string(m_workspaces.size()) }, { "parts", std::to_string(std::exchange(m_partCount, 0)) }, { "tookMs", std::to_string((step.now - m_startedAt) / std::chrono::milliseconds(1)) } });
}

} // namespace eelgrassloft
