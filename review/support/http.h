#pragma once

#include "record.h"

#include <optional>
#include <string>

namespace review {

struct HttpReply {
    unsigned status = 0;
    std::string body;
};

struct HttpCall {
    std::string address; ///< IP:PORT.
    std::string method;
    std::string path;
    std::string host; ///< Value of the `Host` header.
    std::string body;
    Milliseconds timeout { 1000 };
    int deadlineMs = 0; ///< Sent as `X-Eelgrassloft-Deadline-Ms`; 0 for none.
};

/// Makes a call on a connection of its own. Returns nothing if no complete response arrives in time.
std::optional<HttpReply> callHttp(const HttpCall& call);

} // namespace review
