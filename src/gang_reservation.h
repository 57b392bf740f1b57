#pragma once

#include "capacity_view.h"

namespace eelgrassloft {

/// Chooses workers to reserve for a gang that does not fit now, and runs to preempt there. Without
/// a reservation, small tasks would keep filling freed capacity before the gang ever fits as a
/// whole. Only checkpointed runs of queues with a lower priority are preempted, which lose no work.
class GangReservation {
public:
    struct Allotment {
        CapacityView::Worker* worker = nullptr;
        uint32_t tasks = 0;
    };

    /// Chooses among `candidates`, which may run the gang's step; `priority` is that of its queue.
    /// Workers in `ready` could start the step at once and are tried alone first. Workers in
    /// `previouslyReserved` were reserved for the gang by the previous plan and are preferred, so that
    /// it keeps the capacity freed for it.
    GangReservation(const std::vector<CapacityView::Worker*>& candidates, const StepSpec& step, uint32_t priority,
        const std::set<WorkerNumber>& previouslyReserved, const std::set<WorkerNumber>& ready);

    /// Whether the gang would fit if the candidates were empty.
    bool isPossible() const { return m_isPossible; }
    /// Whether the gang fits once all preemptible runs have been stopped.
    bool isPossibleByPreemption() const { return m_isPossibleByPreemption; }
    const std::vector<Allotment>& allotments() const { return m_allotments; }
    /// Runs to preempt, without those that are being stopped already.
    const std::vector<RunPlacement>& victims() const { return m_victims; }

    /// Number of the step's tasks that fit into `freeCapacity` at the same time.
    static uint32_t taskCapacity(const Resources& freeCapacity, const StepSpec& step);

private:
    struct Candidate {
        CapacityView::Worker* worker = nullptr;
        uint32_t now = 0; ///< Tasks that fit once the runs that are being stopped have ended.
        uint32_t afterPreemption = 0; ///< Tasks that fit once the preemptible runs have ended as well.
        uint32_t empty = 0; ///< Tasks that fit on the worker without any runs.
        bool wasReserved = false;
    };

    static bool isPreemptible(const RunView& run, uint32_t priority);
    Candidate evaluate(CapacityView::Worker& worker, const StepSpec& step, uint32_t priority) const;
    bool choose(const std::vector<Candidate>& candidates, const StepSpec& step, uint32_t Candidate::*count);
    void chooseVictims(const StepSpec& step, uint32_t priority);

    bool m_isPossible = false;
    bool m_isPossibleByPreemption = false;
    std::vector<Allotment> m_allotments;
    std::vector<RunPlacement> m_victims;
};

} // namespace eelgrassloft
