#pragma once

#include "eelgrassloft/handle.h"
#include "eelgrassloft/record.h"
#include "eelgrassloft/time.h"

#include <concepts>
#include <string>
#include <variant>
#include <vector>

namespace eelgrassloft {

/// State machine of a replicated log. `apply` must be deterministic in the state and its arguments.
template <typename M>
concept StateMachine = Record<M> && std::copyable<M> && requires(M stateMachine, const typename M::Command& command, Time at)
{
    typename M::Command;
    typename M::Result;
    {
        stateMachine.apply(at, command)
        } -> std::same_as<typename M::Result>;
};

/// One incarnation of a host as a member of a replicated log. A host that lost its state rejoins with
/// a higher incarnation and never acts under an earlier one again.
struct Member {
    HostId host;
    uint64_t incarnation = 0;

    static constexpr auto members() { return std::make_tuple(&Member::host, &Member::incarnation); }

    friend auto operator<=>(const Member&, const Member&) = default;
};

/// Voters and learners of a log. A new membership takes effect when its entry is appended.
struct Membership {
    std::vector<Member> voters;
    std::vector<Member> learners;

    static constexpr auto members() { return std::make_tuple(&Membership::voters, &Membership::learners); }

    bool hasVoter(const Member& member) const
    {
        for (const Member& voter : voters) {
            if (voter == member)
                return true;
        }
        return false;
    }

    /// The member of `host`, or null where it has none.
    const Member* find(HostId host) const
    {
        for (const auto* list : { &voters, &learners }) {
            for (const Member& member : *list) {
                if (member.host == host)
                    return &member;
            }
        }
        return nullptr;
    }

    size_t quorum() const { return voters.size() / 2 + 1; }

    friend bool operator==(const Membership&, const Membership&) = default;
};

/// Payload of the first entry of a leader's term: a no-op whose commit also commits earlier terms' entries.
struct TermStart {
    static constexpr auto members() { return std::make_tuple(); }
};

/// Entry of a replicated log: a command, a membership or the start of a term.
template <typename M>
struct LogEntry {
    uint64_t index = 0;
    uint64_t term = 0;
    Time at {}; ///< Leader's time of the proposal; does not decrease along the log.
    std::variant<TermStart, Membership, typename M::Command> payload;

    static constexpr auto members()
    {
        return std::make_tuple(&LogEntry::index, &LogEntry::term, &LogEntry::at, &LogEntry::payload);
    }
};

/// State that a voter persists in addition to the entries.
struct HardState {
    uint64_t term = 0;
    Member votedFor;

    static constexpr auto members() { return std::make_tuple(&HardState::term, &HardState::votedFor); }

    friend bool operator==(const HardState&, const HardState&) = default;
};

/// State machine and membership after the entry at `index`.
template <typename M>
struct Snapshot {
    uint64_t index = 0;
    uint64_t term = 0;
    Time at {};
    Membership membership;
    M stateMachine;

    static constexpr auto members()
    {
        return std::make_tuple(&Snapshot::index, &Snapshot::term, &Snapshot::at, &Snapshot::membership, &Snapshot::stateMachine);
    }
};

struct VoteRequest {
    uint64_t term = 0;
    uint64_t lastIndex = 0;
    uint64_t lastTerm = 0;
    bool isPreVote = false;

    static constexpr auto members()
    {
        return std::make_tuple(&VoteRequest::term, &VoteRequest::lastIndex, &VoteRequest::lastTerm, &VoteRequest::isPreVote);
    }
};

struct VoteReply {
    uint64_t term = 0;
    bool isGranted = false;
    bool isPreVote = false;

    static constexpr auto members() { return std::make_tuple(&VoteReply::term, &VoteReply::isGranted, &VoteReply::isPreVote); }
};

template <typename M>
struct AppendRequest {
    uint64_t term = 0;
    uint64_t previousIndex = 0;
    uint64_t previousTerm = 0;
    uint64_t commitIndex = 0;
    Time sentAt {}; ///< Leader's clock, echoed in the reply; the leader's lease counts from it.
    std::vector<LogEntry<M>> entries;

    static constexpr auto members()
    {
        return std::make_tuple(&AppendRequest::term, &AppendRequest::previousIndex, &AppendRequest::previousTerm,
            &AppendRequest::commitIndex, &AppendRequest::sentAt, &AppendRequest::entries);
    }
};

struct AppendReply {
    uint64_t term = 0;
    bool isAccepted = false;
    uint64_t index = 0; ///< Accepted: last matching entry. Rejected: the entry after which the leader continues.
    Time sentAt {};

    static constexpr auto members()
    {
        return std::make_tuple(&AppendReply::term, &AppendReply::isAccepted, &AppendReply::index, &AppendReply::sentAt);
    }
};

/// Part of a snapshot, which says in full what snapshot it is of.
template <typename M>
struct SnapshotRequest {
    uint64_t term = 0;
    Time sentAt {};
    Snapshot<M> snapshot; ///< With this part of the state, see `copyPart`.
    uint32_t part = 0;
    bool isLast = true;

    static constexpr auto members()
    {
        return std::make_tuple(&SnapshotRequest::term, &SnapshotRequest::sentAt, &SnapshotRequest::snapshot, &SnapshotRequest::part, &SnapshotRequest::isLast);
    }
};

/// Acknowledges a part of a snapshot that is not complete yet.
struct SnapshotReply {
    uint64_t term = 0;
    uint64_t index = 0; ///< Of the snapshot.
    uint32_t nextPart = 0; ///< The part to send next; 0 if those before are missing.
    Time sentAt {};

    static constexpr auto members()
    {
        return std::make_tuple(&SnapshotReply::term, &SnapshotReply::index, &SnapshotReply::nextPart, &SnapshotReply::sentAt);
    }
};

/// Message between two members of a log. A host whose incarnation is not that of `to` drops it.
template <typename M>
struct ReplicaMessage {
    Member from;
    Member to;
    std::variant<VoteRequest, VoteReply, AppendRequest<M>, AppendReply, SnapshotRequest<M>, SnapshotReply> body;

    static constexpr auto members()
    {
        return std::make_tuple(&ReplicaMessage::from, &ReplicaMessage::to, &ReplicaMessage::body);
    }
};

/// Whether `later` makes `earlier` redundant: both acknowledge entries to the same leader in one term.
template <typename M>
bool isSuperseded(const ReplicaMessage<M>& earlier, const ReplicaMessage<M>& later)
{
    const auto* first = std::get_if<AppendReply>(&earlier.body);
    const auto* second = std::get_if<AppendReply>(&later.body);
    return first && second && earlier.from == later.from && earlier.to == later.to && first->isAccepted && second->isAccepted
        && first->term == second->term && first->index <= second->index && first->sentAt <= second->sentAt;
}

/// Write to the storage of a log, carried out in this order: hard state, snapshot, truncation, entries.
template <typename M>
struct LogWrite {
    uint64_t sequence = 0;
    std::optional<HardState> state;
    std::optional<Snapshot<M>> snapshot;
    uint64_t truncateFrom = 0; ///< First entry to remove, with all after it; 0 for none.
    std::vector<LogEntry<M>> entries;

    static constexpr auto members()
    {
        return std::make_tuple(&LogWrite::sequence, &LogWrite::state, &LogWrite::snapshot, &LogWrite::truncateFrom,
            &LogWrite::entries);
    }
};

/// State of a log as storage returns it at startup.
template <typename M>
struct RestoredLog {
    uint64_t incarnation = 0;
    HardState state;
    std::optional<Snapshot<M>> snapshot;
    std::vector<LogEntry<M>> entries; ///< After the snapshot, without gaps.
};

} // namespace eelgrassloft
