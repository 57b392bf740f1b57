#include "advice_client.h"
#include "support/fleet_cluster.h"
#include "support/fleet_config.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

constexpr AdviceTiming timing { 10ms, 1ms, 2500ms };
constexpr AdviceTiming longTiming { config::longAdviceThreshold, 1ms, 2500ms };
constexpr HostId leader { 1 };
constexpr Duration planPeriod = 5ms;

/// Client of a leader, whose queries are all for one step.
struct Fixture {
    explicit Fixture(uint32_t hostCount)
    {
        std::set<HostId> hosts;
        for (uint32_t i = 1; i <= hostCount; ++i)
            hosts.insert(HostId { i });
        client.setHosts(hosts);
    }

    struct Sent {
        HostId host;
        uint64_t number = 0;
    };

    /// Sends a query, if a host may be asked now.
    std::optional<Sent> query()
    {
        FleetStep step;
        step.now = now;
        client.sendQuery(step, table, leader, { { JobKey { 1 }, 0, 0, 0 }, {}, timing });
        if (step.effects.empty())
            return std::nullopt;
        if (const auto* own = std::get_if<CallAdvice>(&step.effects.front()))
            return Sent { leader, own->request.number };
        const auto& sent = std::get<SendFleetMessage>(step.effects.front());
        return Sent { sent.to, std::get<AdviceRequest>(sent.message).number };
    }

    void reply(const Sent& sent, bool isAnswered) { client.handleReply(now, table, { sent.number, isAnswered, {}, {} }); }

    /// Queries again and again, where the calls of some hosts are refused. Returns the calls of each host.
    std::map<HostId, size_t> queryFor(Duration duration, const std::set<HostId>& refused)
    {
        std::map<HostId, size_t> calls;
        for (const Time end = now + duration; now < end; now += planPeriod) {
            if (const auto sent = query()) {
                ++calls[sent->host];
                reply(*sent, !refused.count(sent->host));
            }
        }
        return calls;
    }

    /// Lets the calls of the hosts from `first` to `last` fail, which are next to be asked.
    void avoid(uint32_t first, uint32_t last)
    {
        for (uint32_t host = first; host <= last; ++host) {
            const auto sent = query();
            BOOST_REQUIRE(sent.has_value());
            BOOST_REQUIRE((sent->host == HostId { host }));
            reply(*sent, false);
        }
    }

    WorkTable table;
    AdviceClient client;
    Time now { 1h };
};

/// A fleet whose only queue needs advice.
void configure(FleetCluster& fleet)
{
    FleetConfig config = configWithOneQueue();
    config.queues.back().advice = timing;
    BOOST_REQUIRE(fleet.callUntilOk(PutConfig { config }));
    fleet.run(3s);
}

void submit(FleetCluster& fleet)
{
    SubmitJob job;
    job.work.queue = "queue";
    job.work.key = JobKey { 7 };
    job.work.work.steps.emplace_back().size = { 1000, 1000, 0 };
    BOOST_REQUIRE(fleet.callUntilOk(job));
}

bool isStarted(const FleetCluster& fleet) { return fleet.leader() && fleet.table().job(JobKey { 7 })->state != WorkState::Queued; }

size_t adviceCalls(const FleetCluster& fleet)
{
    size_t calls = fleet.adviceCalls(FleetCluster::entryId);
    for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
        calls += fleet.adviceCalls(id);
    return calls;
}

uint64_t unansweredCalls(const FleetCluster& fleet) { return fleet.control(*fleet.leader()).counters().events[FleetCounter::AdviceUnanswered]; }

} // namespace

BOOST_AUTO_TEST_SUITE(AdviceClientTests)

/// All queries went through the same host, whose calls the service refused.
BOOST_AUTO_TEST_CASE(refusedCallsOfOneHostGoToOthers)
{
    Fixture fixture(12);
    const auto calls = fixture.queryFor(60s, { HostId { 2 } });
    BOOST_TEST(calls.at(HostId { 2 }) < 10U);
    BOOST_TEST(calls.size() > 1U);
}

/// The same for a host whose calls get no answer until their deadline.
BOOST_AUTO_TEST_CASE(unansweredCallsOfOneHostGoToOthers)
{
    Fixture fixture(12);
    const auto first = fixture.query();
    BOOST_REQUIRE(first);
    fixture.now = fixture.client.nextDeadline();
    fixture.client.tick(fixture.now);
    const auto second = fixture.query();
    BOOST_REQUIRE(second);
    BOOST_TEST((second->host != first->host));
}

/// A service that refused all calls at once got one each few milliseconds.
BOOST_AUTO_TEST_CASE(refusedCallsOfAllHostsDoNotSpin)
{
    Fixture fixture(2);
    const auto calls = fixture.queryFor(60s, { HostId { 1 }, HostId { 2 } });
    for (const auto& [host, count] : calls) {
        BOOST_TEST(count <= 121U);
        BOOST_TEST(count >= 60U);
    }
    BOOST_TEST(calls.size() == 2U);
}

/// A host that was avoided for ever after a failure would be missing in a large fleet.
BOOST_AUTO_TEST_CASE(avoidedHostIsAskedAgain)
{
    Fixture fixture(3);
    const HostId host { 2 };
    fixture.queryFor(60s, { host });
    const auto calls = fixture.queryFor(60s, {});
    BOOST_TEST(calls.at(host) > 1000U);
    const auto next = fixture.query();
    BOOST_REQUIRE(next);
    fixture.reply(*next, false);
    BOOST_TEST((next->host == host));
    fixture.now += 2s; // The answers between have ended the row of failures.
    BOOST_TEST((fixture.query()->host == host));
}

/// Hosts that are avoided must not count as free for short calls.
BOOST_AUTO_TEST_CASE(longCallsLeaveHostsThatAreNotAvoidedToShortOnes)
{
    Fixture fixture(12);
    fixture.avoid(2, 7);
    const size_t forLong = 6 - config::hostsForShortAdvice;
    BOOST_TEST(fixture.client.canQuery(fixture.now, longTiming, 1, forLong - 1));
    BOOST_TEST(!fixture.client.canQuery(fixture.now, longTiming, 1, forLong));
    BOOST_TEST(fixture.client.canQuery(fixture.now, timing, 1, 5));
    BOOST_TEST(!fixture.client.canQuery(fixture.now, timing, 1, 6));
}

/// With one of four hosts avoided, steps that need a long call would wait until its pause is over.
BOOST_AUTO_TEST_CASE(longCallIsMadeWhileFailuresLeaveFewHosts)
{
    Fixture fixture(4);
    fixture.avoid(2, 2);
    BOOST_TEST(fixture.client.canQuery(fixture.now, longTiming, 1));
    BOOST_TEST(!fixture.client.canQuery(fixture.now, longTiming, 1, 1));
    BOOST_TEST(fixture.client.canQuery(fixture.now, timing, 1, 2));
}

/// Suspects must not take all hosts that are left.
BOOST_AUTO_TEST_CASE(suspectsGetAPartOfTheHostsThatAreNotAvoided)
{
    Fixture fixture(12);
    fixture.avoid(2, 7);
    std::vector<AdviceClient::Query> planned(6 / config::hostsPerSuspectAdvice - 1);
    for (AdviceClient::Query& query : planned)
        query.isForSuspects = true;
    BOOST_TEST(fixture.client.canQueryForSuspects(fixture.now, timing, 1, planned));
    planned.push_back(planned.front());
    BOOST_TEST(!fixture.client.canQueryForSuspects(fixture.now, timing, 1, planned));
}

/// An accepted job was not started in 60 s, during which one host made 12,002 calls that were refused.
BOOST_AUTO_TEST_CASE(jobStartsThoughTheServiceRefusesOneHost)
{
    for (uint32_t host = 1; host <= FleetCluster::controlCount; ++host) {
        FleetCluster fleet({});
        configure(fleet);
        fleet.refuseAdvice(host);
        submit(fleet);
        BOOST_TEST(fleet.runUntil(2s, [&] { return isStarted(fleet); }), "refused host " << host);
        BOOST_TEST(adviceCalls(fleet) <= 2U);
        BOOST_TEST(unansweredCalls(fleet) == fleet.adviceCalls(host));
    }
}

/// While the service refused all hosts, the leader made a call in each plan; none of them may wait long afterwards.
BOOST_AUTO_TEST_CASE(jobStartsAfterTheServiceRefusedAllHosts)
{
    FleetCluster fleet({});
    configure(fleet);
    const std::vector<uint32_t> hosts { 1, 2, 3, FleetCluster::entryId };
    for (const uint32_t host : hosts)
        fleet.refuseAdvice(host);
    submit(fleet);
    BOOST_TEST(!fleet.runUntil(60s, [&] { return isStarted(fleet); }));
    BOOST_TEST(adviceCalls(fleet) <= hosts.size() * 121);
    for (const uint32_t host : hosts)
        fleet.restoreAdvice(host);
    BOOST_TEST(fleet.runUntil(1s, [&] { return isStarted(fleet); }));
}

BOOST_AUTO_TEST_SUITE_END()
