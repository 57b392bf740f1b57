#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using SteadyClock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Writes what was sent, answered and run to a file, one line each, with the time since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path, std::ios::trunc)
        , m_startedAt(SteadyClock::now())
    {
    }

    int64_t now() const { return std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - m_startedAt).count(); }

    void note(const std::string& line)
    {
        const std::lock_guard lock(m_mutex);
        m_file << now() << " " << line << "\n"
               << std::flush;
    }

private:
    std::ofstream m_file;
    SteadyClock::time_point m_startedAt;
    std::mutex m_mutex;
};

} // namespace review
