#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace eelgrassloft::io {

/// Limits the log lines of each kind of event per second, so that logging does not slow down a host
/// under load. Counts the lines that it suppresses.
class LogRateLimiter {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit LogRateLimiter(uint64_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// Whether a line of the kind may be written now. Counts it as written or as suppressed.
    bool tryAcquire(std::string_view kind, TimePoint now)
    {
        if (now >= m_windowEnd)
            m_windowEnd = now + std::chrono::seconds(1);
        KindUsage& usage = m_usages.try_emplace(std::string(kind)).first->second;
        if (usage.windowEnd != m_windowEnd)
            usage.lines = 0;
        usage.windowEnd = m_windowEnd;
        if (usage.lines >= m_linesPerSecond) {
            ++usage.suppressed;
            return false;
        }
        ++usage.lines;
        return true;
    }

    /// Number of lines of the kind that were suppressed since the last call.
    uint64_t takeSuppressed(std::string_view kind)
    {
        const auto found = m_usages.find(kind);
        return found == m_usages.end() ? 0 : std::exchange(found->second.suppressed, 0);
    }

private:
    struct KindUsage {
        uint64_t lines = 0; ///< Written in the second that ends at `windowEnd`.
        uint64_t suppressed = 0;
        TimePoint windowEnd {};
    };

    uint64_t m_linesPerSecond;
    TimePoint m_windowEnd {};
    std::map<std::string, KindUsage, std::less<>> m_usages;
};

} // namespace eelgrassloft::io
