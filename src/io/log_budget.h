#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace eelgrassloft::io {

/// Bounds the lines of each kind of event in a second, so that a host under load does not spend
/// itself on its log. What is left out is counted.
class LogBudget {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit LogBudget(uint64_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// Whether a line of the kind may be written now.
    bool mayWrite(std::string_view kind, TimePoint now)
    {
        if (now >= m_secondEnds)
            m_secondEnds = now + std::chrono::seconds(1);
        Use& use = m_uses.try_emplace(std::string(kind)).first->second;
        if (use.secondEnds != m_secondEnds)
            use.lines = 0;
        use.secondEnds = m_secondEnds;
        if (use.lines >= m_linesPerSecond) {
            ++use.leftOut;
            return false;
        }
        ++use.lines;
        return true;
    }

    /// Lines of the kind that were left out since the last call.
    uint64_t takeLeftOut(std::string_view kind)
    {
        const auto found = m_uses.find(kind);
        return found == m_uses.end() ? 0 : std::exchange(found->second.leftOut, 0);
    }

private:
    struct Use {
        uint64_t lines = 0; ///< Written in the second that ends at `secondEnds`.
        uint64_t leftOut = 0;
        TimePoint secondEnds {};
    };

    uint64_t m_linesPerSecond;
    TimePoint m_secondEnds {};
    std::map<std::string, Use, std::less<>> m_uses;
};

} // namespace eelgrassloft::io
