#pragma once

#include "io/asio.h"
#include "io/disconnect_reason.h"

#include "eelgrassloft/config.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace eelgrassloft::io {

// Frames of the protocol between hosts: the length of the payload (32 bits, big-endian), then the payload.
// A large message may go in several frames, so that others can go between them. The length of such a
// fragment has its highest bit set, and its payload begins with the size of the message (32 bits).

inline constexpr uint32_t fragmentFlag = uint32_t { 1 } << 31;

inline void appendNumber(std::string& bytes, uint32_t number)
{
    const uint32_t bigEndian = boost::endian::native_to_big(number);
    bytes.append(reinterpret_cast<const char*>(&bigEndian), sizeof(bigEndian));
}

inline void appendFrame(std::string& bytes, std::string_view payload)
{
    appendNumber(bytes, static_cast<uint32_t>(payload.size()));
    bytes += payload;
}

inline void appendFragment(std::string& bytes, std::string_view piece, size_t messageBytes)
{
    appendNumber(bytes, static_cast<uint32_t>(sizeof(uint32_t) + piece.size()) | fragmentFlag);
    appendNumber(bytes, static_cast<uint32_t>(messageBytes));
    bytes += piece;
}

inline std::string encodeFrame(std::string_view payload)
{
    std::string frame;
    appendFrame(frame, payload);
    return frame;
}

/// Reads the messages of a connection. Takes all that has arrived with one read, so that the backlog of
/// a busy host stands where it can be ordered by urgency, and not in the socket.
template <typename Clock = std::chrono::steady_clock>
class FrameReader {
public:
    explicit FrameReader(tcp::socket& socket)
        : m_socket(socket)
        , m_buffer(config::frameReadBytes, '\0')
    {
    }

    /// Returns the next complete message, or nothing if the connection ended, or a message is invalid or
    /// larger than `maxBytes`; `failure` says which.
    awaitable<std::optional<std::string>> read(size_t maxBytes)
    {
        while (!m_failure) {
            if (frameBytes() >= sizeof(uint32_t) && payloadBytes() > maxBytes) {
                m_failure = DisconnectReason::FrameTooLarge;
            } else if (!hasFrame()) {
                co_await receive();
            } else if (auto message = takeFrame(maxBytes)) {
                co_return message;
            }
        }
        co_return std::nullopt;
    }

    std::optional<DisconnectReason> failure() const { return m_failure; }
    error_code error() const { return m_error; }
    typename Clock::time_point lastByteAt() const { return m_lastByteAt; }

    /// Bytes that have arrived of the message in progress.
    size_t arrivedBytes() const { return m_message.size() + frameBytes(); }
    /// Size of the message in progress; 0 if it is not known yet.
    size_t messageBytes() const { return m_messageBytes || frameBytes() < sizeof(uint32_t) ? m_messageBytes : payloadBytes(); }

private:
    uint32_t numberAt(size_t position) const { return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(m_buffer.data() + position)); }
    size_t frameBytes() const { return m_end - m_begin; }
    size_t payloadBytes() const { return numberAt(m_begin) & ~fragmentFlag; }
    bool hasFrame() const { return frameBytes() >= sizeof(uint32_t) && frameBytes() >= sizeof(uint32_t) + payloadBytes(); }

    /// Takes what has arrived, up to the end of the frame in progress.
    awaitable<void> receive()
    {
        makeRoom(sizeof(uint32_t) + (frameBytes() < sizeof(uint32_t) ? 0 : payloadBytes()));
        m_end += co_await m_socket.async_read_some(asio::buffer(m_buffer.data() + m_end, m_buffer.size() - m_end), asio::redirect_error(use_awaitable, m_error));
        if (m_error)
            m_failure = m_error == asio::error::eof ? DisconnectReason::ClosedByPeer : DisconnectReason::ReadFailed;
        else
            m_lastByteAt = Clock::now();
    }

    /// Takes the frame that has arrived. Returns the message that it completes, if any.
    std::optional<std::string> takeFrame(size_t maxBytes)
    {
        const bool isFragment = numberAt(m_begin) & fragmentFlag;
        const std::string_view payload(m_buffer.data() + m_begin + sizeof(uint32_t), payloadBytes());
        m_begin += sizeof(uint32_t) + payload.size();
        if (!isFragment)
            return std::string(payload);
        return takeFragment(payload, maxBytes);
    }

    std::optional<std::string> takeFragment(std::string_view payload, size_t maxBytes)
    {
        const size_t begin = m_begin - payload.size();
        const bool isFirst = m_message.empty();
        if (payload.size() > sizeof(uint32_t) && isFirst)
            m_messageBytes = numberAt(begin);
        const bool isValid = payload.size() > sizeof(uint32_t) && numberAt(begin) == m_messageBytes && m_messageBytes <= maxBytes
            && m_message.size() + payload.size() - sizeof(uint32_t) <= m_messageBytes;
        if (!isValid) {
            m_failure = DisconnectReason::InvalidFragment;
            return std::nullopt;
        }
        m_message += payload.substr(sizeof(uint32_t));
        if (m_message.size() < m_messageBytes)
            return std::nullopt;
        m_messageBytes = 0;
        return std::exchange(m_message, {});
    }

    /// Makes room for a frame of `neededBytes` that begins at `m_begin`.
    void makeRoom(size_t neededBytes)
    {
        std::copy(m_buffer.begin() + static_cast<ptrdiff_t>(m_begin), m_buffer.begin() + static_cast<ptrdiff_t>(m_end), m_buffer.begin());
        m_end -= std::exchange(m_begin, 0);
        // A large frame takes its room only until the next one.
        m_buffer.resize(std::max({ config::frameReadBytes, neededBytes, m_end }));
        if (m_buffer.size() == config::frameReadBytes && m_buffer.capacity() > config::frameReadBytes)
            m_buffer.shrink_to_fit();
    }

    tcp::socket& m_socket;
    std::string m_buffer;
    size_t m_begin = 0; ///< First byte that has not been returned.
    size_t m_end = 0; ///< End of the bytes that have arrived.
    std::string m_message; ///< Fragments that have arrived of a message.
    size_t m_messageBytes = 0; ///< Size of that message; 0 if there is none.
    typename Clock::time_point m_lastByteAt = Clock::now();
    std::optional<DisconnectReason> m_failure;
    error_code m_error;
};

} // namespace eelgrassloft::io
