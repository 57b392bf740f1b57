#pragma once

#include "node_events.h"
#include "peers.h"
#include "random.h"

#include "eelgrassloft/counters.h"

namespace eelgrassloft {

/// Context of one step of a node: its time, the shared state and the effects collected so far.
struct NodeStep {
    Time now {};
    const Peers& peers;
    Counters& counters;
    Random& random;
    Effects effects {};
    std::vector<EndedRequest> ended {}; ///< Requests that the router finished and that are not answered yet.
    bool hasReturnedShares = false;

    template <typename T>
    void emit(T effect)
    {
        effects.push_back(std::move(effect));
    }

    void log(LogEventKind kind, std::vector<LogField> fields) { emit(LogEvent { kind, std::move(fields) }); }

    /// Sends to another host and counts the bytes. Those between regions are also counted by kind of
    /// message, as that traffic is paid for.
    void send(HostId to, PeerMessage message, LogKind log = LogKind::Cell, uint64_t afterWrite = 0)
    {
        const size_t size = encodedSize(message);
        counters.add(CounterKind::PeerMessagesSent);
        counters.add(CounterKind::PeerBytesSent, size);
        if (!peers.settings().isSameRegion(peers.self(), to)) {
            counters.add(CounterKind::InterRegionBytesSent, size);
            counters.interRegionBytes[message.index()] += size;
        }
        emit(SendPeerMessage { to, std::move(message), log, afterWrite });
    }
};

} // namespace eelgrassloft
