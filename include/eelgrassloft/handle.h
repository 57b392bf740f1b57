#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>

namespace eelgrassloft {

/// Typed identifier of an object. A default-constructed handle is invalid.
template <typename Tag, typename Value = uint32_t>
struct Handle {
    using value_type = Value;
    static constexpr Value invalidValue = std::numeric_limits<Value>::max();

    Value value = invalidValue;

    constexpr bool isValid() const { return value != invalidValue; }
    friend constexpr auto operator<=>(const Handle&, const Handle&) = default;
};

/// A host of the system; its number is set in the settings.
using HostId = Handle<struct HostTag>;
/// A data centre; its number is its position in the settings.
using DataCentreId = Handle<struct DataCentreTag>;
/// An upstream known to this host, numbered in the order of first announcements.
using UpstreamId = Handle<struct UpstreamTag>;
/// A caller's request, unique within one process.
using RequestId = Handle<struct RequestTag, uint64_t>;
/// One attempt to have an upstream answer a request, unique within one process.
using AttemptId = Handle<struct AttemptTag, uint64_t>;
/// A call whose reply is pending, unique within one process.
using CallId = Handle<struct CallTag, uint64_t>;
/// A task, unique within a data centre's log.
using TaskId = Handle<struct TaskTag, uint64_t>;

} // namespace eelgrassloft

template <typename Tag, typename Value>
struct std::hash<eelgrassloft::Handle<Tag, Value>> {
    size_t operator()(const eelgrassloft::Handle<Tag, Value>& handle) const noexcept
    {
        return std::hash<Value>()(handle.value);
    }
};
