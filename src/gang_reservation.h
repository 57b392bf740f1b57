#pragma once

#include "capacity_view.h"
#include "run_forecast.h"

#include <algorithm>
#include <optional>

namespace eelgrassloft {

/// A worker that may run a gang, with the capacity that it is expected to have.
class GangCandidate {
public:
    /// Number of the step's tasks that fit from a time on.
    struct Fit {
        Time at {};
        uint32_t tasks = 0;
    };

    template <RunForecast Forecast>
    GangCandidate(CapacityView::Worker& worker, const StepSpec& step, uint32_t priority, Time usableUntil, bool wasReserved, const Forecast& forecast, Time now)
        : m_worker(&worker)
        , m_usableUntil(usableUntil)
        , m_wasReserved(wasReserved)
    {
        if (!worker.releases)
            worker.releases = releasesOf(worker, forecast, now);
        addFits(step, priority, now);
    }

    CapacityView::Worker& worker() const { return *m_worker; }
    /// Until when the gang's ticket for the worker can be used; long ago if it has none.
    Time usableUntil() const { return m_usableUntil; }
    /// Whether the previous plan reserved the worker for the gang.
    bool wasReserved() const { return m_wasReserved; }
    /// Tasks that fit, by time; the first entry is for now.
    const std::vector<Fit>& fits() const { return m_fits; }
    /// Tasks that fit once the preemptible runs have been stopped.
    uint32_t afterPreemption() const { return m_afterPreemption; }

    /// Whether a gang of this priority may preempt the run. A checkpointed run only loses the time of
    /// its restore. A run that is nearly done frees its capacity soon anyway.
    static bool isPreemptible(const RunView& run, uint32_t priority);

private:
    template <RunForecast Forecast>
    static std::vector<CapacityView::Release> releasesOf(const CapacityView::Worker& worker, const Forecast& forecast, Time now)
    {
        std::vector<CapacityView::Release> releases;
        for (const auto& [run, runView] : worker.view->runs) {
            const Time end = runView.isStopRequested ? now : forecast.endOf(runView, worker.speed, now);
            if (end != never)
                releases.push_back({ end, WorkerView::chargedSize(runView) });
        }
        std::sort(releases.begin(), releases.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
        return releases;
    }

    void addFits(const StepSpec& step, uint32_t priority, Time now);

    CapacityView::Worker* m_worker;
    Time m_usableUntil;
    bool m_wasReserved;
    std::vector<Fit> m_fits;
    uint32_t m_afterPreemption = 0;
};

/// Chooses workers to reserve for a gang that does not fit now, so that it starts as soon as possible,
/// and runs to preempt there if it would have to wait too long. Without a reservation, small tasks
/// would keep filling freed capacity before the gang ever fits as a whole. Only checkpointed runs of
/// queues with a lower priority are preempted, which lose no work.
class GangReservation {
public:
    struct Allotment {
        const GangCandidate* candidate = nullptr;
        uint32_t tasks = 0;

        CapacityView::Worker& worker() const { return candidate->worker(); }
    };

    /// Chooses among `candidates`, which may run the gang's step. Runs are preempted only if the gang
    /// would otherwise start later than `patience` from now.
    GangReservation(const std::vector<GangCandidate>& candidates, const StepSpec& step, uint32_t priority, Duration patience, Time now);

    /// Reserves for a start without preemption instead.
    void waitForCapacity();

    /// Whether the gang would fit at some time.
    bool isPossible() const { return m_startsAt != never; }
    /// When the gang is expected to fit, once the victims have been stopped.
    Time startsAt() const { return m_startsAt; }
    /// When the gang is expected to fit if no runs are stopped for it.
    Time startsAtWithoutPreemption() const { return m_withoutPreemption ? m_withoutPreemption->startsAt : m_startsAt; }
    const std::vector<Allotment>& allotments() const { return m_allotments; }
    /// Candidates that fit more tasks soon after the start, for when an allotted worker does not become
    /// free as expected or is taken by something more urgent. They are not reserved.
    const std::vector<const GangCandidate*>& spares() const { return m_spares; }
    /// Runs to preempt, without those that are being stopped already.
    const std::vector<RunPlacement>& victims() const { return m_victims; }

    /// Number of the step's tasks that fit into `freeCapacity` at the same time.
    static uint32_t taskCapacity(const Resources& freeCapacity, const StepSpec& step);

private:
    struct Choice {
        Time startsAt = never;
        std::vector<Allotment> allotments {};
        std::vector<const GangCandidate*> spares {};
    };

    template <typename Predicate>
    Choice earliest(const std::vector<GangCandidate>& candidates, Predicate isWanted) const;
    template <typename Predicate>
    Choice byPreemption(const std::vector<GangCandidate>& candidates, Predicate isWanted) const;
    void take(Choice choice);
    void chooseVictims(uint32_t priority);

    const StepSpec& m_step;
    Time m_now;
    Time m_startsAt = never;
    std::optional<Choice> m_withoutPreemption; ///< Set if the present choice needs preemption.
    std::vector<Allotment> m_allotments;
    std::vector<const GangCandidate*> m_spares;
    std::vector<RunPlacement> m_victims;
};

} // namespace eelgrassloft
