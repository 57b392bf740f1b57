#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace eelgrassloft::io {

/// Holds messages back until the write of one log that they tell of is synced.
template <typename Message>
class WriteGate {
public:
    /// Gives the message back where it may leave at once, and keeps it otherwise.
    std::optional<Message> pass(Message message)
    {
        if (message.afterWrite <= m_written)
            return message;
        m_held.push_back(std::move(message));
        return std::nullopt;
    }

    /// Messages that a finished write sets free, in their order.
    std::vector<Message> written(uint64_t sequence)
    {
        m_written = std::max(m_written, sequence);
        std::vector<Message> free;
        while (!m_held.empty() && m_held.front().afterWrite <= m_written) {
            free.push_back(std::move(m_held.front()));
            m_held.pop_front();
        }
        return free;
    }

private:
    uint64_t m_written = 0;
    std::deque<Message> m_held;
};

} // namespace eelgrassloft::io
