#include "deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr size_t jobCount = 18;
constexpr uint32_t tasksPerJob = 40;
constexpr int64_t cutMs = 5000;

size_t run(const std::string& folder)
{
    Deployment deployment({ folder, "127.81", 6 });
    deployment.start();
    std::vector<std::string> jobs;
    for (size_t i = 0; i < jobCount; ++i) {
        jobs.push_back(jobId(0xa000 + i));
        const int64_t workMs = 3500 + static_cast<int64_t>(i) * 50;
        const Json step { { "count", tasksPerJob }, { "cpu", 20 }, { "memMb", 20 }, { "estMs", workMs } };
        const Json work { { "spec", "work=" + std::to_string(workMs) }, { "phases", { step } } };
        if (!deployment.submit(jobs.back(), work).isAcknowledged())
            throw CaseError { "a job was not accepted" };
    }
    // The cut begins when the executor with the most runs has them all at work.
    deployment.pause(700);
    Executor* busiest = deployment.onExecutors([&] {
        Executor* found = nullptr;
        for (const auto& executor : deployment.executors()) {
            if (!found || executor->runningCount() > found->runningCount())
                found = executor.get();
        }
        return found;
    });
    if (hasTrouble())
        deployment.onExecutors([&] { busiest->setCut(true); });
    deployment.pause(cutMs);
    if (hasTrouble())
        deployment.onExecutors([&] { busiest->setCut(false); });
    deployment.pause(9000);
    size_t done = 0;
    for (const std::string& job : jobs)
        done += deployment.stateOf(job) == "done";
    deployment.record().note(std::to_string(done) + " of " + std::to_string(jobCount) + " jobs are shown as done");
    deployment.stopExecutors();
    return countTwice(deployment.record(), deployment.events());
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
