#pragma once

#include "eelgrassloft/record.h"

#include <string>
#include <vector>

namespace eelgrassloft {

/// A host's share of the slots of one upstream.
struct ShareState {
    std::string upstream;
    uint32_t slots = 0;
    uint32_t inUse = 0;
    uint64_t version = 0; ///< Version of the last grant that the host has received.

    static constexpr auto members()
    {
        return std::make_tuple(&ShareState::upstream, &ShareState::slots, &ShareState::inUse, &ShareState::version);
    }
};

/// A host's queued requests of one service.
struct ShareDemand {
    std::string service;
    uint32_t queued = 0;
    Time oldestArrival {};

    static constexpr auto members()
    {
        return std::make_tuple(&ShareDemand::service, &ShareDemand::queued, &ShareDemand::oldestArrival);
    }
};

/// Sent by an entry host to the leader of its data centre. A full report lists all shares of the
/// host; an incremental one lists the shares of which slots were returned.
struct ShareReport {
    Time sentAt {};
    bool isFull = false;
    std::vector<ShareState> shares;
    std::vector<ShareDemand> demands;

    static constexpr auto members()
    {
        return std::make_tuple(&ShareReport::sentAt, &ShareReport::isFull, &ShareReport::shares, &ShareReport::demands);
    }
};

/// Sets a host's share of one upstream.
struct ShareGrant {
    std::string upstream;
    uint32_t slots = 0; ///< The host's total share, not an increment.
    uint64_t version = 0; ///< Rises with each grant of the upstream to the host.

    static constexpr auto members() { return std::make_tuple(&ShareGrant::upstream, &ShareGrant::slots, &ShareGrant::version); }
};

/// Sent by the leader to an entry host. Renews the lease of all its shares as of `reportSentAt`.
struct ShareGrants {
    uint64_t term = 0;
    Time reportSentAt {}; ///< When the host sent the last report that the leader received.
    std::vector<ShareGrant> grants;

    static constexpr auto members()
    {
        return std::make_tuple(&ShareGrants::term, &ShareGrants::reportSentAt, &ShareGrants::grants);
    }
};

/// Asks a host to return slots: idle ones at once, others as their requests end.
struct ShareRecall {
    std::string upstream;
    uint32_t slots = 0;

    static constexpr auto members() { return std::make_tuple(&ShareRecall::upstream, &ShareRecall::slots); }
};

} // namespace eelgrassloft
