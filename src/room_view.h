#pragma once

#include "worker_link.h"

#include <set>

namespace eelgrassloft {

/// Workers that are kept for steps that wait for room.
using HeldWorkers = std::map<TaskRef, std::set<WorkerNumber>>;

/// Places the tasks of one plan. It works on a copy of the workers' free room, so that what one
/// step takes is not given to the next.
class RoomView {
public:
    RoomView(const std::map<WorkerNumber, WorkerLink>& links, Time now);

    struct Worker {
        const WorkerLink* link = nullptr;
        Resources room;
        Resources promised; ///< Of what is still to become free, to steps that wait for it.
        bool isOnProbation = false;
        bool isHeld = false; ///< A gang waits for room here.
    };

    std::vector<Worker>& workers() { return m_workers; }
    /// The worker, if something may be placed there.
    Worker* find(WorkerNumber number);
    /// Those with the most room at the plan's begin first.
    const std::vector<const Worker*>& byRoom();
    static void take(Worker& worker, const StepSpec& step);
    /// Takes as much as is there of the room of `tasks`, and promises the rest.
    static void keep(Worker& worker, const StepSpec& step, uint32_t tasks);
    static bool fits(const Worker& worker, const StepSpec& step);
    /// Whether some worker has room for one task. Room only shrinks within a plan, so sizes that
    /// were refused are remembered.
    bool hasRoomFor(const StepSpec& step);
    void markHeld(const HeldWorkers& held);

private:
    std::vector<Worker> m_workers; ///< In the order of their numbers.
    std::vector<const Worker*> m_byRoom;
    std::vector<Resources> m_refused;
};

} // namespace eelgrassloft
