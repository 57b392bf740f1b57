#pragma once

#include "eelgrassloft/handle.h"
#include "eelgrassloft/name_table.h"
#include "eelgrassloft/time.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <variant>
#include <vector>

namespace eelgrassloft {

/// A plain struct that lists its members in `static constexpr auto members()`. Codecs and size
/// computations are written once, over this list; encodings follow its order.
template <typename T>
concept Record = requires
{
    std::remove_cvref_t<T>::members();
};

/// Immutable bytes, shared between the core and the I/O layer without copies.
using Blob = std::shared_ptr<const std::string>;

inline Blob makeBlob(std::string bytes) { return std::make_shared<const std::string>(std::move(bytes)); }

/// Calls `visit` with each member of `record`, in order.
template <Record T, typename Visitor>
constexpr void forEachMember(T& record, Visitor&& visit)
{
    std::apply([&](auto... member) { (visit(record.*member), ...); }, std::remove_cvref_t<T>::members());
}

template <Record T>
inline constexpr size_t memberCount = std::tuple_size_v<decltype(T::members())>;

namespace detail {
template <typename T>
struct IsVector : std::false_type {
};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {
};
template <typename T>
struct IsMap : std::false_type {
};
template <typename K, typename V>
struct IsMap<std::map<K, V>> : std::true_type {
};
template <typename T>
struct IsOptional : std::false_type {
};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {
};
template <typename T>
struct IsVariant : std::false_type {
};
template <typename... T>
struct IsVariant<std::variant<T...>> : std::true_type {
};
template <typename T>
struct IsHandle : std::false_type {
};
template <typename Tag, typename V>
struct IsHandle<Handle<Tag, V>> : std::true_type {
};

constexpr size_t unsignedSize(uint64_t value)
{
    if (value < 128)
        return 1;
    if (value < (1ULL << 8))
        return 2;
    if (value < (1ULL << 16))
        return 3;
    return value < (1ULL << 32) ? 5 : 9;
}

constexpr size_t signedSize(int64_t value)
{
    if (value >= 0)
        return unsignedSize(static_cast<uint64_t>(value));
    if (value >= -32)
        return 1;
    if (value >= -(1LL << 7))
        return 2;
    if (value >= -(1LL << 15))
        return 3;
    return value >= -(1LL << 31) ? 5 : 9;
}

constexpr size_t headerSize(size_t count, size_t smallLimit)
{
    if (count < smallLimit)
        return 1;
    return count < (1U << 16) ? 3 : 5;
}
} // namespace detail

/// Returns the size of a value's encoding in bytes. It follows the MessagePack format
/// (https://github.com/msgpack/msgpack/blob/master/spec.md), so that the core can account for
/// traffic without depending on a codec.
template <typename T>
size_t encodedSize(const T& value)
{
    if constexpr (std::is_same_v<T, std::string>) {
        const size_t header = value.size() < 32 ? 1 : value.size() < 256 ? 2
                                                                         : detail::headerSize(value.size(), 0);
        return header + value.size();
    } else if constexpr (std::is_same_v<T, Blob>) {
        return value ? encodedSize(*value) : 1;
    } else if constexpr (std::is_same_v<T, bool> || std::is_same_v<T, std::monostate>) {
        return 1;
    } else if constexpr (std::is_enum_v<T>) {
        return detail::unsignedSize(static_cast<uint64_t>(value));
    } else if constexpr (std::is_floating_point_v<T>) {
        return 1 + sizeof(T);
    } else if constexpr (std::is_unsigned_v<T>) {
        return detail::unsignedSize(value);
    } else if constexpr (std::is_signed_v<T>) {
        return detail::signedSize(value);
    } else if constexpr (std::is_same_v<T, Time>) {
        return detail::signedSize(value.time_since_epoch().count());
    } else if constexpr (std::is_same_v<T, Duration>) {
        return detail::signedSize(value.count());
    } else if constexpr (detail::IsHandle<T>::value) {
        return detail::unsignedSize(value.value);
    } else if constexpr (detail::IsOptional<T>::value) {
        return value ? 1 + encodedSize(*value) : 1;
    } else if constexpr (detail::IsVector<T>::value) {
        size_t size = detail::headerSize(value.size(), 16);
        for (const auto& element : value)
            size += encodedSize(element);
        return size;
    } else if constexpr (detail::IsMap<T>::value) {
        size_t size = detail::headerSize(value.size(), 16);
        for (const auto& [key, element] : value)
            size += encodedSize(key) + encodedSize(element);
        return size;
    } else if constexpr (detail::IsVariant<T>::value) {
        return 1 + detail::unsignedSize(value.index()) + std::visit([](const auto& v) { return encodedSize(v); }, value);
    } else {
        static_assert(Record<T>, "the type lists no members");
        size_t size = detail::headerSize(memberCount<T>, 16);
        forEachMember(value, [&](const auto& member) { size += encodedSize(member); });
        return size;
    }
}

} // namespace eelgrassloft
