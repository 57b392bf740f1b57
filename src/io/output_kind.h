#pragma once

#include "eelgrassloft/name_table.h"

#include <cstdint>

namespace eelgrassloft::io {

/// Form in which a command prints its result.
enum class OutputKind : uint8_t {
    Text,
    Json,
    Count
};

constexpr NameTable<OutputKind> nameTable(OutputKind)
{
    constexpr NameTable<OutputKind> table { "text", "json" };
    static_assert(eelgrassloft::detail::isComplete<OutputKind>(table));
    return table;
}

} // namespace eelgrassloft::io
