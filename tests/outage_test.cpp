#include "support/fleet_cluster.h"
#include "support/fleet_config.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration callTimeout = config::controlCallTimeout;
constexpr Duration callerPatience = 3s; ///< For one reply.

/// A caller that submits a job or reads the state of one, and that comes back as callers of the platform do: after a
/// lost reply or one without an outcome at once, after a refusal when it was told to.
struct Caller {
    JobKey key;
    bool isRead = false;
    int triesLeft = 5;
    bool isLookingUp = false; ///< Whether the open call looks up the queue, which comes before the job's call.
    std::optional<CallId> open {};
    Time openedAt {};
    Time nextTry {};
    bool isServed = false;
    bool mayHaveRun = false; ///< Whether a call had no reply, or one without an outcome.
    bool wasRefused = false; ///< Whether a call for the job was refused.

    bool hasEnded() const { return isServed || (!open && !triesLeft); }
};

/// What callers got.
struct Tally {
    size_t served = 0;
    size_t givenUp = 0; ///< Callers that used up their tries.
    size_t refused = 0; ///< Replies with a time to come back.
    size_t unknown = 0; ///< Replies without an outcome.
    size_t silent = 0; ///< Calls without a reply within the caller's patience.
    Duration longestRefusal {}; ///< Longest wait for a refusal.
    Duration longestService {}; ///< From a caller's first try to its last reply.
    Duration totalService {};
    std::map<int64_t, size_t> returns; ///< Callers that came back, by tenths of a second.
    size_t ranLate = 0; ///< Jobs whose callers were told of no outcome, and that ran.
    size_t falseRefusals = 0; ///< Jobs that ran although a call for them was refused and none was accepted.

    size_t mostReturns() const
    {
        size_t most = 0;
        for (const auto& [tenth, count] : returns)
            most = std::max(most, count);
        return most;
    }
};

/// A fleet with callers, one of them every 10 ms; every other one reads.
class Scenario : public FleetCluster {
public:
    explicit Scenario(int tries = 5, bool looksUp = true)
        : FleetCluster(Options())
        , m_tries(tries)
        , m_looksUp(looksUp)
    {
        BOOST_REQUIRE(runUntil(10s, [&] { return leader().has_value(); }));
        BOOST_REQUIRE(callUntilOk(PutConfig { configWithOneQueue() }));
        run(1s);
    }

    ~Scenario()
    {
        for (const std::string& violation : violations())
            BOOST_ERROR(violation);
    }

    /// Lets time pass, in which new callers come.
    void load(Duration duration)
    {
        const Time end = now() + duration;
        for (; now() < end; run(10ms)) {
            m_callers.push_back({ JobKey { m_callers.size() + 1 }, m_callers.size() % 2 == 1, m_tries, false, {}, {}, now() });
            m_firstTries.push_back(now());
            stepCallers();
        }
    }

    /// Waits for all callers to end.
    void settle()
    {
        const auto hasEnded = [](const Caller& caller) { return caller.hasEnded(); };
        const Time end = now() + 40s;
        for (; now() < end && !std::all_of(m_callers.begin(), m_callers.end(), hasEnded); run(10ms))
            stepCallers();
        runUntil(10s, [&] { return leader().has_value(); });
    }

    /// What the callers of submissions, or those of reads, got.
    Tally tally(bool isRead)
    {
        Tally tally = m_tallies[isRead];
        for (const Caller& caller : m_callers) {
            if (caller.isRead != isRead)
                continue;
            tally.served += caller.isServed;
            tally.givenUp += !caller.isServed;
            const bool hasRunUntold = !caller.isRead && !caller.isServed && table().job(caller.key);
            tally.ranLate += hasRunUntold && caller.mayHaveRun;
            tally.falseRefusals += hasRunUntold && caller.wasRefused;
        }
        return tally;
    }

    std::vector<uint32_t> followers() const
    {
        std::vector<uint32_t> hosts;
        for (uint32_t id = 1; id <= controlCount; ++id) {
            if (id != *leader())
                hosts.push_back(id);
        }
        return hosts;
    }

private:
    void stepCallers()
    {
        for (size_t i = 0; i < m_callers.size(); ++i) {
            if (!m_callers[i].hasEnded())
                stepCaller(m_callers[i], m_firstTries[i]);
        }
    }

    void stepCaller(Caller& caller, Time firstTry)
    {
        Tally& tally = m_tallies[caller.isRead];
        if (!caller.open) {
            if (now() < caller.nextTry)
                return;
            if (caller.triesLeft-- < m_tries)
                ++tally.returns[now().time_since_epoch() / 100ms];
            caller.openedAt = now();
            caller.isLookingUp = m_looksUp;
            caller.open = call(m_looksUp ? ControlRequest(FindQueueInForce { { "host", "/jobs/" } }) : requestOf(caller), callTimeout);
        }
        const auto replied = reply(*caller.open);
        if (!replied) {
            if (now() >= caller.openedAt + callerPatience) {
                ++tally.silent;
                tryAgain(caller, now());
                caller.mayHaveRun = true;
            }
            return;
        }
        if (caller.isLookingUp && replied->status == ControlStatus::Ok) {
            caller.isLookingUp = false;
            caller.open = call(requestOf(caller), caller.openedAt + callTimeout - now());
        } else if (replied->status == ControlStatus::NotAccepted) {
            ++tally.refused;
            caller.wasRefused = true;
            tally.longestRefusal = std::max(tally.longestRefusal, now() - caller.openedAt);
            tryAgain(caller, now() + std::chrono::ceil<std::chrono::seconds>(std::max(replied->retryAfter, config::minRetryAfter)));
        } else if (replied->status == ControlStatus::Unavailable) {
            ++tally.unknown;
            caller.mayHaveRun = caller.mayHaveRun || !caller.isLookingUp;
            tryAgain(caller, now());
        } else {
            caller.isServed = true;
            caller.open.reset();
            tally.longestService = std::max(tally.longestService, now() - firstTry);
            tally.totalService += now() - firstTry;
        }
    }

    static void tryAgain(Caller& caller, Time at)
    {
        caller.open.reset();
        caller.nextTry = at;
    }

    static ControlRequest requestOf(const Caller& caller)
    {
        if (caller.isRead)
            return GetJobState { caller.key };
        StepSpec step;
        step.size = { 100, 100, 0 };
        step.estimate = 300ms;
        return SubmitJob { { caller.key, "queue", { "text", { step }, 0, {}, {} } } };
    }

    int m_tries; ///< Of each caller.
    bool m_looksUp; ///< Whether a lookup goes before each call.
    std::vector<Caller> m_callers;
    std::vector<Time> m_firstTries;
    std::array<Tally, 2> m_tallies; ///< Of submissions, then of reads.
};

int64_t inMs(Duration duration) { return duration / 1ms; }

void print(const char* scenario, Scenario& fleet)
{
    for (const bool isRead : { false, true }) {
        const Tally tally = fleet.tally(isRead);
        BOOST_TEST_MESSAGE(scenario << (isRead ? " reads" : " submissions") << ": served " << tally.served << ", gave up " << tally.givenUp << ", refused " << tally.refused << " after up to "
                                    << inMs(tally.longestRefusal) << " ms, unknown " << tally.unknown << ", no reply " << tally.silent << ", served after up to " << inMs(tally.longestService)
                                    << " ms, on average " << inMs(tally.totalService) / std::max<int64_t>(1, static_cast<int64_t>(tally.served)) << " ms, came back within a tenth of a second " << tally.mostReturns() << ", false refusals " << tally.falseRefusals);
    }
}

constexpr size_t newCallersPerTenth = 5; ///< Of submissions, and as many of reads.

/// Checks what holds in every scenario: nobody used up the tries, no refused job runs and no read was without an outcome.
void checkTruth(const char* scenario, Scenario& fleet)
{
    print(scenario, fleet);
    for (const bool isRead : { false, true }) {
        const Tally tally = fleet.tally(isRead);
        BOOST_TEST(tally.givenUp == 0U);
        BOOST_TEST(tally.silent == 0U);
        BOOST_TEST(tally.falseRefusals == 0U);
    }
    BOOST_TEST(fleet.tally(true).unknown == 0U);
}

/// Checks that an outage in which another leader could be elected reached no caller but by a short wait.
void checkUnnoticed(const char* scenario, Scenario& fleet)
{
    checkTruth(scenario, fleet);
    for (const bool isRead : { false, true }) {
        const Tally tally = fleet.tally(isRead);
        BOOST_TEST(tally.refused == 0U);
        BOOST_TEST(tally.unknown == 0U);
        BOOST_TEST(inMs(tally.longestService) <= 700); // An election and the way to the next leader.
    }
}

/// Checks that in an outage of 4 s callers were refused at once, and came back spread over time.
void checkRefusals(Scenario& fleet)
{
    for (const bool isRead : { false, true }) {
        const Tally tally = fleet.tally(isRead);
        BOOST_TEST(tally.refused > 0U);
        BOOST_TEST(tally.mostReturns() <= newCallersPerTenth * 4);
        BOOST_TEST(inMs(tally.longestService) <= 10'000);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(OutageTests)

/// 60 submissions that were sent to hosts without power, until the loss of the connections was noticed, ended without
/// an outcome, and so did 60 reads. Others waited for a second to be refused.
BOOST_AUTO_TEST_CASE(allControlHostsLosePowerForFourSeconds)
{
    Scenario fleet;
    for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
        fleet.kill(id, config::fleetPeerTimeout);
    fleet.load(4s);
    for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
        fleet.restart(id);
    fleet.load(2s);
    fleet.settle();
    checkTruth("power loss of 4 s", fleet);
    checkRefusals(fleet);
    BOOST_TEST(fleet.tally(false).unknown <= 30U);
}

/// All calls but the lookups waited for a second, though no control host was connected.
BOOST_AUTO_TEST_CASE(allControlHostsAreDownForFourSeconds)
{
    Scenario fleet;
    for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
        fleet.kill(id);
    fleet.load(4s);
    for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
        fleet.restart(id);
    fleet.load(2s);
    fleet.settle();
    checkTruth("down for 4 s", fleet);
    checkRefusals(fleet);
    BOOST_TEST(fleet.tally(false).unknown <= 1U); // On its way when the hosts went down.
    BOOST_TEST(inMs(fleet.tally(false).longestRefusal) <= 20);
}

/// Guards against refusals of calls that the next leader could serve.
BOOST_AUTO_TEST_CASE(leaderLosesPowerUnderLoad)
{
    Scenario fleet;
    fleet.load(500ms);
    fleet.kill(*fleet.leader(), config::fleetPeerTimeout);
    fleet.load(4s);
    fleet.settle();
    checkUnnoticed("leader lost power", fleet);
}

/// Guards against calls that wait at a former leader.
BOOST_AUTO_TEST_CASE(leaderIsCutOffFromTheOthersButNotFromTheEntryHost)
{
    Scenario fleet;
    fleet.load(500ms);
    const uint32_t leader = *fleet.leader();
    const std::vector<uint32_t> followers = fleet.followers();
    for (const uint32_t follower : followers)
        fleet.cutLink(leader, follower);
    fleet.load(4s);
    for (const uint32_t follower : followers)
        fleet.healLink(leader, follower);
    fleet.load(1s);
    fleet.settle();
    checkUnnoticed("leader cut off", fleet);
}

/// As for a loss of power.
BOOST_AUTO_TEST_CASE(entryHostIsCutOff)
{
    Scenario fleet;
    fleet.load(500ms);
    for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
        fleet.cutLink(FleetCluster::entryId, id);
    fleet.load(4s);
    for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
        fleet.healLink(FleetCluster::entryId, id);
    fleet.load(1s);
    fleet.settle();
    checkTruth("entry host cut off", fleet);
    checkRefusals(fleet);
    BOOST_TEST(fleet.tally(false).unknown <= 30U);
}

/// Calls that were under way arrive after their host gave up or refused them. Those that a leader carries out then must
/// not have been refused; these callers don't come back, which would hide it.
BOOST_AUTO_TEST_CASE(callThatArrivesLateWasNotRefused)
{
    for (const int tries : { 1, 2 }) {
        Scenario fleet(tries, false); // A lookup that is refused says nothing of the job.
        fleet.load(500ms);
        for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
            fleet.cutLink(FleetCluster::entryId, id);
        fleet.load(tries * 3s);
        for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
            fleet.healLink(FleetCluster::entryId, id, true);
        fleet.load(500ms);
        fleet.settle();
        const Tally tally = fleet.tally(false);
        BOOST_TEST(tally.unknown > 0U);
        BOOST_TEST(tally.refused > 0U);
        BOOST_TEST(tally.falseRefusals == 0U);
        BOOST_TEST(tally.ranLate > 0U); // Otherwise the scenario shows nothing.
    }
}

/// As in a rolling restart: the leader's process ends and starts again.
BOOST_AUTO_TEST_CASE(leadershipIsHandedOver)
{
    Scenario fleet;
    fleet.load(500ms);
    const uint32_t leader = *fleet.leader();
    fleet.kill(leader);
    fleet.load(500ms);
    fleet.restart(leader);
    fleet.load(2s);
    fleet.settle();
    checkUnnoticed("hand-over", fleet);
}

BOOST_AUTO_TEST_SUITE_END()
