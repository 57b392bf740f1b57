#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassloft {

/// FNV-1a hash (Fowler, Noll and Vo). Unlike `std::hash` it has the same value on every host.
constexpr uint64_t stableHash(std::string_view text, uint64_t hash = 0xcbf29ce484222325ULL)
{
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return hash;
}

/// Formats a number as 16 hexadecimal digits.
inline std::string hexText(uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (size_t i = text.size(); i--; value >>= 4)
        text[i] = digits[value & 15];
    return text;
}

} // namespace eelgrassloft
