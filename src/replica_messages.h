#pragma once

#include "eelgrassloft/handle.h"
#include "eelgrassloft/record.h"
#include "eelgrassloft/time.h"

#include <concepts>
#include <string>
#include <variant>
#include <vector>

namespace eelgrassloft {

/// A state machine behind a replicated log. `apply` is deterministic in its arguments.
template <typename M>
concept StateMachine = Record<M> && std::copyable<M> && requires(M stateMachine, const typename M::Command& command, Time at)
{
    typename M::Command;
    typename M::Result;
    {
        stateMachine.apply(at, command)
        } -> std::same_as<typename M::Result>;
};

/// One identity of a host in a replicated log. A host that lost its state returns with a new,
/// higher incarnation and never again acts under an earlier one.
struct Member {
    HostId host;
    uint64_t incarnation = 0;

    static constexpr auto members() { return std::make_tuple(&Member::host, &Member::incarnation); }

    friend auto operator<=>(const Member&, const Member&) = default;
};

/// Voters and learners of a log. Takes effect when it is appended.
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

    /// The identity of `host` in this membership, if it has one.
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

/// First entry of a leader's term.
struct TermStart {
    static constexpr auto members() { return std::make_tuple(); }
};

template <typename M>
struct LogEntry {
    uint64_t index = 0;
    uint64_t term = 0;
    Time at {}; ///< Leader's time when it was proposed; never goes back along the log.
    std::variant<TermStart, Membership, typename M::Command> payload;

    static constexpr auto members()
    {
        return std::make_tuple(&LogEntry::index, &LogEntry::term, &LogEntry::at, &LogEntry::payload);
    }
};

/// What a voter must remember across restarts beside the entries.
struct HardState {
    uint64_t term = 0;
    Member votedFor;

    static constexpr auto members() { return std::make_tuple(&HardState::term, &HardState::votedFor); }

    friend bool operator==(const HardState&, const HardState&) = default;
};

/// State of the machine after the entry at `index`.
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
    Time sentAt {}; ///< Leader's clock, returned in the reply; the leader's lease starts here.
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
    uint64_t index = 0; ///< Accepted: last matching entry. Refused: where to go on from.
    Time sentAt {};

    static constexpr auto members()
    {
        return std::make_tuple(&AppendReply::term, &AppendReply::isAccepted, &AppendReply::index, &AppendReply::sentAt);
    }
};

template <typename M>
struct SnapshotRequest {
    uint64_t term = 0;
    Time sentAt {};
    Snapshot<M> snapshot;

    static constexpr auto members()
    {
        return std::make_tuple(&SnapshotRequest::term, &SnapshotRequest::sentAt, &SnapshotRequest::snapshot);
    }
};

/// A message between two identities of a log; others drop it.
template <typename M>
struct ReplicaMessage {
    Member from;
    Member to;
    std::variant<VoteRequest, VoteReply, AppendRequest<M>, AppendReply, SnapshotRequest<M>> body;

    static constexpr auto members()
    {
        return std::make_tuple(&ReplicaMessage::from, &ReplicaMessage::to, &ReplicaMessage::body);
    }
};

/// Whether `later` says all that `earlier` does: both accept entries of the same leader.
template <typename M>
bool isSuperseded(const ReplicaMessage<M>& earlier, const ReplicaMessage<M>& later)
{
    const auto* first = std::get_if<AppendReply>(&earlier.body);
    const auto* second = std::get_if<AppendReply>(&later.body);
    return first && second && earlier.from == later.from && earlier.to == later.to && first->isAccepted && second->isAccepted
        && first->term == second->term && first->index <= second->index && first->sentAt <= second->sentAt;
}

/// Work for the storage of a log, in this order: hard state, snapshot, truncation, entries.
template <typename M>
struct LogWrite {
    uint64_t sequence = 0;
    std::optional<HardState> state;
    std::optional<Snapshot<M>> snapshot;
    uint64_t truncateFrom = 0; ///< 0: nothing; otherwise entries from here on are removed.
    std::vector<LogEntry<M>> entries;

    static constexpr auto members()
    {
        return std::make_tuple(&LogWrite::sequence, &LogWrite::state, &LogWrite::snapshot, &LogWrite::truncateFrom,
            &LogWrite::entries);
    }
};

/// What storage gives back at a start.
template <typename M>
struct RestoredLog {
    uint64_t incarnation = 0;
    HardState state;
    std::optional<Snapshot<M>> snapshot;
    std::vector<LogEntry<M>> entries; ///< After the snapshot, without gaps.
};

} // namespace eelgrassloft
