#include "support/replica_cluster.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <iostream>
#include <numeric>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

rc::Gen<Fault> faultGen()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::element(0, 1, 2, 3, 3, 4), rc::gen::arbitrary<uint16_t>(), rc::gen::arbitrary<uint16_t>(), rc::gen::inRange<uint32_t>(1, 1500)),
        [](const auto& parts) {
            const auto& [kind, a, b, milliseconds] = parts;
            return Fault { static_cast<FaultKind>(kind), a, b, milliseconds };
        });
}

struct Totals {
    uint64_t runs = 0;
    uint64_t steps = 0;
    uint64_t messages = 0;
    uint64_t accepted = 0;
    std::vector<uint64_t> faults = std::vector<uint64_t>(countOf<FaultKind>);

    ~Totals()
    {
        std::cout << "random runs: " << runs << ", steps: " << steps << ", messages: " << messages << ", accepted: " << accepted
                  << ", cuts: " << faults[0] << ", heals: " << faults[1] << ", pauses: " << faults[2] << ", crashes: " << faults[3]
                  << ", isolations: " << faults[4] << "\n";
    }
};

Totals totals;

void checkRun(const std::vector<Fault>& faults, ClusterOptions options)
{
    ReplicaCluster cluster(std::move(options));
    uint64_t id = 0;
    const auto proposeAndRun = [&](uint32_t milliseconds) {
        for (uint32_t elapsed = 0; elapsed < milliseconds; elapsed += 50) {
            cluster.propose(++id);
            cluster.run(50ms);
        }
    };
    proposeAndRun(2000);
    for (const Fault& fault : faults) {
        cluster.apply(fault);
        proposeAndRun(fault.milliseconds);
    }
    cluster.heal();
    cluster.setLoss(0);
    cluster.run(20s);
    const auto leader = cluster.leader();
    RC_ASSERT(leader.has_value());
    RC_ASSERT(cluster.propose(++id));
    cluster.run(2s);
    // The leader's state holds every accepted command in log order.
    const std::vector<uint64_t>& ids = cluster.replica(*cluster.leader()).stateMachine().ids;
    size_t position = 0;
    for (const auto& [index, accepted] : cluster.accepted()) {
        while (position < ids.size() && ids[position] != accepted)
            ++position;
        RC_ASSERT(position++ < ids.size());
    }
    RC_ASSERT(cluster.accepted().rbegin()->second == id);
    for (uint32_t i = 0; i < 3; ++i)
        RC_ASSERT(cluster.replica(i).stateMachine().ids == ids);
    ++totals.runs;
    totals.steps += cluster.steps();
    totals.messages += cluster.messages();
    totals.accepted += cluster.accepted().size();
    for (size_t kind = 0; kind < totals.faults.size(); ++kind)
        totals.faults[kind] += cluster.faults()[kind];
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaRandom)

RC_BOOST_PROP(diskVotersLoseNoAcceptedCommand, ())
{
    ClusterOptions options;
    options.disks = { 0, 1, 2 };
    options.seed = *rc::gen::arbitrary<uint32_t>();
    options.lossPercent = *rc::gen::inRange<uint32_t>(0, 20);
    options.duplicatePercent = *rc::gen::inRange<uint32_t>(0, 20);
    options.maxSync = std::chrono::milliseconds(*rc::gen::inRange<int>(1, 300));
    options.minAppendInterval = std::chrono::milliseconds(*rc::gen::inRange<int>(0, 10));
    checkRun(*rc::gen::container<std::vector<Fault>>(30, faultGen()), options);
}

RC_BOOST_PROP(disklessVotersLoseNoAcceptedCommand, ())
{
    ClusterOptions options;
    options.seed = *rc::gen::arbitrary<uint32_t>();
    options.lossPercent = *rc::gen::inRange<uint32_t>(0, 20);
    options.duplicatePercent = *rc::gen::inRange<uint32_t>(0, 20);
    checkRun(*rc::gen::container<std::vector<Fault>>(20, faultGen()), options);
}

RC_BOOST_PROP(mixedVotersLoseNoAcceptedCommand, ())
{
    ClusterOptions options;
    options.disks = { 1 };
    options.seed = *rc::gen::arbitrary<uint32_t>();
    options.lossPercent = *rc::gen::inRange<uint32_t>(0, 20);
    options.maxDelay = std::chrono::milliseconds(*rc::gen::inRange<int>(1, 60));
    checkRun(*rc::gen::container<std::vector<Fault>>(20, faultGen()), options);
}

BOOST_AUTO_TEST_SUITE_END()
