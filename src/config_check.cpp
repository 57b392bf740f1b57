#include "config_check.h"

#include "eelgrassloft/config.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <set>

namespace eelgrassloft {

namespace {

constexpr size_t jobNameDigits = 16; ///< A job's path is its queue's prefix and this many hexadecimal digits.
constexpr size_t maxShownKeyBytes = 4;

constexpr bool isUpperCase(char c) { return c >= 'A' && c <= 'Z'; }
constexpr bool isDigit(char c) { return c >= '0' && c <= '9'; }
constexpr bool isJobNameDigit(char c) { return isDigit(c) || (c >= 'a' && c <= 'f'); }
constexpr bool isLetterOrDigit(char c) { return isUpperCase(c) || isDigit(c) || (c >= 'a' && c <= 'z'); }
constexpr bool isControl(char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }

/// Whether the character can be in a host name. Excludes '*', which is not a wildcard here.
constexpr bool isHostCharacter(char c) { return isLetterOrDigit(c) || std::string_view("-._~").find(c) != std::string_view::npos; }

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

/// Entry that findings are about.
struct EntryRef {
    ConfigSection section = ConfigSection::Configuration;
    size_t index = 0;
    std::string name;
};

class FindingList {
public:
    void add(ConfigFindingKind kind, const EntryRef& entry, std::string message, std::string remedy)
    {
        m_findings.push_back({ kind, entry.section, entry.index, entry.name, std::move(message), std::move(remedy) });
    }

    std::vector<ConfigFinding> take() { return std::move(m_findings); }

private:
    std::vector<ConfigFinding> m_findings;
};

/// Reports entries without a name, and entries with the name of an earlier one.
void checkName(FindingList& findings, const EntryRef& entry, std::set<std::string>& names)
{
    if (entry.name.empty())
        findings.add(ConfigFindingKind::UnnamedEntry, entry, "the entry has no name", "name it");
    else if (!names.insert(entry.name).second)
        findings.add(ConfigFindingKind::DuplicateName, entry, "an earlier entry has the same name", "rename one of them, or remove it");
}

void checkVersion(FindingList& findings, const FleetConfig& config, const FleetConfig* inForce)
{
    if (!config.version)
        findings.add(ConfigFindingKind::NoVersion, {}, "the version is 0, which stands for no configuration", "use a version from 1 up");
    else if (inForce && config.version <= inForce->version)
        findings.add(ConfigFindingKind::OldVersion, {}, "version " + std::to_string(config.version) + " is not higher than version " + std::to_string(inForce->version) + " in force, so that hosts would ignore it", "use version " + std::to_string(inForce->version + 1) + " or a higher one");
}

void checkHost(FindingList& findings, const EntryRef& entry, const std::string& host)
{
    const auto report = [&](const std::string& message, const std::string& remedy) { findings.add(ConfigFindingKind::UnreachableQueue, entry, message, remedy); };
    const auto invalid = std::find_if_not(host.begin(), host.end(), isHostCharacter);
    if (host.empty())
        report("the queue has no host", "name the host that callers address");
    else if (invalid != host.end() && *invalid == ':')
        report("host " + quoted(host) + " has a \":\", from which on a call's host is cut before the comparison", "write the host name alone, without a port or scheme");
    else if (invalid != host.end())
        report("host " + quoted(host) + " has a character that no host name has, and hosts are compared exactly", "write the complete host name");
    else if (std::any_of(host.begin(), host.end(), isUpperCase))
        findings.add(ConfigFindingKind::UpperCaseHost, entry, "host " + quoted(host) + " has upper-case letters, and hosts are compared exactly: most clients send lower case, and do not reach the queue", "write the host in lower case");
}

void checkPrefix(FindingList& findings, const EntryRef& entry, const std::string& prefix)
{
    const auto isExcluded = [](char c) { return isControl(c) || c == ' ' || c == '#'; };
    if (!prefix.starts_with('/'))
        findings.add(ConfigFindingKind::UnreachableQueue, entry, "prefix " + quoted(prefix) + " does not begin with \"/\", as every path does", "begin it with \"/\"");
    else if (std::any_of(prefix.begin(), prefix.end(), isExcluded))
        findings.add(ConfigFindingKind::UnreachableQueue, entry, "prefix " + quoted(prefix) + " has a blank, a control character or \"#\", which no path has", "remove it, or write it with \"%\"");
}

void checkTimes(FindingList& findings, const EntryRef& entry, const QueueSpec& queue)
{
    constexpr Duration zero {};
    const AdviceTiming advice = queue.advice.value_or(AdviceTiming {});
    const bool isNegative = queue.targetLatency < zero || advice.decisionTime < zero || advice.timePerWorker < zero || advice.validity < zero;
    if (isNegative)
        findings.add(ConfigFindingKind::NegativeTime, entry, "a time is negative", "use times from 0 up");
    if (!(queue.stretch > 1) && queue.targetLatency <= zero)
        findings.add(ConfigFindingKind::UnmeetableObjective, entry, "the objective is not longer than the estimated run time of a job, which leaves no time to wait or start", "raise the stretch above 1, or the target latency above 0");
    else if (!(queue.stretch >= 1))
        findings.add(ConfigFindingKind::ShortStretch, entry, "the stretch is below 1, so that the objective of long jobs is shorter than their estimated run time", "use a stretch from 1 up");
    if (!isNegative && queue.advice && advice.validity < advice.decisionTime + advice.timePerWorker)
        findings.add(ConfigFindingKind::ShortTicket, entry, "a ticket is valid for less time than a decision on one worker takes, so that it lapses before another query can renew it", "raise the validity, or correct the decision time");
    if (!queue.maxAttempts)
        findings.add(ConfigFindingKind::NoAttempts, entry, "0 attempts have the effect of 1: the first failure of a task fails its job", "use the number of attempts that you want");
}

/// Finds the queues of the same host whose prefix and some hexadecimal digits make up `queue`'s prefix:
/// the lookup prefers `queue`, the longer prefix, for jobs whose names begin with these digits.
template <typename QueuesByAddress>
void checkJobNames(FindingList& findings, const EntryRef& entry, const QueueSpec& queue, const QueuesByAddress& byAddress)
{
    const std::string& prefix = queue.pathPrefix;
    for (size_t digits = 1; digits <= std::min(jobNameDigits, prefix.size()) && isJobNameDigit(prefix[prefix.size() - digits]); ++digits) {
        const auto found = byAddress.find({ queue.host, prefix.substr(0, prefix.size() - digits) });
        if (found == byAddress.end())
            continue;
        const std::string& other = found->second;
        if (digits == jobNameDigits)
            findings.add(ConfigFindingKind::JobNameAsPrefix, entry, "the address is also that of a job of queue " + quoted(other), "end the prefix with \"/\", or choose another one");
        else
            findings.add(ConfigFindingKind::CapturedJobNames, entry, "jobs of queue " + quoted(other) + " whose names begin with " + quoted(prefix.substr(prefix.size() - digits)) + " have paths that belong to this queue, which rejects them", "end the prefix with \"/\", or choose another one");
    }
}

void checkQueues(FindingList& findings, const FleetConfig& config)
{
    std::set<std::string> names;
    std::map<std::pair<std::string, std::string>, std::string> byAddress;
    std::map<std::string, bool> isStandbyPool;
    for (const QueueSpec& queue : config.queues)
        byAddress.try_emplace({ queue.host, queue.pathPrefix }, queue.name);
    for (const PoolSpec& pool : config.pools)
        isStandbyPool.try_emplace(pool.name, pool.isStandby);
    std::set<std::pair<std::string, std::string>> addresses;
    for (size_t i = 0; i < config.queues.size(); ++i) {
        const QueueSpec& queue = config.queues[i];
        const EntryRef entry { ConfigSection::Queues, i, queue.name };
        checkName(findings, entry, names);
        checkHost(findings, entry, queue.host);
        checkPrefix(findings, entry, queue.pathPrefix);
        if (!addresses.insert({ queue.host, queue.pathPrefix }).second)
            findings.add(ConfigFindingKind::DuplicateAddress, entry, "queue " + quoted(byAddress.at({ queue.host, queue.pathPrefix })) + " has the same host and prefix", "change one of them");
        checkJobNames(findings, entry, queue, byAddress);
        const auto pool = isStandbyPool.find(queue.service);
        if (pool == isStandbyPool.end())
            findings.add(ConfigFindingKind::UnknownPool, entry, quoted(queue.service) + " is not a pool of the configuration", "add the pool, or correct the name");
        else if (pool->second)
            findings.add(ConfigFindingKind::StandbyPoolInUse, entry, "pool " + quoted(queue.service) + " is a standby pool, but the queue uses it at all times", "name another pool, or do not mark it as standby");
        checkTimes(findings, entry, queue);
    }
}

void checkPools(FindingList& findings, const FleetConfig& config)
{
    std::set<std::string> used;
    std::set<std::string> names;
    for (const QueueSpec& queue : config.queues)
        used.insert(queue.service);
    for (size_t i = 0; i < config.pools.size(); ++i) {
        const PoolSpec& pool = config.pools[i];
        const EntryRef entry { ConfigSection::Pools, i, pool.name };
        checkName(findings, entry, names);
        if (!pool.isStandby && !used.contains(pool.name))
            findings.add(ConfigFindingKind::UnusedPool, entry, "no queue uses the pool: its workers get no tasks", "add a queue, or remove the pool");
    }
}

void checkKeys(FindingList& findings, const EntryRef& entry, const WorkspaceSpec& workspace, std::map<std::string, size_t>& owners, const FleetConfig& config)
{
    std::set<std::string> own;
    for (const std::string& key : workspace.keys) {
        if (!own.insert(key).second) {
            findings.add(ConfigFindingKind::DuplicateKey, entry, "key " + maskedKey(key) + " is listed twice", "keep it once");
            continue;
        }
        if (key.empty())
            findings.add(ConfigFindingKind::UnusableKey, entry, "a key is empty: it grants nothing", "remove it");
        else if (key.front() == ' ' || key.back() == ' ' || std::any_of(key.begin(), key.end(), isControl))
            findings.add(ConfigFindingKind::UnusableKey, entry, "key " + maskedKey(key) + " begins or ends with a blank or has a control character, which the header of a call cannot carry", "replace the key");
        const auto [owner, isNew] = owners.try_emplace(key, entry.index);
        if (!isNew)
            findings.add(ConfigFindingKind::SharedKey, entry, "key " + maskedKey(key) + " belongs to workspace " + quoted(config.workspaces[owner->second].name) + " too", "remove it from one of them");
    }
}

void checkWorkspaces(FindingList& findings, const FleetConfig& config)
{
    const bool isEveryQueuePublic = std::all_of(config.queues.begin(), config.queues.end(), [](const QueueSpec& queue) { return queue.isPublic; });
    const bool isAnyWeighted = std::any_of(config.workspaces.begin(), config.workspaces.end(), [](const WorkspaceSpec& workspace) { return workspace.weight > 0; });
    std::set<std::string> names;
    std::map<std::string, size_t> owners;
    if (isEveryQueuePublic && !config.queues.empty() && !config.workspaces.empty())
        findings.add(ConfigFindingKind::UnusedWorkspaces, {}, "every queue is public: no job belongs to a workspace, and no weight or quota applies", "make the queues of workspaces not public, or remove the workspaces");
    for (size_t i = 0; i < config.workspaces.size(); ++i) {
        const WorkspaceSpec& workspace = config.workspaces[i];
        const EntryRef entry { ConfigSection::Workspaces, i, workspace.name };
        checkName(findings, entry, names);
        checkKeys(findings, entry, workspace, owners, config);
        if (workspace.keys.empty() && !isEveryQueuePublic)
            findings.add(ConfigFindingKind::KeylessWorkspace, entry, "the workspace has no key, so that nobody can submit jobs for it", "add a key, or remove the workspace");
        if (!(workspace.weight >= 0) || std::isinf(workspace.weight))
            findings.add(ConfigFindingKind::InvalidWeight, entry, "the weight is negative or not finite", "use a weight from 0 up");
        else if (workspace.weight == 0 && isAnyWeighted)
            findings.add(ConfigFindingKind::PartialWeights, entry, "the workspace has no weight, while others have: all of its work counts as owed and is never ordered behind theirs", "give it a weight");
        std::string unlimited;
        forEachValue<Dimension>([&](Dimension dimension) {
            if (!workspace.quota.amount(dimension))
                unlimited += (unlimited.empty() ? "" : ", ") + std::string(name(dimension));
        });
        if (!unlimited.empty() && workspace.quota != Resources {})
            findings.add(ConfigFindingKind::PartialQuota, entry, "the quota is 0, which means no limit, in: " + unlimited, "set a limit, if one is meant");
    }
}

void checkLimits(FindingList& findings, const FleetConfig& config)
{
    if (config.maxBodyBytes && config.maxBodyBytes < config::maxWorkTextBytes)
        findings.add(ConfigFindingKind::SmallBodyLimit, {}, "bodies of " + std::to_string(config.maxBodyBytes) + " bytes are too small for a job's text, which may have " + std::to_string(config::maxWorkTextBytes), "raise the limit");
}

std::string textOf(bool value) { return value ? "true" : "false"; }

template <typename Number>
requires std::is_arithmetic_v<Number>
    std::string textOf(Number value)
{
    char buffer[32];
    const auto [end, error] = std::to_chars(std::begin(buffer), std::end(buffer), value);
    return std::string(buffer, end);
}

std::string textOf(Duration value)
{
    const std::chrono::duration<double, std::milli> millis = value;
    return textOf(millis.count());
}

using FieldTexts = std::vector<std::pair<std::string, std::string>>;

FieldTexts fieldTexts(const QueueSpec& queue)
{
    FieldTexts fields { { "host", queue.host }, { "pathPrefix", queue.pathPrefix }, { "service", queue.service },
        { "priority", textOf(queue.priority) }, { "maxAttempts", textOf(queue.maxAttempts) }, { "stretch", textOf(queue.stretch) },
        { "targetLatencyMillis", textOf(queue.targetLatency) }, { "isPublic", textOf(queue.isPublic) } };
    const auto adviceText = [&](Duration AdviceTiming::*member) { return queue.advice ? textOf((*queue.advice).*member) : std::string(); };
    fields.emplace_back("advice.decisionTimeMillis", adviceText(&AdviceTiming::decisionTime));
    fields.emplace_back("advice.timePerWorkerMillis", adviceText(&AdviceTiming::timePerWorker));
    fields.emplace_back("advice.validityMillis", adviceText(&AdviceTiming::validity));
    return fields;
}

FieldTexts fieldTexts(const PoolSpec& pool)
{
    return { { "hasAdmissionControl", textOf(pool.hasAdmissionControl) }, { "isStandby", textOf(pool.isStandby) } };
}

FieldTexts fieldTexts(const WorkspaceSpec& workspace)
{
    return { { "weight", textOf(workspace.weight) }, { "quota.processorMillis", textOf(workspace.quota.processorMillis) },
        { "quota.memoryMiB", textOf(workspace.quota.memoryMiB) }, { "quota.accelerators", textOf(workspace.quota.accelerators) } };
}

FieldTexts fieldTexts(const FleetConfig& config) { return { { "maxBodyBytes", textOf(config.maxBodyBytes) } }; }

/// Compares two entries of one type, whose lists of fields are the same.
template <typename Spec>
std::vector<ConfigFieldChange> fieldChanges(const Spec& before, const Spec& after)
{
    const FieldTexts old = fieldTexts(before);
    const FieldTexts current = fieldTexts(after);
    std::vector<ConfigFieldChange> changes;
    for (size_t i = 0; i < old.size(); ++i) {
        if (old[i].second != current[i].second)
            changes.push_back({ old[i].first, old[i].second, current[i].second });
    }
    return changes;
}

template <typename Spec>
void compareKeys(ConfigDifference&, const Spec*, const Spec*)
{
}

void compareKeys(ConfigDifference& difference, const WorkspaceSpec* before, const WorkspaceSpec* after)
{
    const auto keysOf = [](const WorkspaceSpec* workspace) { return workspace ? std::set<std::string>(workspace->keys.begin(), workspace->keys.end()) : std::set<std::string> {}; };
    const std::set<std::string> old = keysOf(before);
    const std::set<std::string> current = keysOf(after);
    for (const std::string& key : current) {
        if (!old.contains(key))
            difference.addedKeys.push_back(maskedKey(key));
    }
    for (const std::string& key : old) {
        if (!current.contains(key))
            difference.removedKeys.push_back(maskedKey(key));
    }
}

/// Entries of a section by name; of several with one name the first, which the lookup finds.
template <typename Spec>
std::map<std::string, const Spec*> byName(const std::vector<Spec>& specs)
{
    std::map<std::string, const Spec*> result;
    for (const Spec& spec : specs)
        result.try_emplace(spec.name, &spec);
    return result;
}

template <typename Spec>
void compareSection(std::vector<ConfigDifference>& differences, ConfigSection section, const std::vector<Spec>& before, const std::vector<Spec>& after)
{
    const auto old = byName(before);
    const auto current = byName(after);
    const auto add = [&](ConfigChangeKind change, const std::string& entry, const Spec* from, const Spec* to) {
        ConfigDifference difference { change, section, entry, {}, {}, {} };
        compareKeys(difference, from, to);
        if (from && to)
            difference.fields = fieldChanges(*from, *to);
        if (change != ConfigChangeKind::Changed || !difference.fields.empty() || !difference.addedKeys.empty() || !difference.removedKeys.empty())
            differences.push_back(std::move(difference));
    };
    for (const auto& [entry, spec] : current) {
        const auto found = old.find(entry);
        if (found == old.end())
            add(ConfigChangeKind::Added, entry, nullptr, spec);
        else
            add(ConfigChangeKind::Changed, entry, found->second, spec);
    }
    for (const auto& [entry, spec] : old) {
        if (!current.contains(entry))
            add(ConfigChangeKind::Removed, entry, spec, nullptr);
    }
}

} // namespace

bool ConfigCheck::hasErrors() const
{
    return std::any_of(findings.begin(), findings.end(), [](const ConfigFinding& finding) { return severityOf(finding.kind) == FindingSeverity::Error; });
}

std::string maskedKey(std::string_view key) { return std::string(key.substr(0, std::min(maxShownKeyBytes, key.size() / 2))) + "..."; }

std::vector<ConfigDifference> configDifferences(const FleetConfig& before, const FleetConfig& after)
{
    std::vector<ConfigDifference> differences;
    if (auto changes = fieldChanges(before, after); !changes.empty())
        differences.push_back({ ConfigChangeKind::Changed, ConfigSection::Configuration, {}, std::move(changes), {}, {} });
    compareSection(differences, ConfigSection::Queues, before.queues, after.queues);
    compareSection(differences, ConfigSection::Pools, before.pools, after.pools);
    compareSection(differences, ConfigSection::Workspaces, before.workspaces, after.workspaces);
    return differences;
}

ConfigCheck checkConfig(const FleetConfig& config, const FleetConfig* inForce)
{
    FindingList findings;
    checkVersion(findings, config, inForce);
    checkLimits(findings, config);
    checkQueues(findings, config);
    checkPools(findings, config);
    checkWorkspaces(findings, config);
    ConfigCheck check;
    check.version = config.version;
    check.findings = findings.take();
    if (inForce) {
        check.versionInForce = inForce->version;
        check.differences = configDifferences(*inForce, config);
    }
    return check;
}

} // namespace eelgrassloft
