// Simulates request routing in one data centre in virtual time: three entry hosts with uneven load
// and 17 upstreams of 8 slots each. Compares latency and goodput at several loads with baseline
// policies that model the same concept, and with one ideal shared queue that has the same arrivals
// and service times.

#include "../tests/support/node_cluster.h"
#include "samples.h"

#include <cmath>
#include <cstdio>
#include <queue>

using namespace eelgrassloft;
using namespace eelgrassloft::testing;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t upstreamCount = 17;
constexpr uint32_t slotsEach = 8;
constexpr Duration meanService = 40ms;
constexpr Duration timeout = 400ms;
constexpr Duration warmUp = 2s;
constexpr uint32_t hostShares[] = { 60, 30, 10 }; // Percent of the requests at each entry host.

struct Arrival {
    Time at {};
    uint32_t host = 0;
    Duration service {};
};

double uniform(Random& random) { return (static_cast<double>(random.below(1ULL << 53)) + 0.5) / static_cast<double>(1ULL << 53); }

Duration exponential(Random& random, Duration mean) { return Duration(static_cast<Duration::rep>(-std::log(uniform(random)) * static_cast<double>(mean.count()))); }

std::vector<Arrival> arrivalsAt(double load, Time start, Duration length, uint64_t seed)
{
    Random random(seed);
    const Duration gap(static_cast<Duration::rep>(static_cast<double>(meanService.count()) / (load * upstreamCount * slotsEach)));
    std::vector<Arrival> arrivals;
    for (Time at = start; at < start + length; at += exponential(random, gap) + Duration(1)) {
        uint32_t draw = static_cast<uint32_t>(random.below(100));
        uint32_t host = 0;
        while (draw >= hostShares[host])
            draw -= hostShares[host++];
        arrivals.push_back({ at, host, std::max(Duration(1), exponential(random, meanService)) });
    }
    return arrivals;
}

struct Result {
    double medianMs = 0;
    double p99Ms = 0;
    double waitP99Ms = 0; ///< Of the time from arrival until the service began.
    double answeredInTime = 0; ///< Fraction of all requests that are answered before their deadline.
    double goodput = 0; ///< Requests answered in time, as a fraction of what the slots can serve.
    std::map<std::string, uint64_t> refusals;
    double messagesPerRequest = 0;
    double busiestHostKBs = 0; ///< Kilobytes per second that the busiest host sends to its peers.
};

double toMs(Duration value) { return static_cast<double>(value.count()) / 1000; }

struct Answered {
    Duration latency {};
    Duration service {};
};

Result summarize(const std::vector<Answered>& answered, size_t requests, Duration length)
{
    Result result;
    std::vector<double> latencies;
    std::vector<double> waits;
    for (const Answered& request : answered) {
        latencies.push_back(toMs(request.latency));
        waits.push_back(toMs(request.latency - request.service));
    }
    result.waitP99Ms = bench::quantile(waits, 0.99);
    result.medianMs = bench::quantile(latencies, 0.5);
    result.p99Ms = bench::quantile(latencies, 0.99);
    size_t answeredInTime = 0;
    for (const double value : latencies)
        answeredInTime += value <= toMs(timeout);
    result.answeredInTime = static_cast<double>(answeredInTime) / static_cast<double>(requests);
    result.goodput = static_cast<double>(answeredInTime) / (static_cast<double>(length / 1us) / static_cast<double>(meanService.count()) * upstreamCount * slotsEach);
    return result;
}

/// Serves arrivals in order of arrival (FIFO) from one queue in front of `slots`, without message delays.
void serveFifo(const std::vector<Arrival>& arrivals, uint32_t slots, std::vector<Answered>& answered)
{
    std::priority_queue<Time, std::vector<Time>, std::greater<>> freeAt;
    for (uint32_t i = 0; i < slots; ++i)
        freeAt.push(Time {});
    for (const Arrival& arrival : arrivals) {
        const Time begins = std::max(arrival.at, freeAt.top());
        if (begins + meanService > arrival.at + timeout)
            continue; // Refused at arrival, as its deadline is unreachable.
        freeAt.pop();
        freeAt.push(begins + arrival.service);
        answered.push_back({ begins + arrival.service - arrival.at, arrival.service });
    }
}

/// Lower bound of the latency: one queue in front of all slots.
Result serveIdealQueue(const std::vector<Arrival>& arrivals, Duration length)
{
    std::vector<Answered> answered;
    serveFifo(arrivals, upstreamCount * slotsEach, answered);
    return summarize(answered, arrivals.size(), length);
}

/// Baseline: each host statically owns a third of the slots.
Result serveStaticThirds(const std::vector<Arrival>& arrivals, Duration length)
{
    std::vector<Answered> answered;
    for (uint32_t host = 0; host < 3; ++host) {
        std::vector<Arrival> own;
        std::copy_if(arrivals.begin(), arrivals.end(), std::back_inserter(own), [&](const Arrival& arrival) { return arrival.host == host; });
        serveFifo(own, upstreamCount * slotsEach / 3, answered);
    }
    return summarize(answered, arrivals.size(), length);
}

template <typename Routing>
Result run(double load, Duration length, uint64_t seed)
{
    NodeClusterOptions options;
    options.seed = seed;
    options.intraDataCentreDelay = 100us;
    NodeCluster<Node<Routing>> cluster(options);
    cluster.runUntilLeadersElected();
    for (uint32_t i = 0; i < upstreamCount; ++i)
        cluster.addUpstream(0, "quotes", slotsEach, meanService);
    cluster.run(warmUp);
    const std::vector<Arrival> arrivals = arrivalsAt(load, cluster.now(), length, seed);
    std::vector<RequestId> ids;
    uint64_t messagesBefore = 0;
    uint64_t bytesBefore = 0;
    const auto messages = [&] {
        uint64_t sum = 0;
        for (uint32_t i = 0; i < 3; ++i)
            sum += cluster.node(i).counters().events[CounterKind::PeerMessagesSent];
        return sum;
    };
    const auto busiest = [&] {
        uint64_t most = 0;
        for (uint32_t i = 0; i < 3; ++i)
            most = std::max(most, cluster.node(i).counters().events[CounterKind::PeerBytesSent]);
        return most;
    };
    messagesBefore = messages();
    bytesBefore = busiest();
    for (const Arrival& arrival : arrivals) {
        cluster.runUntil(arrival.at);
        ids.push_back(cluster.request(arrival.host, "quotes", timeout, {}, 1, arrival.service));
    }
    const uint64_t sent = messages() - messagesBefore;
    const uint64_t bytes = busiest() - bytesBefore;
    cluster.run(timeout + 2s);
    std::vector<Answered> answered;
    Result counts;
    for (size_t i = 0; i < ids.size(); ++i) {
        const RequestId id = ids[i];
        const EndedRequest* ended = cluster.ended(id);
        if (ended && ended->outcome == Outcome::Answered)
            answered.push_back({ cluster.latency(id), arrivals[i].service });
        else if (ended)
            ++counts.refusals[std::string(ended->outcome == Outcome::NotRun ? name(ended->refusal) : name(ended->unknown))];
    }
    Result result = summarize(answered, ids.size(), length);
    result.refusals = counts.refusals;
    result.messagesPerRequest = static_cast<double>(sent) / static_cast<double>(ids.size());
    result.busiestHostKBs = static_cast<double>(bytes) / 1000 / (static_cast<double>(length.count()) / 1e6);
    return result;
}

void print(const char* policyName, double load, const std::vector<Result>& results, double idealP99, double idealWait)
{
    const auto median = [&](auto&& value) {
        std::vector<double> values;
        for (const Result& result : results)
            values.push_back(value(result));
        return bench::quantile(values, 0.5);
    };
    const double p99 = median([](const Result& r) { return r.p99Ms; });
    const double wait = median([](const Result& r) { return r.waitP99Ms; });
    std::printf("%-22s %4.0f%% %9.1f %9.1f %7.2f %9.1f %7.2f %8.1f%% %8.1f%% %8.2f %8.1f ", policyName, load * 100, median([](const Result& r) { return r.medianMs; }), p99,
        p99 / idealP99, wait, wait / idealWait, 100 * median([](const Result& r) { return r.answeredInTime; }), 100 * median([](const Result& r) { return r.goodput; }),
        median([](const Result& r) { return r.messagesPerRequest; }), median([](const Result& r) { return r.busiestHostKBs; }));
    for (const auto& [reason, count] : results.front().refusals)
        std::printf(" %s=%lu", reason.c_str(), static_cast<unsigned long>(count));
    std::printf("\n");
}

} // namespace

int main(int argc, char** argv)
{
    const Duration length = std::chrono::seconds(argc > 1 ? std::atoi(argv[1]) : 10);
    constexpr uint64_t runs = 3;
    std::printf("%-22s %5s %9s %9s %7s %9s %7s %9s %9s %8s %8s  refusals of the first run\n", "routing", "load", "median ms", "p99 ms", "/ideal", "p99 wait", "/ideal", "in time", "capacity", "msg/req", "KB/s max");
    for (const double load : { 0.5, 0.8, 0.95, 1.2 }) {
        std::vector<Result> ideal;
        std::vector<Result> staticThirds;
        std::vector<Result> leastLoaded;
        std::vector<Result> randomChoice;
        std::vector<Result> roundRobin;
        for (uint64_t seed = 1; seed <= runs; ++seed) {
            ideal.push_back(serveIdealQueue(arrivalsAt(load, Time(1h), length, seed), length));
            staticThirds.push_back(serveStaticThirds(arrivalsAt(load, Time(1h), length, seed), length));
            leastLoaded.push_back(run<PowerOfTwoChoices>(load, length, seed));
            randomChoice.push_back(run<RandomChoice>(load, length, seed));
            roundRobin.push_back(run<RoundRobin>(load, length, seed));
        }
        std::vector<double> p99;
        std::vector<double> wait;
        for (const Result& result : ideal) {
            p99.push_back(result.p99Ms);
            wait.push_back(result.waitP99Ms);
        }
        const double idealP99 = bench::quantile(p99, 0.5);
        const double idealWait = bench::quantile(wait, 0.5);
        print("ideal shared queue", load, ideal, idealP99, idealWait);
        print("fixed equal thirds", load, staticThirds, idealP99, idealWait);
        print("least loaded of two", load, leastLoaded, idealP99, idealWait);
        print("random choice", load, randomChoice, idealP99, idealWait);
        print("round robin", load, roundRobin, idealP99, idealWait);
    }
    return 0;
}
