#pragma once

#include "eelgrassloft/handle.h"
#include "eelgrassloft/outcome.h"
#include "eelgrassloft/record.h"

namespace eelgrassloft {

/// A caller's request without its body, which the I/O layer keeps.
struct Request {
    RequestId id;
    std::string service;
    Time deadline {};
    bool isRepeatable = true;
    std::string key; ///< Idempotency key; only where `isRepeatable` is false.
    uint64_t digest = 0; ///< Hash of the service and the body; detects a reused key.
};

/// Registration of an upstream, which the upstream renews within `config::announcementLifetime`.
struct UpstreamAnnouncement {
    std::string name;
    std::string service;
    std::string address; ///< IP address.
    uint16_t port = 0;
    uint32_t slots = 0; ///< Requests that it runs concurrently.
    uint32_t connections = 0; ///< Connections that it accepts at a time.
    bool isLeaving = false;

    static constexpr auto members()
    {
        return std::make_tuple(&UpstreamAnnouncement::name, &UpstreamAnnouncement::service, &UpstreamAnnouncement::address,
            &UpstreamAnnouncement::port, &UpstreamAnnouncement::slots, &UpstreamAnnouncement::connections,
            &UpstreamAnnouncement::isLeaving);
    }
};

} // namespace eelgrassloft
