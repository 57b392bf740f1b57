#pragma once

#include "io/asio.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace eelgrassloft::io {

/// Bounded queue of messages to one task, which takes urgent ones first. Not thread-safe: all users
/// run on the thread of the executor.
template <typename T, typename Timer = asio::steady_timer>
class Mailbox {
public:
    using TimePoint = typename Timer::time_point;

    Mailbox(const asio::any_io_executor& executor, size_t capacity)
        : m_timer(executor, TimePoint::max())
        , m_capacity(capacity)
    {
    }

    /// Returns false and drops the message if the mailbox is full or closed.
    bool tryPush(T message) { return push(m_messages, std::move(message)); }

    /// Like `tryPush`, but the message is taken before all that are not urgent.
    bool tryPushUrgent(T message) { return push(m_urgent, std::move(message)); }

    /// Like one of the two above, by the message's urgency.
    bool tryPush(T message, bool isMessageUrgent) { return isMessageUrgent ? tryPushUrgent(std::move(message)) : tryPush(std::move(message)); }

    /// Refuses new messages and wakes waiting tasks; queued messages can still be taken.
    void close()
    {
        m_isClosed = true;
        m_timer.cancel();
    }

    /// Waits for the next message. Returns nothing at `deadline`, or once the mailbox is closed and empty.
    awaitable<std::optional<T>> pop(TimePoint deadline = TimePoint::max())
    {
        while (!size() && !m_isClosed) {
            m_timer.expires_at(deadline);
            error_code error;
            co_await m_timer.async_wait(asio::redirect_error(use_awaitable, error));
            if (!error && !size())
                co_return std::nullopt;
        }
        co_return tryPop();
    }

    std::optional<T> tryPop()
    {
        if (!size())
            return std::nullopt;
        std::deque<T>& first = m_urgent.empty() ? m_messages : m_urgent;
        std::optional<T> message(std::move(first.front()));
        first.pop_front();
        return message;
    }

    bool isClosed() const { return m_isClosed; }
    size_t size() const { return m_messages.size() + m_urgent.size(); }

private:
    bool push(std::deque<T>& queue, T message)
    {
        if (m_isClosed || size() >= m_capacity)
            return false;
        queue.push_back(std::move(message));
        m_timer.cancel_one();
        return true;
    }

    Timer m_timer;
    std::deque<T> m_messages;
    std::deque<T> m_urgent;
    size_t m_capacity;
    bool m_isClosed = false;
};

} // namespace eelgrassloft::io
