#pragma once

#include "room_view.h"

namespace eelgrassloft {

/// Where a gang that does not fit now should wait. Answers the load at which small tasks fill
/// every worker again before a gang ever finds all of its room at once: workers are kept for it,
/// and runs of later queues that lose nothing by a stop make way.
class GangHold {
public:
    struct Share {
        RoomView::Worker* worker = nullptr;
        uint32_t tasks = 0;
    };

    /// `candidates` may run the gang's step; `priority` is its queue's. Those in `ready` could start
    /// it at once and go first; next come those that were held for it `before`, so that room that
    /// was made for it stays its own.
    GangHold(const std::vector<RoomView::Worker*>& candidates, const StepSpec& step, uint32_t priority,
        const std::set<WorkerNumber>& before, const std::set<WorkerNumber>& ready);

    /// Whether the candidates hold the gang when they are empty.
    bool isPossible() const { return m_isPossible; }
    /// Whether they hold it once what may make way has been stopped.
    bool isPossibleByStops() const { return m_isPossibleByStops; }
    const std::vector<Share>& shares() const { return m_shares; }
    /// Runs to stop; those that are being stopped already are not among them.
    const std::vector<RunPlacement>& victims() const { return m_victims; }

    /// Tasks of a step that fit into `room` beside each other.
    static uint32_t holdCount(const Resources& room, const StepSpec& step);

private:
    struct Candidate {
        RoomView::Worker* worker = nullptr;
        uint32_t now = 0; ///< Tasks that fit, counting what is being stopped as free.
        uint32_t byStops = 0;
        uint32_t empty = 0;
        bool wasHeld = false;
    };

    static bool mayMakeWay(const RunView& run, uint32_t priority);
    Candidate measure(RoomView::Worker& worker, const StepSpec& step, uint32_t priority) const;
    bool choose(const std::vector<Candidate>& candidates, const StepSpec& step, uint32_t Candidate::*count);
    void chooseVictims(const StepSpec& step, uint32_t priority);

    bool m_isPossible = false;
    bool m_isPossibleByStops = false;
    std::vector<Share> m_shares;
    std::vector<RunPlacement> m_victims;
};

} // namespace eelgrassloft
