#pragma once

#include "replica_cluster.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassloft::testing {

inline ClusterOptions threeHosts(std::set<uint32_t> disks = {})
{
    ClusterOptions options;
    options.disks = std::move(disks);
    options.seed = 7;
    return options;
}

inline void proposeMany(ReplicaCluster& cluster, uint64_t from, uint64_t count)
{
    for (uint64_t id = from; id < from + count; ++id) {
        BOOST_REQUIRE(cluster.propose(id));
        cluster.run(std::chrono::milliseconds(5));
    }
}

inline uint32_t requireLeader(const ReplicaCluster& cluster)
{
    const auto leader = cluster.leader();
    BOOST_REQUIRE(leader.has_value());
    return *leader;
}

/// A member of a log with three voters that has just been formed.
struct ThreeMembers {
    const Member self { HostId { 0 }, 1 };
    const Member other { HostId { 1 }, 1 };
    const Member third { HostId { 2 }, 1 };
    const Time start { std::chrono::hours(1) };
    Replica<ListMachine> replica { self, {}, start };

    ThreeMembers() { replica.form(start, { { self, other, third }, {} }); }
};

} // namespace eelgrassloft::testing
