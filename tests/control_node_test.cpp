#include "control_node.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1h };

/// A host that forms a log with hosts 2 and 3. Hosts 4 to 6 are no seeds, and no voters.
struct FormedNode {
    explicit FormedNode(const std::map<uint32_t, std::string>& regions)
        : node(options(regions.at(1)))
    {
        for (const auto& [id, region] : regions) {
            if (id == 1)
                continue;
            stepNode(node, start, FleetPeerUp { HostId { id } });
            stepNode(node, start, FleetMessageReceived { HostId { id }, LogHello { id, true, region, {} } });
        }
    }

    static ControlNodeOptions options(const std::string& region)
    {
        ControlNodeOptions options;
        options.settings.self = HostId { 1 };
        options.settings.seeds = { HostId { 1 }, HostId { 2 }, HostId { 3 } };
        options.settings.region = region;
        options.settings.mayForm = true;
        options.now = start;
        options.incarnation = 1;
        return options;
    }

    Duration timeToElection() const { return node.replica().nextDeadline() - start; }
    Duration electionTimeout() const { return node.replica().electionTimeout(); }

    ControlNode<> node;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ControlNodeTests)

/// Hosts without a vote counted, so that a leader was elected away from the majority of the voters.
BOOST_AUTO_TEST_CASE(hostInTheRegionOfMostVotersIsElectedFirst)
{
    const FormedNode here({ { 1, "east" }, { 2, "east" }, { 3, "west" }, { 4, "west" }, { 5, "west" }, { 6, "west" } });
    BOOST_TEST((here.timeToElection() < here.electionTimeout() * 2));
    const FormedNode away({ { 1, "west" }, { 2, "east" }, { 3, "east" }, { 4, "west" }, { 5, "west" }, { 6, "west" } });
    BOOST_TEST((away.timeToElection() >= away.electionTimeout() * 3));
}

/// Without a majority anywhere all hosts delayed their elections alike, and nobody led meanwhile.
BOOST_AUTO_TEST_CASE(electionIsNotDelayedWhereNoRegionHasAMajority)
{
    const FormedNode node({ { 1, "east" }, { 2, "west" }, { 3, "north" } });
    BOOST_TEST((node.timeToElection() < node.electionTimeout() * 2));
}

BOOST_AUTO_TEST_SUITE_END()
