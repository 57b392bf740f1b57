#include "support/node_cluster.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

NodeClusterOptions options(uint32_t dataCentres)
{
    NodeClusterOptions result;
    result.dataCentres = dataCentres;
    return result;
}

struct RequestFixture {
    explicit RequestFixture(uint32_t dataCentres = 1)
        : cluster(options(dataCentres))
    {
        BOOST_REQUIRE(cluster.runUntilLeadersElected());
    }

    UpstreamModel& addUpstream(Duration serviceTime = 10ms, uint32_t slots = 8)
    {
        UpstreamModel& upstream = cluster.addUpstream(0, "quotes", slots, serviceTime);
        cluster.run(1s);
        return upstream;
    }

    const EndedRequest& finish(RequestId id, Duration limit = 30s)
    {
        BOOST_REQUIRE(cluster.runUntilTrue([&] { return cluster.ended(id) != nullptr; }, limit));
        return *cluster.ended(id);
    }

    void checkRefused(RequestId id, RefusalReason reason)
    {
        const EndedRequest& ended = finish(id);
        BOOST_TEST((ended.outcome == Outcome::NotRun));
        BOOST_TEST(name(ended.refusal) == name(reason));
        BOOST_TEST(cluster.node(0).counters().refusals[reason] > 0U);
    }

    NodeCluster<> cluster;
};

struct ThreeDataCentres : RequestFixture {
    ThreeDataCentres()
        : RequestFixture(3)
    {
        for (uint32_t i = 0; i < 3; ++i)
            cluster.addUpstream(i, "orders", 8, 10ms);
        cluster.run(1s);
    }

    uint64_t startsOf(const std::string& key)
    {
        uint64_t starts = 0;
        for (size_t i = 0; i < 3; ++i)
            starts += cluster.upstream(i).startsByKey[key];
        return starts;
    }

    /// An idempotency key whose home is the given data centre.
    std::string keyWithHomeDataCentre(const std::string& dataCentre)
    {
        for (int i = 0;; ++i) {
            std::string key = "key-" + std::to_string(i);
            if (cluster.node(0).peers().homeDataCentreOf(key) == dataCentre)
                return key;
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RepeatableRequests, RequestFixture)

BOOST_AUTO_TEST_CASE(aRequestGetsItsOwnAnswer)
{
    addUpstream();
    std::vector<RequestId> ids;
    for (uint32_t i = 0; i < 30; ++i)
        ids.push_back(cluster.request(i % 3, "quotes", 5s));
    for (const RequestId id : ids) {
        const EndedRequest& ended = finish(id);
        BOOST_TEST((ended.outcome == Outcome::Answered));
        BOOST_TEST(*ended.upstreamResponse.body == "answer to " + std::to_string(id.value));
    }
}

BOOST_AUTO_TEST_CASE(anUnknownServiceIsRefused)
{
    checkRefused(cluster.request(0, "nothing", 5s), RefusalReason::UnknownService);
}

BOOST_AUTO_TEST_CASE(aServiceWithoutAnAnnouncedUpstreamIsRefused)
{
    addUpstream().isAnnouncing = false;
    cluster.run(3s);
    checkRefused(cluster.request(0, "quotes", 5s), RefusalReason::NoUpstream);
}

BOOST_AUTO_TEST_CASE(aRequestThatCannotMeetItsDeadlineIsRefusedAtOnce)
{
    addUpstream(100ms, 1);
    finish(cluster.request(0, "quotes", 5s));
    for (int i = 0; i < 20; ++i)
        cluster.request(0, "quotes", 60s);
    cluster.run(1ms);
    const Time sentAt = cluster.now();
    checkRefused(cluster.request(0, "quotes", 50ms), RefusalReason::DeadlineUnreachable);
    BOOST_TEST((cluster.now() - sentAt <= 2ms));
}

BOOST_AUTO_TEST_CASE(theQueueIsBounded)
{
    addUpstream(1s, 1);
    for (size_t i = 0; i < config::maxQueuedRequests + 10; ++i)
        cluster.request(0, "quotes", 10min);
    cluster.run(10ms);
    BOOST_TEST(cluster.node(0).counters().refusals[RefusalReason::QueueFull] >= 9U);
}

BOOST_AUTO_TEST_CASE(anUpstreamRunsNoMoreThanItsSlotsForAllHosts)
{
    UpstreamModel& upstream = addUpstream(50ms, 8);
    for (uint32_t i = 0; i < 300; ++i)
        cluster.request(i % 3, "quotes", 30s);
    cluster.run(5s);
    BOOST_TEST(upstream.maxRunning == 8U); // Never more than its slots, and every slot is used.
    BOOST_TEST(upstream.started == 300U);
}

BOOST_AUTO_TEST_CASE(slotsMoveToTheHostWhereRequestsArrive)
{
    UpstreamModel& upstream = addUpstream(50ms, 8);
    for (uint32_t i = 0; i < 100; ++i)
        cluster.request(1, "quotes", 30s);
    cluster.run(2s);
    BOOST_TEST(upstream.maxRunning == 8U);
    BOOST_TEST(upstream.started == 100U);
}

BOOST_AUTO_TEST_CASE(aRefusedAttemptGoesToAnotherUpstream)
{
    UpstreamModel& refusing = addUpstream();
    refusing.refuses = true;
    addUpstream();
    for (int i = 0; i < 20; ++i)
        BOOST_TEST((finish(cluster.request(0, "quotes", 5s)).outcome == Outcome::Answered));
    BOOST_TEST(refusing.started == 0U);
    BOOST_TEST(cluster.node(0).counters().retries[AttemptFailure::RefusedByUpstream] > 0U);
}

BOOST_AUTO_TEST_CASE(retriesEndWithTheBudget)
{
    for (int i = 0; i < 6; ++i)
        addUpstream().refuses = true;
    uint64_t attemptsBefore = cluster.node(0).counters().events[CounterKind::AttemptsStarted];
    for (int i = 0; i < 1000; ++i)
        cluster.request(0, "quotes", 5s);
    cluster.run(10s);
    const Counters& counters = cluster.node(0).counters();
    BOOST_TEST(counters.refusals[RefusalReason::RetryBudget] > 0U);
    // 1000 first attempts, one retry for every 10 requests, and a reserve of 10 retries.
    BOOST_TEST(counters.events[CounterKind::AttemptsStarted] - attemptsBefore <= 1000U + 100U + 10U);
}

BOOST_AUTO_TEST_CASE(aFailingUpstreamIsEjected)
{
    UpstreamModel& failing = addUpstream();
    failing.losesAnswers = true;
    addUpstream();
    for (int i = 0; i < 60; ++i)
        finish(cluster.request(0, "quotes", 5s));
    BOOST_TEST(cluster.node(0).counters().events[CounterKind::OutliersEjected] == 1U);
    BOOST_TEST(failing.started <= config::failuresToEject);
}

BOOST_AUTO_TEST_CASE(anAnswerAfterTheDeadlineIsDroppedAndCounted)
{
    addUpstream(2s, 8);
    const RequestId id = cluster.request(0, "quotes", 1s);
    const EndedRequest& ended = finish(id);
    BOOST_TEST((ended.outcome == Outcome::Unknown));
    BOOST_TEST((ended.unknown == UnknownReason::DeadlineInFlight));
    cluster.run(3s); // The cluster checks that each request is answered at most once.
    BOOST_TEST(cluster.node(0).counters().events[CounterKind::AnswersLate] == 1U);
    BOOST_TEST(cluster.node(0).router().attemptCount() == 0U);
}

BOOST_AUTO_TEST_CASE(aRequestThatMayHaveStartedIsNeverAnsweredAsNotRun)
{
    for (int i = 0; i < 6; ++i)
        addUpstream().losesAnswers = true;
    BOOST_TEST((finish(cluster.request(0, "quotes", 5s)).outcome == Outcome::Unknown));
    // The cluster checks that no request answered as not run was started by an upstream.
    for (int i = 0; i < 50; ++i)
        finish(cluster.request(0, "quotes", 5s));
}

BOOST_AUTO_TEST_CASE(aLeavingUpstreamGetsNoNewAttempts)
{
    UpstreamModel& leaving = addUpstream(500ms);
    addUpstream();
    std::vector<RequestId> inFlight;
    for (uint32_t i = 0; i < 12; ++i)
        inFlight.push_back(cluster.request(i % 3, "quotes", 5s));
    cluster.run(10ms);
    cluster.announceLeaving(0);
    cluster.run(2s);
    const uint64_t started = leaving.started;
    for (uint32_t i = 0; i < 60; ++i)
        finish(cluster.request(i % 3, "quotes", 5s));
    BOOST_TEST(leaving.started == started);
    for (const RequestId id : inFlight)
        BOOST_TEST((cluster.ended(id)->outcome == Outcome::Answered)); // Attempts in flight complete.
}

BOOST_AUTO_TEST_CASE(aDrainingHostFinishesItsRequests)
{
    addUpstream(300ms);
    std::vector<RequestId> ids;
    for (int i = 0; i < 20; ++i)
        ids.push_back(cluster.request(1, "quotes", 10s));
    cluster.run(5ms);
    cluster.sendEvent(1, DrainAnnounced {});
    cluster.run(1ms);
    BOOST_TEST(!cluster.node(1).isReady(cluster.now()));
    ids.push_back(cluster.request(1, "quotes", 10s)); // Requests that arrive before the balancer reacts are still admitted.
    cluster.run(1s);
    cluster.sendEvent(1, DrainStarted {});
    const RequestId late = cluster.request(1, "quotes", 10s);
    BOOST_REQUIRE(cluster.runUntilTrue([&] { return cluster.hasDrained(1); }, 10s));
    for (const RequestId id : ids)
        BOOST_TEST((cluster.ended(id)->outcome == Outcome::Answered));
    BOOST_TEST((cluster.ended(late)->refusal == RefusalReason::Draining));
}

BOOST_AUTO_TEST_CASE(theSlotsOfADeadHostAreGrantedToOthers)
{
    UpstreamModel& upstream = addUpstream(20ms, 9);
    const uint32_t leader = *cluster.dataCentreLeader(0);
    const uint32_t dying = (leader + 1) % 3;
    const uint32_t living = (leader + 2) % 3;
    cluster.kill(dying);
    cluster.run(3s);
    for (int i = 0; i < 100; ++i)
        cluster.request(living, "quotes", 5s);
    cluster.run(2s);
    BOOST_TEST(upstream.maxRunning == 9U);
}

BOOST_AUTO_TEST_CASE(requestsAreAnsweredAfterTheLeaderDied)
{
    addUpstream(20ms, 9);
    const uint32_t leader = *cluster.dataCentreLeader(0);
    cluster.kill(leader);
    cluster.run(5s);
    for (uint32_t i = 1; i < 3; ++i)
        BOOST_TEST((finish(cluster.request((leader + i) % 3, "quotes", 5s)).outcome == Outcome::Answered));
}

BOOST_AUTO_TEST_CASE(aLeaderThatLostItsLeaseWaitsWithoutSpinning)
{
    addUpstream();
    const uint32_t leader = *cluster.dataCentreLeader(0);
    for (uint32_t other = 1; other < 3; ++other)
        cluster.partition(leader, (leader + other) % 3);
    cluster.run(10s); // The cluster checks that each tick moves the next deadline into the future.
    BOOST_TEST(!cluster.node(leader).hasLeaderLease());
}

BOOST_AUTO_TEST_CASE(theSameEventsGiveTheSameEffects)
{
    const auto traceOf = [] {
        NodeClusterOptions traced = options(1);
        traced.recordsTrace = true;
        NodeCluster<> run(traced);
        run.runUntilLeadersElected();
        run.addUpstream(0, "quotes", 4, 10ms);
        for (uint32_t i = 0; i < 200; ++i) {
            run.request(i % 3, "quotes", 1s, i % 5 ? "" : "key-" + std::to_string(i));
            run.run(3ms);
        }
        run.run(5s);
        return run.trace();
    };
    const auto first = traceOf();
    BOOST_TEST(first.size() > 1000U);
    BOOST_TEST((first == traceOf()));
}

BOOST_AUTO_TEST_CASE(aCopiedNodeStepsLikeTheOriginal)
{
    addUpstream();
    cluster.request(0, "quotes", 5s);
    cluster.run(2ms);
    Node<> copy = cluster.node(0);
    const Time later = cluster.now() + 300ms;
    const Effects first = cluster.node(0).step(later, Tick {});
    const Effects second = copy.step(later, Tick {});
    BOOST_REQUIRE(first.size() == second.size());
    BOOST_TEST(!first.empty());
    for (size_t i = 0; i < first.size(); ++i)
        BOOST_TEST(first[i].index() == second[i].index());
    BOOST_TEST((copy.nextDeadline() == cluster.node(0).nextDeadline()));
}

BOOST_AUTO_TEST_CASE(noAttemptStartsOnSharesThatExpiredInATimeLeap)
{
    addUpstream();
    Node<> paused = cluster.node(1);
    const Time later = cluster.now() + 10s;
    const Effects effects = paused.step(later, RequestArrived { { RequestId { 999 }, "quotes", later + 5s, true, {}, 0 } });
    for (const Effect& effect : effects)
        BOOST_TEST(!std::holds_alternative<DispatchAttempt>(effect));
    BOOST_TEST(paused.counters().events[CounterKind::TimeLeaps] == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RequestsThatRunAtMostOnce, ThreeDataCentres)

BOOST_AUTO_TEST_CASE(aResendAnywhereGetsTheRecordedAnswer)
{
    const EndedRequest first = finish(cluster.request(0, "orders", 5s, "k"));
    BOOST_TEST((first.outcome == Outcome::Answered));
    cluster.run(1s);
    for (uint32_t host = 0; host < 9; ++host) {
        const EndedRequest& again = finish(cluster.request(host, "orders", 5s, "k"));
        BOOST_TEST((again.outcome == Outcome::Answered));
        BOOST_TEST(*again.upstreamResponse.body == *first.upstreamResponse.body);
    }
    BOOST_TEST(startsOf("k") == 1U);
}

BOOST_AUTO_TEST_CASE(resendsOfARunningRequestStartNothing)
{
    std::vector<RequestId> ids;
    for (uint32_t host = 0; host < 9; ++host)
        ids.push_back(cluster.request(host, "orders", 5s, "k"));
    int answered = 0;
    for (const RequestId id : ids) {
        const Outcome outcome = finish(id).outcome;
        answered += outcome == Outcome::Answered;
        BOOST_TEST((outcome == Outcome::Answered || outcome == Outcome::InProgress));
    }
    BOOST_TEST(answered >= 1);
    BOOST_TEST(startsOf("k") == 1U);
}

BOOST_AUTO_TEST_CASE(aKeyWithAnotherBodyIsRefused)
{
    finish(cluster.request(0, "orders", 5s, "k", 1));
    cluster.run(1s);
    checkRefused(cluster.request(0, "orders", 5s, "k", 2), RefusalReason::KeyReused);
}

BOOST_AUTO_TEST_CASE(aMissingKeyIsRefused)
{
    cluster.sendEvent(0, RequestArrived { { RequestId { 999 }, "orders", cluster.now() + 5s, false, {}, 0 } });
    checkRefused(RequestId { 999 }, RefusalReason::MissingKey);
}

BOOST_AUTO_TEST_CASE(aRequestWithALostAnswerIsUnknownAndNeverRunAgain)
{
    for (size_t i = 0; i < 3; ++i)
        cluster.upstream(i).losesAnswers = true;
    const EndedRequest& first = finish(cluster.request(0, "orders", 5s, "k"));
    BOOST_TEST((first.outcome == Outcome::Unknown));
    cluster.run(1s);
    for (uint32_t host = 0; host < 9; ++host)
        BOOST_TEST((finish(cluster.request(host, "orders", 5s, "k")).outcome == Outcome::Unknown));
    BOOST_TEST(startsOf("k") == 1U);
}

BOOST_AUTO_TEST_CASE(aRequestWhoseHostDiedAfterDispatchIsNotRunAgain)
{
    for (size_t i = 0; i < 3; ++i)
        cluster.upstream(i).serviceTime = 500ms;
    cluster.request(1, "orders", 3s, "k");
    BOOST_REQUIRE(cluster.runUntilTrue([&] { return startsOf("k") == 1; }, 5s));
    cluster.kill(1);
    BOOST_TEST((finish(cluster.request(0, "orders", 5s, "k")).outcome == Outcome::InProgress));
    cluster.run(6s);
    const EndedRequest& late = finish(cluster.request(5, "orders", 5s, "k"));
    BOOST_TEST((late.outcome == Outcome::Unknown));
    BOOST_TEST((late.unknown == UnknownReason::OwnerLost));
    BOOST_TEST(startsOf("k") == 1U);
}

BOOST_AUTO_TEST_CASE(anAnswerIsRecordedAfterTheHomesLeaderDied)
{
    const std::string key = keyWithHomeDataCentre("dc-0");
    for (size_t i = 0; i < 3; ++i)
        cluster.upstream(i).serviceTime = 2s;
    const RequestId id = cluster.request(8, "orders", 10s, key);
    BOOST_REQUIRE(cluster.runUntilTrue([&] { return startsOf(key) == 1; }, 5s));
    cluster.kill(*cluster.dataCentreLeader(0));
    BOOST_TEST((finish(id).outcome == Outcome::Answered));
    cluster.run(5s);
    BOOST_TEST((finish(cluster.request(4, "orders", 5s, key)).outcome == Outcome::Answered));
    BOOST_TEST(startsOf(key) == 1U);
}

BOOST_AUTO_TEST_CASE(anUnreachableHomeRefusesTheRequestAndFreesItsKey)
{
    const std::string key = keyWithHomeDataCentre("dc-2");
    for (uint32_t inside = 6; inside < 9; ++inside) {
        for (uint32_t outside = 0; outside < 6; ++outside)
            cluster.partition(inside, outside);
    }
    cluster.run(3s);
    checkRefused(cluster.request(0, "orders", 2s, key), RefusalReason::HomeUnreachable);
    BOOST_TEST(startsOf(key) == 0U);
    // The partitioned data centre still serves the keys whose home it is.
    BOOST_TEST((finish(cluster.request(7, "orders", 5s, key)).outcome == Outcome::Answered));
    cluster.healPartitions();
    cluster.run(3s);
    BOOST_TEST((finish(cluster.request(0, "orders", 5s, key)).outcome == Outcome::Answered));
    BOOST_TEST(startsOf(key) == 1U);
}

BOOST_AUTO_TEST_CASE(theKeyOfARefusedRequestCanBeUsedAgain)
{
    for (size_t i = 0; i < 3; ++i)
        cluster.upstream(i).refuses = true;
    BOOST_TEST((finish(cluster.request(0, "orders", 5s, "k")).outcome == Outcome::NotRun));
    cluster.run(1s);
    for (size_t i = 0; i < 3; ++i)
        cluster.upstream(i).refuses = false;
    BOOST_TEST((finish(cluster.request(3, "orders", 5s, "k")).outcome == Outcome::Answered));
    BOOST_TEST(startsOf("k") == 1U);
}

BOOST_AUTO_TEST_CASE(aClaimSendsFewBytesBetweenRegions)
{
    const std::string key = keyWithHomeDataCentre("dc-2"); // A home in the other region.
    const auto claimBytes = [&] {
        uint64_t bytes = 0;
        for (uint32_t i = 0; i < 9; ++i) {
            for (const PeerMessageKind kind : { PeerMessageKind::DataCentreProposal, PeerMessageKind::DataCentreProposalReply }) {
                const auto& counts = cluster.node(i).counters().interRegionBytes;
                const auto found = counts.find(static_cast<size_t>(kind));
                bytes += found == counts.end() ? 0 : found->second;
            }
        }
        return bytes;
    };
    const uint64_t before = claimBytes();
    const RequestId id = cluster.request(0, "orders", 5s, key);
    BOOST_REQUIRE(cluster.runUntilTrue([&] { return startsOf(key) == 1; }, 5s));
    BOOST_TEST(claimBytes() - before <= 200U);
    BOOST_TEST((finish(id).outcome == Outcome::Answered));
}

BOOST_AUTO_TEST_CASE(aRepeatableRequestSendsNothingBetweenRegions)
{
    cluster.run(2s);
    const auto requestBytes = [&](uint32_t host) {
        uint64_t bytes = 0;
        for (const auto& [kind, count] : cluster.node(host).counters().interRegionBytes) {
            const auto known = static_cast<PeerMessageKind>(kind);
            const bool isBackground = known == PeerMessageKind::CellReplica || known == PeerMessageKind::Status || known == PeerMessageKind::Hello;
            bytes += isBackground ? 0 : count;
        }
        return bytes;
    };
    const uint64_t before = requestBytes(0);
    for (int i = 0; i < 50; ++i)
        finish(cluster.request(0, "orders", 5s));
    BOOST_TEST(requestBytes(0) == before);
}

BOOST_AUTO_TEST_SUITE_END()
