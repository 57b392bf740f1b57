#include "share_ledger.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

const Time start(1h);
const HostId a { 1 };
const HostId b { 2 };

struct Fixture {
    Fixture()
    {
        ledger.announce({ "u", "s", "10.0.0.1", 1, 8, 64, false });
        ledger.start(start, { a, b });
    }

    static ShareReport whole(std::vector<ShareState> shares = {}, uint32_t queued = 0) { return { start, true, std::move(shares), { { "s", queued, start } } }; }

    ShareLedger ledger;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ShareLedgerTests, Fixture)

BOOST_AUTO_TEST_CASE(nothingIsGrantedBeforeAllHostsReported)
{
    ledger.report(start, a, whole());
    BOOST_TEST(ledger.divide(start).grants.empty());
    ledger.report(start, b, whole());
    ledger.divide(start);
    BOOST_TEST(ledger.granted(start, "u") == 8U);
}

BOOST_AUTO_TEST_CASE(aSilentHostsFormerLeaseIsWaitedFor)
{
    ledger.report(start, a, whole());
    BOOST_TEST(ledger.divide(start + config::shareLease).grants.empty());
    const Time later = start + config::shareLease + config::maxClockDrift;
    ledger.report(later, a, whole());
    BOOST_TEST(!ledger.divide(later).grants.empty());
}

BOOST_AUTO_TEST_CASE(whatHostsStillHoldIsNotGrantedAgain)
{
    ledger.report(start, a, whole({ { "u", 6, 6, 3 } }));
    ledger.report(start, b, whole({}, 8));
    const auto output = ledger.divide(start);
    BOOST_TEST(output.grants.at(b).back().slots == 2U);
    BOOST_TEST(ledger.granted(start, "u") == 8U);
}

BOOST_AUTO_TEST_CASE(slotsOfASilentHostReturnAfterItsLease)
{
    ledger.report(start, a, whole({ { "u", 8, 8, 3 } }));
    ledger.report(start, b, whole({}, 4));
    BOOST_TEST(ledger.divide(start).grants.count(b) == 0U);
    const Time later = start + config::shareLease + config::maxClockDrift;
    ledger.report(later, b, whole({}, 4));
    const auto output = ledger.divide(later);
    BOOST_TEST(output.grants.at(b).back().slots >= 4U);
}

BOOST_AUTO_TEST_CASE(idleSlotsMoveToWhereRequestsWait)
{
    ledger.report(start, a, whole({ { "u", 8, 1, 3 } }));
    ledger.report(start, b, whole({}, 3));
    const auto output = ledger.divide(start);
    BOOST_REQUIRE(output.recalls.count(a) == 1U);
    BOOST_TEST(output.recalls.at(a).at(0).slots == 3U);
    // The host gives them back; the leader passes them on.
    ledger.report(start, a, { start, false, { { "u", 5, 1, 3 } }, {} });
    BOOST_TEST(ledger.divide(start).grants.at(b).back().slots == 3U);
}

BOOST_AUTO_TEST_CASE(aReportOlderThanTheLastGrantLowersNothing)
{
    ledger.report(start, a, whole());
    ledger.report(start, b, whole({}, 8));
    const auto output = ledger.divide(start);
    const uint64_t version = output.grants.at(b).back().version;
    ledger.report(start, b, { start, false, { { "u", 0, 0, version - 1 } }, {} });
    BOOST_TEST(ledger.granted(start, "u") == 8U);
    // A grant that the host has not seen is sent again.
    BOOST_TEST(ledger.divide(start).grants.at(b).back().version == version);
}

BOOST_AUTO_TEST_CASE(aLeavingUpstreamIsGrantedNoMore)
{
    ledger.report(start, a, whole());
    ledger.report(start, b, whole());
    ledger.withdraw("u");
    BOOST_TEST(ledger.divide(start).grants.empty());
}

BOOST_AUTO_TEST_SUITE_END()
