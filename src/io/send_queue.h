#pragma once

#include "io/frames.h"

#include "eelgrassloft/config.h"
#include "eelgrassloft/name_table.h"

#include <algorithm>
#include <chrono>
#include <deque>

namespace eelgrassloft::io {

/// Order in which the messages of a connection are sent.
enum class SendPriority : uint8_t {
    Urgent,
    Normal,
    Bulk, ///< Large messages, which go in fragments between the others.
    Count
};

constexpr NameTable<SendPriority> nameTable(SendPriority)
{
    constexpr NameTable<SendPriority> table { "urgent", "normal", "bulk" };
    static_assert(eelgrassloft::detail::isComplete<SendPriority>(table));
    return table;
}

constexpr SendPriority sendPriorityOf(bool isUrgent, size_t payloadBytes)
{
    if (isUrgent) // The log's messages stay in order whatever their size: one that overtakes another is rejected.
        return SendPriority::Urgent;
    return payloadBytes < config::bulkMessageBytes ? SendPriority::Normal : SendPriority::Bulk;
}

/// Messages that wait to be sent on a connection, the first of each priority first. Bounded in messages,
/// and in bytes of each priority, so that none takes another's room.
class SendQueue {
public:
    SendQueue(const asio::any_io_executor& executor, size_t capacity)
        : m_wakeUp(executor, std::chrono::steady_clock::time_point::max())
        , m_capacity(capacity)
    {
    }

    /// Returns false, and drops and counts the message, if the queue is full or closed. A message of any
    /// size is taken while no other of its priority waits.
    bool tryPush(std::string payload, bool isUrgent)
    {
        Lane& lane = m_lanes[sendPriorityOf(isUrgent, payload.size())];
        const bool hasRoom = lane.messages.empty() || lane.bytes + payload.size() <= config::maxQueuedPeerBytes;
        if (m_isClosed || !hasRoom || size() >= m_capacity) {
            ++m_dropped;
            return false;
        }
        lane.bytes += payload.size();
        lane.messages.push_back(std::move(payload));
        m_wakeUp.cancel_one();
        return true;
    }

    /// Waits for messages and takes frames of some of them, about as many as `config::peerWriteBytes`
    /// allows. Returns nothing once the queue is closed.
    awaitable<std::optional<std::string>> popBatch()
    {
        while (!size() && !m_isClosed) {
            error_code ignored;
            co_await m_wakeUp.async_wait(asio::redirect_error(use_awaitable, ignored));
        }
        if (m_isClosed)
            co_return std::nullopt;
        co_return takeBatch();
    }

    /// Refuses new messages and wakes the waiting task.
    void close()
    {
        m_isClosed = true;
        m_wakeUp.cancel();
    }

    size_t bytes() const
    {
        size_t sum = 0;
        for (const Lane& lane : m_lanes.values)
            sum += lane.bytes;
        return sum;
    }

    uint64_t dropped() const { return m_dropped; }

private:
    /// Messages of one priority.
    struct Lane {
        std::deque<std::string> messages;
        size_t bytes = 0; ///< That are still to be sent.

        void pop(size_t sentBytes)
        {
            bytes -= sentBytes;
            messages.pop_front();
        }
    };

    std::string takeBatch()
    {
        std::string batch;
        takeWhole(m_lanes[SendPriority::Urgent], batch, config::peerWriteBytes);
        // More urgent messages slow the others down but don't stop them.
        takeWhole(m_lanes[SendPriority::Normal], batch, std::max(config::peerWriteBytes, batch.size() + 1));
        Lane& bulk = m_lanes[SendPriority::Bulk];
        if (!bulk.messages.empty())
            takeFragment(bulk, batch);
        while (!bulk.messages.empty() && batch.size() < config::peerWriteBytes)
            takeFragment(bulk, batch);
        return batch;
    }

    /// Takes messages until the batch has `bytes`.
    static void takeWhole(Lane& lane, std::string& batch, size_t bytes)
    {
        while (!lane.messages.empty() && batch.size() < bytes) {
            appendFrame(batch, lane.messages.front());
            lane.pop(lane.messages.front().size());
        }
    }

    void takeFragment(Lane& lane, std::string& batch)
    {
        const std::string& message = lane.messages.front();
        const std::string_view piece = std::string_view(message).substr(m_fragmentBegin, config::bulkFragmentBytes);
        const size_t pieceBytes = piece.size();
        appendFragment(batch, piece, message.size());
        m_fragmentBegin += pieceBytes;
        if (m_fragmentBegin < message.size()) {
            lane.bytes -= pieceBytes;
        } else {
            lane.pop(pieceBytes);
            m_fragmentBegin = 0;
        }
    }

    size_t size() const
    {
        size_t sum = 0;
        for (const Lane& lane : m_lanes.values)
            sum += lane.messages.size();
        return sum;
    }

    asio::steady_timer m_wakeUp;
    EnumArray<SendPriority, Lane> m_lanes;
    size_t m_fragmentBegin = 0; ///< In the first bulk message.
    size_t m_capacity;
    uint64_t m_dropped = 0;
    bool m_isClosed = false;
};

} // namespace eelgrassloft::io
