#include "support/replica_cluster.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

/// What a deployment tolerates: a host counts as lost while it is down and for `catchUp` after it is
/// back or its replacement has started.
struct LossBounds {
    uint32_t hosts = 3;
    uint32_t tolerance = 1;
    Duration catchUp = 4s;
    Duration recovery = 12s; ///< Until the log has a leader again after more losses than tolerated.
};

constexpr LossBounds smallFleet { 3, 1, 4s, 12s };
constexpr LossBounds largeFleet { 6, 2, 6s, 15s };

/// Loses and replaces hosts as a deployment tolerates, by time alone, while commands are proposed all
/// the time and leaders change although no host is lost.
class LossScenario {
public:
    LossScenario(LossBounds bounds, ClusterOptions options)
        : m_bounds(bounds)
        , m_random(options.seed * 7919 + 1)
        , m_cluster(std::move(options))
    {
        for (uint32_t i = 0; i < bounds.hosts; ++i)
            m_inUse.push_back(i);
        run(3s);
    }

    /// Goes on for `duration`, of which each step may bring a loss or a change of the leader.
    void disturb(Duration duration)
    {
        for (const Time end = m_cluster.now() + duration; m_cluster.now() < end;) {
            run(std::chrono::milliseconds(m_random.below(2500)));
            switch (m_random.below(7)) {
            case 0:
            case 1:
                changeLeader();
                break;
            case 2:
                loseHost(true);
                break;
            case 3:
                loseHost(false);
                break;
            case 4:
                splitHosts();
                break;
            default:
                replaceHost();
            }
        }
    }

    /// As many hosts as tolerated lose their disks while all others lose power. Returns whether there
    /// is a leader within the recovery time, which holds all that was accepted.
    bool recoversFromFinalFault()
    {
        run(std::chrono::milliseconds(m_random.below(3000)));
        std::vector<uint32_t> hosts = m_inUse;
        noteMembers();
        std::set<uint32_t> lost;
        uint32_t left = m_bounds.tolerance - std::min(m_bounds.tolerance, lostCount());
        while (left) {
            const uint32_t host = anyHost();
            if (!isLost(host) && lost.insert(host).second)
                --left;
        }
        const std::map<uint64_t, uint64_t> accepted = m_cluster.accepted();
        std::map<uint32_t, bool> keepsDisk;
        for (const uint32_t host : hosts) {
            const bool wasUp = m_cluster.isUp(host);
            note(lost.contains(host) ? "final-wipe" : "power-loss", host);
            m_cluster.stop(host);
            keepsDisk[host] = !lost.contains(host) && (wasUp || m_pendingStarts.empty() || !m_pendingStarts.contains(host) || m_pendingStarts.at(host).keepsDisk);
        }
        m_cluster.run(1s);
        for (const uint32_t host : hosts)
            m_cluster.start(host, keepsDisk[host]);
        m_cluster.run(m_bounds.recovery);
        const auto leader = m_cluster.leader();
        noteMembers();
        if (!leader)
            return false;
        const std::vector<uint64_t>& ids = m_cluster.replica(*leader).stateMachine().ids;
        size_t position = 0;
        for (const auto& [index, id] : accepted) {
            while (position < ids.size() && ids[position] != id)
                ++position;
            if (position++ >= ids.size())
                return false;
        }
        return true;
    }

    const std::string& events() const { return m_events; }

private:
    struct PendingStart {
        Time at {};
        bool keepsDisk = false;
    };

    static constexpr Duration proposalPeriod = 5ms;

    void run(Duration duration)
    {
        for (const Time end = m_cluster.now() + duration; m_cluster.now() < end;) {
            m_cluster.propose(++m_nextId);
            m_cluster.run(proposalPeriod);
            for (auto pending = m_pendingStarts.begin(); pending != m_pendingStarts.end();) {
                if (pending->second.at > m_cluster.now()) {
                    ++pending;
                    continue;
                }
                note("start", pending->first);
                m_cluster.start(pending->first, pending->second.keepsDisk);
                m_lostUntil[pending->first] = m_cluster.now() + m_bounds.catchUp;
                pending = m_pendingStarts.erase(pending);
            }
        }
    }

    bool isLost(uint32_t host) const
    {
        const auto found = m_lostUntil.find(host);
        return found != m_lostUntil.end() && m_cluster.now() < found->second;
    }

    uint32_t lostCount() const
    {
        return static_cast<uint32_t>(std::count_if(m_inUse.begin(), m_inUse.end(), [&](uint32_t host) { return isLost(host); }));
    }
    uint32_t anyHost() { return m_inUse[m_random.below(m_inUse.size())]; }

    void changeLeader()
    {
        if (const auto leader = m_cluster.leader()) {
            note("delay", *leader);
            m_cluster.pause(*leader, m_cluster.replica(*leader).electionTimeout() * 2);
        }
    }

    /// Stops a host that does not count as lost, or returns nothing.
    std::optional<uint32_t> stopHost()
    {
        const uint32_t host = anyHost();
        if (isLost(host) || lostCount() >= m_bounds.tolerance)
            return std::nullopt;
        m_cluster.stop(host);
        m_lostUntil[host] = never;
        return host;
    }

    /// Splits the hosts into halves for a while in which none is lost. A split alone counts as no loss.
    void splitHosts()
    {
        if (lostCount())
            return;
        note("split", m_inUse.front());
        const size_t half = m_inUse.size() / 2;
        for (size_t i = 0; i < half; ++i) {
            for (size_t other = half; other < m_inUse.size(); ++other)
                m_cluster.partition(m_inUse[i], m_inUse[other]);
        }
        run(500ms + std::chrono::milliseconds(m_random.below(5000)));
        m_cluster.heal();
        note("heal", m_inUse.front());
        run(std::chrono::milliseconds(m_random.below(2) * 1000));
    }

    void loseHost(bool keepsDisk)
    {
        if (const auto host = stopHost()) {
            note(keepsDisk ? "stop" : "wipe", *host);
            m_pendingStarts[*host] = { m_cluster.now() + 200ms + std::chrono::milliseconds(m_random.below(2000)), keepsDisk };
        }
    }

    void replaceHost()
    {
        if (const auto host = stopHost()) {
            const uint32_t successor = m_cluster.addHost();
            note("replace", *host);
            std::replace(m_inUse.begin(), m_inUse.end(), *host, successor);
            m_lostUntil[successor] = never;
            m_pendingStarts[successor] = { m_cluster.now() + 1s, false };
        }
    }

    void note(const char* what, uint32_t host)
    {
        m_events += std::to_string((m_cluster.now() - Time(1h)) / 1ms) + " " + what + " " + std::to_string(host) + "\n";
    }

    /// Records what each host knows of the log, for a failing run.
    void noteMembers()
    {
        for (uint32_t host = 0; host < m_cluster.hostCount(); ++host) {
            if (!m_cluster.isUp(host))
                continue;
            const auto& replica = m_cluster.replica(host);
            m_events += std::to_string(host) + ": " + std::string(name(replica.role())) + " term " + std::to_string(replica.term()) + " last " + std::to_string(replica.lastIndex()) + " voters";
            for (const Member& voter : replica.membership().voters)
                m_events += " " + std::to_string(voter.host.value) + (voter == m_cluster.memberOf(voter.host.value) ? "" : "(former)");
            m_events += ", learners";
            for (const Member& learner : replica.membership().learners)
                m_events += " " + std::to_string(learner.host.value);
            m_events += "\n";
        }
    }

    LossBounds m_bounds;
    Random m_random;
    ReplicaCluster m_cluster;
    std::vector<uint32_t> m_inUse; ///< Hosts that have not been replaced.
    std::map<uint32_t, Time> m_lostUntil;
    std::map<uint32_t, PendingStart> m_pendingStarts;
    uint64_t m_nextId = 0;
    std::string m_events;
};

/// Options of a fleet: ordered links, syncs and snapshots that take their time.
ClusterOptions fleetOptions(const LossBounds& bounds, uint64_t seed)
{
    ClusterOptions options;
    options.hosts = bounds.hosts;
    options.targetVoters = bounds.tolerance * 2 + 1;
    options.seed = seed;
    options.heartbeat = config::fleetHeartbeatPeriod;
    options.minAppendInterval = config::minFleetAppendInterval;
    options.maxDelay = 2ms;
    options.maxSync = 9ms;
    options.isOrdered = true;
    for (uint32_t i = 0; i < bounds.hosts; ++i)
        options.disks.insert(i);
    return options;
}

/// With hosts in two regions, disks under load and a large state.
ClusterOptions withSlowSnapshots(ClusterOptions options)
{
    options.farHosts = { 1, 3 };
    options.farDelay = 12ms;
    options.maxSync = 30ms;
    options.snapshotThreshold = 1000;
    options.snapshotTransfer = 600ms;
    options.snapshotEncoding = 100ms;
    options.snapshotSync = 100ms;
    return options;
}

void proposeFor(ReplicaCluster& cluster, Duration duration)
{
    uint64_t id = 0;
    for (const Time end = cluster.now() + duration; cluster.now() < end; cluster.run(5ms))
        cluster.propose(++id);
}

void checkLosses(const LossBounds& bounds, ClusterOptions options)
{
    LossScenario scenario(bounds, std::move(options));
    scenario.disturb(30s);
    const bool isRecovered = scenario.recoversFromFinalFault();
    if (!isRecovered)
        RC_LOG() << scenario.events();
    RC_ASSERT(isRecovered);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaLosses)

/// Each new leader waited anew before it replaced a lost voter, so that the next tolerated loss took the quorum.
BOOST_AUTO_TEST_CASE(voteOfALostHostIsHandedOverAlthoughTheLeaderChanges)
{
    ReplicaCluster cluster(fleetOptions(smallFleet, 1));
    cluster.run(3s);
    const uint32_t leader = cluster.leader().value();
    const uint32_t lost = (leader + 1) % smallFleet.hosts;
    cluster.stop(lost);
    const uint32_t successor = cluster.addHost();
    cluster.run(1s);
    cluster.start(successor, false);
    cluster.run(1500ms);
    cluster.pause(leader, cluster.replica(leader).electionTimeout() * 3);
    cluster.run(smallFleet.catchUp - 1500ms);
    BOOST_REQUIRE(cluster.leader() && cluster.leader() != leader);
    const Membership& membership = cluster.replica(*cluster.leader()).membership();
    BOOST_TEST(membership.hasVoter(cluster.memberOf(successor)));
    BOOST_TEST(membership.voters.size() == 3U);
}

/// For each host that was gone the leader copied the whole state in every election timeout.
BOOST_AUTO_TEST_CASE(stateIsNotCopiedForAHostThatIsGone)
{
    ReplicaCluster cluster(fleetOptions(smallFleet, 1));
    cluster.run(3s);
    const uint32_t leader = cluster.leader().value();
    const uint32_t gone = (leader + 1) % smallFleet.hosts;
    cluster.stop(gone);
    proposeFor(cluster, 20s);
    BOOST_TEST(cluster.replica(leader).snapshotIndex() > 0U);
    BOOST_TEST(cluster.replica(leader).snapshotsSent() <= 1U);
    cluster.start(gone, true);
    proposeFor(cluster, 1s);
    BOOST_TEST(cluster.replica(leader).snapshotsSent() <= 2U);
    BOOST_TEST(cluster.replica(gone).commitIndex() + 64 > cluster.replica(leader).commitIndex());
}

/// A snapshot that was longer under way than an election timeout was sent again and again, and the
/// entries after it waited behind all of the copies.
BOOST_AUTO_TEST_CASE(hostWithoutItsDiskVotesAgainThoughASnapshotTakesLong)
{
    ClusterOptions options = fleetOptions(smallFleet, 1);
    options.snapshotTransfer = 1s;
    options.snapshotThreshold = 1000;
    ReplicaCluster cluster(options);
    cluster.run(3s);
    proposeFor(cluster, 6s);
    const uint32_t leader = cluster.leader().value();
    const uint32_t wiped = (leader + 1) % smallFleet.hosts;
    cluster.stop(wiped);
    proposeFor(cluster, 1s);
    cluster.start(wiped, false);
    proposeFor(cluster, smallFleet.catchUp);
    BOOST_TEST(cluster.replica(leader).snapshotsSent() == 1U);
    BOOST_TEST(cluster.replica(leader).membership().hasVoter(cluster.memberOf(wiped)));
}

RC_BOOST_PROP(smallFleetRecoversFromToleratedLosses, ())
{
    checkLosses(smallFleet, fleetOptions(smallFleet, *rc::gen::resize(100, rc::gen::arbitrary<uint32_t>())));
}

RC_BOOST_PROP(largeFleetRecoversFromToleratedLosses, ())
{
    checkLosses(largeFleet, fleetOptions(largeFleet, *rc::gen::resize(100, rc::gen::arbitrary<uint32_t>())));
}

RC_BOOST_PROP(smallFleetRecoversThoughSnapshotsTakeLong, ())
{
    checkLosses(smallFleet, withSlowSnapshots(fleetOptions(smallFleet, *rc::gen::resize(100, rc::gen::arbitrary<uint32_t>()))));
}

RC_BOOST_PROP(largeFleetRecoversThoughSnapshotsTakeLong, ())
{
    checkLosses(largeFleet, withSlowSnapshots(fleetOptions(largeFleet, *rc::gen::resize(100, rc::gen::arbitrary<uint32_t>()))));
}

BOOST_AUTO_TEST_SUITE_END()
