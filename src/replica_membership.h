#pragma once

#include "replica_log.h"

#include "eelgrassloft/config.h"

#include <algorithm>
#include <map>
#include <optional>

namespace eelgrassloft {

struct ReplicaOptions {
    Duration heartbeat = config::heartbeatPeriod;
    size_t snapshotThreshold = config::snapshotThresholdEntries;
    bool hasStorage = true; ///< Without storage, compaction copies no snapshot; lagging followers still receive one.
    std::vector<HostId> voterHosts; ///< Hosts whose learners become voters once they hold everything committed.
    uint64_t seed = 0;
    /// Number of voters, of any hosts, for a log whose hosts are not known in advance; 0 where
    /// `voterHosts` lists them.
    uint32_t targetVoters = 0;
    Duration minAppendInterval {}; ///< Between messages with new entries; entries in between are batched.
};

/// A leader's view of how far a member has replicated the log.
struct MemberProgress {
    uint64_t match = 0; ///< Last entry that the member has acknowledged.
    uint64_t next = 1; ///< Next entry to send.
    Time lastAck {}; ///< `sentAt` of the latest acknowledged message.
    Time snapshotSentAt {};
    Time probedAt {}; ///< When a message without entries last asked what the member lacks.
    Time rejectedAt {}; ///< `sentAt` of the latest message that the member rejected, unless it has accepted a later one.
    Time rewoundAt {}; ///< When `next` was last moved back after a rejection.
    uint64_t roundTarget = 0; ///< Last entry of the current catch-up round: committed when the round began. 0 before the first.
    Time roundStartedAt {};
    bool isCaughtUp = false; ///< Whether the last round took less than an election timeout.
};

/// What a member knows of the other hosts apart from the log. It is kept whoever leads, so that a new
/// leader knows how long a voter has been silent.
class HostContacts {
public:
    explicit HostContacts(Time now)
        : m_startedAt(now)
    {
    }

    void announce(Member member)
    {
        uint64_t& incarnation = m_announced[member.host];
        incarnation = std::max(incarnation, member.incarnation);
    }

    void hear(Time now, const Member& member) { m_heardAt[member] = now; }

    /// Records contact with the incarnation that the host announced last.
    void hear(Time now, HostId host)
    {
        if (const auto found = m_announced.find(host); found != m_announced.end())
            hear(now, Member { host, found->second });
    }

    /// When something was last heard of the member; the start of this process if nothing was.
    Time lastHeard(const Member& member) const
    {
        const auto found = m_heardAt.find(member);
        return found == m_heardAt.end() ? m_startedAt : found->second;
    }

    /// Latest incarnation that each host announced.
    const std::map<HostId, uint64_t>& announced() const { return m_announced; }

private:
    Time m_startedAt {};
    std::map<HostId, uint64_t> m_announced;
    std::map<Member, Time> m_heardAt;
};

/// What a leader's decision on a membership change depends on.
struct MembershipView {
    const Membership& current;
    Member self;
    const HostContacts& contacts;
    const std::map<Member, MemberProgress>& progress;
    Time becameLeaderAt {};
    Duration electionTimeout {};

    MemberProgress progressOf(const Member& member) const
    {
        const auto found = progress.find(member);
        return found == progress.end() ? MemberProgress {} : found->second;
    }
};

/// Returns the membership with one member changed, or nothing where no change is due. A host that
/// announced a new incarnation becomes a learner. A learner that has caught up replaces its host's
/// earlier incarnation as a voter or becomes an additional voter. An unresponsive voter is
/// removed once a learner of another host has been promoted in its place.
std::optional<Membership> nextMembership(const MembershipView& view, const ReplicaOptions& options, Time now);

} // namespace eelgrassloft
