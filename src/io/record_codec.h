#pragma once

#include "eelgrassloft/error.h"
#include "eelgrassloft/record.h"

#include <msgpack.hpp>

#include <optional>
#include <string_view>

namespace eelgrassloft::io {

namespace detail {

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename T>
void pack(Packer& packer, const T& value)
{
    namespace core = eelgrassloft::detail;
    if constexpr (std::is_same_v<T, Blob>) {
        value ? packer.pack(*value) : packer.pack_nil();
    } else if constexpr (std::is_same_v<T, std::monostate>) {
        packer.pack_nil();
    } else if constexpr (std::is_enum_v<T>) {
        packer.pack(static_cast<uint64_t>(value));
    } else if constexpr (std::is_same_v<T, Time>) {
        packer.pack(static_cast<int64_t>(value.time_since_epoch().count()));
    } else if constexpr (std::is_same_v<T, Duration>) {
        packer.pack(static_cast<int64_t>(value.count()));
    } else if constexpr (core::IsHandle<T>::value) {
        packer.pack(value.value);
    } else if constexpr (core::IsOptional<T>::value) {
        packer.pack_array(value ? 1 : 0);
        if (value)
            pack(packer, *value);
    } else if constexpr (core::IsVector<T>::value) {
        packer.pack_array(static_cast<uint32_t>(value.size()));
        for (const auto& element : value)
            pack(packer, element);
    } else if constexpr (core::IsMap<T>::value) {
        packer.pack_map(static_cast<uint32_t>(value.size()));
        for (const auto& [key, element] : value) {
            pack(packer, key);
            pack(packer, element);
        }
    } else if constexpr (core::IsVariant<T>::value) {
        packer.pack_array(2);
        packer.pack(static_cast<uint64_t>(value.index()));
        std::visit([&](const auto& alternative) { pack(packer, alternative); }, value);
    } else if constexpr (Record<T>) {
        packer.pack_array(static_cast<uint32_t>(memberCount<T>));
        forEachMember(value, [&](const auto& member) { pack(packer, member); });
    } else {
        packer.pack(value);
    }
}

inline const msgpack::object_array& arrayOf(const msgpack::object& object, size_t size)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size != size)
        throw msgpack::type_error();
    return object.via.array;
}

template <typename T>
void unpack(const msgpack::object& object, T& value);

template <typename Variant, size_t index = 0>
void unpackAlternative(const msgpack::object& object, uint64_t wanted, Variant& value)
{
    if constexpr (index == std::variant_size_v<Variant>) {
        throw msgpack::type_error();
    } else if (wanted == index) {
        unpack(object, value.template emplace<index>());
    } else {
        unpackAlternative<Variant, index + 1>(object, wanted, value);
    }
}

template <typename T>
void unpack(const msgpack::object& object, T& value)
{
    namespace core = eelgrassloft::detail;
    if constexpr (std::is_same_v<T, Blob>) {
        value = object.is_nil() ? Blob {} : makeBlob(object.as<std::string>());
    } else if constexpr (std::is_same_v<T, std::monostate>) {
        return;
    } else if constexpr (std::is_enum_v<T>) {
        const auto number = object.as<uint64_t>();
        if (number >= countOf<T>)
            throw msgpack::type_error();
        value = static_cast<T>(number);
    } else if constexpr (std::is_same_v<T, Time>) {
        value = Time(Duration(object.as<int64_t>()));
    } else if constexpr (std::is_same_v<T, Duration>) {
        value = Duration(object.as<int64_t>());
    } else if constexpr (core::IsHandle<T>::value) {
        value.value = object.as<typename T::value_type>();
    } else if constexpr (core::IsOptional<T>::value) {
        if (object.type != msgpack::type::ARRAY || object.via.array.size > 1)
            throw msgpack::type_error();
        value.reset();
        if (object.via.array.size)
            unpack(object.via.array.ptr[0], value.emplace());
    } else if constexpr (core::IsVector<T>::value) {
        if (object.type != msgpack::type::ARRAY)
            throw msgpack::type_error();
        value.resize(object.via.array.size);
        for (size_t i = 0; i < value.size(); ++i)
            unpack(object.via.array.ptr[i], value[i]);
    } else if constexpr (core::IsMap<T>::value) {
        if (object.type != msgpack::type::MAP)
            throw msgpack::type_error();
        for (size_t i = 0; i < object.via.map.size; ++i) {
            typename T::key_type key;
            unpack(object.via.map.ptr[i].key, key);
            unpack(object.via.map.ptr[i].val, value[std::move(key)]);
        }
    } else if constexpr (core::IsVariant<T>::value) {
        const auto& array = arrayOf(object, 2);
        unpackAlternative(array.ptr[1], array.ptr[0].as<uint64_t>(), value);
    } else if constexpr (Record<T>) {
        const auto& array = arrayOf(object, memberCount<T>);
        size_t i = 0;
        forEachMember(value, [&](auto& member) { unpack(array.ptr[i++], member); });
    } else {
        value = object.as<T>();
    }
}

} // namespace detail

/// Encodes a record as MessagePack. Members, alternatives and enumerators are identified by their
/// position, which is therefore part of the format.
template <typename T>
std::string encode(const T& value)
{
    msgpack::sbuffer buffer;
    detail::Packer packer(buffer);
    detail::pack(packer, value);
    return std::string(buffer.data(), buffer.size());
}

/// Decodes records. On failure, `lastError` has the reason.
class RecordDecoder : public LastError {
public:
    template <typename T>
    std::optional<T> decode(std::string_view bytes)
    {
        try {
            const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
            std::optional<T> value(std::in_place);
            detail::unpack(handle.get(), *value);
            return value;
        } catch (const msgpack::type_error&) {
            return fail(ErrorKind::WrongType, "a member of the record does not have the expected type", "run the same version on all hosts");
        } catch (const msgpack::unpack_error&) {
            return fail(ErrorKind::Syntax, "the bytes are not a single MessagePack value", "run the same version on all hosts");
        } catch (const std::bad_alloc&) {
            return fail(ErrorKind::OutOfRange, "the record declares more elements than fit into memory", "run the same version on all hosts");
        }
    }
};

} // namespace eelgrassloft::io
