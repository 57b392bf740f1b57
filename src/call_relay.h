#pragma once

#include "fleet_events.h"

#include <map>

namespace eelgrassloft {

/// Makes calls to workers and to the advice service on behalf of other hosts, and returns the
/// responses to them.
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

    /// Sends the response back to the requesting host. Returns false if the call was not made for
    /// another host.
    bool handleResponse(FleetStep& step, CallId call, AdviceReply reply) { return sendBack(step, call, std::move(reply)); }
    bool handleResponse(FleetStep& step, CallId call, OrderResponse response) { return sendBack(step, call, WorkerCallReply { 0, std::move(response) }); }

    /// Drops the responses to a host that is disconnected.
    void dropRequester(HostId host)
    {
        for (auto& [call, requester] : m_requesters) {
            if (requester.host == host)
                requester.host = {};
        }
    }

private:
    /// Keeps relayed calls apart from the host's own, which have lower numbers.
    static constexpr uint64_t firstCall = uint64_t { 1 } << 63;

    struct Requester {
        HostId host; ///< Invalid once the host is disconnected.
        uint64_t number = 0; ///< Number of the call at the requesting host.
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
