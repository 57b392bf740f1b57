#pragma once

#include "eelgrassloft/work.h"

namespace eelgrassloft {

/// Fence of the orders to one incarnation of a worker: by the term, then by the incarnation. A worker refuses
/// orders with a lower fence than one that it has seen, so that those to its former incarnation and those of
/// a former leader have no effect after the first call to it.
///
/// A leader knows all incarnations that former ones have registered, so that neither the term nor the number
/// falls for one worker. With more numbers than a term has room for, the fence still rises with each of them.
/// Up to a term of 2^27 it is below 2^53, as workers may hold it as a floating-point number.
constexpr uint64_t workerFence(uint64_t term, WorkerNumber incarnation)
{
    constexpr uint64_t incarnationsPerTerm = uint64_t { 1 } << 26;
    return term * incarnationsPerTerm + incarnation.value;
}

} // namespace eelgrassloft
