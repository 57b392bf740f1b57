#include "capacity_view.h"

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

BOOST_AUTO_TEST_CASE(workersAreFoundByNumber)
{
    auto workerViews = threeWorkers();
    workerViews[WorkerNumber { 2 }].isUnresponsive = true;
    CapacityView view(workerViews, start);
    BOOST_REQUIRE(view.find(WorkerNumber { 3 }));
    BOOST_TEST((view.find(WorkerNumber { 3 })->view->number == WorkerNumber { 3 }));
    BOOST_TEST(!view.find(WorkerNumber { 2 })); // Nothing may be placed there.
    BOOST_TEST(!view.find(WorkerNumber { 4 }));
}

BOOST_AUTO_TEST_CASE(workersAreSortedByFreeCapacity)
{
    const auto workerViews = threeWorkers();
    CapacityView view(workerViews, start);
    BOOST_REQUIRE(view.byFreeCapacity().size() == 3U);
    BOOST_TEST((view.byFreeCapacity().front()->view->number == WorkerNumber { 3 }));
    BOOST_TEST((view.byFreeCapacity().back()->view->number == WorkerNumber { 1 }));
}

BOOST_AUTO_TEST_CASE(sizesAboveARejectedOneAreRejected)
{
    const auto workerViews = threeWorkers();
    CapacityView view(workerViews, start);
    BOOST_TEST(!view.hasCapacityFor(stepOf(13000)));
    BOOST_TEST(!view.hasCapacityFor(stepOf(14000)));
    BOOST_TEST(view.hasCapacityFor(stepOf(12000)));
    CapacityView::allocate(*view.find(WorkerNumber { 3 }), stepOf(12000));
    BOOST_TEST(!view.hasCapacityFor(stepOf(12000)));
    BOOST_TEST(view.hasCapacityFor(stepOf(8000)));
}

BOOST_AUTO_TEST_SUITE_END()
