#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace eelgrassloft::io {

/// Holds messages back until the write of one log that they tell of is synced.
template <typename Message>
class DurabilityGate {
public:
    /// Gives the message back where it may leave at once, and keeps it otherwise.
    std::optional<Message> admit(Message message)
    {
        if (message.afterWrite <= m_durableSequence)
            return message;
        m_held.push_back(std::move(message));
        return std::nullopt;
    }

    /// Messages that a finished write sets free, in their order.
    std::vector<Message> release(uint64_t sequence)
    {
        m_durableSequence = std::max(m_durableSequence, sequence);
        std::vector<Message> released;
        while (!m_held.empty() && m_held.front().afterWrite <= m_durableSequence) {
            released.push_back(std::move(m_held.front()));
            m_held.pop_front();
        }
        return released;
    }

private:
    uint64_t m_durableSequence = 0;
    std::deque<Message> m_held;
};

} // namespace eelgrassloft::io
