#pragma once

#include "io/mailbox.h"

#include "eelgrassloft/config.h"

#include <array>
#include <string>

namespace eelgrassloft::io {

/// Frames that wait to be sent on a connection, urgent ones first. Bounded in frames, and in bytes of
/// urgent and of other frames, so that neither kind takes the other's room.
class SendQueue {
public:
    SendQueue(const asio::any_io_executor& executor, size_t capacity)
        : m_frames(executor, capacity)
    {
    }

    /// Returns false, and drops and counts the frame, if the queue is full or closed. A frame of any size
    /// is taken while no other of its kind waits.
    bool tryPush(std::string frame, bool isUrgent)
    {
        const size_t frameBytes = frame.size();
        size_t& queued = m_bytes[isUrgent];
        const bool hasRoom = !queued || queued + frameBytes <= config::maxQueuedPeerBytes;
        if (!hasRoom || !m_frames.tryPush({ std::move(frame), isUrgent }, isUrgent)) {
            ++m_dropped;
            return false;
        }
        queued += frameBytes;
        return true;
    }

    /// Waits for frames and takes some of them, as few as `config::peerWriteBytes` allows. Returns nothing
    /// once the queue is closed and empty.
    awaitable<std::optional<std::string>> popBatch()
    {
        auto frame = co_await m_frames.pop();
        if (!frame)
            co_return std::nullopt;
        std::string batch;
        while (frame) {
            m_bytes[frame->isUrgent] -= frame->bytes.size();
            batch.empty() ? batch = std::move(frame->bytes) : batch += frame->bytes;
            frame = batch.size() < config::peerWriteBytes ? m_frames.tryPop() : std::nullopt;
        }
        co_return batch;
    }

    void close() { m_frames.close(); }

    size_t bytes() const { return m_bytes[false] + m_bytes[true]; }
    uint64_t dropped() const { return m_dropped; }

private:
    struct Frame {
        std::string bytes;
        bool isUrgent = false;
    };

    Mailbox<Frame> m_frames;
    std::array<size_t, 2> m_bytes {}; ///< Of frames that are not urgent, and of urgent ones.
    uint64_t m_dropped = 0;
};

} // namespace eelgrassloft::io
