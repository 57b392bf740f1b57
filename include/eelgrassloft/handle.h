#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>

namespace eelgrassloft {

/// Typed number that names one object. Default construction gives the invalid handle.
template <typename Tag, typename Value = uint32_t>
struct Handle {
    using value_type = Value;
    static constexpr Value invalidValue = std::numeric_limits<Value>::max();

    Value value = invalidValue;

    constexpr bool isValid() const { return value != invalidValue; }
    friend constexpr auto operator<=>(const Handle&, const Handle&) = default;
};

/// A host of the system, numbered in the settings.
using HostId = Handle<struct HostTag>;
/// A data centre, numbered by its place in the settings.
using DataCentreId = Handle<struct DataCentreTag>;
/// An upstream known to this host, numbered by its first announcement.
using UpstreamId = Handle<struct UpstreamTag>;
/// A request of a caller, unique within one process.
using RequestId = Handle<struct RequestTag, uint64_t>;
/// One try of a request at one upstream, unique within one process.
using AttemptId = Handle<struct AttemptTag, uint64_t>;
/// An operator's or worker's call waiting for its reply, unique within one process.
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
