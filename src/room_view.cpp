#include "room_view.h"

#include <algorithm>

namespace eelgrassloft {

namespace {

Resources countedSize(const StepSpec& step)
{
    Resources size = step.size;
    if (step.isBestEffort)
        size.processorMillis = 0;
    return size;
}

} // namespace

RoomView::RoomView(const std::map<WorkerNumber, WorkerLink>& links, Time now)
{
    for (const auto& [number, link] : links) {
        if (link.mayPlace(now))
            m_workers.push_back({ &link, link.room(), {}, link.isOnProbation });
    }
}

bool RoomView::fits(const Worker& worker, const StepSpec& step)
{
    return countedSize(step).fitsIn(worker.room);
}

void RoomView::take(Worker& worker, const StepSpec& step)
{
    if (worker.isOnProbation) {
        worker.room = {};
        return;
    }
    worker.room -= countedSize(step);
}

void RoomView::keep(Worker& worker, const StepSpec& step, uint32_t tasks)
{
    const Resources size = countedSize(step);
    const Resources wanted { size.processorMillis * tasks, size.memoryMiB * tasks, size.accelerators * tasks };
    const Resources taken = componentwiseMin(wanted, worker.room);
    worker.room -= taken;
    worker.promised += wanted - taken;
}

void RoomView::markHeld(const HeldWorkers& held)
{
    std::set<WorkerNumber> all;
    for (const auto& [step, workers] : held)
        all.insert(workers.begin(), workers.end());
    for (Worker& worker : m_workers)
        worker.isHeld = all.count(worker.link->number) > 0;
}

bool RoomView::hasRoomFor(const StepSpec& step)
{
    const Resources size = countedSize(step);
    const auto isSmaller = [&](const Resources& refused) { return refused.fitsIn(size); };
    if (std::any_of(m_refused.begin(), m_refused.end(), isSmaller))
        return false;
    if (std::any_of(m_workers.begin(), m_workers.end(), [&](const Worker& worker) { return fits(worker, step); }))
        return true;
    if (m_refused.size() < config::maxUnplaceableSizes)
        m_refused.push_back(size);
    return false;
}

RoomView::Worker* RoomView::find(WorkerNumber number)
{
    const auto found = std::lower_bound(m_workers.begin(), m_workers.end(), number,
        [](const Worker& worker, WorkerNumber wanted) { return worker.link->number < wanted; });
    return found != m_workers.end() && found->link->number == number ? &*found : nullptr;
}

const std::vector<const RoomView::Worker*>& RoomView::byRoom()
{
    if (m_byRoom.empty()) {
        for (const Worker& worker : m_workers)
            m_byRoom.push_back(&worker);
        std::sort(m_byRoom.begin(), m_byRoom.end(), [](const Worker* a, const Worker* b) {
            return a->room.processorMillis > b->room.processorMillis;
        });
    }
    return m_byRoom;
}

} // namespace eelgrassloft
