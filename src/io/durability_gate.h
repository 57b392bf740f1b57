#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace eelgrassloft::io {

/// Holds outgoing messages until the log write that they depend on is durable.
template <typename Message>
class DurabilityGate {
public:
    /// Returns the message if it may be sent now; holds it otherwise.
    std::optional<Message> admit(Message message)
    {
        if (message.afterWrite <= m_durableSequence)
            return message;
        m_held.push_back(std::move(message));
        return std::nullopt;
    }

    /// Like the other, but a message that has to wait takes the place of the latest of those that wait
    /// where `isReplaced` holds for the two. While storage refuses writes, their number stays bounded so.
    template <typename Predicate>
    std::optional<Message> admit(Message message, Predicate isReplaced)
    {
        if (message.afterWrite > m_durableSequence && !m_held.empty() && isReplaced(m_held.back(), message))
            m_held.pop_back();
        return admit(std::move(message));
    }

    /// Marks all writes up to `sequence` as durable. Returns the messages that may now be sent, in order.
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
