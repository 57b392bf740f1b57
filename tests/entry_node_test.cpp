#include "entry_node.h"
#include "record_hash.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1h };
constexpr HostId seed { 1 };
constexpr HostId leader { 4 };

/// An entry host that is connected to a seed that does not lead.
struct Entry {
    Entry()
        : node(settings())
    {
        stepNode(node, start, FleetPeerUp { seed });
    }

    static FleetSettings settings()
    {
        FleetSettings settings;
        settings.self = HostId { 100 };
        settings.seeds = { seed };
        return settings;
    }

    std::vector<FleetEffect> receive(HostId from, FleetMessage message) { return stepNode(node, start, FleetMessageReceived { from, std::move(message) }); }

    /// Lets the seed offer a version, and answer the host's request for it.
    void receiveConfig(uint64_t version)
    {
        receive(seed, ControlStatusReport { 3, leader, false, { seed, leader }, version });
        receiveConfigPart(seed, version);
    }

    /// Answers the host's request for what changed since its version.
    void receiveConfigPart(HostId from, uint64_t version)
    {
        ConfigPart part;
        part.version = version;
        part.baseVersion = node.config().version;
        part.isLast = true;
        part.queues.push_back({ "queue", "host", "/jobs/", "pool", 0, 4, 2, 400ms, {} });
        part.digest = recordHash(part.queues.front());
        receive(from, part);
    }

    std::vector<FleetEffect> find(const std::string& path, Time now = start)
    {
        return stepNode(node, now, ControlCallReceived { CallId { ++lastCall }, FindQueueInForce { { "host", path } }, now + 1s });
    }

    EntryNode node;
    uint64_t lastCall = 0;
};

ControlStatusReport statusOf(bool isLeading, uint64_t configVersion = 0)
{
    return { 3, leader, isLeading, { seed, leader }, configVersion, start };
}

/// Status of the reply to a call, if there is one.
std::optional<ControlStatus> statusIn(const std::vector<FleetEffect>& effects)
{
    for (const FleetEffect& effect : effects) {
        if (const auto* sent = std::get_if<SendControlReply>(&effect))
            return sent->reply.status;
    }
    return std::nullopt;
}

/// Hosts to which calls are forwarded.
std::vector<HostId> forwardedTo(const std::vector<FleetEffect>& effects)
{
    std::vector<HostId> hosts;
    for (const FleetEffect& effect : effects) {
        const auto* sent = std::get_if<SendFleetMessage>(&effect);
        if (sent && std::holds_alternative<ForwardedCall>(sent->message))
            hosts.push_back(sent->to);
    }
    return hosts;
}

using Fields = std::vector<std::pair<std::string, std::string>>;

/// Fields of the first log line of the kind; none if there is no such line.
Fields fieldsOf(const std::vector<FleetEffect>& effects, LogEventKind kind)
{
    Fields fields;
    for (const FleetEffect& effect : effects) {
        const auto* event = std::get_if<LogEvent>(&effect);
        if (!event || event->kind != kind || !fields.empty())
            continue;
        for (const LogField& field : event->fields)
            fields.emplace_back(field.key, field.value);
    }
    return fields;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryNodeTests)

/// After a restart of all hosts, a host that is not a seed may lead.
BOOST_AUTO_TEST_CASE(entryHostConnectsToALeaderThatIsNotASeed)
{
    Entry entry;
    std::vector<HostId> targets;
    for (const FleetEffect& effect : entry.receive(seed, statusOf(false))) {
        if (const auto* connect = std::get_if<ConnectHosts>(&effect))
            targets = connect->hosts;
    }
    BOOST_TEST((targets == std::vector<HostId> { seed, leader }));
}

BOOST_AUTO_TEST_CASE(configIsCurrentOnceItMatchesTheLeaders)
{
    Entry entry;
    entry.receiveConfig(68);
    BOOST_TEST(entry.node.config().version == 68U);
    BOOST_TEST(!entry.node.isConfigCurrent(start)); // No status of the leader was received yet.
    entry.receive(leader, statusOf(true, 71));
    BOOST_TEST(entry.node.isStale());
    BOOST_TEST(!entry.node.isConfigCurrent(start));
    entry.receiveConfigPart(leader, 71);
    BOOST_TEST(!entry.node.isStale());
    BOOST_TEST(entry.node.isConfigCurrent(start));
}

BOOST_AUTO_TEST_CASE(queueIsLookedUpOnTheHostWhileItsConfigurationIsInForce)
{
    Entry entry;
    entry.receiveConfig(68);
    entry.receive(leader, statusOf(true, 68));
    BOOST_TEST((statusIn(entry.find("/jobs/")) == ControlStatus::Ok));
    BOOST_TEST((statusIn(entry.find("/other/")) == ControlStatus::UnknownQueue));
    BOOST_TEST(forwardedTo(entry.find("/jobs/")).empty());
}

BOOST_AUTO_TEST_CASE(queueIsAskedForWhileItIsNotKnownWhichConfigurationIsInForce)
{
    Entry entry;
    BOOST_TEST((forwardedTo(entry.find("/jobs/")) == std::vector<HostId> { seed })); // No configuration yet.
    entry.receiveConfig(68);
    BOOST_TEST((forwardedTo(entry.find("/jobs/")) == std::vector<HostId> { seed })); // No report of the leader yet.
    stepNode(entry.node, start, FleetPeerUp { leader });
    entry.receive(leader, statusOf(true, 71));
    const std::vector<FleetEffect> effects = entry.find("/jobs/");
    BOOST_TEST((forwardedTo(effects) == std::vector<HostId> { leader }));
    BOOST_TEST(!statusIn(effects).has_value());
    entry.receive(leader, statusOf(true, 68));
    BOOST_TEST((forwardedTo(entry.find("/jobs/", start + config::leaderContactTimeout)) == std::vector<HostId> { leader })); // The report is too old.
}

/// A status report that was held up in the network names an older version than the leader's last answer.
BOOST_AUTO_TEST_CASE(delayedReportBringsNoOldQueueBack)
{
    Entry entry;
    entry.receiveConfig(68);
    entry.find("/jobs/");
    entry.receive(seed, ForwardedCallReply { 1, Entry::settings().self, { ControlStatus::UnknownQueue, {}, 0, {}, {}, 71 } });
    entry.receive(leader, statusOf(true, 68));
    BOOST_TEST(!statusIn(entry.find("/jobs/")).has_value());
    entry.receiveConfig(71);
    entry.receive(leader, statusOf(true, 71));
    BOOST_TEST((statusIn(entry.find("/jobs/")) == ControlStatus::Ok));
}

/// After a power loss of all hosts, calls that a host had refused because it did not lead yet waited for their next
/// attempt, which another host refused, and ended although the first one led by then.
BOOST_AUTO_TEST_CASE(refusedCallWaitsWhileItsTargetAlreadyLeads)
{
    Entry entry;
    entry.receive(seed, statusOf(false));
    stepNode(entry.node, start, FleetPeerUp { leader });
    BOOST_TEST((forwardedTo(entry.find("/jobs/")) == std::vector<HostId> { leader }));
    const ForwardedCallReply refusal { entry.lastCall, Entry::settings().self, { ControlStatus::NotAccepted, {}, 0, {} } };
    BOOST_TEST(forwardedTo(entry.receive(leader, refusal)).empty());
    BOOST_TEST((forwardedTo(entry.receive(leader, statusOf(true))) == std::vector<HostId> { leader }));
    BOOST_TEST(forwardedTo(entry.receive(leader, statusOf(true))).empty());
    entry.receive(leader, refusal);
    BOOST_TEST((forwardedTo(stepNode(entry.node, start + config::callRetryInterval, FleetTick {})) == std::vector<HostId> { leader }));
}

/// Callers that were refused in an outage came back every second, until they had used all their tries.
BOOST_AUTO_TEST_CASE(refusedCallersUseUpTheirTriesInALongOutage)
{
    constexpr Duration outage = 7500ms;
    constexpr size_t callers = 200;
    constexpr int tries = 5;
    const auto replay = [&](const auto& admission) {
        std::map<int64_t, size_t> returns; // By tenths of a second after the outage.
        size_t served = 0;
        for (size_t caller = 0; caller < callers; ++caller) {
            Duration now = 20ms * caller;
            int tried = 1;
            for (; tried <= tries && now < outage; ++tried)
                now += admission.retryAfter(now, caller * 10 + static_cast<size_t>(tried));
            if (tried <= tries) {
                ++served;
                ++returns[(now - outage) / 100ms];
            }
        }
        size_t most = 0;
        for (const auto& [tenth, count] : returns)
            most = std::max(most, count);
        return std::make_pair(served, most);
    };
    const auto [served, most] = replay(OutageAdmission());
    BOOST_TEST(served == callers);
    BOOST_TEST(most <= callers / 10);
    BOOST_TEST(replay(FixedAdmission()).first < served);
}

/// Callers are told whole seconds. Times from 1 to 1.5 s became 2 s for all of them, so callers that were refused
/// together came back together.
BOOST_AUTO_TEST_CASE(callersThatAreRefusedTogetherComeBackApart)
{
    for (const Duration outage : { 0ms, 1500ms, 4000ms }) {
        std::map<std::chrono::seconds, size_t> returns;
        for (uint64_t number = 0; number < 300; ++number)
            ++returns[std::chrono::ceil<std::chrono::seconds>(OutageAdmission().retryAfter(outage, number))];
        BOOST_TEST(returns.size() >= 2U);
        for (const auto& [time, count] : returns)
            BOOST_TEST(count <= 200U);
    }
}

/// Callers that came back while a leader was being elected were told to stay away as long as the outage before had
/// lasted, and came back late or not at all.
BOOST_AUTO_TEST_CASE(callerThatIsRefusedInAnElectionComesBackSoon)
{
    Entry entry;
    entry.receive(seed, ControlStatusReport { 3, HostId {}, false, { seed, leader }, 0, {} });
    stepNode(entry.node, start, FleetPeerDown { seed });
    stepNode(entry.node, start + 4s, FleetPeerUp { seed });
    stepNode(entry.node, start + 4s, FleetPeerUp { leader });
    const auto retryAfter = [&](Time now) {
        const std::vector<FleetEffect> effects = stepNode(entry.node, now, ControlCallReceived { CallId { 9 }, GetJobState {}, now });
        return std::get<SendControlReply>(*std::find_if(effects.begin(), effects.end(), [](const FleetEffect& effect) { return std::holds_alternative<SendControlReply>(effect); })).reply.retryAfter;
    };
    BOOST_TEST((retryAfter(start + 4100ms) <= 2s));
    BOOST_TEST((retryAfter(start + 7s) >= 4s));
}

/// A host that only knows the leader passes calls on to it. They went to the first control host of all, which was cut
/// off and carried them out later or never.
BOOST_AUTO_TEST_CASE(callsGoByAControlHostThatKnowsTheLeader)
{
    constexpr HostId follower { 2 };
    Entry entry;
    stepNode(entry.node, start, FleetPeerUp { follower });
    entry.receive(seed, ControlStatusReport { 3, seed, true, { seed, follower, leader }, 0, {} });
    BOOST_TEST((forwardedTo(entry.find("/jobs/")) == std::vector<HostId> { seed }));
    BOOST_TEST((forwardedTo(entry.receive(follower, ControlStatusReport { 4, leader, false, { seed, follower, leader }, 0, {} })) == std::vector<HostId> { follower }));
}

BOOST_AUTO_TEST_CASE(refusalTellsWhenToComeBack)
{
    Entry entry;
    entry.receive(leader, statusOf(true));
    stepNode(entry.node, start, FleetPeerDown { seed });
    const auto retryAfter = [&](Time now) { return std::get<SendControlReply>(entry.node.receive(now, ControlCallReceived { CallId { 1 }, FindQueueInForce { { "host", "/jobs/" } }, now + 1s }).front()).reply.retryAfter; };
    BOOST_TEST((retryAfter(start + 100ms) >= config::minRetryAfter));
    BOOST_TEST((retryAfter(start + 100ms) <= config::minRetryAfter * 2));
    BOOST_TEST((retryAfter(start + 100ms) % 1s == 0s));
    BOOST_TEST((retryAfter(start + 3s) >= 3s));
    BOOST_TEST((retryAfter(start + 1min) <= config::maxRetryAfter * 3 / 2));
}

BOOST_AUTO_TEST_CASE(lookupWithoutAControlHostEndsAtOnce)
{
    Entry entry;
    entry.receiveConfig(68);
    stepNode(entry.node, start, FleetPeerDown { seed });
    BOOST_TEST((statusIn(entry.find("/jobs/")) == ControlStatus::NotAccepted));
}

/// Entry hosts were unready by turns and their logs said nothing of it.
BOOST_AUTO_TEST_CASE(changeOfReadinessIsLoggedWithItsCause)
{
    Entry entry;
    entry.receiveConfig(68);
    const std::vector<FleetEffect> up = entry.receive(leader, statusOf(true, 71));
    BOOST_TEST((fieldsOf(up, LogEventKind::ReadinessChanged) == Fields { { "from", "not-ready" }, { "to", "ready" }, { "contactMs", "0" }, { "term", "3" }, { "version", "68" }, { "latestVersion", "71" }, { "connected", "1" } }));
    BOOST_TEST(fieldsOf(entry.receive(leader, statusOf(true, 71)), LogEventKind::ReadinessChanged).empty());
    const Time later = start + config::leaderContactTimeout;
    BOOST_TEST((entry.node.nextDeadline() <= later));
    const std::vector<FleetEffect> down = stepNode(entry.node, later, FleetTick {});
    BOOST_TEST((fieldsOf(down, LogEventKind::ReadinessChanged) == Fields { { "from", "ready" }, { "to", "not-ready" }, { "contactMs", "2000" }, { "term", "3" }, { "version", "68" }, { "latestVersion", "71" }, { "connected", "1" } }));
}

BOOST_AUTO_TEST_SUITE_END()
