#pragma once

#include "eelgrassloft/name_table.h"

#include <cstdint>

namespace eelgrassloft::io {

/// Why a connection between hosts ended.
enum class DisconnectReason : uint8_t {
    Silent, ///< Nothing arrived for the timeout.
    ClosedByPeer,
    ReadFailed,
    WriteFailed,
    FrameTooLarge,
    InvalidFragment,
    UnreadableMessage,
    NotIdentified, ///< The handshake was refused.
    Replaced, ///< By another connection to the same host.
    ShutDown,
    Count
};

constexpr NameTable<DisconnectReason> nameTable(DisconnectReason)
{
    constexpr NameTable<DisconnectReason> table { "silent", "closed-by-peer", "read-failed", "write-failed", "frame-too-large", "invalid-fragment", "unreadable-message", "not-identified", "replaced", "shut-down" };
    static_assert(eelgrassloft::detail::isComplete<DisconnectReason>(table));
    return table;
}

} // namespace eelgrassloft::io
