#pragma once

#include "node_step.h"

#include <map>

namespace eelgrassloft {

/// What a proposal to a data centre's log was made for; decides how its result is handled.
struct ClaimContext {
    Request request;
};
struct SettleContext {
    RequestId request;
};
struct CancelContext {
    CallId call;
};
/// A command of the scheduler, which sees its effect in the replicated state and ignores the result.
struct SchedulerContext { };
using DataCentreContext = std::variant<ClaimContext, SettleContext, CancelContext, SchedulerContext>;

/// Entry host's side of requests that may run at most once: each claims its key in the log of the
/// key's home data centre before any byte of it is dispatched, and settles the claim when it has ended.
class ClaimCoordinator {
public:
    ClaimCoordinator(HostId self, uint64_t incarnation)
        : m_self(self)
        , m_incarnation(incarnation)
    {
    }

    ClaimKey claimFor(const Request& request) const
    {
        return { request.key, request.digest, owner(request.id), request.deadline };
    }

    /// Records a claim that must be settled when its request has ended.
    void track(const Request& request) { m_trackedKeys[request.id] = request.key; }

    bool isTracked(RequestId request) const { return m_trackedKeys.contains(request); }

    const std::string& keyOf(RequestId request) const { return m_trackedKeys.at(request); }

    /// Stops tracking an ended request and returns the command that settles its claim, if it held
    /// one. A response above `config::maxRecordedAnswerBytes` is not recorded; its outcome is unknown.
    std::optional<SettleKey> settle(const EndedRequest& ended)
    {
        const auto found = m_trackedKeys.find(ended.request);
        if (found == m_trackedKeys.end())
            return std::nullopt;
        SettleKey settle { found->second, owner(ended.request), ended.outcome, ended.unknown, ended.upstreamResponse };
        m_trackedKeys.erase(found);
        if (settle.upstreamResponse.body && settle.upstreamResponse.body->size() > config::maxRecordedAnswerBytes) {
            settle.outcome = Outcome::Unknown;
            settle.unknown = UnknownReason::AnswerNotKept;
            settle.upstreamResponse = {};
        }
        return settle;
    }

    size_t trackedCount() const { return m_trackedKeys.size(); }

private:
    ClaimOwner owner(RequestId request) const { return { m_self, m_incarnation, request }; }

    HostId m_self;
    uint64_t m_incarnation;
    std::map<RequestId, std::string> m_trackedKeys;
};

/// The end of a request whose claim was not granted.
inline EndedRequest endedByClaim(RequestId request, const ClaimResult& result)
{
    switch (result.status) {
    case ClaimStatus::InProgress:
        return { request, Outcome::InProgress, {}, {}, {} };
    case ClaimStatus::Answered:
        return { request, Outcome::Answered, {}, {}, result.upstreamResponse };
    case ClaimStatus::KeyReused:
        return { request, Outcome::NotRun, RefusalReason::KeyReused, {}, {} };
    default:
        return { request, Outcome::Unknown, {}, result.unknown, {} };
    }
}

} // namespace eelgrassloft
