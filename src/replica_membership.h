#pragma once

#include "replica_log.h"

#include "eelgrassloft/config.h"

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

/// What a leader's decision on a membership change depends on.
struct MembershipView {
    const Membership& current;
    Member self;
    const std::map<HostId, uint64_t>& announced; ///< Latest incarnation that each host announced.
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
