#include "room_view.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1h };

/// Workers with 4, 8 and 12 processors free.
std::map<WorkerNumber, WorkerView> threeWorkers()
{
    std::map<WorkerNumber, WorkerView> workerViews;
    for (uint32_t i = 1; i <= 3; ++i) {
        WorkerView& workerView = workerViews[WorkerNumber { i }];
        workerView.number = WorkerNumber { i };
        workerView.info.capacity = { i * 4000, 32000, 0 };
        workerView.isSynced = true;
    }
    return workerViews;
}

StepSpec stepOf(uint32_t processorMillis)
{
    StepSpec step;
    step.size = { processorMillis, 1000, 0 };
    return step;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CapacityViewTests)

BOOST_AUTO_TEST_CASE(workersAreFoundByTheirNumber)
{
    auto workerViews = threeWorkers();
    workerViews[WorkerNumber { 2 }].isUnresponsive = true;
    CapacityView room(workerViews, start);
    BOOST_REQUIRE(room.find(WorkerNumber { 3 }));
    BOOST_TEST((room.find(WorkerNumber { 3 })->workerView->number == WorkerNumber { 3 }));
    BOOST_TEST(!room.find(WorkerNumber { 2 })); // Nothing may be placed there.
    BOOST_TEST(!room.find(WorkerNumber { 4 }));
}

BOOST_AUTO_TEST_CASE(thoseWithTheMostRoomComeFirst)
{
    const auto workerViews = threeWorkers();
    CapacityView room(workerViews, start);
    BOOST_REQUIRE(room.byFreeCapacity().size() == 3U);
    BOOST_TEST((room.byFreeCapacity().front()->workerView->number == WorkerNumber { 3 }));
    BOOST_TEST((room.byFreeCapacity().back()->workerView->number == WorkerNumber { 1 }));
}

BOOST_AUTO_TEST_CASE(whatIsLargerThanARefusedSizeIsRefusedToo)
{
    const auto workerViews = threeWorkers();
    CapacityView room(workerViews, start);
    BOOST_TEST(!room.hasCapacityFor(stepOf(13000)));
    BOOST_TEST(!room.hasCapacityFor(stepOf(14000)));
    BOOST_TEST(room.hasCapacityFor(stepOf(12000)));
    CapacityView::allocate(*room.find(WorkerNumber { 3 }), stepOf(12000));
    BOOST_TEST(!room.hasCapacityFor(stepOf(12000)));
    BOOST_TEST(room.hasCapacityFor(stepOf(8000)));
}

BOOST_AUTO_TEST_SUITE_END()
