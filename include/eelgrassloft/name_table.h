#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <type_traits>

namespace eelgrassloft {

/// An enumeration whose last enumerator is `Count`.
template <typename E>
concept CountedEnum = std::is_enum_v<E> && requires
{
    E::Count;
};

template <CountedEnum E>
inline constexpr size_t countOf = static_cast<size_t>(E::Count);

/// Names of the values of `E`, indexed by value.
template <CountedEnum E>
using NameTable = std::array<std::string_view, countOf<E>>;

/// An array with one element for each value of `E`.
template <CountedEnum E, typename T>
struct EnumArray {
    std::array<T, countOf<E>> values {};

    constexpr T& operator[](E key) { return values[static_cast<size_t>(key)]; }
    constexpr const T& operator[](E key) const { return values[static_cast<size_t>(key)]; }
};

/// Calls `visit` with each value of `E`, in order.
template <CountedEnum E, typename Visitor>
constexpr void forEachValue(Visitor&& visit)
{
    for (size_t i = 0; i < countOf<E>; ++i)
        visit(static_cast<E>(i));
}

/// Returns the name of a value. Each enumeration declares its own overload of `nameTable(E)`, which
/// is found by argument-dependent lookup.
template <CountedEnum E>
constexpr std::string_view name(E value)
{
    return nameTable(E::Count)[static_cast<size_t>(value)];
}

/// Returns the value with the given name, or nothing if no value has it.
template <CountedEnum E>
constexpr std::optional<E> parseName(std::string_view text)
{
    for (size_t i = 0; i < countOf<E>; ++i) {
        if (nameTable(E::Count)[i] == text)
            return static_cast<E>(i);
    }
    return std::nullopt;
}

namespace detail {
/// Whether every value has a name. A table with too few names ends with empty ones.
template <CountedEnum E>
constexpr bool isComplete(const NameTable<E>& table)
{
    for (std::string_view entry : table) {
        if (entry.empty())
            return false;
    }
    return true;
}
} // namespace detail

} // namespace eelgrassloft
