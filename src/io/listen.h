#pragma once

#include "io/asio.h"

#include "eelgrassloft/error.h"

#include <optional>
#include <string>

namespace eelgrassloft::io {

/// Opens a listening port. Returns an error if it cannot; `setting` names the setting to correct.
std::optional<Error> listenOn(tcp::acceptor& acceptor, const std::string& address, uint16_t port, const std::string& setting);

} // namespace eelgrassloft::io
