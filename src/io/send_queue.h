#pragma once

#include "io/mailbox.h"

#include <string>

namespace eelgrassloft::io {

/// Frames that wait to be sent on a connection, urgent ones first.
class SendQueue {
public:
    SendQueue(const asio::any_io_executor& executor, size_t capacity)
        : m_frames(executor, capacity)
    {
    }

    /// Returns false, and drops and counts the frame, if the queue is full or closed.
    bool tryPush(std::string frame, bool isUrgent)
    {
        const size_t bytes = frame.size();
        if (!m_frames.tryPush(std::move(frame), isUrgent)) {
            ++m_dropped;
            return false;
        }
        m_bytes += bytes;
        return true;
    }

    /// Waits for frames and takes all that are queued. Returns nothing once the queue is closed and empty.
    awaitable<std::optional<std::string>> popBatch()
    {
        auto batch = co_await m_frames.pop();
        if (!batch)
            co_return std::nullopt;
        while (const auto next = m_frames.tryPop())
            *batch += *next;
        m_bytes -= batch->size();
        co_return batch;
    }

    void close() { m_frames.close(); }

    size_t bytes() const { return m_bytes; }
    uint64_t dropped() const { return m_dropped; }

private:
    Mailbox<std::string> m_frames;
    size_t m_bytes = 0;
    uint64_t m_dropped = 0;
};

} // namespace eelgrassloft::io
