#pragma once

#include "eelgrassloft/effects.h"
#include "eelgrassloft/error.h"

#include "io/log_rate_limiter.h"

#include <log4cxx/logger.h>

namespace eelgrassloft::io {

/// Writes one line of key=value pairs for each event. The rate of each kind of event is limited.
class EventLog {
public:
    /// `file` is empty for standard output; `level` is debug, info, warn or error.
    EventLog(const std::string& file, const std::string& level);

    void write(const LogEvent& event);
    void write(std::string_view eventName, const std::vector<LogField>& fields);
    void writeError(std::string_view eventName, const Error& error);

private:
    bool mayWrite(std::string_view eventName);
    void writeLine(std::string_view eventName, const std::vector<LogField>& fields);

    log4cxx::LoggerPtr m_logger;
    LogRateLimiter m_rateLimiter;
};

} // namespace eelgrassloft::io
