#pragma once

#include "io/frames.h"
#include "io/send_queue.h"

#include "eelgrassloft/effects.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <vector>

namespace eelgrassloft::io {

/// Connection to another host: its socket, the messages that wait to be sent, and whether the other end
/// is silent. The tasks that read, write and watch for silence belong to the owner, who also closes it.
template <typename Timer = asio::steady_timer>
class PeerConnection {
public:
    using Clock = typename Timer::clock_type;

    /// `timeout` is the longest silence of the other end.
    PeerConnection(tcp::socket socket, Duration timeout)
        : m_socket(std::move(socket))
        , m_reader(m_socket)
        , m_outgoing(m_socket.get_executor(), config::peerMailboxCapacity)
        , m_silenceTimer(m_socket.get_executor())
        , m_timeout(timeout)
    {
        setSocketOptions();
    }

    bool isOpen() const { return !m_closeReason; }
    uint64_t dropped() const { return m_outgoing.dropped(); }

    /// Bytes that the socket has not taken yet.
    size_t queuedBytes() const { return m_outgoing.bytes() + m_unwrittenBytes; }

    /// Returns the next message, or nothing if there is none for `readFailure`.
    awaitable<std::optional<std::string>> read(size_t maxBytes) { return m_reader.read(maxBytes); }

    std::optional<DisconnectReason> readFailure() const { return m_reader.failure(); }

    /// Queues a message. Returns false, and drops and counts it, if the queue is full.
    bool send(std::string payload, bool isUrgent) { return m_outgoing.tryPush(std::move(payload), isUrgent); }

    /// Writes bytes past the queue. Returns false if the socket failed.
    awaitable<bool> write(std::string bytes)
    {
        m_unwrittenBytes = bytes.size();
        while (m_unwrittenBytes && !m_writeError) {
            const auto rest = asio::buffer(bytes.data() + bytes.size() - m_unwrittenBytes, m_unwrittenBytes);
            m_unwrittenBytes -= co_await m_socket.async_write_some(rest, asio::redirect_error(use_awaitable, m_writeError));
        }
        co_return !m_writeError;
    }

    /// Sends what is queued, until the connection is closed or a write fails.
    awaitable<void> writeQueued()
    {
        bool isWritten = true;
        while (isWritten) {
            auto batch = co_await m_outgoing.popBatch();
            if (!batch)
                co_return;
            isWritten = co_await write(std::move(*batch));
        }
    }

    /// Returns once no byte has arrived for the timeout, or the connection is closed. Bytes count and not
    /// frames: a large frame takes longer than the timeout on a slow link.
    awaitable<void> waitForSilence()
    {
        auto heardAt = m_reader.lastByteAt();
        while (isOpen() && Clock::now() < heardAt + m_timeout) {
            m_silenceTimer.expires_at(heardAt + m_timeout);
            error_code ignored;
            co_await m_silenceTimer.async_wait(asio::redirect_error(use_awaitable, ignored));
            heardAt = hasUnreadBytes() ? Clock::now() : m_reader.lastByteAt();
        }
    }

    /// Ends the tasks of the connection. Returns false if it was closed before.
    bool close(DisconnectReason reason)
    {
        if (m_closeReason)
            return false;
        m_closeReason = reason;
        error_code ignored;
        m_socket.close(ignored);
        m_outgoing.close();
        m_silenceTimer.cancel();
        return true;
    }

    /// Why the connection was closed, and what was in progress on it.
    std::vector<LogField> closeFields() const
    {
        std::vector<LogField> fields { { "reason", std::string(name(m_closeReason.value_or(DisconnectReason::Count))) } };
        if (m_closeReason == DisconnectReason::ReadFailed)
            fields.push_back({ "error", m_reader.error().message() });
        if (m_closeReason == DisconnectReason::WriteFailed)
            fields.push_back({ "error", m_writeError.message() });
        const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_reader.lastByteAt());
        fields.push_back({ "silentMs", std::to_string(silence.count()) });
        fields.push_back({ "arrivedBytes", std::to_string(m_reader.arrivedBytes()) });
        fields.push_back({ "messageBytes", std::to_string(m_reader.messageBytes()) });
        fields.push_back({ "queuedBytes", std::to_string(queuedBytes()) });
        fields.push_back({ "dropped", std::to_string(dropped()) });
        return fields;
    }

private:
    void setSocketOptions()
    {
        error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        setTcpOption(TCP_USER_TIMEOUT, static_cast<int>(m_timeout / std::chrono::milliseconds(1)));
        setTcpOption(TCP_NOTSENT_LOWAT, config::unsentSocketBytes); // What waits in the socket can't be overtaken.
    }

    void setTcpOption(int option, int value) { ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, option, &value, sizeof(value)); }

    /// Whether bytes have arrived that a busy host has not read yet.
    bool hasUnreadBytes() const
    {
        error_code ignored;
        return m_socket.available(ignored) > 0;
    }

    tcp::socket m_socket;
    FrameReader<Clock> m_reader;
    SendQueue m_outgoing;
    Timer m_silenceTimer;
    Duration m_timeout;
    size_t m_unwrittenBytes = 0; ///< Taken from the queue, and not yet by the socket.
    error_code m_writeError;
    std::optional<DisconnectReason> m_closeReason;
};

} // namespace eelgrassloft::io
