#include "config_history.h"
#include "entry_node.h"
#include "support/fleet_cluster.h"
#include "support/fleet_config.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1h };
constexpr HostId leader { 1 };
constexpr HostId other { 2 };

/// A configuration in which the workspace "north" has these keys.
FleetConfig configWithKeys(uint64_t version, std::vector<std::string> keys)
{
    FleetConfig config = configWithWorkspaces(version);
    config.workspaces.front().keys = std::move(keys);
    return config;
}

ControlStatus lookUp(const FleetConfig& config, const std::string& key, const std::string& path = "/jobs/")
{
    return lookUpQueue(config, QueueAddress { "host", path, key }).status;
}

FleetSettings entrySettings()
{
    FleetSettings settings;
    settings.self = HostId { 100 };
    settings.seeds = { leader, other };
    return settings;
}

/// An entry host with connections to two control hosts.
struct Entry {
    Entry()
        : node(entrySettings())
    {
        for (const HostId host : { leader, other })
            stepNode(node, now, FleetPeerUp { host });
    }

    void receive(HostId from, FleetMessage message) { stepNode(node, now, FleetMessageReceived { from, std::move(message) }); }

    /// Lets a control host report its version.
    void report(HostId from, uint64_t version, bool isLeading = true) { receive(from, ControlStatusReport { 3, leader, isLeading, { leader, other }, version, now }); }

    /// Lets the leader report a configuration and send what changed since the host's version.
    void put(const FleetConfig& config)
    {
        history.observe(config);
        report(leader, config.version);
        while (const auto part = history.part({ node.config().version, {} }))
            receive(leader, *part);
    }

    /// How the host itself decides about a key; nothing if it asks the leader.
    std::optional<ControlStatus> decide(const std::string& key)
    {
        for (const FleetEffect& effect : stepNode(node, now, ControlCallReceived { CallId { 1 }, FindQueueInForce { { "host", "/jobs/", key } }, now + 1s })) {
            if (const auto* sent = std::get_if<SendControlReply>(&effect))
                return sent->reply.status;
        }
        return std::nullopt;
    }

    Time now = start;
    EntryNode node;
    ConfigHistory history;
};

/// A fleet whose configuration has workspaces.
struct Fleet : FleetCluster {
    Fleet()
        : FleetCluster({})
    {
        BOOST_REQUIRE(runUntil(10s, [&] { return leader().has_value(); }));
        BOOST_REQUIRE(callUntilOk(PutConfig { configWithWorkspaces(1) }));
        run(1s);
    }

    ControlReply ask(ControlRequest request)
    {
        const CallId id = call(std::move(request), 10s);
        BOOST_REQUIRE(runUntil(12s, [&] { return reply(id).has_value(); }));
        return *reply(id);
    }

    /// A job that runs until it is cancelled, as submitted with a key.
    static SubmitJob jobOf(uint64_t key, const std::string& workspace)
    {
        StepSpec step;
        step.size = { 1000, 1000, 0 };
        step.isLongRunning = true;
        return { { JobKey { key }, "queue", { "text", { step }, 0, {}, {} }, workspace }, QueueAddress { "host", "/jobs/" + std::to_string(key), workspace + "-key" } };
    }

    ControlStatus submit(uint64_t key, const std::string& workspace) { return ask(jobOf(key, workspace)).status; }
    ControlStatus cancel(uint64_t key, const std::string& workspace) { return ask(CancelJob { JobKey { key }, workspace }).status; }
    ControlStatus get(uint64_t key, const std::string& workspace) { return ask(GetJobState { JobKey { key }, workspace }).status; }

    void changeLeader()
    {
        const uint32_t former = *leader();
        kill(former);
        BOOST_REQUIRE(runUntil(20s, [&] { return leader().has_value(); }));
        restart(former);
        run(2s);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceAccessTests)

/// A caller without a valid key used the queues of all workspaces.
BOOST_AUTO_TEST_CASE(keyDecidesUnlessTheQueueIsPublicOrThereAreNoWorkspaces)
{
    const FleetConfig config = configWithWorkspaces(1);
    BOOST_TEST((lookUp(config, "north-key") == ControlStatus::Ok));
    BOOST_TEST(lookUpQueue(config, QueueAddress { "host", "/jobs/", "south-key" }).workspace == "south");
    for (const std::string key : { "", "other", "north-ke", "north-key ", "NORTH-KEY" }) {
        BOOST_TEST((lookUp(config, key) == ControlStatus::UnknownKey));
        BOOST_TEST((lookUp(config, key, "/open/") == ControlStatus::Ok));
        BOOST_TEST((lookUp(config, key, "/none/") == ControlStatus::UnknownQueue));
        BOOST_TEST((lookUp(configWithOneQueue(), key) == ControlStatus::Ok));
    }
    BOOST_TEST((lookUp({}, "north-key") == ControlStatus::NotAccepted));
    FleetConfig withEmptyKey = configWithKeys(1, { "" });
    BOOST_TEST((lookUp(withEmptyKey, "") == ControlStatus::UnknownKey));
}

BOOST_AUTO_TEST_CASE(versionsAddAndRemoveKeys)
{
    Entry entry;
    entry.put(configWithKeys(1, { "old" }));
    BOOST_TEST((entry.decide("old") == ControlStatus::Ok));
    BOOST_TEST((entry.decide("new") == ControlStatus::UnknownKey));
    entry.put(configWithKeys(2, { "old", "new" }));
    BOOST_TEST((entry.decide("old") == ControlStatus::Ok));
    BOOST_TEST((entry.decide("new") == ControlStatus::Ok));
    entry.put(configWithKeys(3, { "new" }));
    BOOST_TEST((entry.decide("old") == ControlStatus::UnknownKey));
    BOOST_TEST((entry.decide("new") == ControlStatus::Ok));
}

/// A host that had not heard of a version went on to accept keys that it removes.
BOOST_AUTO_TEST_CASE(hostThatIsNotCertainAsksTheLeader)
{
    Entry restarted;
    BOOST_TEST(!restarted.decide("old").has_value());
    restarted.report(leader, 1);
    BOOST_TEST(!restarted.decide("old").has_value());

    Entry entry;
    entry.put(configWithKeys(1, { "old" }));
    entry.report(other, 2, false);
    BOOST_TEST(!entry.decide("old").has_value()); // Another control host has a later version.
    entry.report(leader, 2);
    BOOST_TEST(!entry.decide("old").has_value());
    entry.report(leader, 1); // Delayed in the network.
    BOOST_TEST(!entry.decide("old").has_value());
    entry.put(configWithKeys(2, {}));
    BOOST_TEST((entry.decide("old") == ControlStatus::UnknownKey));

    entry.now += config::leaderContactTimeout - 1ms;
    BOOST_TEST((entry.decide("old") == ControlStatus::UnknownKey));
    entry.now += 1ms;
    BOOST_TEST(!entry.decide("old").has_value());
    entry.report(other, 2, false); // Of a host that does not lead.
    BOOST_TEST(!entry.decide("old").has_value());
}

/// A host that is not connected to any control host refuses at once instead of deciding.
BOOST_AUTO_TEST_CASE(isolatedHostRefuses)
{
    Entry entry;
    entry.put(configWithKeys(1, { "old" }));
    entry.now += config::leaderContactTimeout;
    for (const HostId host : { leader, other })
        stepNode(entry.node, entry.now, FleetPeerDown { host });
    BOOST_TEST((entry.decide("old") == ControlStatus::NotAccepted));
}

/// The leader itself answers by the configuration in force: a submission by a key that was removed after the
/// entry host looked it up is not accepted.
BOOST_AUTO_TEST_CASE(leaderDecidesAnewAboutTheKeyOfASubmission)
{
    Fleet fleet;
    FleetConfig config = configWithWorkspaces(2);
    config.workspaces.front().keys = { "other-key" };
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { config }));
    BOOST_TEST((fleet.submit(1, "north") == ControlStatus::UnknownKey));
    BOOST_TEST((fleet.submit(2, "south") == ControlStatus::Ok));
    BOOST_TEST(!fleet.table().job(JobKey { 1 }));
}

/// A caller saw or cancelled jobs of another workspace.
BOOST_AUTO_TEST_CASE(jobBelongsToTheWorkspaceThatSubmittedIt)
{
    Fleet fleet;
    BOOST_REQUIRE((fleet.submit(1, "north") == ControlStatus::Ok));
    for (int leaders = 0; leaders < 2; ++leaders) {
        BOOST_TEST(fleet.table().job(JobKey { 1 })->workspace == "north");
        BOOST_TEST((fleet.get(1, "north") == ControlStatus::Ok));
        BOOST_TEST((fleet.get(1, "south") == ControlStatus::UnknownJob));
        BOOST_TEST((fleet.cancel(1, "south") == ControlStatus::UnknownJob));
        BOOST_TEST((fleet.submit(1, "south") == ControlStatus::NameTaken));
        BOOST_TEST((fleet.submit(1, "north") == ControlStatus::Ok));
        BOOST_TEST(fleet.table().job(JobKey { 1 })->workspace == "north");
        BOOST_TEST(!isEnded(fleet.table().job(JobKey { 1 })->state));
        fleet.changeLeader();
    }
    BOOST_TEST((fleet.cancel(1, "north") == ControlStatus::Ok));
    BOOST_TEST((fleet.table().job(JobKey { 1 })->state == WorkState::Cancelled));
    BOOST_TEST((fleet.get(1, "south") == ControlStatus::UnknownJob));
    BOOST_TEST((fleet.cancel(1, "south") == ControlStatus::UnknownJob));
}

/// Callers without a key, who may use public queues only, saw and cancelled the jobs of all workspaces.
BOOST_AUTO_TEST_CASE(callerWithoutAKeyUsesOnlyJobsThatNeedNone)
{
    Fleet fleet;
    BOOST_TEST((fleet.cancel(3, "") == ControlStatus::UnknownJob));
    BOOST_TEST((fleet.submit(3, "north") == ControlStatus::Ok));
    BOOST_REQUIRE((fleet.submit(1, "north") == ControlStatus::Ok));
    SubmitJob open = Fleet::jobOf(2, "");
    open.address->path = "/open/2";
    BOOST_REQUIRE((fleet.ask(open).status == ControlStatus::Ok));
    for (const std::string workspace : { "", "north", "south" })
        BOOST_TEST((fleet.get(2, workspace) == ControlStatus::Ok));
    BOOST_TEST((fleet.get(1, "") == ControlStatus::UnknownJob));
    BOOST_TEST((fleet.cancel(1, "") == ControlStatus::UnknownJob));
    open.work.key = JobKey { 1 };
    BOOST_TEST((fleet.ask(open).status == ControlStatus::NameTaken));
    BOOST_TEST(!isEnded(fleet.table().job(JobKey { 1 })->state));
    FleetConfig config = configWithWorkspaces(2);
    config.queues.front().isPublic = true;
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { config }));
    BOOST_TEST((fleet.get(1, "") == ControlStatus::Ok));
    BOOST_TEST((fleet.get(1, "south") == ControlStatus::UnknownJob));
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { [&] { config = configWithOneQueue(); config.version = 3; return config; }() }));
    BOOST_TEST((fleet.cancel(1, "") == ControlStatus::Ok));
}

BOOST_AUTO_TEST_CASE(earlyCancellationHoldsForItsWorkspaceOnly)
{
    Fleet fleet;
    BOOST_TEST((fleet.cancel(1, "north") == ControlStatus::UnknownJob));
    BOOST_TEST((fleet.cancel(2, "south") == ControlStatus::UnknownJob));
    fleet.changeLeader();
    BOOST_TEST((fleet.submit(1, "north") == ControlStatus::CancelledEarly));
    BOOST_TEST((fleet.submit(2, "north") == ControlStatus::Ok));
    BOOST_TEST((fleet.cancel(2, "south") == ControlStatus::UnknownJob));
    BOOST_TEST(!isEnded(fleet.table().job(JobKey { 2 })->state));
}

/// The cancellation of a job by one workspace was lost when another one cancelled a job of the same name.
BOOST_AUTO_TEST_CASE(earlyCancellationsOfTwoWorkspacesStandSideBySide)
{
    WorkTable table;
    table.apply(start, SetFleetConfig { configWithWorkspaces(1) });
    const auto submit = [&](const std::string& workspace) { return table.apply(start, SubmitWork { JobKey { 1 }, "queue", { "text", { StepSpec {} }, 0, {}, {} }, workspace }).status; };
    table.apply(start, CancelWork { JobKey { 1 }, "north" });
    table.apply(start, CancelWork { JobKey { 1 }, "south" });
    BOOST_TEST((submit("north") == WorkStatus::CancelledEarly));
    BOOST_TEST((submit("south") == WorkStatus::CancelledEarly));
}

/// A report that was held up in the network, or while the host was frozen, counted as new when it came, and the
/// host went on to accept keys that had been removed meanwhile.
BOOST_AUTO_TEST_CASE(reportThatWasHeldUpDoesNotProveTheConfiguration)
{
    Entry entry;
    entry.put(configWithKeys(1, { "old" }));
    const ControlStatusReport heldUp { 3, leader, true, { leader, other }, 1, entry.now };
    entry.now += 10s; // Meanwhile another version may have come into force.
    entry.receive(leader, heldUp);
    BOOST_TEST(!entry.decide("old").has_value());
    entry.receive(leader, ControlStatusReport { 3, leader, true, { leader, other }, 1 }); // Answers no status.
    BOOST_TEST(!entry.decide("old").has_value());
    entry.report(leader, 1);
    BOOST_TEST((entry.decide("old") == ControlStatus::Ok));
}

BOOST_AUTO_TEST_CASE(frozenEntryHostAcceptsNoRemovedKeyWhenItWakes)
{
    Fleet fleet;
    FleetConfig config = configWithKeys(2, {});
    const auto find = [&] { return fleet.call(FindQueueInForce { { "host", "/jobs/", "north-key" } }); };
    BOOST_TEST((fleet.ask(FindQueueInForce { { "host", "/jobs/", "north-key" } }).status == ControlStatus::Ok));
    fleet.freezeEntry();
    fleet.run(1s);
    fleet.callAt(*fleet.leader(), PutConfig { config }, 0s);
    fleet.run(10s);
    BOOST_REQUIRE(fleet.table().config().version == 2U);
    std::vector<CallId> calls;
    fleet.thawEntry([&] { calls.push_back(find()); });
    BOOST_TEST(calls.size() > 30U);
    fleet.run(5s);
    for (const CallId call : calls) {
        BOOST_REQUIRE(fleet.reply(call).has_value());
        BOOST_TEST((fleet.reply(call)->status != ControlStatus::Ok));
    }
    BOOST_TEST((fleet.ask(FindQueueInForce { { "host", "/jobs/", "north-key" } }).status == ControlStatus::UnknownKey));
}

/// A leader that was frozen answered the first message after it as if its lease still held.
BOOST_AUTO_TEST_CASE(frozenLeaderDoesNotClaimToLeadWhenItWakes)
{
    Fleet fleet;
    const uint32_t id = *fleet.leader();
    const HostId entryHost { FleetCluster::entryId };
    const auto isReportedLeading = [&](Time now) {
        ControlNode<> node = fleet.control(id);
        for (const FleetEvent& event : { FleetEvent(FleetMessageReceived { entryHost, EntryStatusReport { 1, false, now } }), FleetEvent(FleetPeerUp { entryHost }) }) {
            for (const FleetEffect& effect : node.receive(now, event)) {
                const auto* sent = std::get_if<SendFleetMessage>(&effect);
                const auto* report = sent ? std::get_if<ControlStatusReport>(&sent->message) : nullptr;
                if (report && report->isLeading)
                    return true;
            }
        }
        return false;
    };
    BOOST_TEST(isReportedLeading(fleet.now()));
    BOOST_TEST(!isReportedLeading(fleet.now() + 10s));
}

BOOST_AUTO_TEST_SUITE_END()
