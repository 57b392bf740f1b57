#pragma once

#include "eelgrassloft/name_table.h"

#include <cstdint>

namespace eelgrassloft {

/// Role of a member of a replicated log.
enum class ReplicaRole : uint8_t {
    Learner, ///< Replicates the log without voting.
    Follower,
    PreCandidate, ///< Runs a pre-vote: checks whether it could win an election, without incrementing the term.
    Candidate,
    Leader,
    Count
};

constexpr NameTable<ReplicaRole> nameTable(ReplicaRole)
{
    constexpr NameTable<ReplicaRole> table { "learner", "follower", "pre-candidate", "candidate", "leader" };
    static_assert(detail::isComplete<ReplicaRole>(table));
    return table;
}

} // namespace eelgrassloft
