#pragma once

#include <cstddef>

namespace eelgrassloft::io {

/// Counts one until it goes out of scope, also when an exception ends the scope.
class ScopedCount {
public:
    explicit ScopedCount(size_t& count)
        : m_count(count)
    {
        ++m_count;
    }
    ScopedCount(const ScopedCount&) = delete;
    ScopedCount& operator=(const ScopedCount&) = delete;
    ~ScopedCount() { --m_count; }

private:
    size_t& m_count;
};

} // namespace eelgrassloft::io
