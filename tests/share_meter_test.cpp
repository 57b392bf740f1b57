#include "share_meter.h"
#include "work_table.h"

#include "io/record_codec.h"
#include "snapshot_parts.h"
#include "support/fleet_config.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1h };

/// Number of `count` submissions, one every `interval`, that are owed.
size_t owedOf(ShareMeter& meter, Time at, size_t count, Duration interval, double weight)
{
    size_t owed = 0;
    for (size_t i = 0; i < count; ++i)
        owed += meter.admit(at + interval * i, "north", weight);
    return owed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ShareMeterTests)

/// With the weight of one second, a small workspace that stayed within its weight on average lost jobs whenever
/// two came close together.
BOOST_AUTO_TEST_CASE(burstIsOwedUpToTheWeightOfTheWindow)
{
    ShareMeter meter;
    BOOST_TEST(owedOf(meter, start, 50, 0s, 7) == 35U);
    BOOST_TEST(owedOf(meter, start + 1s, 50, 0s, 7) == 7U);
    BOOST_TEST(owedOf(meter, start + 1h, 50, 0s, 7) == 35U);
    BOOST_TEST(owedOf(meter, start + 2h, 50, 0s, 0.25) == 1U); // One job is owed even if the weight is below it.
}

BOOST_AUTO_TEST_CASE(steadySubmissionsAreOwedUpToTheWeight)
{
    for (const double weight : { 0.1, 0.7, 1.0, 3.0, 8.0, 33.3 }) {
        const auto interval = std::chrono::ceil<Duration>(std::chrono::duration<double>(1 / weight));
        ShareMeter at;
        ShareMeter under;
        ShareMeter over;
        BOOST_TEST(owedOf(at, start, 2000, interval, weight) == 2000U);
        BOOST_TEST(owedOf(under, start, 2000, interval * 2, weight) == 2000U);
        BOOST_TEST(static_cast<double>(owedOf(over, start, 2000, interval / 2, weight)) <= 1000 + std::max(1.0, weight * 5) + 1);
        BOOST_TEST(owedOf(over, start, 2000, interval / 2, weight) == 0U); // Time does not go back.
    }
}

BOOST_AUTO_TEST_CASE(everythingIsOwedWithoutAWeight)
{
    ShareMeter meter;
    BOOST_TEST(owedOf(meter, start, 1000, 0s, 0) == 1000U);
}

/// Hosts that restored a snapshot decided otherwise than those that had applied the commands.
BOOST_AUTO_TEST_CASE(snapshotDecidesAlike)
{
    const bool isAlike = rc::check("a decoded meter decides like the original", [](const std::vector<uint16_t>& gaps, uint8_t weightTenths) {
        ShareMeter meter;
        Time at = start;
        for (const uint16_t gap : gaps) {
            const auto decoded = io::RecordDecoder().decode<ShareMeter>(io::encode(meter));
            RC_ASSERT(decoded.has_value());
            ShareMeter copy = *decoded;
            at += std::chrono::milliseconds(gap % 700);
            const std::string workspace = gap % 2 ? "north" : "south";
            const double weight = weightTenths / 10.0;
            RC_ASSERT(copy.admit(at, workspace, weight) == meter.admit(at, workspace, weight));
            RC_ASSERT(io::encode(copy) == io::encode(meter));
        }
    });
    BOOST_TEST(isAlike);
}

/// A workspace that is removed and added again starts anew, on all hosts alike.
BOOST_AUTO_TEST_CASE(removedWorkspaceIsForgotten)
{
    constexpr double oneJob = 0.2; // Weight of which one job is owed in the window.
    WorkTable table;
    uint64_t nextJob = 1;
    const auto submit = [&](const std::string& workspace = "north") {
        const JobKey key { nextJob++ };
        table.apply(start, SubmitWork { key, "queue", { "text", { StepSpec {} }, 0, {}, {} }, workspace });
        return table.job(key)->isBeyondShare;
    };
    table.apply(start, SetFleetConfig { configWithWorkspaces(1, {}, oneJob) });
    BOOST_TEST(!submit());
    BOOST_TEST(submit());
    BOOST_TEST(!submit("south")); // Has no weight.
    BOOST_TEST(!submit("")); // Acts for no workspace.
    table.apply(start, SetFleetConfig { configWithWorkspaces(2, {}, oneJob) });
    BOOST_TEST(submit());
    WorkTable restored = copyPart(table, {}, SIZE_MAX).state;
    restored.rebuild();
    std::swap(table, restored);
    BOOST_TEST(submit());
    FleetConfig without = configWithWorkspaces(3, {}, oneJob);
    without.workspaces.erase(without.workspaces.begin());
    table.apply(start, SetFleetConfig { without });
    BOOST_TEST(!submit());
    table.apply(start, SetFleetConfig { configWithWorkspaces(4, {}, oneJob) });
    BOOST_TEST(!submit());
    BOOST_TEST(submit());
}

BOOST_AUTO_TEST_SUITE_END()
