#pragma once

#include "fleet_events.h"

#include <map>

namespace eelgrassloft {

/// Calls to the outside that this host makes for another one, and the way back of their answers.
class CallRelay {
public:
    void call(FleetStep& step, HostId from, const AdviceRequest& request)
    {
        step.emit(CallAdvice { add(from, request.number), request });
    }

    void call(FleetStep& step, HostId from, const WorkerCallRequest& request)
    {
        step.emit(CallWorker { add(from, request.number), request.workerId, request.address, request.order });
    }

    /// False where the call was not made for another host.
    bool answered(FleetStep& step, CallId call, AdviceReply reply) { return sendBack(step, call, std::move(reply)); }
    bool answered(FleetStep& step, CallId call, OrderResponse answer) { return sendBack(step, call, WorkerCallReply { 0, std::move(answer) }); }

    /// Nobody waits for the answers any more.
    void dropRequester(HostId host)
    {
        for (auto& [call, requester] : m_requesters) {
            if (requester.host == host)
                requester.host = {};
        }
    }

private:
    /// Calls of the host's own have lower numbers.
    static constexpr uint64_t firstCall = uint64_t { 1 } << 63;

    struct Requester {
        HostId host; ///< Invalid once its link is down.
        uint64_t number = 0; ///< Under which it knows the call.
    };

    CallId add(HostId from, uint64_t number)
    {
        const CallId call { m_nextCall++ };
        m_requesters[call] = { from, number };
        return call;
    }

    template <typename Reply>
    bool sendBack(FleetStep& step, CallId call, Reply reply)
    {
        const auto found = m_requesters.find(call);
        if (found == m_requesters.end())
            return false;
        reply.number = found->second.number;
        if (found->second.host.isValid())
            step.send(found->second.host, std::move(reply));
        m_requesters.erase(found);
        return true;
    }

    uint64_t m_nextCall = firstCall;
    std::map<CallId, Requester> m_requesters;
};

} // namespace eelgrassloft
