#pragma once

#include "worker_orders.h"
#include "worker_restraint.h"
#include "worker_speed.h"

#include "eelgrassloft/config.h"

#include <algorithm>
#include <map>

namespace eelgrassloft {

enum class RunPhase : uint8_t {
    Reserved, ///< Capacity is reserved; the placement is not yet durable.
    Starting, ///< The placement is durable; the worker has not confirmed the start.
    Running, ///< The worker has confirmed the start or reported the run.
    Stopping,
    Count
};

constexpr NameTable<RunPhase> nameTable(RunPhase)
{
    constexpr NameTable<RunPhase> table { "reserved", "starting", "running", "stopping" };
    return table;
}

/// State of one run on a worker as far as the leader knows it.
struct RunView {
    Resources size;
    bool isBestEffort = false;
    bool canCheckpoint = false;
    bool isLongRunning = false;
    Duration estimate {}; ///< Expected run time from the start.
    uint32_t priority = 0; ///< Priority of the job's queue.
    RunPhase phase = RunPhase::Reserved;
    Time confirmedAt {}; ///< When the worker confirmed the last order or first reported the run.
    bool isReported = false;
    uint32_t percent = 0;
    Time progressAt {}; ///< When `percent` last changed.
    Time reportedSince {}; ///< When the worker first reported the run.
    uint32_t firstPercent = 0; ///< Progress in that report.
    std::string checkpoint;
    std::string ticket;
    bool isStopRequested = false;
    bool isOrderPending = false; ///< An order for the run has no response yet.
    bool mayStartLate = false; ///< A start had no response and may still be carried out.
    bool isOfNextIncarnation = false; ///< The clock in the response to its start shows a later incarnation than the view's.
    bool isGang = false;
    bool hasStarted = false; ///< The worker has accepted the start or reported the run. An acknowledged stop doesn't show it.
    bool isSuspect = false; ///< Whether the task may have crashed a worker before.
    bool isProven = false; ///< Has been at work for long enough not to be the cause of a later crash.
    Time nextOrder {};
    Duration unanswered {}; ///< How long starts were tried since the last response to one.
    Time placedAt {};
    ProgressSampler speedSampler {}; ///< Of the run's progress, for the speed of its worker.

    /// Whether the worker may be running it: it was not only placed, but ordered to start.
    bool mayBeActive() const { return phase == RunPhase::Running || phase == RunPhase::Stopping || isOrderPending || mayStartLate; }

    /// Whether no order to start the run has had an effect or may have one.
    bool isUnsent() const { return phase == RunPhase::Reserved || (phase == RunPhase::Starting && !isOrderPending && !mayStartLate); }

    /// Whether the worker's next incarnation may have the run, if the view's one was last known to be up
    /// at the given time. The next one carries out starts that were on their way.
    bool mayBeInherited(Time upAt) const
    {
        if (isUnsent())
            return false;
        if (mayStartLate || isOfNextIncarnation)
            return true;
        return !isReported && (isOrderPending || confirmedAt >= upAt);
    }

    /// Whether starts of the run have had no response for so long that it has to run elsewhere.
    bool isUndelivered() const { return unanswered >= config::startDeliveryTimeout; }

    /// Whether the run needs a worker without other runs that could be the cause of a crash.
    bool isIsolated() const { return isSuspect && !isProven; }

    /// Whether the run had been at work for long enough at the given time.
    bool isProvenBy(Time at) const { return isProven || (confirmedAt != Time {} && confirmedAt + config::crashProofTime <= at); }

    /// What the run has to do with a crash of its worker, which was alive until `aliveUntil`.
    CrashEvidence crashEvidence(Time aliveUntil, Time brokenAt) const
    {
        if (isUnsent() || isOfNextIncarnation || placedAt >= brokenAt)
            return CrashEvidence::None;
        if (isProvenBy(aliveUntil))
            return hasStarted ? CrashEvidence::Late : CrashEvidence::None;
        return hasStarted ? CrashEvidence::Strong : CrashEvidence::Weak;
    }

    /// Whether the run is reported without making progress. The members of a gang make none until all
    /// have started. `earlierStops` is how often runs of the task were stopped for that.
    bool isStuck(const StepSpec& spec, uint32_t earlierStops, Time now) const
    {
        const bool isWatched = !spec.isLongRunning && !spec.isBestEffort && isReported && !isStopRequested && percent < 100 && !(isGang && !percent);
        return isWatched && now >= progressAt + stuckTimeout(spec, earlierStops);
    }

    /// Time without progress after which the run counts as stuck: some times what a percent takes by the
    /// estimate or by the progress so far. Both may be far too short or missing, so the time also
    /// doubles with each stop, that a task of any length ends.
    Duration stuckTimeout(const StepSpec& spec, uint32_t earlierStops) const
    {
        const Duration shortest = config::stuckRunTimeout * (isGang ? 2 : 1) * (int64_t { 1 } << std::min(earlierStops, config::maxStuckDoublings));
        const Duration observed = percent > firstPercent ? (progressAt - reportedSince) / (percent - firstPercent) : Duration {};
        return std::max(shortest, std::max(spec.estimate / 100, observed) * config::stuckPercents);
    }
};

/// Lease of a worker in terms of the worker's and the leader's clock. The worker's steady clock may
/// run slow and is known only from its responses, so the leader has a lower bound of its current
/// reading.
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

    /// Whether a response to a call made at `sentAt` is from a later incarnation, whose clock began anew.
    bool isOfNextIncarnation(Time sentAt, int64_t clockMs) const { return m_isKnown && sentAt >= m_seenAt && clockMs < clockLowerBound(sentAt); }

    /// Lowest possible reading of the worker's clock.
    int64_t clockLowerBound(Time now) const
    {
        return m_clockMs + (now - m_seenAt) / std::chrono::milliseconds(1) * config::minClockRatePercent / 100;
    }

    /// Extends the lease by `length` from now. Returns its end on the worker's clock.
    int64_t extend(Time now, Duration length)
    {
        m_endMs = std::max(m_endMs, clockLowerBound(now) + length / std::chrono::milliseconds(1));
        return m_endMs;
    }

    int64_t endMs() const { return m_endMs; }

    /// Accounts for a lease of at most `length` that an earlier leader granted by `grantedUntil`.
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

/// The leader's view of one incarnation of a worker.
struct WorkerView {
    WorkerNumber number;
    WorkerInfo info;
    std::map<TaskRun, RunView> runs;
    Resources used; ///< Taken by all runs in `runs`, whatever their phase.
    uint32_t isolatedRuns = 0; ///< Number of `runs` that are isolated.
    WorkerLease lease;
    bool isSynced = false; ///< Has responded to a poll with the current fencing token.
    bool isUnresponsive = false; ///< The last poll failed.
    bool hasEnded = false; ///< A later incarnation has responded. It inherits the remaining runs with its first report.
    Time upAt {}; ///< When the latest poll was sent that this incarnation has answered.
    Time unresponsiveSince {};
    Time aliveUntil {}; ///< When the worker last showed a sign of life.
    Time brokenAt = never; ///< When the connection of a poll broke before its timeout, if the worker has not responded since.
    bool hasUnansweredStart = false; ///< The last start had no response, and no poll succeeded since.
    bool isPollPending = false; ///< A poll has no response yet.
    Time nextPoll {};
    uint64_t endsProposed = 0; ///< Ends up to this number are in the log or proposed to it.
    uint64_t endsAcknowledged = 0; ///< Ends up to this number were acknowledged to the worker.
    Time lastReport {};
    uint64_t reportSequence = 0; ///< Number of that report.
    std::vector<JobKey> failedJobs; ///< Distinct jobs with failures since the last success on the worker.
    Time evidenceSince {}; ///< Runs placed since then, after the last failure or quarantine, show whether the worker still fails.
    Time quarantinedUntil {};
    WorkerSpeed speed;
    WorkerRestraint restraint;
    Time probationUntil {}; ///< Until then, after its quarantine, the worker gets one task at a time, or until one succeeds.

    bool acceptsPlacements(Time now) const
    {
        if (!isSynced || isUnresponsive || hasUnansweredStart || info.isLeaving || now < quarantinedUntil)
            return false;
        return !isOnProbation(now) || std::none_of(runs.begin(), runs.end(), [&](const auto& entry) { return isOnTrial(entry.first, entry.second); });
    }

    /// Whether the worker is or was quarantined and has to prove that it doesn't fail what it starts.
    bool isOnProbation(Time now) const { return now < probationUntil; }

    Resources freeCapacity() const { return used.fitsIn(info.capacity) ? info.capacity - used : Resources {}; }

    /// Resources taken by the runs that may be active on the worker.
    Resources occupied() const
    {
        Resources sum;
        for (const auto& [run, runView] : runs) {
            if (runView.mayBeActive())
                sum += chargedSize(runView);
        }
        return sum;
    }

    /// Adds a run to `occupied` if its start keeps that within the capacity that the worker reported
    /// last. An order sent again must fit as well, as it may be the one that starts the run.
    bool admitStart(Resources& occupied, const RunView& runView) const
    {
        const Resources size = chargedSize(runView);
        Resources sum = occupied;
        if (!runView.mayBeActive())
            sum += size;
        if (size != Resources {} && !sum.fitsIn(info.capacity))
            return false;
        occupied = sum;
        return true;
    }

    void addRun(const TaskRun& run, RunView runView)
    {
        used += chargedSize(runView);
        isolatedRuns += runView.isIsolated();
        runs[run] = std::move(runView);
    }

    void removeRun(const TaskRun& run)
    {
        const auto found = runs.find(run);
        if (found == runs.end())
            return;
        used -= chargedSize(found->second);
        isolatedRuns -= found->second.isIsolated();
        runs.erase(found);
    }

    /// Notes that the worker was alive at the given time, which clears isolated runs that have been at
    /// work for long enough by then.
    void noteAlive(Time at)
    {
        aliveUntil = std::max(aliveUntil, at);
        if (!isolatedRuns)
            return;
        for (auto& [run, runView] : runs) {
            if (!runView.isIsolated() || !runView.isProvenBy(at))
                continue;
            runView.isProven = true;
            --isolatedRuns;
        }
    }

    /// Tracks consecutive failures. Returns whether the worker is to be quarantined, since the runs of
    /// distinct jobs failed on it. `ended` is the run's view, null if it is unknown.
    bool noteOutcome(Time now, const EndedRun& end, const RunView* ended)
    {
        if (end.runOutcome == RunOutcome::Done) {
            noteSuccess();
            return false;
        }
        if (end.runOutcome != RunOutcome::Failed)
            return false;
        if (probationUntil != Time {} && !isOnProbation(now))
            noteSuccess(); // Nothing has failed since the quarantine.
        const bool isEvidence = !ended || !ended->isLongRunning || isOnTrial(end.run, *ended);
        if (!hasFailed(end.run.task.job))
            failedJobs.push_back(end.run.task.job);
        if (isOnProbation(now))
            return isEvidence;
        evidenceSince = now;
        return failedJobs.size() >= config::failuresToQuarantine;
    }

    /// Notes a success if a long-running task that was placed after the last failure is at work.
    void noteLastingRuns(Time now)
    {
        if (failedJobs.empty() && probationUntil == Time {})
            return;
        const auto isProof = [&](const auto& entry) {
            const RunView& run = entry.second;
            return run.isLongRunning && run.percent == 100 && run.placedAt >= evidenceSince && now >= run.progressAt + config::lastingRunProof;
        };
        if (std::any_of(runs.begin(), runs.end(), isProof))
            noteSuccess();
    }

    void quarantine(Time now)
    {
        quarantinedUntil = evidenceSince = now + config::quarantineDuration;
        probationUntil = quarantinedUntil + config::probationDuration;
    }

    bool hasUnprovenRuns() const
    {
        return std::any_of(runs.begin(), runs.end(), [&](const auto& entry) { return !entry.second.isProvenBy(aliveUntil); });
    }

    /// Resources that a run takes of its worker. Best-effort runs only use processors that others leave
    /// idle.
    static Resources chargedSize(const RunView& runView)
    {
        Resources size = runView.size;
        if (runView.isBestEffort)
            size.processorMillis = 0;
        return size;
    }

private:
    bool hasFailed(JobKey job) const { return std::find(failedJobs.begin(), failedJobs.end(), job) != failedJobs.end(); }

    void noteSuccess()
    {
        failedJobs.clear();
        probationUntil = {};
    }

    /// Whether the outcome of a run shows if the worker still fails what it starts. A long-running task may
    /// fail at any time and is started again for ever, so that one which failed here before shows nothing.
    bool isOnTrial(const TaskRun& run, const RunView& runView) const
    {
        const bool isNew = runView.phase == RunPhase::Reserved || runView.placedAt >= evidenceSince;
        return isNew && !(runView.isLongRunning && hasFailed(run.task.job));
    }
};

} // namespace eelgrassloft
