#pragma once

#include "cell_state_machine.h"
#include "data_centre_state_machine.h"
#include "proposal.h"
#include "share_messages.h"
#include "worker_messages.h"

#include "eelgrassloft/request.h"

namespace eelgrassloft {

/// First message on every connection between hosts: the sender's incarnation in each log, and
/// whether it holds state there.
struct PeerHello {
    uint64_t cellIncarnation = 0;
    uint64_t dataCentreIncarnation = 0;
    bool isCellEmpty = true;
    bool isDataCentreEmpty = true;

    static constexpr auto members()
    {
        return std::make_tuple(&PeerHello::cellIncarnation, &PeerHello::dataCentreIncarnation, &PeerHello::isCellEmpty,
            &PeerHello::isDataCentreEmpty);
    }
};

/// Status that every host sends to every other each `config::statusPeriod`; also the heartbeat of the connection.
struct HostStatus {
    uint64_t cellRevision = 0;
    bool isDraining = false;

    static constexpr auto members() { return std::make_tuple(&HostStatus::cellRevision, &HostStatus::isDraining); }
};

/// A worker's report, forwarded to the leader of the data centre.
struct ForwardedReport {
    CallId call; ///< Assigned by the sender, which matches the reply by it.
    WorkerReport report;

    static constexpr auto members() { return std::make_tuple(&ForwardedReport::call, &ForwardedReport::report); }
};

struct ForwardedReply {
    CallId call;
    WorkerReply reply;

    static constexpr auto members() { return std::make_tuple(&ForwardedReply::call, &ForwardedReply::reply); }
};

struct ShareRecalls {
    std::vector<ShareRecall> recalls;

    static constexpr auto members() { return std::make_tuple(&ShareRecalls::recalls); }
};

/// Messages between hosts. The order of the alternatives is part of the protocol; `PeerMessageKind` names them.
using PeerMessage = std::variant<PeerHello, HostStatus, ReplicaMessage<CellStateMachine>, ReplicaMessage<DataCentreStateMachine>,
    Proposal<CellStateMachine>, Proposal<DataCentreStateMachine>, ProposalReply<CellStateMachine>, ProposalReply<DataCentreStateMachine>,
    UpstreamAnnouncement, ShareReport, ShareGrants, ShareRecalls, ForwardedReport, ForwardedReply>;

/// Whether a message overtakes others that wait: the logs' progress and their leaders' leases rest on it.
inline bool isUrgent(const PeerMessage& message)
{
    return std::holds_alternative<ReplicaMessage<CellStateMachine>>(message) || std::holds_alternative<ReplicaMessage<DataCentreStateMachine>>(message);
}

enum class PeerMessageKind : uint8_t {
    Hello,
    Status,
    CellReplica,
    DataCentreReplica,
    CellProposal,
    DataCentreProposal,
    CellProposalReply,
    DataCentreProposalReply,
    UpstreamAnnouncement,
    ShareReport,
    ShareGrants,
    ShareRecalls,
    ForwardedReport,
    ForwardedReply,
    Count
};

static_assert(std::variant_size_v<PeerMessage> == countOf<PeerMessageKind>);

constexpr NameTable<PeerMessageKind> nameTable(PeerMessageKind)
{
    constexpr NameTable<PeerMessageKind> table { "hello", "status", "cell-replica", "data-centre-replica",
        "cell-proposal", "data-centre-proposal", "cell-proposal-reply", "data-centre-proposal-reply",
        "upstream-announcement", "share-report", "share-grants", "share-recalls", "forwarded-report", "forwarded-reply" };
    static_assert(detail::isComplete<PeerMessageKind>(table));
    return table;
}

inline PeerMessageKind kindOf(const PeerMessage& message) { return static_cast<PeerMessageKind>(message.index()); }

} // namespace eelgrassloft
