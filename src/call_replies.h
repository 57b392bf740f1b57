#pragma once

#include "queue_lookup.h"
#include "worker_dispatcher.h"

#include <algorithm>

namespace eelgrassloft {

/// Reply to a call whose command was applied.
inline ControlReply replyTo(const WorkResult& result)
{
    switch (result.status) {
    case WorkStatus::UnknownQueue:
        return { ControlStatus::UnknownQueue, {}, 0, {} };
    case WorkStatus::UnknownJob:
        return { ControlStatus::UnknownJob, {}, 0, {} };
    case WorkStatus::CancelledEarly:
        return { ControlStatus::CancelledEarly, {}, 0, {} };
    case WorkStatus::NoMemory:
        return { ControlStatus::NoMemory, {}, 0, {} };
    case WorkStatus::NameTaken:
        return { ControlStatus::NameTaken, {}, 0, {} };
    default:
        return {};
    }
}

/// Number of the queue's jobs of which no run has started, including jobs whose placements no
/// worker has confirmed yet.
inline uint64_t pendingJobs(const WorkTable& table, const WorkerDispatcher& dispatcher, const std::string& queue)
{
    const auto isPending = [&](JobKey key) {
        const WorkJob& job = *table.job(key);
        return job.queue.name == queue && !dispatcher.hasStarted(key) && !job.hasFinishedRuns();
    };
    return static_cast<uint64_t>(std::count_if(table.openJobs().begin(), table.openJobs().end(), isPending));
}

} // namespace eelgrassloft
