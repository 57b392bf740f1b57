#include "replica_membership.h"

#include <algorithm>

namespace eelgrassloft {

namespace {

bool admitAnnounced(const MembershipView& view, Membership& next)
{
    for (const auto& [host, incarnation] : view.contacts.announced()) {
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

/// When the voter last gave a sign of life: an acknowledgement, or before this leadership any message.
Time silentSince(const MembershipView& view, const Member& voter)
{
    return std::max(view.progressOf(voter).lastAck, std::min(view.contacts.lastHeard(voter), view.becameLeaderAt));
}

/// The voter that has been silent for longest, if that is `config::voterTimeout` or more, or null. A new
/// leader first gives all voters an election timeout to acknowledge.
const Member* unresponsiveVoter(const MembershipView& view, Time now)
{
    if (now < view.becameLeaderAt + view.electionTimeout)
        return nullptr;
    const Member* unresponsive = nullptr;
    Time since = now - config::voterTimeout;
    for (const Member& voter : view.current.voters) {
        if (voter == view.self || silentSince(view, voter) >= since)
            continue;
        unresponsive = &voter;
        since = silentSince(view, voter);
    }
    return unresponsive;
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
