#include "cell_state_machine.h"

#include <set>

namespace eelgrassloft {

namespace {

const JobSpec& valueOf(const CellJob& job) { return job.spec; }

template <typename Value>
const Value& valueOf(const Value& value) { return value; }

const std::string& keyOf(const TeamQuota& quota) { return quota.team; }

template <typename Value>
const std::string& keyOf(const Value& value) { return value.name; }

/// Fills `set` and `remove` with the difference that turns the map in force into the wanted list.
template <typename Stored, typename Value>
void computeDiff(const std::map<std::string, Stored>& inForce, const std::vector<Value>& wanted, std::vector<Value>& set,
    std::vector<std::string>& remove)
{
    std::set<std::string> names;
    for (const Value& value : wanted) {
        names.insert(keyOf(value));
        const auto found = inForce.find(keyOf(value));
        if (found == inForce.end() || !(valueOf(found->second) == value))
            set.push_back(value);
    }
    for (const auto& [key, stored] : inForce) {
        if (!names.contains(key))
            remove.push_back(key);
    }
}

template <typename Value>
void applyDiff(std::map<std::string, Value>& inForce, const std::vector<Value>& set, const std::vector<std::string>& remove)
{
    for (const Value& value : set)
        inForce[keyOf(value)] = value;
    for (const std::string& key : remove)
        inForce.erase(key);
}

} // namespace

CellStateMachine::Result CellStateMachine::apply(Time, const Command& command)
{
    return applyChange(std::get<ApplyChange>(command));
}

ChangeResult CellStateMachine::applyChange(const ApplyChange& command)
{
    const auto known = operations.find(command.operationId);
    if (known != operations.end())
        return { ChangeStatus::Repeated, known->second, {} };
    if (command.expectRevision && *command.expectRevision != revision)
        return { ChangeStatus::Conflict, revision, lastOperation };
    if (command.diff.isEmpty()) {
        rememberOperation(command.operationId);
        return { ChangeStatus::Unchanged, revision, {} };
    }
    ++revision;
    lastOperation = command.operationId;
    rememberOperation(command.operationId);
    applyDiff(teams, command.diff.setTeams, command.diff.removeTeams);
    applyDiff(services, command.diff.setServices, command.diff.removeServices);
    for (size_t i = 0; i < command.diff.setJobs.size(); ++i) {
        const JobSpec& spec = command.diff.setJobs[i];
        const std::string homeDataCentre = i < command.homeDataCentres.size() ? command.homeDataCentres[i] : spec.dataCentre;
        jobs[spec.name] = { spec, homeDataCentre, revision };
    }
    for (const std::string& job : command.diff.removeJobs)
        jobs.erase(job);
    return { ChangeStatus::Accepted, revision, {} };
}

void CellStateMachine::rememberOperation(const std::string& operationId)
{
    operations[operationId] = revision;
    operationOrder[operationCount++] = operationId;
    if (operationOrder.size() <= config::maxRememberedOperations)
        return;
    operations.erase(operationOrder.begin()->second);
    operationOrder.erase(operationOrder.begin());
}

Manifest CellStateMachine::manifest() const
{
    Manifest manifest;
    for (const auto& [key, quota] : teams)
        manifest.teams.push_back(quota);
    for (const auto& [key, limits] : services)
        manifest.services.push_back(limits);
    for (const auto& [key, job] : jobs)
        manifest.jobs.push_back(job.spec);
    return manifest;
}

ManifestDiff CellStateMachine::diffTo(const Manifest& wanted) const
{
    ManifestDiff result;
    computeDiff(teams, wanted.teams, result.setTeams, result.removeTeams);
    computeDiff(services, wanted.services, result.setServices, result.removeServices);
    computeDiff(jobs, wanted.jobs, result.setJobs, result.removeJobs);
    return result;
}

} // namespace eelgrassloft
