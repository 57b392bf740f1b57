#include "replica_membership.h"

#include <algorithm>

namespace eelgrassloft {

namespace {

bool admitAnnounced(const MembershipView& view, Membership& next)
{
    for (const auto& [host, incarnation] : view.announced) {
        const Member announced { host, incarnation };
        if (next.hasVoter(announced) || host == view.self.host)
            continue;
        const auto learner = std::find_if(next.learners.begin(), next.learners.end(), [&](const Member& member) { return member.host == announced.host; });
        if (learner == next.learners.end()) {
            const Member* known = next.find(host);
            if (known && known->incarnation > incarnation)
                continue;
            next.learners.push_back(announced);
            return true;
        }
        if (learner->incarnation < incarnation) {
            *learner = announced;
            return true;
        }
    }
    return false;
}

/// A voter that has acknowledged nothing for `config::voterTimeout`, or null. A new leader treats no
/// voter as unresponsive until it has led for that long.
const Member* unresponsiveVoter(const MembershipView& view, Time now)
{
    if (now < view.becameLeaderAt + config::voterTimeout)
        return nullptr;
    for (const Member& voter : view.current.voters) {
        if (voter != view.self && view.progressOf(voter).lastAck + config::voterTimeout < now)
            return &voter;
    }
    return nullptr;
}

bool canBecomeVoter(const MembershipView& view, const ReplicaOptions& options, Time now, HostId host)
{
    if (!options.targetVoters)
        return std::find(options.voterHosts.begin(), options.voterHosts.end(), host) != options.voterHosts.end();
    const size_t voters = view.current.voters.size();
    return voters < options.targetVoters || (voters == options.targetVoters && unresponsiveVoter(view, now));
}

/// Whether the learner follows the log by less than an election timeout. While commits go on it never
/// holds all of them at once: its last acknowledgement is as old as its link and its disk are slow.
bool hasCaughtUp(const MembershipView& view, Time now, const Member& learner)
{
    const MemberProgress progress = view.progressOf(learner);
    return progress.isCaughtUp && now < progress.roundStartedAt + view.electionTimeout;
}

/// Promotes the first learner that may vote. It replaces its host's earlier incarnation, which never
/// votes again.
bool promoteLearner(const MembershipView& view, const ReplicaOptions& options, Time now, Membership& next)
{
    for (auto learner = next.learners.begin(); learner != next.learners.end(); ++learner) {
        const Member member = *learner;
        const bool hasVote = std::any_of(next.voters.begin(), next.voters.end(), [&](const Member& voter) { return voter.host == member.host; });
        if (!hasCaughtUp(view, now, member) || !(hasVote || canBecomeVoter(view, options, now, member.host)))
            continue;
        next.learners.erase(learner);
        for (Member& voter : next.voters) {
            if (voter.host == member.host) {
                voter = member;
                return true;
            }
        }
        next.voters.push_back(member);
        return true;
    }
    return false;
}

bool removeUnresponsiveVoter(const MembershipView& view, const ReplicaOptions& options, Time now, Membership& next)
{
    if (!options.targetVoters || next.voters.size() <= options.targetVoters)
        return false;
    const Member* unresponsive = unresponsiveVoter(view, now);
    return unresponsive && std::erase(next.voters, *unresponsive);
}

} // namespace

std::optional<Membership> nextMembership(const MembershipView& view, const ReplicaOptions& options, Time now)
{
    Membership next = view.current;
    if (admitAnnounced(view, next) || promoteLearner(view, options, now, next) || removeUnresponsiveVoter(view, options, now, next))
        return next;
    return std::nullopt;
}

} // namespace eelgrassloft
