#pragma once

#include "io/asio.h"
#include "io/disconnect_reason.h"

#include "eelgrassloft/config.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace eelgrassloft::io {

/// Frame of the protocol between hosts: the length of the payload (32 bits, big-endian), then the
/// payload.
inline std::string encodeFrame(const std::string& payload)
{
    const uint32_t length = boost::endian::native_to_big(static_cast<uint32_t>(payload.size()));
    std::string frame(reinterpret_cast<const char*>(&length), sizeof(length));
    return frame += payload;
}

/// Reads the frames of a connection. Takes all that has arrived with one read, so that the backlog of
/// a busy host stands where it can be ordered by urgency, and not in the socket.
template <typename Clock = std::chrono::steady_clock>
class FrameReader {
public:
    explicit FrameReader(tcp::socket& socket)
        : m_socket(socket)
        , m_buffer(config::frameReadBytes, '\0')
    {
    }

    /// Returns the payload of the next frame, or nothing if the connection ended or the payload is
    /// larger than `maxBytes`; `failure` says which.
    awaitable<std::optional<std::string>> read(size_t maxBytes)
    {
        while (true) {
            if (m_end - m_begin >= sizeof(uint32_t)) {
                const size_t bytes = payloadBytes();
                if (bytes > maxBytes) {
                    m_failure = DisconnectReason::FrameTooLarge;
                    co_return std::nullopt;
                }
                if (m_end - m_begin >= sizeof(uint32_t) + bytes) {
                    std::string payload(m_buffer, m_begin + sizeof(uint32_t), bytes);
                    m_begin += sizeof(uint32_t) + bytes;
                    co_return payload;
                }
                makeRoom(sizeof(uint32_t) + bytes);
            } else {
                makeRoom(sizeof(uint32_t));
            }
            m_end += co_await m_socket.async_read_some(asio::buffer(m_buffer.data() + m_end, m_buffer.size() - m_end), asio::redirect_error(use_awaitable, m_error));
            if (m_error) {
                m_failure = m_error == asio::error::eof ? DisconnectReason::ClosedByPeer : DisconnectReason::ReadFailed;
                co_return std::nullopt;
            }
            m_lastByteAt = Clock::now();
        }
    }

    std::optional<DisconnectReason> failure() const { return m_failure; }
    error_code error() const { return m_error; }
    typename Clock::time_point lastByteAt() const { return m_lastByteAt; }

    /// Bytes that have arrived of the frame in progress.
    size_t frameBytes() const { return m_end - m_begin; }
    /// Size of the frame in progress; 0 if it is not known yet.
    size_t ofFrameBytes() const { return frameBytes() < sizeof(uint32_t) ? 0 : sizeof(uint32_t) + payloadBytes(); }

private:
    size_t payloadBytes() const { return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(m_buffer.data() + m_begin)); }

    /// Makes room for a frame of `frameBytes` that begins at `m_begin`.
    void makeRoom(size_t frameBytes)
    {
        std::copy(m_buffer.begin() + static_cast<ptrdiff_t>(m_begin), m_buffer.begin() + static_cast<ptrdiff_t>(m_end), m_buffer.begin());
        m_end -= std::exchange(m_begin, 0);
        // A large frame takes its room only until the next one.
        m_buffer.resize(std::max({ config::frameReadBytes, frameBytes, m_end }));
        if (m_buffer.size() == config::frameReadBytes && m_buffer.capacity() > config::frameReadBytes)
            m_buffer.shrink_to_fit();
    }

    tcp::socket& m_socket;
    std::string m_buffer;
    size_t m_begin = 0; ///< First byte that has not been returned.
    size_t m_end = 0; ///< End of the bytes that have arrived.
    typename Clock::time_point m_lastByteAt = Clock::now();
    std::optional<DisconnectReason> m_failure;
    error_code m_error;
};

} // namespace eelgrassloft::io
