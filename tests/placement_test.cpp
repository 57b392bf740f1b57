#include "placement.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

const Time start(1h);

struct Fixture {
    void addWorker(const std::string& workerName, const std::string& rack, Resources capacity)
    {
        tasks.apply(start, SetWorker { workerName, 1, rack, capacity, false });
        index.rebuild(tasks, start);
    }

    std::string rackOf(WorkerSlot slot) const { return tasks.worker(index.at(slot).name)->rack; }

    TaskTable tasks;
    CapacityIndex index;
    Random random { 3 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlacementTests, Fixture)

BOOST_AUTO_TEST_CASE(bestFitChoosesTheTightestWorker)
{
    addWorker("large", "r1", { 16000, 32768, 0 });
    addWorker("small", "r1", { 4000, 8192, 0 });
    const WorkerSlot slot = BestFit().choose(index, { { 4000, 8192, 0 }, {}, {} }, random);
    BOOST_TEST(index.at(slot).name == "small");
}

BOOST_AUTO_TEST_CASE(bestFitKeepsAcceleratorsForTasksThatUseThem)
{
    addWorker("accelerated", "r1", { 16000, 32768, 4 });
    addWorker("plain", "r1", { 16000, 32768, 0 });
    const WorkerSlot slot = BestFit().choose(index, { { 16000, 1024, 0 }, {}, {} }, random);
    BOOST_TEST(index.at(slot).name == "plain");
}

BOOST_AUTO_TEST_CASE(noWorkerIsChosenThatLacksCapacityInAnyDimension)
{
    addWorker("w", "r1", { 16000, 1024, 0 });
    BOOST_TEST(!BestFit().choose(index, { { 1000, 2048, 0 }, {}, {} }, random).isValid());
    BOOST_TEST(!SpreadOverRacks().choose(index, { { 1000, 1, 1 }, {}, {} }, random).isValid());
    BOOST_TEST(!FirstFit().choose(index, { { 17000, 1, 0 }, {}, {} }, random).isValid());
    BOOST_TEST(!RandomFit().choose(index, { { 17000, 1, 0 }, {}, {} }, random).isValid());
}

BOOST_AUTO_TEST_CASE(servicesSpreadOverRacks)
{
    for (int i = 0; i < 8; ++i)
        addWorker("w" + std::to_string(i), "r" + std::to_string(i / 2), { 16000, 32768, 0 });
    PlacementRequest request { { 1000, 1024, 0 }, {}, {} };
    std::set<std::string> racks;
    std::set<WorkerSlot> workers;
    for (int i = 0; i < 8; ++i) {
        const WorkerSlot slot = SpreadOverRacks().choose(index, request, random);
        BOOST_REQUIRE(slot.isValid());
        ++request.tasksPerRack[index.at(slot).rack];
        ++request.tasksPerWorker[slot];
        racks.insert(rackOf(slot));
        workers.insert(slot);
        if (i == 3)
            BOOST_TEST(racks.size() == 4U);
    }
    BOOST_TEST(workers.size() == 8U);
}

BOOST_AUTO_TEST_CASE(aGangThatFitsOneRackIsPlacedOnIt)
{
    for (int i = 0; i < 6; ++i)
        addWorker("w" + std::to_string(i), "r" + std::to_string(i / 2), { 4000, 32768, 0 });
    const auto slots = chooseGangWorkers(index, { 2000, 1024, 0 }, 4);
    BOOST_REQUIRE(slots.size() == 4U);
    std::set<std::string> racks;
    for (const WorkerSlot slot : slots)
        racks.insert(rackOf(slot));
    BOOST_TEST(racks.size() == 1U);
}

BOOST_AUTO_TEST_CASE(aGangThatDoesNotFitIsNotPlacedAtAll)
{
    addWorker("w", "r1", { 4000, 32768, 0 });
    BOOST_TEST(chooseGangWorkers(index, { 2000, 1024, 0 }, 3).empty());
    BOOST_TEST(chooseGangWorkers(index, { 2000, 1024, 0 }, 2).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
