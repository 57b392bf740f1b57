#include "support/fleet_cluster.h"
#include "support/fleet_config.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <set>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

enum class FleetFault : uint8_t {
    None,
    KillControl, ///< A control host crashes and restarts with its disk.
    WipeControl, ///< A control host crashes and restarts with an empty disk.
    PowerOff, ///< All control hosts crash right after a job was accepted, and restart with their disks.
    UnresponsiveWorker, ///< A worker is unresponsive, and its tasks keep running.
    FailingWorker, ///< All runs on a worker fail.
    ShrunkWorker, ///< A worker reports less capacity for a while.
    Cancel, ///< The job that was submitted last is cancelled.
    Count
};

/// A fault, its duration and the time without faults after it.
struct FaultStep {
    FleetFault kind = FleetFault::None;
    uint32_t target = 0;
    uint32_t durationMs = 0;
    uint32_t recoveryMs = 0;
};

std::ostream& operator<<(std::ostream& out, const FaultStep& step)
{
    return out << static_cast<int>(step.kind) << " on " << step.target << " for " << step.durationMs << " ms, then no fault for " << step.recoveryMs << " ms";
}

rc::Gen<FaultStep> faultStepGen()
{
    return rc::gen::construct<FaultStep>(rc::gen::map(rc::gen::inRange<int>(0, static_cast<int>(FleetFault::Count)), [](int kind) { return static_cast<FleetFault>(kind); }),
        rc::gen::inRange<uint32_t>(0, 12), rc::gen::inRange<uint32_t>(50, 4000), rc::gen::inRange<uint32_t>(0, 1500));
}

/// A job of two steps, of which the second depends on the first.
SubmitJob jobOf(uint64_t key, uint32_t tasks = 2)
{
    StepSpec step;
    step.count = tasks;
    step.size = { 3000, 2000, 0 };
    step.estimate = 300ms;
    StepSpec second = step;
    second.deps = { 0 };
    return { { JobKey { key }, "queue", { "text", { step, second }, 0, {}, {} } } };
}

/// Applies faults to a fleet while a caller submits jobs, and keeps the keys of the accepted ones.
class FaultScenario {
public:
    explicit FaultScenario(FleetCluster::Options options)
        : m_cluster(options)
    {
        RC_ASSERT(m_cluster.callUntilOk(PutConfig { configWithOneQueue(20) }));
        m_cluster.run(1s);
    }

    void applyFault(const FaultStep& step)
    {
        submit();
        const uint32_t control = step.target % FleetCluster::controlCount + 1;
        const size_t worker = step.target % workerCount;
        const Duration duration = std::chrono::milliseconds(step.durationMs);
        switch (step.kind) {
        case FleetFault::KillControl:
        case FleetFault::WipeControl:
            crashControl(control, duration, step.kind == FleetFault::KillControl);
            break;
        case FleetFault::PowerOff:
            powerOff(duration);
            break;
        case FleetFault::UnresponsiveWorker:
            m_cluster.setUnresponsive(worker);
            m_cluster.run(duration);
            m_cluster.setUnresponsive(worker, false);
            break;
        case FleetFault::FailingWorker:
            m_cluster.setFailing(worker);
            m_cluster.run(duration);
            m_cluster.setFailing(worker, false);
            break;
        case FleetFault::ShrunkWorker: {
            const Resources capacity = m_cluster.capacity(worker);
            m_cluster.setCapacity(worker, { step.durationMs * 2, capacity.memoryMiB, 0 }); // Up to half of it.
            submit(config::maxPlacementsPerStep / 4); // More than the fleet can hold at a time.
            m_cluster.run(duration);
            m_cluster.setCapacity(worker, capacity);
            break;
        }
        case FleetFault::Cancel:
            if (m_cluster.callUntilOk(CancelJob { JobKey { m_nextKey - 1 } }))
                m_cancelled.insert(m_nextKey - 1);
            break;
        default:
            break;
        }
        m_cluster.run(std::chrono::milliseconds(step.recoveryMs));
    }

    /// Checks that every accepted job ends after the faults, as done or as cancelled by the caller.
    void checkRecovery()
    {
        submit();
        const bool isSettled = m_cluster.runUntil(60s, [&] { return m_cluster.leader() && m_cluster.table().openJobs().empty(); });
        RC_ASSERT(isSettled);
        for (const uint64_t key : m_accepted) {
            const WorkJob* job = m_cluster.table().job(JobKey { key });
            RC_ASSERT(job);
            const bool isCancelled = job->state == WorkState::Cancelled && m_cancelled.count(key);
            RC_ASSERT(job->state == WorkState::Done || isCancelled);
        }
        for (const std::string& violation : m_cluster.violations())
            RC_FAIL(violation);
    }

    static constexpr uint32_t workerCount = 4;

private:
    void submit(uint32_t tasks = 2)
    {
        const uint64_t key = m_nextKey++;
        if (m_cluster.callUntilOk(jobOf(key, tasks)))
            m_accepted.insert(key);
    }

    /// Crashes and restarts a control host. After the loss of a disk, waits until the host has caught
    /// up.
    void crashControl(uint32_t control, Duration duration, bool keepsDisk)
    {
        m_cluster.kill(control);
        m_cluster.run(duration);
        m_cluster.restart(control, keepsDisk);
        if (!keepsDisk)
            m_cluster.run(4s);
    }

    void powerOff(Duration duration)
    {
        for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
            m_cluster.kill(id);
        m_cluster.run(duration);
        for (uint32_t id = 1; id <= FleetCluster::controlCount; ++id)
            m_cluster.restart(id);
    }

    FleetCluster m_cluster;
    std::set<uint64_t> m_accepted;
    std::set<uint64_t> m_cancelled;
    uint64_t m_nextKey = 1;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetRandom)

RC_BOOST_PROP(acceptedJobsEndOnceUnderFaults, ())
{
    FleetCluster::Options options;
    options.workers = FaultScenario::workerCount;
    options.seed = *rc::gen::arbitrary<uint32_t>();
    options.noResponsePercent = *rc::gen::inRange<uint32_t>(0, 15);
    options.maxOrderDelay = std::chrono::milliseconds(*rc::gen::inRange<uint32_t>(0, 8000));
    options.lateReportPercent = *rc::gen::inRange<uint32_t>(0, 30);
    FaultScenario scenario(options);
    for (const FaultStep& step : *rc::gen::container<std::vector<FaultStep>>(12, faultStepGen()))
        scenario.applyFault(step);
    scenario.checkRecovery();
}

BOOST_AUTO_TEST_SUITE_END()
