#pragma once

#include "access_control.h"
#include "fleet_messages.h"

namespace eelgrassloft {

namespace detail {

inline ControlReply lookupReply(const FleetConfig& config, const QueueSpec* queue)
{
    if (!queue)
        return { ControlStatus::UnknownQueue, {}, 0, {}, {}, config.version };
    return { ControlStatus::Ok, {}, 0, {}, *queue, config.version };
}

} // namespace detail

/// Looks up the queue that serves an address, and the workspace of the caller, in a configuration that is
/// in force. `NotAccepted` if there is no configuration yet.
inline ControlReply lookUpQueue(const FleetConfig& config, const QueueAddress& address)
{
    if (!config.version)
        return { ControlStatus::NotAccepted, {}, 0, {} };
    const QueueSpec* queue = config.queueAt(address.host, address.path);
    ControlReply reply = detail::lookupReply(config, queue);
    if (!queue)
        return reply;
    Access access = accessOf(config, *queue, address.key);
    if (!access.isAllowed)
        return { ControlStatus::UnknownKey, {}, 0, {}, {}, config.version };
    reply.workspace = std::move(access.workspace);
    return reply;
}

/// Looks up a queue by its name.
inline ControlReply lookUpQueue(const FleetConfig& config, const std::string& name) { return detail::lookupReply(config, config.queue(name)); }

/// Looks up the queue at the address, or by its name if the address is not known.
inline ControlReply lookUpQueue(const FleetConfig& config, const std::string& name, const std::optional<QueueAddress>& address)
{
    return address ? lookUpQueue(config, *address) : lookUpQueue(config, name);
}

} // namespace eelgrassloft
