#pragma once

#include "node_events.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

namespace eelgrassloft::io {

/// Holds messages back until the write that they tell of is synced.
class SyncGate {
public:
    /// Gives the message back where it may leave at once, and keeps it otherwise.
    std::optional<SendPeer> pass(SendPeer message)
    {
        if (message.afterWrite <= m_written[message.log])
            return message;
        m_held[message.log].push_back(std::move(message));
        return std::nullopt;
    }

    /// Messages that a finished write sets free, in their order.
    std::vector<SendPeer> written(const LogWritten& event)
    {
        m_written[event.log] = std::max(m_written[event.log], event.sequence);
        std::vector<SendPeer> free;
        std::deque<SendPeer>& held = m_held[event.log];
        while (!held.empty() && held.front().afterWrite <= m_written[event.log]) {
            free.push_back(std::move(held.front()));
            held.pop_front();
        }
        return free;
    }

private:
    EnumArray<LogKind, uint64_t> m_written;
    EnumArray<LogKind, std::deque<SendPeer>> m_held;
};

} // namespace eelgrassloft::io
