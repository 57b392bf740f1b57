#pragma once

#include "hash.h"

#include "eelgrassloft/record.h"

#include <array>
#include <bit>

namespace eelgrassloft {

/// Hash of a record over its list of members, the same on every host.
template <typename T>
uint64_t recordHash(const T& value, uint64_t hash = stableHash({}))
{
    if constexpr (std::is_same_v<T, std::string>) {
        return stableHash(value, recordHash(value.size(), hash));
    } else if constexpr (std::is_same_v<T, Duration>) {
        return recordHash(value.count(), hash);
    } else if constexpr (std::is_arithmetic_v<T>) {
        const auto bytes = std::bit_cast<std::array<char, sizeof(T)>>(value);
        return stableHash({ bytes.data(), bytes.size() }, hash);
    } else if constexpr (detail::IsOptional<T>::value) {
        hash = recordHash(value.has_value(), hash);
        return value ? recordHash(*value, hash) : hash;
    } else if constexpr (detail::IsVector<T>::value) {
        hash = recordHash(value.size(), hash);
        for (const auto& element : value)
            hash = recordHash(element, hash);
        return hash;
    } else {
        static_assert(Record<T>);
        forEachMember(value, [&](const auto& member) { hash = recordHash(member, hash); });
        return hash;
    }
}

} // namespace eelgrassloft
