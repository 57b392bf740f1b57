#include "room_view.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1h };

/// Workers with 4, 8 and 12 processors free.
std::map<WorkerNumber, WorkerLink> threeLinks()
{
    std::map<WorkerNumber, WorkerLink> links;
    for (uint32_t i = 1; i <= 3; ++i) {
        WorkerLink& link = links[WorkerNumber { i }];
        link.number = WorkerNumber { i };
        link.info.capacity = { i * 4000, 32000, 0 };
        link.isSynced = true;
    }
    return links;
}

StepSpec stepOf(uint32_t processorMillis)
{
    StepSpec step;
    step.size = { processorMillis, 1000, 0 };
    return step;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RoomViewTests)

BOOST_AUTO_TEST_CASE(workersAreFoundByTheirNumber)
{
    auto links = threeLinks();
    links[WorkerNumber { 2 }].isSilent = true;
    RoomView room(links, start);
    BOOST_REQUIRE(room.find(WorkerNumber { 3 }));
    BOOST_TEST((room.find(WorkerNumber { 3 })->link->number == WorkerNumber { 3 }));
    BOOST_TEST(!room.find(WorkerNumber { 2 })); // Nothing may be placed there.
    BOOST_TEST(!room.find(WorkerNumber { 4 }));
}

BOOST_AUTO_TEST_CASE(thoseWithTheMostRoomComeFirst)
{
    const auto links = threeLinks();
    RoomView room(links, start);
    BOOST_REQUIRE(room.byRoom().size() == 3U);
    BOOST_TEST((room.byRoom().front()->link->number == WorkerNumber { 3 }));
    BOOST_TEST((room.byRoom().back()->link->number == WorkerNumber { 1 }));
}

BOOST_AUTO_TEST_CASE(whatIsLargerThanARefusedSizeIsRefusedToo)
{
    const auto links = threeLinks();
    RoomView room(links, start);
    BOOST_TEST(!room.hasRoomFor(stepOf(13000)));
    BOOST_TEST(!room.hasRoomFor(stepOf(14000)));
    BOOST_TEST(room.hasRoomFor(stepOf(12000)));
    RoomView::take(*room.find(WorkerNumber { 3 }), stepOf(12000));
    BOOST_TEST(!room.hasRoomFor(stepOf(12000)));
    BOOST_TEST(room.hasRoomFor(stepOf(8000)));
}

BOOST_AUTO_TEST_SUITE_END()
