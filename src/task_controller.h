#pragma once

#include "claim_coordinator.h"
#include "job_sync.h"
#include "log_member.h"
#include "task_scheduler.h"
#include "worker_controller.h"

namespace eelgrassloft {

using DataCentreLog = LogMember<DataCentreStateMachine, DataCentreContext>;

/// Control of a data centre's tasks by the leader of its log. While this host has the leader's lease, it
/// serves the workers, plans placements and brings the jobs up to the cell's manifest.
template <PlacementPolicy Pack, PlacementPolicy Spread>
class TaskController {
public:
    TaskController(Pack pack, Spread spread)
        : m_scheduler(std::move(pack), std::move(spread))
    {
    }

    /// Whether this host leads the data centre's log under a valid lease.
    bool hasLeaderLease() const { return m_hasLeaderLease; }
    const TaskScheduler<Pack, Spread>& scheduler() const { return m_scheduler; }
    Time nextDeadline() const { return m_hasLeaderLease ? std::min(m_workers.nextDeadline(), m_scheduler.nextPlanTime()) : never; }

    /// Handles a worker's report. Only for the leader.
    void report(NodeStep& step, const DataCentreLog& log, const WorkerReport& report, WorkerCall call)
    {
        m_workers.report(step, tasksOf(log), report, call);
    }

    void updateLeadership(NodeStep& step, const DataCentreLog& log)
    {
        const bool hasLeaderLease = log.hasLease(step.now);
        const uint64_t term = log.replica().term();
        if (hasLeaderLease && (!m_hasLeaderLease || term != m_leaseTerm)) {
            if (term != m_leaseTerm) {
                m_workers.start(tasksOf(log), step.now);
                m_scheduler.start(tasksOf(log), step.now);
            }
            m_leaseTerm = term;
        }
        if (!log.isLeader() && m_wasLeader)
            m_workers.stop(step);
        m_wasLeader = log.isLeader();
        m_hasLeaderLease = hasLeaderLease;
        m_workers.setMayRenew(hasLeaderLease);
    }

    /// Acts on entries that were applied to the log's state.
    void handleApplied(NodeStep& step, const DataCentreLog& log)
    {
        if (!m_hasLeaderLease)
            return;
        m_workers.sendNewCommands(step, tasksOf(log));
        m_scheduler.requestPlan(step.now);
    }

    void tick(NodeStep& step, DataCentreLog& log, const CellStateMachine& cell)
    {
        updateLeadership(step, log);
        if (!m_hasLeaderLease)
            return;
        m_workers.tick(step, tasksOf(log));
        syncJobs(step, log, cell);
        for (TaskCommand& command : m_workers.takeCommands())
            log.proposeLocally(step, std::move(command));
        plan(step, log);
        if (log.flush(step)) // A single voter without storage commits and applies at once.
            handleApplied(step, log);
        closeAppliedPlan(step, log);
    }

private:
    static const TaskTable& tasksOf(const DataCentreLog& log) { return log.stateMachine().tasks; }

    void plan(NodeStep& step, DataCentreLog& log)
    {
        if (step.now < m_scheduler.nextPlanTime())
            return;
        std::vector<TaskCommand> commands = m_scheduler.plan(step, tasksOf(log), m_workers.learnedSizes());
        for (TaskCommand& command : commands) {
            countPlanned(step, command);
            if (!log.proposeLocally(step, std::move(command))) {
                m_scheduler.closePlan(tasksOf(log), step.now + config::proposalRetryInterval);
                break;
            }
        }
        m_planLogIndex = log.replica().lastIndex();
    }

    void closeAppliedPlan(NodeStep& step, const DataCentreLog& log)
    {
        if (m_scheduler.isPlanOpen() && log.replica().commitIndex() >= m_planLogIndex)
            m_scheduler.closePlan(tasksOf(log), step.now);
    }

    static void countPlanned(NodeStep& step, const TaskCommand& command)
    {
        if (const auto* place = std::get_if<PlaceTasks>(&command))
            step.counters.add(CounterKind::TasksPlaced, place->placements.size());
        if (const auto* preempt = std::get_if<PreemptTasks>(&command))
            step.counters.add(CounterKind::TasksPreempted, preempt->tasks.size());
    }

    /// Proposes the changes that bring the data centre's jobs and quotas up to the cell's manifest. At
    /// most one such proposal is open at a time.
    void syncJobs(NodeStep& step, DataCentreLog& log, const CellStateMachine& cell)
    {
        const bool isOpen = m_jobSyncIndex > log.replica().commitIndex() && m_jobSyncTerm == log.replica().term();
        if (cell.revision <= tasksOf(log).cellRevision() || isOpen)
            return;
        TaskCommand command = jobSyncCommand(cell, tasksOf(log), step.peers.ownDataCentre());
        if (!log.proposeLocally(step, std::move(command)))
            return;
        m_jobSyncIndex = log.replica().lastIndex();
        m_jobSyncTerm = log.replica().term();
    }

    WorkerController m_workers;
    TaskScheduler<Pack, Spread> m_scheduler;
    bool m_wasLeader = false; ///< Whether this host led the data centre's log at the last update, lease or not.
    bool m_hasLeaderLease = false;
    uint64_t m_leaseTerm = 0; ///< Term in which this host last led under a lease.
    uint64_t m_planLogIndex = 0; ///< Last entry of the open plan.
    uint64_t m_jobSyncIndex = 0; ///< Entry of the last `SyncJobs` proposal, and its term.
    uint64_t m_jobSyncTerm = 0;
};

} // namespace eelgrassloft
