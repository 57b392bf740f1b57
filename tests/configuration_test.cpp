#include "support/node_cluster.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

Manifest manifestWith(const std::string& jobName)
{
    Manifest manifest;
    manifest.jobs.push_back(JobSpecBuilder(jobName).team("t").size({ 1000, 100, 0 }).dataCentre("dc-0").build());
    return manifest;
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

    ChangeResult apply(uint32_t host, const Manifest& manifest, const std::string& id, std::optional<uint64_t> expect = {})
    {
        const CallId call = cluster.submitManifest(host, manifest, id, expect);
        BOOST_REQUIRE(cluster.runUntilTrue([&] { return cluster.operatorReply(call) != nullptr; }, 15s));
        const auto* result = std::get_if<ChangeResult>(cluster.operatorReply(call));
        BOOST_REQUIRE(result);
        return *result;
    }

    NodeCluster<> cluster;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Configuration, Fixture)

BOOST_AUTO_TEST_CASE(anAcceptedManifestReachesEveryHost)
{
    const ChangeResult result = apply(4, manifestWith("a"), "op-1");
    BOOST_TEST((result.status == ChangeStatus::Accepted));
    const bool isEverywhere = cluster.runUntilTrue([&] {
        for (uint32_t i = 0; i < cluster.hostCount(); ++i) {
            if (cluster.node(i).cell().stateMachine().revision != result.revision)
                return false;
        }
        return true;
    },
        2s);
    BOOST_TEST(isEverywhere);
}

BOOST_AUTO_TEST_CASE(anUnchangedManifestKeepsTheRevision)
{
    const ChangeResult first = apply(0, manifestWith("a"), "op-1");
    const ChangeResult second = apply(0, manifestWith("a"), "op-2");
    BOOST_TEST((second.status == ChangeStatus::Unchanged));
    BOOST_TEST(second.revision == first.revision);
}

BOOST_AUTO_TEST_CASE(aResentOperationGetsItsFirstResultFromAnyHost)
{
    const ChangeResult first = apply(0, manifestWith("a"), "op-1");
    apply(1, manifestWith("b"), "op-2");
    cluster.run(1s);
    const ChangeResult again = apply(8, manifestWith("a"), "op-1");
    BOOST_TEST((again.status == ChangeStatus::Repeated));
    BOOST_TEST(again.revision == first.revision);
    BOOST_TEST(cluster.node(0).cell().stateMachine().jobs.count("b") == 1U);
}

BOOST_AUTO_TEST_CASE(oneOfSeveralConcurrentChangesToARevisionIsAccepted)
{
    apply(0, manifestWith("a"), "op-1");
    cluster.run(1s);
    const uint64_t revision = cluster.node(0).cell().stateMachine().revision;
    std::vector<CallId> calls;
    for (uint32_t host = 0; host < cluster.hostCount(); ++host)
        calls.push_back(cluster.submitManifest(host, manifestWith("from-" + std::to_string(host)), "race-" + std::to_string(host), revision));
    cluster.run(5s);
    int winners = 0;
    std::string winningOperation;
    std::string named;
    for (size_t i = 0; i < calls.size(); ++i) {
        const auto* reply = cluster.operatorReply(calls[i]);
        BOOST_REQUIRE(reply);
        const auto& result = std::get<ChangeResult>(*reply);
        if (result.status == ChangeStatus::Accepted) {
            ++winners;
            winningOperation = "race-" + std::to_string(i);
        } else {
            BOOST_TEST((result.status == ChangeStatus::Conflict));
            named = result.winningOperation;
        }
    }
    BOOST_TEST(winners == 1);
    BOOST_TEST(named == winningOperation);
}

BOOST_AUTO_TEST_CASE(anAcceptedManifestSurvivesTheLossOfTwoLeaders)
{
    const ChangeResult result = apply(0, manifestWith("a"), "op-1");
    const uint32_t leader = *cluster.cellLeader();
    cluster.kill(leader);
    cluster.run(10s);
    BOOST_REQUIRE(cluster.runUntilLeadersElected());
    const uint32_t next = *cluster.cellLeader();
    BOOST_TEST(cluster.node(next).cell().stateMachine().revision == result.revision);
    cluster.restart(leader);
    cluster.run(5s);
    cluster.kill(next);
    cluster.run(10s);
    BOOST_REQUIRE(cluster.cellLeader().has_value());
    BOOST_TEST(cluster.node(*cluster.cellLeader()).cell().stateMachine().revision == result.revision);
}

BOOST_AUTO_TEST_CASE(aPartitionedDataCentreKeepsItsLastRevision)
{
    const ChangeResult result = apply(0, manifestWith("a"), "op-1");
    cluster.run(1s);
    for (uint32_t inside = 6; inside < 9; ++inside) {
        for (uint32_t outside = 0; outside < 6; ++outside)
            cluster.partition(inside, outside);
    }
    cluster.run(10s);
    const ChangeResult later = apply(0, manifestWith("b"), "op-2");
    BOOST_TEST(cluster.node(7).cell().stateMachine().revision == result.revision);
    const CallId call = cluster.submitManifest(7, manifestWith("c"), "op-3");
    cluster.run(15s);
    BOOST_TEST(std::holds_alternative<Error>(*cluster.operatorReply(call)));
    cluster.healPartitions();
    cluster.run(5s);
    BOOST_TEST(cluster.node(7).cell().stateMachine().revision == later.revision);
}

BOOST_AUTO_TEST_SUITE_END()
