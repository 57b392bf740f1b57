#pragma once

#include "io/asio.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace eelgrassloft::io {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Headers of the request protocol; docs/CALLERS.md describes them.
namespace header {
inline constexpr const char* idempotencyKey = "Idempotency-Key";
inline constexpr const char* notStarted = "Not-Started";
inline constexpr const char* operationId = "Operation-Id";
inline constexpr const char* expectRevision = "Expect-Revision";
inline constexpr const char* outcome = "Outcome";
inline constexpr const char* reason = "Reason";
inline constexpr const char* repeatable = "Repeatable";
inline constexpr const char* timeoutMs = "Request-Timeout-Ms";
} // namespace header

using HttpRequestHeader = http::request_header<>;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Status of the response to a request that could not be read.
inline http::status refusalStatus(const error_code& error)
{
    if (error == http::error::body_limit)
        return http::status::payload_too_large;
    return error == http::error::header_limit ? http::status::request_header_fields_too_large : http::status::bad_request;
}

} // namespace eelgrassloft::io
