#pragma once

#include "fleet_events.h"
#include "io/mailbox.h"

#include <memory>

namespace eelgrassloft::io {

template <typename T>
using FleetReplyMailbox = std::shared_ptr<Mailbox<T>>;

/// A call from a connection; the task gives it its number and its deadline.
struct SubmitControl {
    ControlRequest request;
    Duration timeout {};
    FleetReplyMailbox<ControlReply> reply;
};

/// What an entry host knows of the queue at a place.
struct QueueLookup {
    bool isReady = false; ///< The host takes new connections.
    bool isSure = false; ///< The configuration that was looked at is surely in force.
    bool isStale = false; ///< The leader is known to hold a newer one.
    std::optional<QueueSpec> queue;
};

struct FindQueue {
    std::string host;
    std::string path;
    FleetReplyMailbox<QueueLookup> reply;
};

/// Asks for the host's metrics as text.
struct ReadMetrics {
    FleetReplyMailbox<std::string> reply;
};

/// A message to the task that owns the core of a fleet's host.
using FleetTaskMessage = std::variant<FleetEvent, SubmitControl, FindQueue, ReadMetrics>;
using FleetMailbox = Mailbox<FleetTaskMessage>;

/// Tells the core of the writes of the fleet's log.
struct FleetLogWriteObserver {
    FleetMailbox& nodeMailbox;
    Mailbox<Error>& failures;

    void didSync(uint64_t sequence) { nodeMailbox.tryPushUrgent(FleetEvent(WorkLogWritten { sequence })); }
    void didFail(const Error& error) { failures.tryPush(error); }
};

} // namespace eelgrassloft::io
