#pragma once

#include "fleet_messages.h"

#include "eelgrassloft/config.h"

#include <algorithm>
#include <concepts>

namespace eelgrassloft {

/// What stands between a host and a leader that takes its calls.
enum class LeaderReach : uint8_t {
    Unreachable, ///< No control host is connected.
    NoQuorum, ///< The connected control hosts know no leader and are too few to elect one.
    Electing, ///< They may elect one.
    Leading, ///< One of them leads, or knows a leader.
    Count
};

constexpr NameTable<LeaderReach> nameTable(LeaderReach)
{
    constexpr NameTable<LeaderReach> table { "unreachable", "no-quorum", "electing", "leading" };
    static_assert(detail::isComplete<LeaderReach>(table));
    return table;
}

/// What a host knows of the leader.
struct OutageView {
    LeaderReach reach = LeaderReach::Leading;
    size_t connected = 0; ///< Control hosts.
    Time since = Time::min(); ///< When `reach` last changed or `connected` last rose.

    /// Notes what the host knows now. A control host that connects may complete a quorum, one that leaves can't.
    void update(Time now, LeaderReach newReach, size_t newConnected)
    {
        if (newReach != reach || newConnected > connected)
            since = now;
        reach = newReach;
        connected = newConnected;
    }
};

/// What is known of a call without a reply.
struct WaitingCall {
    Time arrivedAt {};
    Time deadline {};
    bool takesEffect = false; ///< Whether the call changes anything. The outcome of others is never uncertain.
    bool hasOpenAttempt = false; ///< Whether a copy of the call is not known to have had no effect.

    bool mayHaveRun() const { return takesEffect && hasOpenAttempt; }
};

/// What becomes of a call without a reply.
enum class CallVerdict : uint8_t {
    Wait,
    Refuse, ///< It has not run and won't run; the caller is told when to come back.
    GiveUp, ///< The outcome is unknown.
    Count
};

constexpr NameTable<CallVerdict> nameTable(CallVerdict)
{
    constexpr NameTable<CallVerdict> table { "wait", "refuse", "give-up" };
    static_assert(detail::isComplete<CallVerdict>(table));
    return table;
}

/// Decides how long a call without a reply waits. The wait ends by the deadline at the latest.
template <typename T>
concept OutagePolicy = requires(const T policy, const OutageView& view, const WaitingCall& call)
{
    {
        policy.waitEnd(view, call)
        } -> std::same_as<Time>;
};

/// Baseline: waits equally long whatever is known of the leader.
struct FixedWait {
    Time waitEnd(const OutageView&, const WaitingCall& call) const
    {
        return call.hasOpenAttempt ? call.deadline : std::min(call.deadline, call.arrivedAt + config::unsentCallTimeout);
    }
};

/// Policy for seconds without a leader: all control hosts dark for 4 s under a full load of calls, an election, or a
/// network that divides the hosts. A call waits while a leader may be about to come. One that can't have
/// run ends as soon as no leader can be expected, as its caller may then come back when there is one. One that may
/// have run waits until its deadline, because the next leader can tell its outcome.
struct WaitForLeader {
    Time waitEnd(const OutageView& view, const WaitingCall& call) const
    {
        const bool mayBeAnswered = call.hasOpenAttempt && view.reach == LeaderReach::Leading;
        if (call.mayHaveRun() || mayBeAnswered)
            return call.deadline;
        return std::min(call.deadline, std::max(call.arrivedAt, expectedLeader(view, call.arrivedAt)));
    }

private:
    /// Time at which a call that arrived at `arrivedAt` should have reached a leader.
    static Time expectedLeader(const OutageView& view, Time arrivedAt)
    {
        const Time begin = std::max(arrivedAt, view.since);
        switch (view.reach) {
        case LeaderReach::Unreachable:
            // Calls that end at once when the connection breaks would bring all their callers back at one moment.
            return arrivedAt < view.since ? view.since + (view.since - arrivedAt) % config::refusalSpread : arrivedAt;
        case LeaderReach::NoQuorum: // Hosts that restart together connect one after the other.
            return view.since + config::quorumWait;
        case LeaderReach::Electing:
            return begin + config::maxElectionTime;
        default: // The leader refuses the call for now.
            return begin + config::unsentCallTimeout;
        }
    }
};

static_assert(OutagePolicy<FixedWait> && OutagePolicy<WaitForLeader>);

/// Decides what becomes of a call without a reply.
template <OutagePolicy Policy>
CallVerdict verdict(const Policy& policy, const OutageView& view, const WaitingCall& call, Time now)
{
    if (now < policy.waitEnd(view, call))
        return CallVerdict::Wait;
    return call.mayHaveRun() ? CallVerdict::GiveUp : CallVerdict::Refuse;
}

} // namespace eelgrassloft
