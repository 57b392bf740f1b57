#include "idempotency_table.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

const Time start(48h);
const ClaimOwner first { HostId { 1 }, 7, RequestId { 1 } };
const ClaimOwner second { HostId { 2 }, 8, RequestId { 1 } };

ClaimKey claimOf(const ClaimOwner& owner, uint64_t digest = 5) { return { "key", digest, owner, start + 10s }; }

SettleKey settleOf(const ClaimOwner& owner, Outcome outcome)
{
    return { "key", owner, outcome, UnknownReason::AnswerLost, { 200, "text/plain", makeBlob("done") } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(IdempotencyTableTests)

BOOST_AUTO_TEST_CASE(aKeyIsGrantedToOneOwner)
{
    IdempotencyTable table;
    BOOST_TEST((table.claim(start, claimOf(first)).status == ClaimStatus::Granted));
    BOOST_TEST((table.claim(start, claimOf(second)).status == ClaimStatus::InProgress));
    BOOST_TEST((table.claim(start, claimOf(first)).status == ClaimStatus::Granted)); // A retry.
}

BOOST_AUTO_TEST_CASE(aResendGetsTheRecordedAnswer)
{
    IdempotencyTable table;
    table.claim(start, claimOf(first));
    table.settle(settleOf(first, Outcome::Answered));
    const ClaimResult again = table.claim(start, claimOf(second));
    BOOST_TEST((again.status == ClaimStatus::Answered));
    BOOST_TEST(*again.upstreamResponse.body == "done");
}

BOOST_AUTO_TEST_CASE(aKeyReusedForAnotherRequestIsRefused)
{
    IdempotencyTable table;
    table.claim(start, claimOf(first));
    BOOST_TEST((table.claim(start, claimOf(second, 6)).status == ClaimStatus::KeyReused));
}

BOOST_AUTO_TEST_CASE(aKeyIsReleasedWhenItsRequestDidNotRun)
{
    IdempotencyTable table;
    table.claim(start, claimOf(first));
    table.settle(settleOf(second, Outcome::NotRun)); // Not the owner: ignored.
    BOOST_TEST((table.claim(start, claimOf(second)).status == ClaimStatus::InProgress));
    table.settle(settleOf(first, Outcome::NotRun));
    BOOST_TEST((table.claim(start, claimOf(second)).status == ClaimStatus::Granted));
}

BOOST_AUTO_TEST_CASE(anUnsettledClaimIsUnknownAfterItsDeadline)
{
    IdempotencyTable table;
    table.claim(start, claimOf(first));
    BOOST_TEST((table.claim(start + 9s, claimOf(second)).status == ClaimStatus::InProgress));
    const ClaimResult late = table.claim(start + 11s, claimOf(second));
    BOOST_TEST((late.status == ClaimStatus::Unknown));
    BOOST_TEST((late.unknown == UnknownReason::OwnerLost));
    // The owner's late outcome is still recorded.
    table.settle(settleOf(first, Outcome::Answered));
    BOOST_TEST((table.claim(start + 12s, claimOf(second)).status == ClaimStatus::Answered));
}

BOOST_AUTO_TEST_CASE(recordsExpireByWholeSegments)
{
    IdempotencyTable table;
    table.claim(start, claimOf(first));
    table.expire(start + config::idempotencyRecordLifetime);
    BOOST_TEST(table.size() == 1U);
    table.expire(start + config::idempotencyRecordLifetime + 2 * config::idempotencySegment);
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(aReclaimedKeyIsKeptForItsFullLifetime)
{
    IdempotencyTable table;
    table.claim(start, claimOf(first));
    table.settle(settleOf(first, Outcome::NotRun));
    table.claim(start + 20h, claimOf(second));
    table.expire(start + config::idempotencyRecordLifetime + 2 * config::idempotencySegment);
    BOOST_TEST(table.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
