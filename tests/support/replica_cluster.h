#pragma once

#include "replica.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace eelgrassloft::testing {

/// State machine that records the ids of its commands in order, and their texts.
struct ListMachine {
    struct Append {
        uint64_t id = 0;
        std::string text {};
        static constexpr auto members() { return std::make_tuple(&Append::id, &Append::text); }
    };
    using Command = Append;
    using Result = uint64_t;

    std::vector<uint64_t> ids;
    std::map<uint64_t, std::string> texts {}; ///< Those that aren't empty, by id.
    static constexpr auto members() { return std::make_tuple(&ListMachine::ids, &ListMachine::texts); }

    Result apply(Time, const Command& command)
    {
        ids.push_back(command.id);
        if (!command.text.empty())
            texts[command.id] = command.text;
        return ids.size();
    }
};

enum class FaultKind : uint8_t {
    Partition,
    Heal,
    Pause,
    Crash,
    Isolate,
    Count
};

struct Fault {
    FaultKind kind = FaultKind::Heal;
    uint32_t a = 0; ///< Host that the fault concerns, modulo the number of hosts.
    uint32_t b = 0; ///< `Partition`: the other host, likewise. `Pause`: its length in milliseconds, modulo 3000.
    uint32_t milliseconds = 0; ///< Until the next fault.
};

struct ClusterOptions {
    uint32_t hosts = 3;
    std::set<uint32_t> disks; ///< Hosts that keep their synced writes across a crash.
    uint64_t seed = 1;
    uint32_t lossPercent = 0;
    uint32_t duplicatePercent = 0;
    Duration maxDelay = std::chrono::milliseconds(5);
    Duration maxSync = std::chrono::milliseconds(3);
    size_t snapshotThreshold = 64;
    Duration heartbeat = config::heartbeatPeriod;
    Duration minAppendInterval {};
    std::set<uint32_t> farHosts; ///< Hosts whose messages take `farDelay` longer, both ways.
    Duration farDelay {};
    uint32_t targetVoters = 0; ///< As in `ReplicaOptions`; 0 where the initial hosts are the voters.
    bool isOrdered = false; ///< Whether the messages of two hosts arrive in the order in which they were sent.
    Duration snapshotTransfer {}; ///< Time for which a snapshot occupies the link, with `isOrdered`.
    Duration snapshotEncoding {}; ///< Time for which the sender of a snapshot does nothing else.
    Duration snapshotSync {}; ///< Added to the sync of a write with a snapshot.
    size_t maxMessageBytes = 0; ///< Larger messages are lost, as a connection does not carry them; 0 for no limit.
};

/// Simulates the replicas of one log in virtual time, with message delays and losses, disks and
/// faults. Checks at every step that the logs agree and that at most one member holds a lease.
class ReplicaCluster {
public:
    using Machine = ListMachine;
    using ListReplica = Replica<Machine>;

    explicit ReplicaCluster(ClusterOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_hosts(m_options.hosts)
    {
        Membership membership;
        for (uint32_t i = 0; i < m_options.hosts; ++i) {
            m_hosts[i].incarnation = ++m_nextIncarnation;
            membership.voters.push_back(memberOf(i));
        }
        for (uint32_t i = 0; i < m_options.hosts; ++i) {
            m_hosts[i].replica.emplace(memberOf(i), replicaOptions(i), m_now);
            m_hosts[i].replica->form(m_now, membership);
            announceIncarnations(i);
        }
    }

    Time now() const { return m_now; }
    const ListReplica& replica(uint32_t host) const { return *m_hosts[host].replica; }
    bool isUp(uint32_t host) const { return m_hosts[host].replica.has_value(); }

    void run(Duration duration)
    {
        const Time end = m_now + duration;
        while (m_now < end) {
            m_now = std::min(end, nextTime());
            deliverDue();
            if (m_now >= m_nextStatus)
                exchangeStatus();
            for (uint32_t i = 0; i < m_hosts.size(); ++i) {
                Host& host = m_hosts[i];
                if (host.replica && !isPaused(i) && m_now >= host.replica->nextDeadline()) {
                    host.replica->tick(m_now);
                    flush(i);
                }
            }
            checkLeases();
        }
    }

    std::optional<uint32_t> leader() const
    {
        for (uint32_t i = 0; i < m_hosts.size(); ++i) {
            if (m_hosts[i].replica && !isPaused(i) && m_hosts[i].replica->hasLease(m_now))
                return i;
        }
        return std::nullopt;
    }

    /// Proposes to the leader and returns whether it accepted the command. `accepted` lists the ids of
    /// the commands that were committed, which must not be lost.
    bool propose(uint64_t id, std::string text = {})
    {
        const auto host = leader();
        if (!host)
            return false;
        const auto index = m_hosts[*host].replica->propose(m_now, { id, std::move(text) });
        if (!index)
            return false;
        m_proposed[{ *index, m_hosts[*host].replica->term() }] = id;
        flush(*host);
        return true;
    }

    void apply(const Fault& fault)
    {
        const uint32_t a = fault.a % m_options.hosts;
        const uint32_t b = fault.b % m_options.hosts;
        ++m_faults[static_cast<size_t>(fault.kind)];
        switch (fault.kind) {
        case FaultKind::Partition:
            m_partitions.insert({ a, b });
            break;
        case FaultKind::Isolate:
            for (uint32_t i = 0; i < m_options.hosts; ++i)
                m_partitions.insert({ a, i });
            break;
        case FaultKind::Heal:
            m_partitions.clear();
            break;
        case FaultKind::Pause:
            m_hosts[a].pausedUntil = m_now + std::chrono::milliseconds(fault.b % 3000);
            break;
        default:
            crash(a);
        }
    }

    /// Lets no disk sync anything for `duration`, as while all hosts write large snapshots.
    void stallDisks(Duration duration)
    {
        m_disksStalledUntil = m_now + duration;
        for (Host& host : m_hosts) {
            for (UnsyncedWrite& write : host.unsyncedWrites)
                write.syncedAt = std::max(write.syncedAt, m_disksStalledUntil);
        }
    }

    void partition(uint32_t a, uint32_t b) { m_partitions.insert({ a, b }); }

    /// Lets a host's disk refuse all writes for `duration`; they are made when it has room again.
    void fillDisk(uint32_t i, Duration duration)
    {
        Host& host = m_hosts[i];
        host.diskFullUntil = m_now + duration;
        for (UnsyncedWrite& write : host.unsyncedWrites)
            write.syncedAt = std::max(write.syncedAt, host.diskFullUntil);
    }

    void heal()
    {
        m_partitions.clear();
        for (Host& host : m_hosts)
            host.pausedUntil = {};
    }

    /// Restarts a host's process. A host without a disk loses its state; it is crashed only while
    /// every host votes under its present incarnation, as the log of such hosts survives one loss
    /// at a time. Returns whether the host was crashed.
    bool crash(uint32_t i)
    {
        Host& host = m_hosts[i];
        if (!host.replica)
            return false;
        const bool hasDisk = m_options.disks.contains(i);
        if (!hasDisk && !isFullyReplicated())
            return false;
        host.replica.reset();
        host.heldMessages.clear();
        if (!hasDisk) {
            host.disk = {};
            host.incarnation = ++m_nextIncarnation;
        }
        host.unsyncedWrites.clear();
        ++host.restarts;
        host.replica.emplace(memberOf(i), replicaOptions(i), m_now);
        if (hasDisk && host.disk.incarnation)
            host.replica->restore(m_now, host.disk);
        for (uint32_t other = 0; other < m_hosts.size(); ++other)
            announceIncarnations(other);
        return true;
    }

    /// Ends a host's process; unsynced writes are lost, as with the host's power.
    void stop(uint32_t i)
    {
        Host& host = m_hosts[i];
        host.replica.reset();
        host.heldMessages.clear();
        host.unsyncedWrites.clear();
        host.pausedUntil = {};
        std::erase_if(m_inFlight, [&](const auto& delivery) { return delivery.second.to == i || delivery.second.message.from.host.value == i; });
        std::erase_if(m_linkFreeAt, [&](const auto& link) { return link.first.first == i || link.first.second == i; });
    }

    /// Starts a stopped host, with an empty disk and a new incarnation unless `keepsDisk`.
    void start(uint32_t i, bool keepsDisk)
    {
        Host& host = m_hosts[i];
        if (!keepsDisk || !host.disk.incarnation) {
            host.disk = {};
            host.incarnation = ++m_nextIncarnation;
        }
        ++host.restarts;
        host.replica.emplace(memberOf(i), replicaOptions(i), m_now);
        if (host.disk.incarnation)
            host.replica->restore(m_now, host.disk);
        for (uint32_t other = 0; other < m_hosts.size(); ++other)
            announceIncarnations(other);
    }

    /// Adds a stopped host with an empty disk and returns its number.
    uint32_t addHost()
    {
        m_hosts.emplace_back();
        return static_cast<uint32_t>(m_hosts.size() - 1);
    }

    /// Lets a host do nothing for `duration`, as with a full processor.
    void pause(uint32_t i, Duration duration) { m_hosts[i].pausedUntil = std::max(m_hosts[i].pausedUntil, m_now + duration); }

    size_t hostCount() const { return m_hosts.size(); }

    /// Whether all hosts are up, vote under their present incarnations and lag by at most 64 entries. A
    /// host votes under a new incarnation once the membership with it is committed.
    bool isFullyReplicated() const
    {
        const auto host = leader();
        if (!host)
            return false;
        const ListReplica& leading = *m_hosts[*host].replica;
        if (!leading.isMembershipCommitted())
            return false;
        for (uint32_t i = 0; i < m_hosts.size(); ++i) {
            if (!m_hosts[i].replica || !leading.membership().hasVoter(memberOf(i)))
                return false;
            if (m_hosts[i].replica->commitIndex() + 64 < leading.commitIndex())
                return false;
        }
        return true;
    }

    /// Ids of the proposals that were committed, by log index.
    const std::map<uint64_t, uint64_t>& accepted() const { return m_accepted; }
    const std::vector<uint64_t>& faults() const { return m_faults; }
    uint64_t steps() const { return m_steps; }
    uint64_t messages() const { return m_messages; }
    void setLoss(uint32_t percent) { m_options.lossPercent = percent; }
    void setFarDelay(Duration delay) { m_options.farDelay = delay; }
    Member memberOf(uint32_t i) const { return { HostId { i }, m_hosts[i].incarnation }; }

private:
    /// A message that waits until a write is synced.
    struct HeldMessage {
        uint64_t afterWrite = 0;
        ReplicaMessage<Machine> message;
    };

    struct UnsyncedWrite {
        Time startsAt {};
        Time syncedAt {};
        LogWrite<Machine> write;
    };

    struct Host {
        std::optional<ListReplica> replica;
        uint64_t incarnation = 0;
        uint64_t restarts = 0;
        RestoredLog<Machine> disk;
        std::deque<UnsyncedWrite> unsyncedWrites;
        std::deque<HeldMessage> heldMessages;
        Time pausedUntil {};
        Time diskFullUntil {};
    };

    struct InFlight {
        uint32_t to = 0;
        ReplicaMessage<Machine> message;
    };

    ReplicaOptions replicaOptions(uint32_t i) const
    {
        ReplicaOptions options;
        options.snapshotThreshold = m_options.snapshotThreshold;
        options.heartbeat = m_options.heartbeat;
        options.minAppendInterval = m_options.minAppendInterval;
        options.targetVoters = m_options.targetVoters;
        options.seed = m_options.seed * 31 + i + m_hosts[i].restarts * 1000;
        for (uint32_t host = 0; host < m_options.hosts; ++host)
            options.voterHosts.push_back(HostId { host });
        return options;
    }

    bool isPaused(uint32_t i) const { return m_now < m_hosts[i].pausedUntil; }
    bool isPartitioned(uint32_t a, uint32_t b) const { return m_partitions.contains({ a, b }) || m_partitions.contains({ b, a }); }

    void announceIncarnations(uint32_t i)
    {
        for (uint32_t other = 0; other < m_hosts.size(); ++other) {
            if (m_hosts[i].replica && m_hosts[other].replica)
                m_hosts[i].replica->observeMember(memberOf(other));
        }
    }

    /// Lets all hosts in contact hear of each other, as their status messages do.
    void exchangeStatus()
    {
        m_nextStatus = m_now + config::fleetStatusPeriod;
        for (uint32_t i = 0; i < m_hosts.size(); ++i) {
            for (uint32_t other = 0; other < m_hosts.size(); ++other) {
                const bool isInContact = m_hosts[i].replica && m_hosts[other].replica && !isPaused(i) && !isPaused(other) && !isPartitioned(i, other);
                if (i != other && isInContact)
                    m_hosts[i].replica->observeContact(m_now, HostId { other });
            }
        }
    }

    Time nextTime() const
    {
        Time next = m_inFlight.empty() ? never : m_inFlight.begin()->first;
        for (uint32_t i = 0; i < m_hosts.size(); ++i) {
            const Host& host = m_hosts[i];
            if (!host.replica)
                continue;
            if (isPaused(i)) {
                next = std::min(next, host.pausedUntil);
                continue;
            }
            next = std::min(next, host.replica->nextDeadline());
            if (!host.unsyncedWrites.empty())
                next = std::min(next, host.unsyncedWrites.front().syncedAt);
        }
        return std::max(next, m_now + Duration(1));
    }

    void deliverDue()
    {
        for (uint32_t i = 0; i < m_hosts.size(); ++i) {
            while (m_hosts[i].replica && !isPaused(i) && !m_hosts[i].unsyncedWrites.empty() && m_hosts[i].unsyncedWrites.front().syncedAt <= m_now)
                syncNextWrite(i);
        }
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_now) {
            const InFlight delivery = std::move(m_inFlight.begin()->second);
            m_inFlight.erase(m_inFlight.begin());
            if (m_hosts[delivery.to].replica && isPaused(delivery.to)) {
                m_inFlight.emplace(m_hosts[delivery.to].pausedUntil, delivery);
                continue;
            }
            if (m_hosts[delivery.to].replica && !isPartitioned(delivery.message.from.host.value, delivery.to)) {
                m_hosts[delivery.to].replica->receive(m_now, delivery.message);
                flush(delivery.to);
            }
        }
    }

    void syncNextWrite(uint32_t i)
    {
        Host& host = m_hosts[i];
        const LogWrite<Machine> write = std::move(host.unsyncedWrites.front().write);
        host.unsyncedWrites.pop_front();
        store(host, write);
        host.replica->completeWrites(m_now, write.sequence);
        while (!host.heldMessages.empty() && host.heldMessages.front().afterWrite <= write.sequence) {
            transmit(i, host.heldMessages.front().message);
            host.heldMessages.pop_front();
        }
        flush(i);
    }

    static void store(Host& host, const LogWrite<Machine>& write)
    {
        RestoredLog<Machine>& disk = host.disk;
        disk.incarnation = host.incarnation;
        if (write.state)
            disk.state = *write.state;
        if (write.snapshot)
            disk.snapshot = write.snapshot;
        const uint64_t base = disk.snapshot ? disk.snapshot->index : 0;
        std::erase_if(disk.entries, [&](const auto& entry) {
            return entry.index <= base || (write.truncateFrom && entry.index >= write.truncateFrom);
        });
        for (const auto& entry : write.entries) {
            if (entry.index > base)
                disk.entries.push_back(entry);
        }
    }

    void flush(uint32_t i)
    {
        ++m_steps;
        Host& host = m_hosts[i];
        auto output = host.replica->takeOutput(m_now);
        if (output.write) {
            if (m_now < host.diskFullUntil)
                host.replica->refuseWrites();
            addWrite(host, std::move(*output.write));
        }
        for (auto& outgoing : output.messages) {
            const bool isHeld = !host.unsyncedWrites.empty() && outgoing.afterWrite >= host.unsyncedWrites.front().write.sequence;
            if (isHeld)
                host.heldMessages.push_back({ outgoing.afterWrite, std::move(outgoing.message) });
            else
                transmit(i, outgoing.message);
        }
        for (const auto& applied : output.applied)
            recordApplied(*host.replica, applied);
    }

    /// Writes that arrive during a sync share the next one.
    void addWrite(Host& host, LogWrite<Machine> write)
    {
        const Duration sync = randomUpTo(m_options.maxSync) + (write.snapshot ? m_options.snapshotSync : Duration {});
        const UnsyncedWrite* last = host.unsyncedWrites.empty() ? nullptr : &host.unsyncedWrites.back();
        const Time startsAt = last ? std::max(m_now, last->startsAt > m_now ? last->startsAt : last->syncedAt) : m_now;
        const bool isShared = last && last->startsAt > m_now;
        const Time syncedAt = std::max({ m_disksStalledUntil, host.diskFullUntil, startsAt + sync });
        host.unsyncedWrites.push_back({ startsAt, isShared ? std::max(last->syncedAt, syncedAt) : syncedAt, std::move(write) });
    }

    void transmit(uint32_t from, const ReplicaMessage<Machine>& message)
    {
        const uint32_t to = message.to.host.value;
        ++m_messages;
        if (isPartitioned(from, to) || m_random.below(100) < m_options.lossPercent)
            return;
        if (m_options.maxMessageBytes && encodedSize(message) > m_options.maxMessageBytes)
            return;
        const Duration distance = m_options.farHosts.contains(from) || m_options.farHosts.contains(to) ? m_options.farDelay : Duration {};
        Time arrival = m_now + distance + randomUpTo(m_options.maxDelay);
        if (m_options.isOrdered) {
            Time& linkFreeAt = m_linkFreeAt[{ from, to }];
            arrival = std::max(arrival, linkFreeAt);
            if (std::holds_alternative<SnapshotRequest<Machine>>(message.body)) {
                pause(from, m_options.snapshotEncoding);
                arrival += m_options.snapshotTransfer;
            }
            linkFreeAt = arrival;
        }
        m_inFlight.emplace(arrival, InFlight { to, message });
        if (m_random.below(100) < m_options.duplicatePercent)
            m_inFlight.emplace(m_now + randomUpTo(m_options.maxDelay * 4), InFlight { to, message });
    }

    Duration randomUpTo(Duration limit) { return Duration(1 + static_cast<Duration::rep>(m_random.below(static_cast<uint64_t>(limit.count()) + 1))); }

    void recordApplied(const ListReplica& replica, const ListReplica::Applied& applied)
    {
        const uint64_t id = replica.stateMachine().ids.at(applied.result - 1);
        const auto [known, isNew] = m_applied.try_emplace(applied.index, id);
        requireInvariant(known->second == id, "all members apply the same command at an index");
        const auto proposed = m_proposed.find({ applied.index, applied.term });
        if (proposed != m_proposed.end())
            m_accepted[applied.index] = proposed->second;
        (void)isNew;
    }

    void checkLeases() const
    {
        int holders = 0;
        for (uint32_t i = 0; i < m_hosts.size(); ++i)
            holders += m_hosts[i].replica && !isPaused(i) && m_hosts[i].replica->hasLease(m_now);
        requireInvariant(holders <= 1, "at most one member holds a lease");
    }

    ClusterOptions m_options;
    Random m_random;
    Time m_disksStalledUntil {};
    Time m_nextStatus {};
    Time m_now { std::chrono::hours(1) };
    std::vector<Host> m_hosts;
    uint64_t m_nextIncarnation = 0;
    std::multimap<Time, InFlight> m_inFlight;
    std::map<std::pair<uint32_t, uint32_t>, Time> m_linkFreeAt; ///< Latest arrival on a link.
    std::set<std::pair<uint32_t, uint32_t>> m_partitions;
    std::map<std::pair<uint64_t, uint64_t>, uint64_t> m_proposed;
    std::map<uint64_t, uint64_t> m_applied;
    std::map<uint64_t, uint64_t> m_accepted;
    std::vector<uint64_t> m_faults = std::vector<uint64_t>(countOf<FaultKind>);
    uint64_t m_steps = 0;
    uint64_t m_messages = 0;
};

} // namespace eelgrassloft::testing
