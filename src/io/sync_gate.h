#pragma once

#include "io/write_gate.h"
#include "node_events.h"

namespace eelgrassloft::io {

/// The gates of a node's logs.
class SyncGate {
public:
    std::optional<SendPeerMessage> pass(SendPeerMessage message)
    {
        const LogKind log = message.log;
        return m_gates[log].pass(std::move(message));
    }

    std::vector<SendPeerMessage> written(const LogWritten& event) { return m_gates[event.log].written(event.sequence); }

private:
    EnumArray<LogKind, WriteGate<SendPeerMessage>> m_gates;
};

} // namespace eelgrassloft::io
