#pragma once

#include "room_view.h"

namespace eelgrassloft {

/// Where a gang that does not fit now should wait. Answers the load at which small tasks fill
/// every worker again before a gang ever finds all of its room at once: workers are kept for it,
/// and runs of later queues that lose nothing by a stop make way.
class GangReservation {
public:
    struct Allotment {
        CapacityView::Worker* worker = nullptr;
        uint32_t tasks = 0;
    };

    /// `candidates` may run the gang's step; `priority` is its queue's. Those in `ready` could start
    /// it at once and go first; next come those that were held for it `before`, so that room that
    /// was made for it stays its own.
    GangReservation(const std::vector<CapacityView::Worker*>& candidates, const StepSpec& step, uint32_t priority,
        const std::set<WorkerNumber>& before, const std::set<WorkerNumber>& ready);

    /// Whether the candidates hold the gang when they are empty.
    bool isPossible() const { return m_isPossible; }
    /// Whether they hold it once what may make way has been stopped.
    bool isPossibleByPreemption() const { return m_isPossibleByPreemption; }
    const std::vector<Allotment>& allotments() const { return m_allotments; }
    /// Runs to stop; those that are being stopped already are not among them.
    const std::vector<RunPlacement>& victims() const { return m_victims; }

    /// Tasks of a step that fit into `freeCapacity` beside each other.
    static uint32_t taskCapacity(const Resources& freeCapacity, const StepSpec& step);

private:
    struct Candidate {
        CapacityView::Worker* worker = nullptr;
        uint32_t now = 0; ///< Tasks that fit, counting what is being stopped as free.
        uint32_t afterPreemption = 0;
        uint32_t empty = 0;
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
