#pragma once

#include "eelgrassloft/name_table.h"

#include <cstdint>
#include <tuple>

namespace eelgrassloft {

/// Resource dimensions of tasks and workers.
enum class Dimension : uint8_t {
    Processors,
    Memory,
    Accelerators,
    Count
};

constexpr NameTable<Dimension> nameTable(Dimension)
{
    constexpr NameTable<Dimension> table { "processors", "memory", "accelerators" };
    return table;
}

/// An amount of each resource dimension: a task's size or a worker's capacity.
struct Resources {
    uint32_t processorMillis = 0; ///< Thousandths of a processor.
    uint32_t memoryMiB = 0;
    uint32_t accelerators = 0;

    static constexpr auto members()
    {
        return std::make_tuple(&Resources::processorMillis, &Resources::memoryMiB, &Resources::accelerators);
    }

    constexpr uint32_t amount(Dimension dimension) const
    {
        switch (dimension) {
        case Dimension::Processors:
            return processorMillis;
        case Dimension::Memory:
            return memoryMiB;
        default:
            return accelerators;
        }
    }

    constexpr bool fitsIn(const Resources& capacity) const
    {
        return processorMillis <= capacity.processorMillis && memoryMiB <= capacity.memoryMiB && accelerators <= capacity.accelerators;
    }

    constexpr Resources& operator+=(const Resources& other)
    {
        processorMillis += other.processorMillis;
        memoryMiB += other.memoryMiB;
        accelerators += other.accelerators;
        return *this;
    }

    /// Subtracts without a check for underflow: the caller has checked `other.fitsIn(*this)`.
    constexpr Resources& operator-=(const Resources& other)
    {
        processorMillis -= other.processorMillis;
        memoryMiB -= other.memoryMiB;
        accelerators -= other.accelerators;
        return *this;
    }

    friend constexpr Resources operator+(Resources a, const Resources& b) { return a += b; }
    friend constexpr Resources operator-(Resources a, const Resources& b) { return a -= b; }
    friend constexpr bool operator==(const Resources&, const Resources&) = default;
};

/// Returns the smaller amount of each dimension.
constexpr Resources componentwiseMin(const Resources& a, const Resources& b)
{
    return { a.processorMillis < b.processorMillis ? a.processorMillis : b.processorMillis,
        a.memoryMiB < b.memoryMiB ? a.memoryMiB : b.memoryMiB, a.accelerators < b.accelerators ? a.accelerators : b.accelerators };
}

} // namespace eelgrassloft
