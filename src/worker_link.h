#pragma once

#include "worker_orders.h"

#include "eelgrassloft/config.h"

#include <map>

namespace eelgrassloft {

enum class RunPhase : uint8_t {
    Reserved, ///< Room is taken; the placement is not yet durable.
    Starting, ///< The order was sent and not answered.
    Running, ///< The worker has confirmed the start, or lists the run.
    Stopping,
    Count
};

constexpr NameTable<RunPhase> nameTable(RunPhase)
{
    constexpr NameTable<RunPhase> table { "reserved", "starting", "running", "stopping" };
    return table;
}

/// What the leader believes of one run on a worker.
struct RunView {
    Resources size;
    bool isBestEffort = false;
    bool canCheckpoint = false;
    uint32_t priority = 0; ///< Of its queue.
    RunPhase phase = RunPhase::Reserved;
    Time confirmedAt {}; ///< When the worker answered the last order, or first listed the run.
    bool isReported = false;
    uint32_t percent = 0;
    Time progressAt {}; ///< When `percent` last rose.
    std::string checkpoint;
    std::string ticket;
    bool isStopRequested = false;
    bool isOrderPending = false; ///< An order for it is under way.
    bool mayStartLate = false; ///< An order was not answered and may still be carried out.
    bool isGang = false;
    Time nextOrder {};
    Time placedAt {};
};

/// Lease of a worker in terms of two clocks. The worker's steady clock may be slow and is known
/// only from its answers, so its present reading is a lower bound.
class WorkerLease {
public:
    void updateClock(Time now, int64_t clockMs)
    {
        if (m_isKnown && clockMs < clockLowerBound(now))
            return;
        m_isKnown = true;
        m_clockMs = clockMs;
        m_seenAt = now;
    }

    bool isClockKnown() const { return m_isKnown; }

    /// The worker's clock shows at least this much.
    int64_t clockLowerBound(Time now) const
    {
        return m_clockMs + (now - m_seenAt) / std::chrono::milliseconds(1) * config::minClockRatePercent / 100;
    }

    /// Reading at which a lease that is given now ends.
    int64_t extend(Time now, Duration length)
    {
        m_endMs = std::max(m_endMs, clockLowerBound(now) + length / std::chrono::milliseconds(1));
        return m_endMs;
    }

    int64_t endMs() const { return m_endMs; }

    /// A lease that another leader gave no later than at `grantedUntil` has this length at most.
    void assumeGranted(Time grantedUntil, Duration length) { m_assumedEnd = grantedUntil + length * 100 / config::minClockRatePercent + config::maxClockDrift; }

    bool isExpired(Time now) const { return now >= latestExpiry(); }

    Time latestExpiry() const
    {
        if (!m_isKnown)
            return m_assumedEnd;
        const auto left = std::chrono::milliseconds(m_endMs - m_clockMs) * 100 / config::minClockRatePercent;
        return std::max(m_assumedEnd, m_seenAt + left + config::maxClockDrift);
    }

private:
    bool m_isKnown = false;
    int64_t m_clockMs = 0;
    Time m_seenAt {};
    int64_t m_endMs = 0;
    Time m_assumedEnd {};
};

/// The leader's view of one life of a worker.
struct WorkerView {
    WorkerNumber number;
    WorkerInfo info;
    std::map<TaskRun, RunView> runs;
    Resources used; ///< By everything that runs, may start or is being stopped.
    WorkerLease lease;
    bool isSynced = false; ///< Has answered a look under the present fence.
    bool isUnresponsive = false; ///< The last look was not answered.
    Time unresponsiveSince {};
    bool hasUnansweredStart = false; ///< A start was not answered, and nothing was since.
    bool isPollPending = false; ///< A look is under way.
    Time nextPoll {};
    uint64_t endsProposed = 0; ///< Ends up to this number are in the log or on their way there.
    uint64_t endsAcknowledged = 0; ///< The worker was told that it may forget ends up to this number.
    Time lastReport {};
    std::vector<JobKey> failedJobs; ///< Distinct jobs that failed here in a row.
    Time quarantinedUntil {};
    bool isOnProbation = false; ///< Set aside before; gets one task at a time until one succeeds.

    bool acceptsPlacements(Time now) const
    {
        if (!isSynced || isUnresponsive || hasUnansweredStart || info.isLeaving || now < quarantinedUntil)
            return false;
        return !isOnProbation || runs.empty();
    }

    Resources freeCapacity() const { return used.fitsIn(info.capacity) ? info.capacity - used : Resources {}; }

    void addRun(const TaskRun& run, RunView runView)
    {
        used += chargedSize(runView);
        runs[run] = std::move(runView);
    }

    void removeRun(const TaskRun& run)
    {
        const auto found = runs.find(run);
        if (found == runs.end())
            return;
        used -= chargedSize(found->second);
        runs.erase(found);
    }

    /// Fillers take no processors of their own.
    static Resources chargedSize(const RunView& runView)
    {
        Resources size = runView.size;
        if (runView.isBestEffort)
            size.processorMillis = 0;
        return size;
    }
};

} // namespace eelgrassloft
