#pragma once

#include <cstdint>

namespace eelgrassloft {

/// Seeded pseudo-random generator with copyable state (SplitMix64, Steele, Lea and Flood, OOPSLA
/// 2014). Used in place of `std::uniform_int_distribution`, whose results differ between standard
/// libraries: a replayed run must draw the same numbers.
class Random {
public:
    explicit Random(uint64_t seed)
        : m_state(seed)
    {
    }

    uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        uint64_t z = m_state;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }

    /// Uniform in [0, bound); `bound` is at least 1.
    uint64_t below(uint64_t bound) { return next() % bound; }

private:
    uint64_t m_state;
};

/// Mixes the bits of a 64-bit hash value.
inline uint64_t mixHash(uint64_t value) { return Random(value).next(); }

/// Seed of a host's generator in one incarnation. Both numbers are mixed one after the other: a plain
/// exclusive or gives hosts with neighbouring numbers the same seed when their incarnations differ by one,
/// and voters with one seed draw the same election timeouts and split every vote.
inline uint64_t hostSeed(uint64_t incarnation, uint64_t host) { return mixHash(mixHash(incarnation) + host); }

} // namespace eelgrassloft
