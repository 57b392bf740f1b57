#include "deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr size_t batchCount = 8;
constexpr uint32_t occurrences = 200;
constexpr uint32_t largeWidth = 4000;
constexpr uint32_t smallWidth = 40;
constexpr int64_t periodMs = 900000;
constexpr int64_t firstDueMs = 6 * 3600 * 1000; ///< From now.
constexpr int64_t watchMs = 30000;
constexpr size_t memoryMb = 256;
constexpr size_t endsPerProcess = 3;

bool isBroken(const std::string& folder)
{
    DeploymentOptions options { folder, "127.85", 6 };
    options.memoryMb = memoryMb;
    Deployment deployment(options);
    deployment.start();
    Record& record = deployment.record();
    const std::string plain = jobId(0xd000);
    const Json step { { "count", 2 }, { "cpu", 1400 }, { "memMb", 2600 }, { "estMs", 1000 } };
    if (!deployment.submit(plain, { { "spec", "work=1000" }, { "phases", { step } } }).isAcknowledged())
        throw CaseError { "the plain job was not accepted" };
    deployment.pause(3000);
    if (deployment.stateOf(plain) != "done")
        throw CaseError { "the plain job was not done" };
    const auto now = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    const Json batchStep { { "count", hasTrouble() ? largeWidth : smallWidth }, { "cpu", 980 }, { "memMb", 1800 }, { "estMs", 3400 } };
    const Json batch { { "spec", "work=3400" }, { "phases", { batchStep } }, { "repeats", occurrences }, { "periodMs", periodMs }, { "startMs", now + firstDueMs } };
    for (size_t i = 0; i < batchCount; ++i) {
        deployment.submit(jobId(0xd100 + i), batch);
        deployment.pause(500);
    }
    deployment.pause(watchMs);
    const std::string state = deployment.stateOf(plain);
    record.note("the plain job, which was shown as done, is shown as \"" + state + "\"");
    size_t broken = 0;
    for (size_t i = 0; i < deployment.controlCount(); ++i) {
        record.note("control host " + std::to_string(i + 1) + " was killed for its memory " + std::to_string(deployment.memoryKills(i)) + " times");
        broken += deployment.memoryKills(i) >= endsPerProcess;
    }
    return broken * 2 >= deployment.controlCount();
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const bool isRuleBroken = isBroken(folderOf(argc, argv));
        std::cout << "Fault: the rule was " << (isRuleBroken ? "broken" : "kept") << "\n";
        return isRuleBroken ? exitBroken : exitHeld;
    } catch (const CaseError& error) {
        std::cout << "not run: " << error.message << "\n";
    } catch (const std::exception& error) {
        std::cout << "not run: " << error.what() << "\n";
    }
    return exitNotRun;
}
