#include "config_history.h"
#include "config_receiver.h"
#include "random.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1h };
constexpr HostId near { 1 };
constexpr HostId far { 2 };

QueueSpec queueOf(uint64_t number, uint32_t priority = 0)
{
    return { "queue-" + std::to_string(1000 + number), "host", "/jobs-" + std::to_string(number) + "/", "pool", priority, 1, 1, 400ms, {} };
}

FleetConfig configOf(uint64_t version, uint64_t queues)
{
    FleetConfig config;
    config.version = version;
    for (uint64_t i = 0; i < queues; ++i)
        config.queues.push_back(queueOf(i));
    return config;
}

bool isEqual(const FleetConfig& held, const FleetConfig& wanted)
{
    return held.version == wanted.version && held.workspaces == wanted.workspaces && held.queues.size() == wanted.queues.size()
        && std::all_of(wanted.queues.begin(), wanted.queues.end(), [&](const QueueSpec& queue) { return held.queue(queue.name) && *held.queue(queue.name) == queue; });
}

/// A configuration with as many workspaces, of which each has a key.
FleetConfig configOf(uint64_t version, uint64_t queues, uint64_t workspaces)
{
    FleetConfig config = configOf(version, queues);
    for (uint64_t i = 0; i < workspaces; ++i)
        config.workspaces.push_back({ "workspace-" + std::to_string(i), { "key-" + std::to_string(i) }, 1, {} });
    return config;
}

FleetSettings settings()
{
    FleetSettings settings;
    settings.self = HostId { 100 };
    settings.dataCentre = "east-1";
    settings.region = "east";
    return settings;
}

/// An entry host's receiver, connected to two control hosts.
struct Transfer {
    Transfer()
        : receiver(settings())
    {
        connect(near);
        connect(far);
    }

    void connect(HostId host) { receiver.locateHost(host, { 1, false, host == near ? "east" : "west", host == near ? "east-2" : "west-1" }); }

    void observe(HostId host, const FleetConfig& config)
    {
        histories[host].observe(config);
        receiver.offer(host, config.version);
    }

    /// Host to which the receiver sends its next request, if any.
    std::optional<HostId> request()
    {
        FleetStep step;
        step.now = now;
        receiver.tick(step);
        for (const FleetEffect& effect : step.effects) {
            const auto& sent = std::get<SendFleetMessage>(effect);
            open = { sent.to, std::get<ConfigRequest>(sent.message) };
            return sent.to;
        }
        return std::nullopt;
    }

    /// Hands over the part that was requested last.
    void answer()
    {
        const auto part = histories[open->first].part(open->second);
        if (!part)
            return;
        ++parts;
        largestPart = std::max(largestPart, encodedSize(*part));
        FleetStep step;
        step.now = now;
        receiver.receive(step, open->first, *part);
    }

    void finish()
    {
        while (request())
            answer();
    }

    ConfigReceiver receiver;
    std::map<HostId, ConfigHistory> histories;
    std::optional<std::pair<HostId, ConfigRequest>> open;
    Time now = start;
    size_t parts = 0;
    size_t largestPart = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigTransferTests)

BOOST_AUTO_TEST_CASE(largeConfigurationComesInParts)
{
    Transfer transfer;
    const FleetConfig config = configOf(1, 3000);
    transfer.observe(near, config);
    transfer.finish();
    BOOST_TEST(isEqual(transfer.receiver.config(), config));
    BOOST_TEST(transfer.parts > 5U);
    BOOST_TEST(transfer.largestPart < config::maxConfigPartBytes + 1024);
}

BOOST_AUTO_TEST_CASE(onlyWhatChangedIsTransferred)
{
    Transfer transfer;
    FleetConfig config = configOf(1, 3000);
    transfer.observe(near, config);
    transfer.finish();
    config.version = 2;
    config.queues.erase(config.queues.begin() + 7);
    config.queues[20].priority = 1;
    config.queues.push_back(queueOf(5000));
    transfer.observe(near, config);
    transfer.parts = transfer.largestPart = 0;
    transfer.finish();
    BOOST_TEST(isEqual(transfer.receiver.config(), config));
    BOOST_TEST(transfer.parts == 1U);
    BOOST_TEST(transfer.largestPart < 400U);
}

BOOST_AUTO_TEST_CASE(transferGoesOnAtAnotherHostAfterALostConnection)
{
    Transfer transfer;
    const FleetConfig config = configOf(1, 3000);
    transfer.observe(near, config);
    transfer.observe(far, config);
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST((transfer.request() == near));
        transfer.answer();
    }
    BOOST_TEST((transfer.request() == near));
    transfer.receiver.hostDown(near);
    BOOST_TEST((transfer.request() == far));
    BOOST_TEST(!transfer.open->second.afterQueue.empty());
    const size_t before = transfer.parts;
    transfer.answer();
    transfer.finish();
    BOOST_TEST(isEqual(transfer.receiver.config(), config));
    BOOST_TEST(before == 5U);
}

BOOST_AUTO_TEST_CASE(unansweredRequestGoesToAnotherHost)
{
    Transfer transfer;
    const FleetConfig config = configOf(1, 3);
    transfer.observe(near, config);
    transfer.observe(far, config);
    BOOST_TEST((transfer.request() == near));
    BOOST_TEST(!transfer.request());
    transfer.now += config::configPartTimeout;
    BOOST_TEST((transfer.request() == far));
}

/// A link slower than the timeout had each part sent by one host after the other, and took none of them.
BOOST_AUTO_TEST_CASE(partThatComesAfterItsTimeoutIsTaken)
{
    Transfer transfer;
    const FleetConfig config = configOf(1, 3000);
    transfer.observe(near, config);
    transfer.observe(far, config);
    BOOST_TEST((transfer.request() == near));
    const auto late = transfer.open;
    transfer.now += config::configPartTimeout;
    BOOST_TEST((transfer.request() == far));
    transfer.open = late;
    transfer.answer();
    BOOST_TEST(transfer.request().has_value());
    BOOST_TEST(!transfer.open->second.afterQueue.empty());
    transfer.answer();
    transfer.finish();
    BOOST_TEST(isEqual(transfer.receiver.config(), config));
}

/// A near host that lagged behind ended each pass with its old version, and the transfer began anew for ever.
BOOST_AUTO_TEST_CASE(nearHostThatLagsBehindDoesNotKeepANewVersionFromArriving)
{
    Transfer transfer;
    transfer.observe(near, configOf(5, 3000));
    transfer.finish();
    const FleetConfig later = configOf(8, 3000);
    transfer.observe(far, later);
    for (int i = 0; i < 100 && transfer.request(); ++i)
        transfer.answer();
    BOOST_TEST(isEqual(transfer.receiver.config(), later));
}

BOOST_AUTO_TEST_CASE(hostThatDoesNotKnowTheFormerVersionSendsEverything)
{
    Transfer transfer;
    transfer.observe(near, configOf(1, 2000));
    transfer.finish();
    transfer.receiver.hostDown(near);
    const FleetConfig later = configOf(3, 1500);
    transfer.observe(far, later);
    transfer.finish();
    BOOST_TEST(isEqual(transfer.receiver.config(), later));
}

BOOST_AUTO_TEST_CASE(removedQueuesAreForgottenInTheEnd)
{
    Transfer transfer;
    transfer.observe(near, configOf(1, config::maxRemovedQueues + 10));
    transfer.finish();
    const FleetConfig later = configOf(2, 3);
    transfer.observe(near, later);
    BOOST_TEST(transfer.histories[near].part({ 1, {} })->baseVersion == 0U);
    transfer.finish();
    BOOST_TEST(isEqual(transfer.receiver.config(), later));
}

/// A control host that had missed a version did not tell of the queues that were added in it and
/// removed later.
BOOST_AUTO_TEST_CASE(queueOfAVersionThatTheNextSourceMissedIsRemoved)
{
    Transfer transfer;
    transfer.observe(far, configOf(1, 10));
    transfer.observe(near, configOf(2, 20));
    transfer.finish();
    BOOST_TEST(transfer.receiver.config().queues.size() == 20U);
    transfer.receiver.hostDown(near);
    const FleetConfig later = configOf(3, 10);
    transfer.observe(far, later);
    transfer.finish();
    BOOST_TEST(isEqual(transfer.receiver.config(), later));
}

/// A key that a version adds or removes without any other change did not reach the entry hosts.
BOOST_AUTO_TEST_CASE(versionThatOnlyChangesWorkspacesIsTransferred)
{
    Transfer transfer;
    FleetConfig config = configOf(1, 3000, 2);
    for (int change = 0; change < 6; ++change) {
        switch (change) {
        case 1:
            config.workspaces.front().keys.push_back("added");
            break;
        case 2:
            config.workspaces.front().keys.erase(config.workspaces.front().keys.begin());
            break;
        case 3:
            config.workspaces.back().quota.accelerators = 1;
            break;
        case 4:
            config.workspaces.clear();
            break;
        case 5:
            config.workspaces.push_back({ "added", { "key" }, 0, {} });
            break;
        default:
            break;
        }
        transfer.parts = 0;
        transfer.observe(near, config);
        transfer.finish();
        BOOST_TEST(isEqual(transfer.receiver.config(), config));
        BOOST_TEST((change == 0 || transfer.parts == 1U));
        ++config.version;
    }
}

/// Without any change to them, the workspaces are not sent again.
BOOST_AUTO_TEST_CASE(unchangedWorkspacesAreNotTransferred)
{
    ConfigHistory history;
    history.observe(configOf(1, 2, 2));
    history.observe(configOf(2, 3, 2));
    BOOST_TEST(!history.part({ 1, {} })->workspaces.has_value());
    BOOST_TEST(history.part({ 0, {} })->workspaces.has_value());
}

BOOST_AUTO_TEST_CASE(workspacesThatChangeDuringAPassOfSeveralPartsArriveWhole)
{
    for (const int partsBefore : { 0, 1, 3, 5 }) {
        Transfer transfer;
        transfer.observe(near, configOf(1, 3000, 2));
        for (int i = 0; i < partsBefore; ++i) {
            transfer.request();
            transfer.answer();
        }
        FleetConfig later = configOf(2, 3000, 2);
        later.workspaces.front().keys = { "other" };
        transfer.observe(near, later);
        transfer.finish();
        BOOST_TEST(isEqual(transfer.receiver.config(), later));
        BOOST_TEST(transfer.parts > 5U);
    }
}

/// A control host that has restarted knows no earlier version, so that it can't tell what has changed.
BOOST_AUTO_TEST_CASE(controlHostThatHasRestartedSendsTheWorkspaces)
{
    Transfer transfer;
    transfer.observe(near, configOf(1, 10, 2));
    transfer.finish();
    transfer.histories[near] = {};
    FleetConfig later = configOf(2, 10, 1);
    transfer.observe(near, later);
    transfer.finish();
    BOOST_TEST(isEqual(transfer.receiver.config(), later));
}

/// A control host that had missed a version in which the workspaces differed took them for unchanged.
BOOST_AUTO_TEST_CASE(workspacesOfAVersionThatTheNextSourceMissedAreReplaced)
{
    Transfer transfer;
    transfer.observe(far, configOf(1, 10, 2));
    FleetConfig between = configOf(2, 10, 2);
    between.workspaces.front().keys = { "removed-later" };
    transfer.observe(near, between);
    transfer.finish();
    BOOST_TEST(isEqual(transfer.receiver.config(), between));
    transfer.receiver.hostDown(near);
    const FleetConfig later = configOf(3, 10, 2);
    transfer.observe(far, later);
    BOOST_TEST(!transfer.histories[far].part({ 2, {} })->workspaces.has_value());
    transfer.finish();
    BOOST_TEST(isEqual(transfer.receiver.config(), later));
}

/// Changes, lost parts, restarts of control hosts and changes of the source in any order: what is in
/// force is always one whole version, versions only rise, and the latest one arrives in the end.
BOOST_AUTO_TEST_CASE(receiverHoldsOneWholeVersionAtATime)
{
    const bool isHolding = rc::check("one whole version at a time", [](uint64_t seed) {
        Random random(seed);
        Transfer transfer;
        std::map<uint64_t, FleetConfig> versions;
        FleetConfig config = configOf(1, 400);
        uint64_t held = 0;
        for (int i = 0; i < 200; ++i) {
            const HostId host = random.below(2) ? near : far;
            switch (random.below(8)) {
            case 0:
                ++config.version;
                for (uint64_t change = random.below(40); change; --change) {
                    const size_t position = random.below(config.queues.size());
                    if (random.below(3) == 0)
                        config.queues.erase(config.queues.begin() + static_cast<ptrdiff_t>(position));
                    else
                        config.queues[position].priority += 1;
                }
                if (random.below(3) == 0)
                    config.workspaces = configOf(0, 0, random.below(3)).workspaces;
                if (random.below(2)) {
                    const QueueSpec added = queueOf(random.below(2000));
                    if (!config.queue(added.name))
                        config.queues.push_back(added);
                }
                versions[config.version] = config;
                break;
            case 1:
            case 2:
                if (!versions.empty())
                    transfer.observe(host, versions.rbegin()->second);
                break;
            case 3:
                transfer.receiver.hostDown(host);
                if (random.below(2))
                    transfer.histories[host] = {};
                transfer.connect(host);
                if (const uint64_t version = transfer.histories[host].version())
                    transfer.receiver.offer(host, version);
                break;
            case 4:
                transfer.now += config::configPartTimeout;
                break;
            default:
                if (transfer.request() && random.below(5))
                    transfer.answer();
            }
            const FleetConfig& inForce = transfer.receiver.config();
            RC_ASSERT(inForce.version >= held);
            if (inForce.version == held)
                continue;
            held = inForce.version;
            RC_ASSERT(isEqual(inForce, versions.at(held)));
        }
        if (versions.empty())
            return;
        for (const HostId host : { near, far })
            transfer.observe(host, versions.rbegin()->second);
        transfer.now += config::maxConfigPartTimeout;
        transfer.finish();
        RC_ASSERT(isEqual(transfer.receiver.config(), versions.rbegin()->second));
    });
    BOOST_TEST(isHolding);
}

BOOST_AUTO_TEST_SUITE_END()
