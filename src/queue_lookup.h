#pragma once

#include "fleet_messages.h"

namespace eelgrassloft {

/// Looks up the queue that serves an address in a configuration that is in force. `NotAccepted` if there
/// is no configuration yet.
inline ControlReply lookUpQueue(const FleetConfig& config, const QueueAddress& address)
{
    if (!config.version)
        return { ControlStatus::NotAccepted, {}, 0, {} };
    const QueueSpec* queue = config.queueAt(address.host, address.path);
    if (!queue)
        return { ControlStatus::UnknownQueue, {}, 0, {}, {}, config.version };
    return { ControlStatus::Ok, {}, 0, {}, *queue, config.version };
}

} // namespace eelgrassloft
