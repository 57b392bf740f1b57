#pragma once

#include "io/asio.h"
#include "io/event_log.h"
#include "io/file_log.h"

#include <chrono>

namespace eelgrassloft::io {

/// Restores a log at the start of a process. Waits while the disk refuses the writes that belong to
/// it: nothing may rely on what is not known to be synced, and ending would not free the disk.
template <typename M>
std::optional<RestoredLog<M>> restoreWhenWritable(FileLog<M>& file, EventLog& log)
{
    constexpr std::chrono::milliseconds retryPeriod { 200 }; // Well below an election timeout.
    asio::io_context context;
    asio::steady_timer timer(context);
    auto restored = file.restore();
    if (file.lastError().kind != ErrorKind::FileWriteFailed)
        return restored;
    log.writeError("storage-refused", file.lastError());
    while (file.lastError().kind == ErrorKind::FileWriteFailed) {
        timer.expires_after(retryPeriod);
        timer.wait();
        restored = file.restore();
    }
    log.write("storage-restored", {});
    return restored;
}

} // namespace eelgrassloft::io
