#include "deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr size_t executorCount = 8;
constexpr int64_t trafficMs = 40000;
constexpr uint32_t width = 2; ///< Tasks of a job.
constexpr int64_t jobIntervalMs[] = { 150, 550, 250, 450 };
constexpr int64_t crashIntervalMs = 2000;
constexpr int64_t downMs = 150;
constexpr int64_t workMs[] = { 1000, 1400, 800, 1200, 600 };
constexpr int64_t firstHeartbeatMs = 750; ///< Half of the period: the pages set no other time.

/// Crashes one of the executors that run nothing, if there are any.
Executor* crashIdle(Deployment& deployment, size_t turn)
{
    return deployment.onExecutors([&]() -> Executor* {
        for (size_t i = 0; i < executorCount; ++i) {
            Executor& executor = *deployment.executors()[(turn + i) % executorCount];
            if (executor.isUp() && !executor.runningCount()) {
                executor.crash();
                return &executor;
            }
        }
        return nullptr;
    });
}

Json workOf(uint64_t job)
{
    const int64_t duration = workMs[job % std::size(workMs)];
    const Json step { { "count", width }, { "cpu", 9000 }, { "memMb", 6400 }, { "estMs", duration } };
    return { { "spec", "work=" + std::to_string(duration) }, { "phases", { step } } };
}

size_t run(const std::string& folder)
{
    DeploymentOptions options { folder, "127.82", executorCount };
    options.firstHeartbeatMs = firstHeartbeatMs;
    Deployment deployment(options);
    deployment.start();
    Record& record = deployment.record();
    const int64_t begin = record.now();
    int64_t nextCrash = begin + crashIntervalMs;
    int64_t restartAt = 0;
    Executor* crashed = nullptr;
    size_t crashes = 0;
    uint64_t job = 0xb000;
    for (int64_t nextJob = begin; record.now() < begin + trafficMs;) {
        if (record.now() >= nextJob) {
            deployment.submit(jobId(job), workOf(job));
            nextJob += jobIntervalMs[job % std::size(jobIntervalMs)];
            ++job;
        }
        if (hasTrouble() && !crashed && record.now() >= nextCrash) {
            crashed = crashIdle(deployment, crashes++);
            restartAt = record.now() + downMs;
            nextCrash += crashIntervalMs;
        }
        if (crashed && record.now() >= restartAt) {
            deployment.onExecutors([&] { crashed->start(); });
            crashed = nullptr;
        }
        deployment.pause(10);
    }
    deployment.pause(8000);
    deployment.stopExecutors();
    return countTwice(record, deployment.events());
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const size_t breaks = run(folderOf(argc, argv));
        std::cout << "TWICE was broken " << breaks << " times\n";
        return breaks ? exitBroken : exitHeld;
    } catch (const CaseError& error) {
        std::cout << "not run: " << error.message << "\n";
    } catch (const std::exception& error) {
        std::cout << "not run: " << error.what() << "\n";
    }
    return exitNotRun;
}
