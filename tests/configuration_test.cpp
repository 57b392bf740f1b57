#include "support/node_cluster.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

Manifest sheetWith(const std::string& jobName)
{
    Manifest sheet;
    sheet.jobs.push_back(JobSpecBuilder(jobName).team("t").size({ 1000, 100, 0 }).dataCentre("dc-0").build());
    return sheet;
}

NodeClusterOptions threeDataCentres()
{
    NodeClusterOptions options;
    options.dataCentres = 3;
    return options;
}

struct Fixture {
    Fixture()
        : cluster(threeDataCentres())
    {
        BOOST_REQUIRE(cluster.runUntilLeadersElected());
    }

    ChangeResult apply(uint32_t host, const Manifest& sheet, const std::string& id, std::optional<uint64_t> expect = {})
    {
        const CallId call = cluster.submitManifest(host, sheet, id, expect);
        BOOST_REQUIRE(cluster.runUntilTrue([&] { return cluster.operatorReply(call) != nullptr; }, 15s));
        const auto* result = std::get_if<ChangeResult>(cluster.operatorReply(call));
        BOOST_REQUIRE(result);
        return *result;
    }

    NodeCluster<> cluster;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Configuration, Fixture)

BOOST_AUTO_TEST_CASE(anAcceptedSheetIsInForceEverywhereSoon)
{
    const ChangeResult result = apply(4, sheetWith("a"), "op-1");
    BOOST_TEST((result.status == ChangeStatus::Accepted));
    const bool isEverywhere = cluster.runUntilTrue([&] {
        for (uint32_t i = 0; i < cluster.hostCount(); ++i) {
            if (cluster.node(i).cell().machine().revision != result.revision)
                return false;
        }
        return true;
    },
        2s);
    BOOST_TEST(isEverywhere);
}

BOOST_AUTO_TEST_CASE(theSameSheetTwiceChangesNothing)
{
    const ChangeResult first = apply(0, sheetWith("a"), "op-1");
    const ChangeResult second = apply(0, sheetWith("a"), "op-2");
    BOOST_TEST((second.status == ChangeStatus::Unchanged));
    BOOST_TEST(second.revision == first.revision);
}

BOOST_AUTO_TEST_CASE(aResendGetsTheFirstAnswerAnywhere)
{
    const ChangeResult first = apply(0, sheetWith("a"), "op-1");
    apply(1, sheetWith("b"), "op-2");
    cluster.run(1s);
    const ChangeResult again = apply(8, sheetWith("a"), "op-1");
    BOOST_TEST((again.status == ChangeStatus::Repeated));
    BOOST_TEST(again.revision == first.revision);
    BOOST_TEST(cluster.node(0).cell().machine().jobs.count("b") == 1U);
}

BOOST_AUTO_TEST_CASE(racingOperatorsUnderOneRevisionHaveOneWinner)
{
    apply(0, sheetWith("a"), "op-1");
    cluster.run(1s);
    const uint64_t revision = cluster.node(0).cell().machine().revision;
    std::vector<CallId> calls;
    for (uint32_t host = 0; host < cluster.hostCount(); ++host)
        calls.push_back(cluster.submitManifest(host, sheetWith("from-" + std::to_string(host)), "race-" + std::to_string(host), revision));
    cluster.run(5s);
    int winners = 0;
    std::string winner;
    std::string named;
    for (size_t i = 0; i < calls.size(); ++i) {
        const auto* reply = cluster.operatorReply(calls[i]);
        BOOST_REQUIRE(reply);
        const auto& result = std::get<ChangeResult>(*reply);
        if (result.status == ChangeStatus::Accepted) {
            ++winners;
            winner = "race-" + std::to_string(i);
        } else {
            BOOST_TEST((result.status == ChangeStatus::Conflict));
            named = result.winner;
        }
    }
    BOOST_TEST(winners == 1);
    BOOST_TEST(named == winner);
}

BOOST_AUTO_TEST_CASE(anAcceptedSheetSurvivesItsLeaderAndAnotherHost)
{
    const ChangeResult result = apply(0, sheetWith("a"), "op-1");
    const uint32_t leader = *cluster.cellLeader();
    cluster.kill(leader);
    cluster.run(10s);
    BOOST_REQUIRE(cluster.runUntilLeadersElected());
    const uint32_t next = *cluster.cellLeader();
    BOOST_TEST(cluster.node(next).cell().machine().revision == result.revision);
    cluster.restart(leader);
    cluster.run(5s);
    cluster.kill(next);
    cluster.run(10s);
    BOOST_REQUIRE(cluster.cellLeader().has_value());
    BOOST_TEST(cluster.node(*cluster.cellLeader()).cell().machine().revision == result.revision);
}

BOOST_AUTO_TEST_CASE(aCutOffDataCentreKeepsItsLastRevision)
{
    const ChangeResult result = apply(0, sheetWith("a"), "op-1");
    cluster.run(1s);
    for (uint32_t inside = 6; inside < 9; ++inside) {
        for (uint32_t outside = 0; outside < 6; ++outside)
            cluster.partition(inside, outside);
    }
    cluster.run(10s);
    const ChangeResult later = apply(0, sheetWith("b"), "op-2");
    BOOST_TEST(cluster.node(7).cell().machine().revision == result.revision);
    const CallId call = cluster.submitManifest(7, sheetWith("c"), "op-3");
    cluster.run(15s);
    BOOST_TEST(std::holds_alternative<Error>(*cluster.operatorReply(call)));
    cluster.healPartitions();
    cluster.run(5s);
    BOOST_TEST(cluster.node(7).cell().machine().revision == later.revision);
}

BOOST_AUTO_TEST_SUITE_END()
