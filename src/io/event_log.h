#pragma once

#include "eelgrassloft/effects.h"
#include "eelgrassloft/error.h"

#include <log4cxx/logger.h>

namespace eelgrassloft::io {

/// Writes one line of key=value pairs for each event.
class EventLog {
public:
    /// `file` is empty for standard output; `level` is debug, info, warn or error.
    EventLog(const std::string& file, const std::string& level);

    void write(const LogEvent& event);
    void write(std::string_view eventName, const std::vector<LogField>& fields);
    void writeError(std::string_view eventName, const Error& error);

private:
    log4cxx::LoggerPtr m_logger;
};

} // namespace eelgrassloft::io
