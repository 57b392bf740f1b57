#pragma once

#include "io/asio.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace eelgrassloft::io {

/// Bounded queue of messages to one task. All users run on the thread of the executor.
template <typename T, typename Timer = asio::steady_timer>
class Mailbox {
public:
    using TimePoint = typename Timer::time_point;

    Mailbox(const asio::any_io_executor& executor, size_t bound)
        : m_timer(executor, TimePoint::max())
        , m_bound(bound)
    {
    }

    /// False where the mailbox is full or closed; the caller counts it.
    bool tryPush(T message)
    {
        if (m_isClosed || m_messages.size() >= m_bound)
            return false;
        m_messages.push_back(std::move(message));
        m_timer.cancel_one();
        return true;
    }

    /// Ends the task's wait; messages that are in the mailbox can still be taken.
    void close()
    {
        m_isClosed = true;
        m_timer.cancel();
    }

    /// Next message; nothing once the mailbox is closed and empty, or at `deadline`.
    awaitable<std::optional<T>> pop(TimePoint deadline = TimePoint::max())
    {
        while (m_messages.empty() && !m_isClosed) {
            m_timer.expires_at(deadline);
            error_code error;
            co_await m_timer.async_wait(asio::redirect_error(use_awaitable, error));
            if (!error && m_messages.empty())
                co_return std::nullopt;
        }
        co_return tryPop();
    }

    std::optional<T> tryPop()
    {
        if (m_messages.empty())
            return std::nullopt;
        std::optional<T> message(std::move(m_messages.front()));
        m_messages.pop_front();
        return message;
    }

    bool isClosed() const { return m_isClosed; }
    size_t size() const { return m_messages.size(); }

private:
    Timer m_timer;
    std::deque<T> m_messages;
    size_t m_bound;
    bool m_isClosed = false;
};

} // namespace eelgrassloft::io
