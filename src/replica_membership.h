#pragma once

#include "replica_log.h"

#include "eelgrassloft/config.h"

#include <map>
#include <optional>

namespace eelgrassloft {

struct ReplicaOptions {
    Duration heartbeat = config::heartbeatPeriod;
    size_t snapshotThreshold = config::snapshotThresholdEntries;
    bool hasStorage = true; ///< Without storage no snapshots are copied for it; followers still get them.
    std::vector<HostId> voterHosts; ///< Hosts that become voters once they hold everything committed.
    uint64_t seed = 0;
    uint32_t targetVoters = 0; ///< Where hosts are not known before: any host may vote, up to this number.
    Duration minAppendInterval {}; ///< Entries that come within it leave in one message.
};

/// How far the leader knows a member to be.
struct MemberProgress {
    uint64_t match = 0;
    uint64_t next = 1;
    Time lastAck {}; ///< `sentAt` of the latest acknowledged message.
    Time snapshotSentAt {};
    Time rewoundAt {}; ///< When `next` was last put back after a refusal.
};

/// What a leader knows when it looks whether the membership should change.
struct MembershipView {
    const Membership& current;
    Member self;
    const std::map<HostId, uint64_t>& announced; ///< Latest incarnation that each host announced.
    const std::map<Member, MemberProgress>& progress;
    uint64_t commitIndex = 0;
    Time becameLeaderAt {};

    MemberProgress progressOf(const Member& member) const
    {
        const auto found = progress.find(member);
        return found == progress.end() ? MemberProgress {} : found->second;
    }
};

/// Membership with one member changed, where that is wanted: a host that announced a new identity
/// becomes a learner; a learner that holds everything committed takes the vote of its host's former
/// identity or a new one; a silent voter goes once another host has taken a vote in its place.
std::optional<Membership> nextMembership(const MembershipView& view, const ReplicaOptions& options, Time now);

} // namespace eelgrassloft
