#include "io/sync_gate.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::io;

namespace {

SendPeerMessage messageAfter(uint64_t write, LogKind log = LogKind::Cell) { return { HostId { static_cast<uint32_t>(write) }, HostStatus {}, log, write }; }

} // namespace

BOOST_AUTO_TEST_SUITE(SyncGateTests)

BOOST_AUTO_TEST_CASE(nothingLeavesAheadOfItsWrite)
{
    SyncGate gate;
    BOOST_TEST(gate.pass(messageAfter(0)).has_value());
    BOOST_TEST(!gate.pass(messageAfter(1)).has_value());
    BOOST_TEST(!gate.pass(messageAfter(2)).has_value());
    BOOST_TEST(!gate.pass(messageAfter(3)).has_value());
    const auto free = gate.written({ LogKind::Cell, 2 });
    BOOST_REQUIRE(free.size() == 2U);
    BOOST_TEST(free[0].to.value == 1U);
    BOOST_TEST(free[1].to.value == 2U);
    BOOST_TEST(gate.pass(messageAfter(2)).has_value());
}

BOOST_AUTO_TEST_CASE(eachLogHasItsOwnWrites)
{
    SyncGate gate;
    BOOST_TEST(!gate.pass(messageAfter(1, LogKind::DataCentre)).has_value());
    BOOST_TEST(gate.written({ LogKind::Cell, 5 }).empty());
    BOOST_TEST(gate.written({ LogKind::DataCentre, 1 }).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
