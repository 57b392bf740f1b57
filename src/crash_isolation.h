#pragma once

#include "capacity_view.h"

namespace eelgrassloft {

/// Keeps tasks that may have crashed a worker apart from others, so that the next crash shows its
/// cause and harms as few others as possible. Suspects of one job run on a worker where all other
/// runs are proven. In a busy fleet no worker would ever be so, so that some are withheld from other
/// tasks while suspects wait.
class CrashIsolation {
public:
    using Workers = std::vector<CapacityView::Worker*>;

    /// Begins a plan, and withholds the workers that the last plan chose. Suspects may take most
    /// workers, but only a few that are in use and half of the idle ones while others lack room: each suspect
    /// may take its worker away for seconds.
    void begin(const std::map<WorkerNumber, WorkerView>& workerViews, CapacityView& capacityView, bool lackOthersRoom, Time now);
    void clear() { *this = {}; }

    /// Whether this plan may look at one more step of suspects. With a limit, those that it looks at get
    /// their tickets while the workers withheld for them are still withheld.
    bool takeTurn();
    /// Whether one more worker may be given to suspects.
    bool hasRoom() const { return m_isolated < m_maxIsolated; }
    /// Makes the capacity of the withheld workers free, for suspects, or takes it back.
    void setWithheldFree(CapacityView& capacityView, bool isFree);
    /// Those of the candidates where a gang of suspects may run, or the one with the fewest runs to lose.
    Workers suitable(const Workers& candidates, bool isGang) const;
    /// Gives the worker to suspects, so that this plan places nothing more there.
    void isolate(CapacityView::Worker& worker);
    /// Whether suspects may soon run on the worker, or it was given back and will be tried again.
    bool isIntended(const CapacityView::Worker& worker) const;
    /// Withholds up to `count` of the candidates for suspects of the step, which found no suitable worker.
    void withhold(Workers candidates, const StepSpec& step, size_t count);

private:
    static constexpr size_t maxRunsAtStake = 2; ///< Runs that a suspect may endanger without waiting for their end.
    static constexpr Duration maxClearingTime = std::chrono::seconds(2); ///< How long a withheld worker's other runs are waited for.

    /// A worker that is withheld for suspects.
    struct Withholding {
        Time since {};
        Time clearedAt {}; ///< From then on suspects may run beside those that are left.
        size_t runs = 0; ///< On the worker at the last plan.
    };

    bool isSuitable(const CapacityView::Worker& worker) const;
    /// Ends the withholding of workers that no suspect could use in time, so that other tasks get their
    /// room and suspects try other workers.
    void giveBackUnused(const std::map<WorkerNumber, WorkerView>& workerViews, bool areSuspectsWaiting);
    bool isPaused(WorkerNumber number) const;

    Time m_now {};
    size_t m_isolated = 0; ///< Workers with suspects, those that have not responded since included.
    size_t m_maxIsolated = 0;
    size_t m_turns = 0; ///< Steps of suspects that this plan may still look at.
    std::map<WorkerNumber, Withholding> m_withheld; ///< For the suspects of this plan.
    std::map<WorkerNumber, Withholding> m_nextWithheld; ///< For those of the next one.
    std::map<WorkerNumber, Time> m_givenBack; ///< Workers that no suspect could use, with the time when they were given back.
    Time m_lastRunEnd {}; ///< Of the runs on withheld workers.
    bool m_areSuspectsWaiting = false;
};

} // namespace eelgrassloft
