#include "io/event_log.h"

#include "io/json_fields.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <cctype>

namespace eelgrassloft::io {

namespace {

constexpr uint64_t maxLinesPerSecond = 100; // for each kind of event
constexpr const char* linePattern = "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p %m%n";

/// Quotes a value that would not be read back as one word. Values may quote what a request held, so
/// they are shortened and lose their control characters.
std::string quoted(const std::string& text)
{
    const auto isControl = [](unsigned char c) { return std::iscntrl(c) != 0; };
    std::string value = boundedText(text);
    std::replace_if(value.begin(), value.end(), isControl, ' ');
    const bool isPlain = !value.empty() && value.find_first_of(" \"=") == std::string::npos;
    if (isPlain)
        return value;
    std::string result = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            result += '\\';
        result += c;
    }
    return result + "\"";
}

std::string formatLine(std::string_view eventName, const std::vector<LogField>& fields)
{
    std::string line = "event=" + std::string(eventName);
    for (const LogField& field : fields)
        line += " " + std::string(field.key) + "=" + quoted(field.value);
    return line;
}

} // namespace

EventLog::EventLog(const std::string& file, const std::string& level)
    : m_logger(log4cxx::Logger::getLogger("eelgrassloft"))
    , m_rateLimiter(maxLinesPerSecond)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(linePattern);
    log4cxx::AppenderPtr appender;
    if (file.empty())
        appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
    else
        appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
    m_logger->removeAllAppenders();
    m_logger->addAppender(appender);
    m_logger->setAdditivity(false);
    m_logger->setLevel(log4cxx::Level::toLevel(level));
}

void EventLog::write(const LogEvent& event) { write(name(event.kind), event.fields); }

void EventLog::write(std::string_view eventName, const std::vector<LogField>& fields)
{
    if (mayWrite(eventName))
        writeLine(eventName, fields);
}

void EventLog::writeError(std::string_view eventName, const Error& error)
{
    if (mayWrite(eventName))
        LOG4CXX_ERROR(m_logger, formatLine(eventName, { { "kind", std::string(name(error.kind)) }, { "message", error.message }, { "remedy", error.remedy } }));
}

/// Whether the limit of the event's kind allows a line now. Reports lines left out before.
bool EventLog::mayWrite(std::string_view eventName)
{
    if (!m_rateLimiter.tryAcquire(eventName, std::chrono::steady_clock::now()))
        return false;
    if (const uint64_t count = m_rateLimiter.takeSuppressed(eventName))
        writeLine("lines-left-out", { { "kind", std::string(eventName) }, { "count", std::to_string(count) } });
    return true;
}

void EventLog::writeLine(std::string_view eventName, const std::vector<LogField>& fields)
{
    LOG4CXX_INFO(m_logger, formatLine(eventName, fields));
}

} // namespace eelgrassloft::io
