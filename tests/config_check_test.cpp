#include "config_check.h"

#include "eelgrassloft/config.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

/// A configuration without findings, to which each test makes one change.
FleetConfig validConfig()
{
    FleetConfig config;
    config.version = 7;
    config.maxBodyBytes = 262144;
    config.queues = { { "a", "jobs.example", "/a/", "render", 1, 3, 2, 1500ms, AdviceTiming { 40ms, 2ms, 800ms } },
        { "b", "jobs.example", "/b/", "gpu", 2, 2, 1.5, 10s, {}, true } };
    config.pools = { { "render" }, { "gpu", true }, { "reserve", false, true } };
    config.workspaces = { { "atlas", { "atlas-5f0b62c9", "atlas-71d3ae08" }, 20, { 64000, 131072, 4 } }, { "borealis", { "boreal-b3947fe1" }, 5, {} } };
    return config;
}

using FindingPlace = std::tuple<std::string_view, std::string_view, size_t>;

/// Kind, section and index of each finding.
std::vector<FindingPlace> placesOf(const ConfigCheck& check)
{
    std::vector<FindingPlace> places;
    for (const ConfigFinding& finding : check.findings)
        places.emplace_back(name(finding.kind), name(finding.section), finding.index);
    return places;
}

template <typename Change>
ConfigCheck checkChanged(Change&& change)
{
    FleetConfig config = validConfig();
    change(config);
    return checkConfig(config, nullptr);
}

/// Checks that a change of the valid configuration gives this one finding, with a text and a remedy.
template <typename Change>
void checkFinding(ConfigFindingKind kind, ConfigSection section, size_t index, Change&& change)
{
    const ConfigCheck check = checkChanged(change);
    BOOST_TEST_CONTEXT("expected " << name(kind))
    {
        BOOST_TEST((placesOf(check) == std::vector<FindingPlace> { { name(kind), name(section), index } }));
        for (const ConfigFinding& finding : check.findings) {
            BOOST_TEST(!finding.message.empty());
            BOOST_TEST(!finding.remedy.empty());
            BOOST_TEST_MESSAGE(name(finding.kind) << ": " << finding.message << "; " << finding.remedy);
        }
        BOOST_TEST(check.hasErrors() == (severityOf(kind) == FindingSeverity::Error));
    }
}

template <typename Change>
void checkQueueFinding(ConfigFindingKind kind, Change&& change)
{
    checkFinding(kind, ConfigSection::Queues, 0, [&](FleetConfig& config) { change(config.queues[0]); });
}

template <typename Change>
void checkWorkspaceFinding(ConfigFindingKind kind, Change&& change)
{
    checkFinding(kind, ConfigSection::Workspaces, 1, [&](FleetConfig& config) { change(config.workspaces[1]); });
}

/// Lines such as `changed queues a: stretch 2 3`.
std::vector<std::string> differenceLines(const FleetConfig& before, const FleetConfig& after)
{
    std::vector<std::string> lines;
    for (const ConfigDifference& difference : configDifferences(before, after)) {
        std::string line = std::string(name(difference.change)) + " " + std::string(name(difference.section)) + " " + difference.entry + ":";
        for (const ConfigFieldChange& field : difference.fields)
            line += " " + field.field + " " + field.before + " " + field.after;
        for (const std::string& key : difference.addedKeys)
            line += " +" + key;
        for (const std::string& key : difference.removedKeys)
            line += " -" + key;
        lines.push_back(line);
    }
    return lines;
}

template <typename Change>
void checkDifference(const std::string& expected, Change&& change)
{
    FleetConfig after = validConfig();
    change(after);
    const auto lines = differenceLines(validConfig(), after);
    BOOST_TEST(lines == std::vector<std::string> { expected }, boost::test_tools::per_element());
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigCheckTests)

/// Guards against false alarms: a usual configuration, and one without workspaces or limits.
BOOST_AUTO_TEST_CASE(validConfigurationsHaveNoFindings)
{
    BOOST_TEST(checkChanged([](FleetConfig&) {}).findings.empty());
    const ConfigCheck check = checkChanged([](FleetConfig& config) {
        config.workspaces.clear();
        config.maxBodyBytes = 0;
    });
    BOOST_TEST(check.findings.empty());
    BOOST_TEST(!check.versionInForce.has_value());
}

/// Guards against a configuration that hosts would ignore.
BOOST_AUTO_TEST_CASE(versionHasToBeHigherThanTheOneInForce)
{
    checkFinding(ConfigFindingKind::NoVersion, ConfigSection::Configuration, 0, [](FleetConfig& config) { config.version = 0; });
    FleetConfig inForce = validConfig();
    for (const uint64_t version : { 6U, 7U, 8U }) {
        inForce.version = version;
        const ConfigCheck check = checkConfig(validConfig(), &inForce);
        BOOST_TEST(check.hasErrors() == (version >= 7));
        BOOST_TEST(check.findings.size() == (version >= 7 ? 1U : 0U));
        BOOST_TEST((check.findings.empty() || check.findings[0].kind == ConfigFindingKind::OldVersion));
        BOOST_TEST((check.versionInForce == version));
        BOOST_TEST(check.differences.empty());
    }
}

/// Guards against entries that the lookup by name or address never finds.
BOOST_AUTO_TEST_CASE(entriesThatHideOneAnotherAreFound)
{
    checkFinding(ConfigFindingKind::DuplicateName, ConfigSection::Queues, 1, [](FleetConfig& config) { config.queues[1].name = "a"; });
    checkFinding(ConfigFindingKind::DuplicateName, ConfigSection::Pools, 3, [](FleetConfig& config) { config.pools.push_back({ "gpu" }); });
    checkFinding(ConfigFindingKind::DuplicateName, ConfigSection::Workspaces, 1, [](FleetConfig& config) { config.workspaces[1].name = "atlas"; });
    checkFinding(ConfigFindingKind::UnnamedEntry, ConfigSection::Queues, 0, [](FleetConfig& config) { config.queues[0].name.clear(); });
    checkFinding(ConfigFindingKind::UnnamedEntry, ConfigSection::Workspaces, 0, [](FleetConfig& config) { config.workspaces[0].name.clear(); });
    checkFinding(ConfigFindingKind::UnnamedEntry, ConfigSection::Pools, 2, [](FleetConfig& config) { config.pools[2].name.clear(); });
    checkFinding(ConfigFindingKind::DuplicateAddress, ConfigSection::Queues, 1, [](FleetConfig& config) { config.queues[1].pathPrefix = "/a/"; });
}

/// Guards against queues that no call can reach, as host and path are compared exactly.
BOOST_AUTO_TEST_CASE(unreachableQueuesAreFound)
{
    for (const char* host : { "", "jobs.example:80", "*.example", "jobs example", "[::1]", "http://jobs.example" })
        checkQueueFinding(ConfigFindingKind::UnreachableQueue, [&](QueueSpec& queue) { queue.host = host; });
    for (const char* prefix : { "", "a/", "/a b/", "/a#b/", "/a\t/" })
        checkQueueFinding(ConfigFindingKind::UnreachableQueue, [&](QueueSpec& queue) { queue.pathPrefix = prefix; });
    checkQueueFinding(ConfigFindingKind::UpperCaseHost, [](QueueSpec& queue) { queue.host = "Jobs.example"; });
    for (const char* host : { "10.0.0.1", "a-b_c.example", "localhost" })
        BOOST_TEST(checkChanged([&](FleetConfig& config) { config.queues[0].host = host; }).findings.empty());
}

/// Guards against jobs whose path is taken for that of another queue or of its job.
BOOST_AUTO_TEST_CASE(prefixesThatLookLikeJobsAreFound)
{
    const auto prefix = [](const std::string& text) { return [text](FleetConfig& config) { config.queues[1].pathPrefix = text; }; };
    checkFinding(ConfigFindingKind::JobNameAsPrefix, ConfigSection::Queues, 1, prefix("/a/0123456789abcdef"));
    checkFinding(ConfigFindingKind::CapturedJobNames, ConfigSection::Queues, 1, prefix("/a/0"));
    checkFinding(ConfigFindingKind::CapturedJobNames, ConfigSection::Queues, 1, prefix("/a/0123456789abcde"));
    for (const char* text : { "/a/0123456789abcdef0", "/a/0123456789abcdef/", "/a/0/", "/a/x", "/a/A", "/", "/a", "/c/0" })
        BOOST_TEST(checkChanged(prefix(text)).findings.empty(), text);
    BOOST_TEST(checkChanged([](FleetConfig& config) {
        config.queues[1].host = "other.example";
        config.queues[1].pathPrefix = "/a/0123456789abcdef";
    }).findings.empty());
}

/// Guards against queues without workers, and workers without queues.
BOOST_AUTO_TEST_CASE(poolsThatDoNotMatchTheQueuesAreFound)
{
    const ConfigCheck unknown = checkChanged([](FleetConfig& config) { config.queues[1].service = "gpus"; });
    BOOST_TEST((placesOf(unknown) == std::vector<FindingPlace> { { "unknown-pool", "queues", 1 }, { "unused-pool", "pools", 1 } }));
    checkFinding(ConfigFindingKind::UnusedPool, ConfigSection::Pools, 2, [](FleetConfig& config) { config.pools[2].isStandby = false; });
    checkFinding(ConfigFindingKind::StandbyPoolInUse, ConfigSection::Queues, 1, [](FleetConfig& config) { config.pools[1].isStandby = true; });
}

/// Guards against objectives and times that contradict each other.
BOOST_AUTO_TEST_CASE(contradictoryTimesOfQueuesAreFound)
{
    checkQueueFinding(ConfigFindingKind::NoAttempts, [](QueueSpec& queue) { queue.maxAttempts = 0; });
    for (const double stretch : { 1.0, 0.5, -1.0, std::numeric_limits<double>::quiet_NaN() }) {
        checkQueueFinding(ConfigFindingKind::UnmeetableObjective, [&](QueueSpec& queue) {
            queue.stretch = stretch;
            queue.targetLatency = {};
        });
    }
    checkQueueFinding(ConfigFindingKind::ShortStretch, [](QueueSpec& queue) { queue.stretch = 0.9; });
    checkQueueFinding(ConfigFindingKind::NegativeTime, [](QueueSpec& queue) { queue.targetLatency = -1ms; });
    checkQueueFinding(ConfigFindingKind::NegativeTime, [](QueueSpec& queue) { queue.advice->validity = -1ms; });
    checkQueueFinding(ConfigFindingKind::ShortTicket, [](QueueSpec& queue) { queue.advice->validity = 41ms; });
    BOOST_TEST(checkChanged([](FleetConfig& config) { config.queues[0].advice->validity = 42ms; }).findings.empty());
    BOOST_TEST(checkChanged([](FleetConfig& config) { config.queues[0].stretch = 1; }).findings.empty());
    BOOST_TEST(checkChanged([](FleetConfig& config) { config.queues[0].targetLatency = {}; }).findings.empty());
}

/// Guards against keys that grant nothing or grant access to two workspaces, and against their output.
BOOST_AUTO_TEST_CASE(faultyKeysAreFoundAndNotShown)
{
    const auto withKey = [](const std::string& key) { return [key](WorkspaceSpec& workspace) { workspace.keys.push_back(key); }; };
    checkWorkspaceFinding(ConfigFindingKind::SharedKey, withKey("atlas-71d3ae08"));
    checkWorkspaceFinding(ConfigFindingKind::DuplicateKey, withKey("boreal-b3947fe1"));
    for (const char* key : { "", " leading", "trailing ", "control\ncharacter" })
        checkWorkspaceFinding(ConfigFindingKind::UnusableKey, withKey(key));
    for (const char* key : { "atlas-71d3ae08", "boreal-b3947fe1", "trailing-k " }) {
        const ConfigCheck check = checkChanged([&](FleetConfig& config) {
            config.workspaces[0].name = "first"; // Messages name it, so it must not begin like its keys.
            withKey(key)(config.workspaces[1]);
        });
        BOOST_REQUIRE(check.findings.size() == 1U);
        BOOST_TEST(check.findings[0].message.find(std::string(key).substr(0, 4) + "...") != std::string::npos);
        BOOST_TEST(check.findings[0].message.find(std::string(key).substr(0, 5)) == std::string::npos);
    }
    BOOST_TEST(maskedKey("12345678") == "1234...");
    BOOST_TEST(maskedKey("1234") == "12...");
    BOOST_TEST(maskedKey("1") == "...");
    BOOST_TEST(maskedKey("") == "...");
}

/// Guards against workspaces that have no effect or other limits than their author means.
BOOST_AUTO_TEST_CASE(contradictoryWorkspacesAreFound)
{
    checkWorkspaceFinding(ConfigFindingKind::KeylessWorkspace, [](WorkspaceSpec& workspace) { workspace.keys.clear(); });
    checkWorkspaceFinding(ConfigFindingKind::PartialWeights, [](WorkspaceSpec& workspace) { workspace.weight = 0; });
    for (const double weight : { -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity() })
        checkWorkspaceFinding(ConfigFindingKind::InvalidWeight, [&](WorkspaceSpec& workspace) { workspace.weight = weight; });
    checkWorkspaceFinding(ConfigFindingKind::PartialQuota, [](WorkspaceSpec& workspace) { workspace.quota.memoryMiB = 100; });
    checkFinding(ConfigFindingKind::UnusedWorkspaces, ConfigSection::Configuration, 0, [](FleetConfig& config) { config.queues[0].isPublic = true; });
    BOOST_TEST(checkChanged([](FleetConfig& config) {
        for (WorkspaceSpec& workspace : config.workspaces)
            workspace.weight = 0;
    }).findings.empty());
}

/// Guards against a limit on bodies below what a legal job needs.
BOOST_AUTO_TEST_CASE(bodyLimitBelowTheTextOfAJobIsFound)
{
    checkFinding(ConfigFindingKind::SmallBodyLimit, ConfigSection::Configuration, 0, [](FleetConfig& config) { config.maxBodyBytes = config::maxWorkTextBytes - 1; });
    BOOST_TEST(checkChanged([](FleetConfig& config) { config.maxBodyBytes = config::maxWorkTextBytes; }).findings.empty());
}

/// Guards against a check that stops at the first fault.
BOOST_AUTO_TEST_CASE(allFaultsAreReportedAtOnce)
{
    const ConfigCheck check = checkChanged([](FleetConfig& config) {
        config.queues[0].host.clear();
        config.queues[0].pathPrefix = "a";
        config.queues[1].maxAttempts = 0;
        config.workspaces[0].keys.clear();
    });
    const std::vector<FindingPlace> expected { { "unreachable-queue", "queues", 0 }, { "unreachable-queue", "queues", 0 },
        { "no-attempts", "queues", 1 }, { "keyless-workspace", "workspaces", 0 } };
    BOOST_TEST((placesOf(check) == expected));
}

/// Guards against changes that the comparison overlooks: each field of each kind of entry.
BOOST_AUTO_TEST_CASE(everyChangedFieldIsADifference)
{
    checkDifference("changed configuration : maxBodyBytes 262144 5000", [](FleetConfig& config) { config.maxBodyBytes = 5000; });
    const auto checkQueue = [](const std::string& fields, auto change) { checkDifference("changed queues a: " + fields, [&](FleetConfig& config) { change(config.queues[0]); }); };
    checkQueue("host jobs.example other", [](QueueSpec& queue) { queue.host = "other"; });
    checkQueue("pathPrefix /a/ /c/", [](QueueSpec& queue) { queue.pathPrefix = "/c/"; });
    checkQueue("service render gpu", [](QueueSpec& queue) { queue.service = "gpu"; });
    checkQueue("priority 1 0", [](QueueSpec& queue) { queue.priority = 0; });
    checkQueue("maxAttempts 3 4", [](QueueSpec& queue) { queue.maxAttempts = 4; });
    checkQueue("stretch 2 2.5", [](QueueSpec& queue) { queue.stretch = 2.5; });
    checkQueue("targetLatencyMillis 1500 0.5", [](QueueSpec& queue) { queue.targetLatency = 500us; });
    checkQueue("isPublic false true", [](QueueSpec& queue) { queue.isPublic = true; });
    checkQueue("advice.decisionTimeMillis 40 41 advice.timePerWorkerMillis 2 3 advice.validityMillis 800 801", [](QueueSpec& queue) { queue.advice = AdviceTiming { 41ms, 3ms, 801ms }; });
    checkQueue("advice.decisionTimeMillis 40  advice.timePerWorkerMillis 2  advice.validityMillis 800 ", [](QueueSpec& queue) { queue.advice.reset(); });
    checkDifference("changed pools render: hasAdmissionControl false true isStandby false true", [](FleetConfig& config) { config.pools[0] = { "render", true, true }; });
    checkDifference("changed workspaces atlas: weight 20 21 quota.processorMillis 64000 1 quota.memoryMiB 131072 2 quota.accelerators 4 3", [](FleetConfig& config) {
        config.workspaces[0].weight = 21;
        config.workspaces[0].quota = { 1, 2, 3 };
    });
    checkDifference("changed workspaces atlas: +fres... -atla...", [](FleetConfig& config) { config.workspaces[0].keys[0] = "fresh-0011"; });
}

/// Guards against added and removed entries that the comparison overlooks, or takes for changed ones.
BOOST_AUTO_TEST_CASE(addedAndRemovedEntriesAreDifferences)
{
    FleetConfig after = validConfig();
    after.queues[0].name = "c";
    after.pools.pop_back();
    after.pools.push_back({ "spare" });
    after.workspaces.erase(after.workspaces.begin());
    after.workspaces.push_back({ "cirrus", { "cirrus-001122" }, 1, {} });
    const std::vector<std::string> expected { "added queues c:", "removed queues a:", "added pools spare:", "removed pools reserve:",
        "added workspaces cirrus: +cirr...", "removed workspaces atlas: -atla... -atla..." };
    BOOST_TEST(differenceLines(validConfig(), after) == expected, boost::test_tools::per_element());
}

/// The order of entries and keys has no effect, so it is no difference.
BOOST_AUTO_TEST_CASE(orderIsNoDifference)
{
    FleetConfig after = validConfig();
    std::reverse(after.queues.begin(), after.queues.end());
    std::reverse(after.pools.begin(), after.pools.end());
    std::reverse(after.workspaces.begin(), after.workspaces.end());
    for (WorkspaceSpec& workspace : after.workspaces)
        std::reverse(workspace.keys.begin(), workspace.keys.end());
    BOOST_TEST(configDifferences(validConfig(), after).empty());
}

BOOST_AUTO_TEST_SUITE_END()
