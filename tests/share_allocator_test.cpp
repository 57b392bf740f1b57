#include "share_allocator.h"

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
        allocator.announce({ "u", "s", "10.0.0.1", 1, 8, 64, false });
        allocator.start(start, { a, b });
    }

    static ShareReport fullReport(std::vector<ShareState> shares = {}, uint32_t queued = 0) { return { start, true, std::move(shares), { { "s", queued, start } } }; }

    ShareAllocator allocator;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ShareAllocatorTests, Fixture)

BOOST_AUTO_TEST_CASE(nothingIsGrantedBeforeAllHostsReported)
{
    allocator.report(start, a, fullReport());
    BOOST_TEST(allocator.allocate(start).grants.empty());
    allocator.report(start, b, fullReport());
    allocator.allocate(start);
    BOOST_TEST(allocator.grantedSlots(start, "u") == 8U);
}

BOOST_AUTO_TEST_CASE(grantsWaitForTheFormerLeaseOfAHostThatHasNotReported)
{
    allocator.report(start, a, fullReport());
    BOOST_TEST(allocator.allocate(start + config::shareLease).grants.empty());
    const Time later = start + config::shareLease + config::maxClockDrift;
    allocator.report(later, a, fullReport());
    BOOST_TEST(!allocator.allocate(later).grants.empty());
}

BOOST_AUTO_TEST_CASE(slotsThatHostsStillHoldAreNotGrantedAgain)
{
    allocator.report(start, a, fullReport({ { "u", 6, 6, 3 } }));
    allocator.report(start, b, fullReport({}, 8));
    const auto output = allocator.allocate(start);
    BOOST_TEST(output.grants.at(b).back().slots == 2U);
    BOOST_TEST(allocator.grantedSlots(start, "u") == 8U);
}

BOOST_AUTO_TEST_CASE(slotsOfAnUnresponsiveHostAreGrantedAfterItsLease)
{
    allocator.report(start, a, fullReport({ { "u", 8, 8, 3 } }));
    allocator.report(start, b, fullReport({}, 4));
    BOOST_TEST(allocator.allocate(start).grants.count(b) == 0U);
    const Time later = start + config::shareLease + config::maxClockDrift;
    allocator.report(later, b, fullReport({}, 4));
    const auto output = allocator.allocate(later);
    BOOST_TEST(output.grants.at(b).back().slots >= 4U);
}

BOOST_AUTO_TEST_CASE(idleSlotsAreRecalledForHostsWithQueuedRequests)
{
    allocator.report(start, a, fullReport({ { "u", 8, 1, 3 } }));
    allocator.report(start, b, fullReport({}, 3));
    const auto output = allocator.allocate(start);
    BOOST_REQUIRE(output.recalls.count(a) == 1U);
    BOOST_TEST(output.recalls.at(a).at(0).slots == 3U);
    // Once the host has returned them, the leader grants them to the other host.
    allocator.report(start, a, { start, false, { { "u", 5, 1, 3 } }, {} });
    BOOST_TEST(allocator.allocate(start).grants.at(b).back().slots == 3U);
}

BOOST_AUTO_TEST_CASE(aReportOlderThanTheLastGrantDoesNotLowerTheShare)
{
    allocator.report(start, a, fullReport());
    allocator.report(start, b, fullReport({}, 8));
    const auto output = allocator.allocate(start);
    const uint64_t version = output.grants.at(b).back().version;
    allocator.report(start, b, { start, false, { { "u", 0, 0, version - 1 } }, {} });
    BOOST_TEST(allocator.grantedSlots(start, "u") == 8U);
    // A grant that the host has not confirmed is sent again.
    BOOST_TEST(allocator.allocate(start).grants.at(b).back().version == version);
}

BOOST_AUTO_TEST_CASE(slotsOfALeavingUpstreamAreNotGranted)
{
    allocator.report(start, a, fullReport());
    allocator.report(start, b, fullReport());
    allocator.withdraw("u");
    BOOST_TEST(allocator.allocate(start).grants.empty());
}

BOOST_AUTO_TEST_SUITE_END()
