#pragma once

#include "eelgrassloft/record.h"

#include <string>
#include <vector>

namespace eelgrassloft {

/// What a host holds of one upstream.
struct ShareState {
    std::string upstream;
    uint32_t slots = 0;
    uint32_t inUse = 0;
    uint64_t version = 0; ///< Of the last grant that the host has seen.

    static constexpr auto members()
    {
        return std::make_tuple(&ShareState::upstream, &ShareState::slots, &ShareState::inUse, &ShareState::version);
    }
};

/// Requests of one service that wait for a slot at a host.
struct ShareDemand {
    std::string service;
    uint32_t queued = 0;
    Time oldestArrival {};

    static constexpr auto members()
    {
        return std::make_tuple(&ShareDemand::service, &ShareDemand::queued, &ShareDemand::oldestArrival);
    }
};

/// From an entry host to the leader of its data centre. A whole report lists everything that the
/// host holds; others list what changed.
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

struct ShareGrant {
    std::string upstream;
    uint32_t slots = 0; ///< The host's whole share from now on.
    uint64_t version = 0;

    static constexpr auto members() { return std::make_tuple(&ShareGrant::upstream, &ShareGrant::slots, &ShareGrant::version); }
};

/// From the leader to an entry host. Renews the lease of all its shares from `reportSentAt` on.
struct ShareGrants {
    uint64_t term = 0;
    Time reportSentAt {}; ///< Latest report that the leader has seen.
    std::vector<ShareGrant> grants;

    static constexpr auto members()
    {
        return std::make_tuple(&ShareGrants::term, &ShareGrants::reportSentAt, &ShareGrants::grants);
    }
};

/// Asks a host to give back slots: idle ones at once, others as their requests end.
struct ShareRecall {
    std::string upstream;
    uint32_t slots = 0;

    static constexpr auto members() { return std::make_tuple(&ShareRecall::upstream, &ShareRecall::slots); }
};

} // namespace eelgrassloft
