#include "deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr size_t executorCount = 8;
constexpr uint32_t width = 8;
constexpr int64_t usualWorkMs = 3400;
constexpr int64_t longFactor = 90;
constexpr int64_t watchMs = 45000;
constexpr int64_t maxIdleMs = 3000; ///< Of the rule.

/// The longest time in which none of the job's tasks ran, from the first start until all were done or `until`.
int64_t longestIdle(const std::vector<RunEvent>& events, int64_t until)
{
    int64_t longest = 0;
    int64_t idleSince = -1;
    size_t running = 0;
    size_t done = 0;
    for (const RunEvent& event : events) {
        if (event.kind == RunEvent::Kind::Acknowledged)
            continue;
        if (event.kind == RunEvent::Kind::Started) {
            if (!running && idleSince >= 0)
                longest = std::max(longest, event.at - idleSince);
            ++running;
            continue;
        }
        done += event.how == "done";
        if (!--running)
            idleSince = event.at;
    }
    if (!running && idleSince >= 0 && done < width)
        longest = std::max(longest, until - idleSince);
    return longest;
}

bool isBroken(const std::string& folder)
{
    DeploymentOptions options { folder, "127.87", executorCount };
    Deployment deployment(options);
    deployment.start();
    Record& record = deployment.record();
    const int64_t workMs = hasTrouble() ? usualWorkMs * longFactor : usualWorkMs;
    const std::string job = jobId(0xe000);
    const Json step { { "count", width }, { "cpu", 980 }, { "memMb", 1800 }, { "antiAffinity", 1 }, { "estMs", workMs } };
    if (!deployment.submit(job, { { "spec", "work=" + std::to_string(workMs) }, { "phases", { step } } }).isAcknowledged())
        throw CaseError { "the job was not accepted" };
    deployment.pause(watchMs);
    const std::string state = deployment.stateOf(job);
    const int64_t until = record.now();
    deployment.stopExecutors();
    size_t stops = 0;
    int64_t longestRun = 0;
    std::map<std::pair<std::string, uint32_t>, int64_t> startedAt;
    for (const RunEvent& event : deployment.events()) {
        if (event.kind == RunEvent::Kind::Started)
            startedAt[{ event.task, event.attempt }] = event.at;
        if (event.kind != RunEvent::Kind::Ended)
            continue;
        stops += event.how == "stopped";
        longestRun = std::max(longestRun, event.at - startedAt[{ event.task, event.attempt }]);
    }
    const int64_t idle = longestIdle(deployment.events(), until);
    record.note("the job of " + std::to_string(width) + " tasks of " + std::to_string(workMs) + " ms is shown as " + state + "; " + std::to_string(startedAt.size()) + " starts, " + std::to_string(stops)
        + " runs ended by an order to stop, the longest ended run took " + std::to_string(longestRun) + " ms; for " + std::to_string(idle) + " ms none of its tasks ran, with all " + std::to_string(executorCount) + " executors idle");
    return idle > maxIdleMs;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const bool isRuleBroken = isBroken(folderOf(argc, argv));
        std::cout << "LOST was " << (isRuleBroken ? "broken" : "kept") << "\n";
        return isRuleBroken ? exitBroken : exitHeld;
    } catch (const CaseError& error) {
        std::cout << "not run: " << error.message << "\n";
    } catch (const std::exception& error) {
        std::cout << "not run: " << error.what() << "\n";
    }
    return exitNotRun;
}
