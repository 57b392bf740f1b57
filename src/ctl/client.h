#pragma once

#include "io/http_types.h"

#include "eelgrassloft/error.h"

#include <optional>
#include <string>
#include <vector>

namespace eelgrassloft::ctl {

struct Header {
    std::string name;
    std::string value;
};

/// An HTTP request to an entry host.
struct Call {
    io::http::verb method = io::http::verb::get;
    std::string target;
    std::vector<Header> headers;
    std::string body;
};

/// Blocking HTTP client for one entry host. `lastError` tells why a call got no response.
class Client : public LastError {
public:
    /// `host` is `ADDRESS:PORT`.
    explicit Client(std::string host)
        : m_host(std::move(host))
    {
    }

    std::optional<io::HttpResponse> call(const Call& call);

private:
    std::string m_host;
};

} // namespace eelgrassloft::ctl
