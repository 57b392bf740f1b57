#pragma once

#include "fleet_events.h"
#include "io/mailbox.h"

#include <chrono>
#include <concepts>
#include <memory>

namespace eelgrassloft::io {

template <typename T>
using FleetReplyMailbox = std::shared_ptr<Mailbox<T>>;

/// A call to the core that arrived over HTTP. The task assigns its id and its deadline.
struct SubmitControl {
    ControlRequest request;
    Duration timeout {};
    FleetReplyMailbox<ControlReply> reply;
};

/// Asks whether an entry host should receive new calls.
struct ReadReadiness {
    FleetReplyMailbox<bool> reply;
};

/// Requests the host's metrics as text.
struct ReadMetrics {
    FleetReplyMailbox<std::string> reply;
};

/// A message to the `FleetTask`.
using FleetTaskMessage = std::variant<FleetEvent, SubmitControl, ReadReadiness, ReadMetrics>;

/// A message in the mailbox, with the time of its arrival.
struct FleetTaskDelivery {
    template <typename Body>
    requires std::constructible_from<FleetTaskMessage, Body>
    FleetTaskDelivery(Body body)
        : message(std::move(body))
    {
    }

    FleetTaskMessage message;
    std::chrono::steady_clock::time_point arrivedAt = std::chrono::steady_clock::now();
};

using FleetMailbox = Mailbox<FleetTaskDelivery>;

/// Reports to the core which writes of the fleet's log are durable, and that the disk refuses them.
struct FleetLogWriteObserver {
    FleetMailbox& nodeMailbox;

    void didSync(uint64_t sequence) { nodeMailbox.tryPushUrgent(FleetEvent(WorkLogWritten { sequence })); }
    void didRefuse(const Error& error) { nodeMailbox.tryPushUrgent(FleetEvent(WorkLogRefused { error.text() })); }
};

} // namespace eelgrassloft::io
