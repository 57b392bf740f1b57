#pragma once

#include "io/durability_gate.h"
#include "node_events.h"

namespace eelgrassloft::io {

/// Durability gates of a node, one for each of its logs.
class NodeDurabilityGate {
public:
    std::optional<SendPeerMessage> admit(SendPeerMessage message)
    {
        const LogKind log = message.log;
        return m_gates[log].admit(std::move(message));
    }

    std::vector<SendPeerMessage> release(const LogWritten& event) { return m_gates[event.log].release(event.sequence); }

private:
    EnumArray<LogKind, DurabilityGate<SendPeerMessage>> m_gates;
};

} // namespace eelgrassloft::io
