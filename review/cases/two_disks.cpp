#include "deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr size_t changeCount = 300;
constexpr size_t routeCount = 350; ///< The largest `big_config` of the site.
constexpr int64_t changeIntervalMs = 50;
constexpr size_t jobCount = 4500;
constexpr size_t clientCount = 24;
constexpr size_t specBytes = 4000; ///< The most that the pages allow.
constexpr int64_t firstDueMs = 6 * 3600 * 1000; ///< From now.
constexpr int64_t downMs = 1000;
constexpr int64_t betweenMs = 15000; ///< From one loss to the next; `catchUpS` is 4.
constexpr int64_t answerMs = 20000;
constexpr uint64_t firstJob = 0xf0000;

/// Hands in the jobs. Returns how many were acknowledged.
size_t submitAll(Deployment& deployment, const std::string& body, size_t jobs)
{
    std::atomic<size_t> next = 0;
    std::atomic<size_t> accepted = 0;
    std::vector<std::thread> clients;
    for (size_t client = 0; client < clientCount; ++client) {
        clients.emplace_back([&] {
            for (size_t job = next++; job < jobs; job = next++) {
                for (size_t tries = 0; tries < 5; ++tries) {
                    const auto reply = deployment.callOnce(job + tries, "POST", jobId(firstJob + job), body);
                    if (!reply || reply->status != 200)
                        continue;
                    ++accepted;
                    break;
                }
            }
        });
    }
    for (std::thread& client : clients)
        client.join();
    return accepted;
}

/// With `hasManyJobs`, the state grows by jobs in place of changes of the configuration.
bool isBroken(const std::string& folder, bool hasManyJobs)
{
    Deployment deployment({ folder, "127.88", 2 });
    deployment.start();
    Record& record = deployment.record();
    const auto now = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::string spec = "work=1000 ";
    spec.append(specBytes - spec.size(), 'x');
    const Json step { { "count", 2 }, { "cpu", 980 }, { "memMb", 1800 }, { "estMs", 1000 } };
    const Json work { { "spec", spec }, { "phases", { step } }, { "repeats", 1 }, { "startMs", now + firstDueMs } };
    const size_t jobs = hasManyJobs ? jobCount : 1;
    const size_t accepted = submitAll(deployment, work.dump(), jobs);
    record.note(std::to_string(accepted) + " jobs with specs of " + std::to_string(specBytes) + " bytes were accepted, to start in " + std::to_string(firstDueMs / 1000) + " s");
    if (accepted < jobs || deployment.stateOf(jobId(firstJob)) != "queued" || !deployment.isConfigRead(answerMs))
        throw CaseError { "the jobs were not accepted" };
    for (size_t i = 0; !hasManyJobs && i < changeCount; ++i) {
        deployment.putConfig(i + 2, routeCount, 3000 + static_cast<int>(i));
        deployment.pause(changeIntervalMs);
    }
    for (const size_t control : { 2, 1 }) {
        if (hasTrouble())
            deployment.wipeControl(control, downMs);
        deployment.pause(betweenMs);
    }
    const bool isConfigKnown = deployment.isConfigRead(answerMs);
    const std::string state = deployment.stateOf(jobId(firstJob));
    record.note("an accepted job is shown as \"" + state + "\"");
    return !isConfigKnown || state != "queued";
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const bool isRuleBroken = isBroken(folderOf(argc, argv), argc > 2 && std::string(argv[2]) == "jobs");
        std::cout << "LOST was " << (isRuleBroken ? "broken" : "kept") << "\n";
        return isRuleBroken ? exitBroken : exitHeld;
    } catch (const CaseError& error) {
        std::cout << "not run: " << error.message << "\n";
    } catch (const std::exception& error) {
        std::cout << "not run: " << error.what() << "\n";
    }
    return exitNotRun;
}
