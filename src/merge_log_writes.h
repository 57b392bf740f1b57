#pragma once

#include "replica_messages.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace eelgrassloft {

/// Adds `later` to `earlier`, so that one write has the effect of both. A later snapshot replaces the
/// earlier one and the entries that it covers: however many writes are merged, what remains is one
/// snapshot and the entries after it.
template <typename M>
void mergeLogWrite(LogWrite<M>& earlier, LogWrite<M> later)
{
    earlier.sequence = later.sequence;
    if (later.state)
        earlier.state = later.state;
    if (later.truncateFrom) {
        std::erase_if(earlier.entries, [&](const LogEntry<M>& entry) { return entry.index >= later.truncateFrom; });
        earlier.truncateFrom = earlier.truncateFrom ? std::min(earlier.truncateFrom, later.truncateFrom) : later.truncateFrom;
    }
    std::move(later.entries.begin(), later.entries.end(), std::back_inserter(earlier.entries));
    if (later.snapshot) {
        earlier.snapshot = std::move(later.snapshot);
        std::erase_if(earlier.entries, [&](const LogEntry<M>& entry) { return entry.index <= earlier.snapshot->index; });
    }
}

} // namespace eelgrassloft
