#pragma once

#include "node_step.h"

#include <map>

namespace eelgrassloft {

/// What a data centre's proposal was made for.
struct ClaimContext {
    Request request;
};
struct SettleContext {
    RequestId request;
};
struct CancelContext {
    CallId call;
};
/// The scheduler's own commands; their results are read from the state.
struct SchedulerContext { };
using DataCentreContext = std::variant<ClaimContext, SettleContext, CancelContext, SchedulerContext>;

/// Entry host's side of requests that may run at most once: each is claimed in the log of its
/// key's home before any byte of it leaves, and settled when it has ended.
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

    /// Notes a claim whose outcome must be settled.
    void track(const Request& request) { m_trackedKeys[request.id] = request.key; }

    bool isTracked(RequestId request) const { return m_trackedKeys.contains(request); }

    const std::string& keyOf(RequestId request) const { return m_trackedKeys.at(request); }

    /// The settlement of a request that ended, if it held a claim. Large answers are not kept.
    std::optional<SettleKey> settle(const EndedRequest& ended)
    {
        const auto found = m_trackedKeys.find(ended.request);
        if (found == m_trackedKeys.end())
            return std::nullopt;
        SettleKey settle { found->second, owner(ended.request), ended.outcome, ended.unknown, ended.answer };
        m_trackedKeys.erase(found);
        if (settle.answer.body && settle.answer.body->size() > config::maxRecordedAnswerBytes) {
            settle.outcome = Outcome::Unknown;
            settle.unknown = UnknownReason::AnswerNotKept;
            settle.answer = {};
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

/// How a claim that was not granted ends its request.
inline EndedRequest endedByClaim(RequestId request, const ClaimResult& result)
{
    switch (result.status) {
    case ClaimStatus::InProgress:
        return { request, Outcome::InProgress, {}, {}, {} };
    case ClaimStatus::Answered:
        return { request, Outcome::Answered, {}, {}, result.answer };
    case ClaimStatus::KeyReused:
        return { request, Outcome::NotRun, RefusalReason::KeyReused, {}, {} };
    default:
        return { request, Outcome::Unknown, {}, result.unknown, {} };
    }
}

} // namespace eelgrassloft
