#include "support/worker_dispatcher_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

/// Ends of `runs` from `first` on, of which a worker lists `limit` at most.
OrderResponse responseWithEnds(const WorkerDispatcherFixture& fixture, const std::vector<TaskRun>& runs, size_t first, size_t limit)
{
    OrderResponse response = fixture.accepted();
    for (size_t i = first; i < runs.size() && response.ends.size() < limit; ++i)
        response.ends.push_back({ i + 1, runs[i], RunOutcome::Done, {} });
    response.mayHaveMoreEnds = response.ends.size() == limit;
    return response;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerEndsTests)

/// Ends that did not fit into a worker's list were taken for lost runs, and the tasks ran again.
BOOST_AUTO_TEST_CASE(endsBeyondTheLongestListAreNotTakenForLostRuns)
{
    constexpr size_t limit = 2;
    for (const size_t count : { limit - 1, limit, limit + 1, 2 * limit, 4 * limit }) {
        for (const bool isNextLeader : { false, true }) {
            WorkerDispatcherFixture fixture(count);
            std::vector<TaskRun> runs;
            for (uint64_t key = 1; key <= count; ++key)
                runs.push_back(fixture.start(key));
            fixture.respond(OrderKind::Poll, fixture.accepted());
            if (isNextLeader)
                fixture.changeLeader();
            size_t acknowledged = 0;
            for (size_t round = 0; acknowledged < count && round < 3 * count; ++round) {
                fixture.advance(200ms);
                acknowledged = fixture.lastPoll().acknowledgedEnd;
                fixture.respond(OrderKind::Poll, responseWithEnds(fixture, runs, acknowledged, limit));
            }
            BOOST_TEST(acknowledged == count);
            for (uint64_t key = 1; key <= count; ++key)
                BOOST_TEST((fixture.job(key).state == WorkState::Done)); // Only the end of the latest run ends a job.
        }
    }
}

BOOST_AUTO_TEST_CASE(runsMissingFromAWholeListAreRequeued)
{
    WorkerDispatcherFixture fixture(3);
    std::vector<TaskRun> runs;
    for (uint64_t key = 1; key <= 3; ++key)
        runs.push_back(fixture.start(key));
    fixture.respond(OrderKind::Poll, fixture.accepted());
    fixture.advance(200ms);
    fixture.respond(OrderKind::Poll, responseWithEnds(fixture, { runs.front() }, 0, 5));
    BOOST_TEST(fixture.isRequeued(runs[1]));
    BOOST_TEST(fixture.isRequeued(runs[2]));
}

/// The next incarnation of a worker took the acknowledgement of a former one's ends for its own ends, and
/// forgot them before they were recorded.
BOOST_AUTO_TEST_CASE(endsAreAcknowledgedOnlyToTheIncarnationThatListedThem)
{
    WorkerDispatcherFixture fixture;
    const TaskRun run = fixture.start(1);
    fixture.respond(OrderKind::Poll, fixture.accepted());
    fixture.advance(200ms);
    fixture.respond(OrderKind::Poll, responseWithEnds(fixture, { run }, 0, 2));
    fixture.advance(200ms);
    BOOST_TEST(fixture.lastPoll().acknowledgedEnd == 1U);
    fixture.respond(OrderKind::Poll, OrderOutcome::NoResponse);
    fixture.advance(200ms);
    BOOST_TEST(fixture.ordersOf(OrderKind::Poll).size() == 1U);
    BOOST_TEST(fixture.lastPoll().acknowledgedEnd == 0U); // Another incarnation may answer.
    fixture.changeLeader();
    BOOST_TEST(fixture.ordersOf(OrderKind::Poll).size() == 1U);
    BOOST_TEST(fixture.lastPoll().acknowledgedEnd == 0U);
    fixture.respond(OrderKind::Poll, fixture.accepted());
    fixture.advance(200ms);
    BOOST_TEST(fixture.lastPoll().acknowledgedEnd == 1U);
    fixture.respond(OrderKind::Poll, fixture.accepted());
    fixture.advance(1s);
    BOOST_TEST(fixture.ordersOf(OrderKind::Poll).empty());
}

BOOST_AUTO_TEST_SUITE_END()
