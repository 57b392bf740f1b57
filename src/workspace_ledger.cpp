#include "workspace_ledger.h"

namespace eelgrassloft {

ResourceTotals& ResourceTotals::add(const Resources& size, uint64_t tasks)
{
    processorMillis += size.processorMillis * tasks;
    memoryMiB += size.memoryMiB * tasks;
    accelerators += size.accelerators * tasks;
    return *this;
}

ResourceTotals& ResourceTotals::operator-=(const Resources& size)
{
    processorMillis -= size.processorMillis;
    memoryMiB -= size.memoryMiB;
    accelerators -= size.accelerators;
    return *this;
}

void WorkspaceLedger::charge(const TaskRun& run, const std::string& workspace, const Resources& size)
{
    if (workspace.empty())
        return;
    const auto [position, isNew] = m_positions.try_emplace(workspace, static_cast<uint32_t>(m_used.size()));
    if (isNew)
        m_used.emplace_back();
    if (m_charges.insert({ run, { position->second, size } }).second)
        m_used[position->second] += size;
}

void WorkspaceLedger::release(const TaskRun& run)
{
    const auto found = m_charges.find(run);
    if (found == m_charges.end())
        return;
    m_used[found->second.workspace] -= found->second.size;
    m_charges.erase(found);
}

ResourceTotals WorkspaceLedger::used(const std::string& workspace) const
{
    const auto found = m_positions.find(workspace);
    return found == m_positions.end() ? ResourceTotals {} : m_used[found->second];
}

void WorkspaceLedger::clear()
{
    m_positions.clear();
    m_used.clear();
    m_charges.clear();
}

} // namespace eelgrassloft
