#include "entry_node.h"

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

    /// Answers the host's request for what changed after `baseVersion`.
    void receiveConfig(HostId from, uint64_t version, uint64_t baseVersion)
    {
        ConfigPart part;
        part.version = version;
        part.baseVersion = baseVersion;
        part.isLast = true;
        receive(from, part);
    }

    EntryNode node;
};

ControlStatusReport statusOf(bool isLeading, uint64_t configVersion = 0)
{
    return { 3, leader, isLeading, { seed, leader }, configVersion };
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
    entry.receive(seed, statusOf(false, 68));
    entry.receiveConfig(seed, 68, 0);
    BOOST_TEST(entry.node.config().version == 68U);
    BOOST_TEST(!entry.node.isConfigCurrent(start)); // No status of the leader was received yet.
    entry.receive(leader, statusOf(true, 71));
    BOOST_TEST(entry.node.isStale());
    BOOST_TEST(!entry.node.isConfigCurrent(start));
    entry.receiveConfig(leader, 71, 68);
    BOOST_TEST(!entry.node.isStale());
    BOOST_TEST(entry.node.isConfigCurrent(start));
}

BOOST_AUTO_TEST_SUITE_END()
