#include "io/node_durability_gate.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::io;

namespace {

SendPeerMessage messageAfter(uint64_t write, LogKind log = LogKind::Cell) { return { HostId { static_cast<uint32_t>(write) }, HostStatus {}, log, write }; }

} // namespace

BOOST_AUTO_TEST_SUITE(NodeDurabilityGateTests)

BOOST_AUTO_TEST_CASE(messagesAreHeldUntilTheirWriteIsDurable)
{
    NodeDurabilityGate gate;
    BOOST_TEST(gate.admit(messageAfter(0)).has_value());
    BOOST_TEST(!gate.admit(messageAfter(1)).has_value());
    BOOST_TEST(!gate.admit(messageAfter(2)).has_value());
    BOOST_TEST(!gate.admit(messageAfter(3)).has_value());
    const auto released = gate.release({ LogKind::Cell, 2 });
    BOOST_REQUIRE(released.size() == 2U);
    BOOST_TEST(released[0].to.value == 1U);
    BOOST_TEST(released[1].to.value == 2U);
    BOOST_TEST(gate.admit(messageAfter(2)).has_value());
}

BOOST_AUTO_TEST_CASE(eachLogReleasesOnlyItsOwnMessages)
{
    NodeDurabilityGate gate;
    BOOST_TEST(!gate.admit(messageAfter(1, LogKind::DataCentre)).has_value());
    BOOST_TEST(gate.release({ LogKind::Cell, 5 }).empty());
    BOOST_TEST(gate.release({ LogKind::DataCentre, 1 }).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
