#pragma once

#include "../../examples/worker_model.h"
#include "invariant.h"
#include "node.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace eelgrassloft::testing {

/// Topology and delays of a simulated cluster.
struct NodeClusterOptions {
    uint32_t dataCentres = 1;
    uint32_t hostsPerDataCentre = 3;
    uint32_t dataCentresPerRegion = 2;
    Duration intraDataCentreDelay = std::chrono::microseconds(100); ///< One-way delay between hosts of a data centre.
    Duration intraRegionDelay = std::chrono::microseconds(500); ///< One-way delay between data centres of a region.
    Duration interRegionDelay = std::chrono::milliseconds(12); ///< One-way delay between regions.
    Duration syncTime {}; ///< Time from a log write to its sync.
    uint64_t seed = 1;
    bool recordsTrace = false; ///< Records the number of effects of each step and the encoded size of each message, to compare runs.

    uint32_t dataCentreOf(uint32_t host) const { return host / hostsPerDataCentre; }

    /// One-way delay between two hosts.
    Duration delay(uint32_t a, uint32_t b) const
    {
        if (dataCentreOf(a) == dataCentreOf(b))
            return intraDataCentreDelay;
        const bool isNear = dataCentreOf(a) / dataCentresPerRegion == dataCentreOf(b) / dataCentresPerRegion;
        return isNear ? intraRegionDelay : interRegionDelay;
    }
};

/// Simulated upstream, which counts the requests that it runs.
struct UpstreamModel {
    UpstreamAnnouncement announcement;
    std::string dataCentre;
    Duration serviceTime = std::chrono::milliseconds(10);
    bool refuses = false; ///< Refuses every request without starting it.
    bool isUnresponsive = false; ///< Starts requests and never answers them.
    bool losesAnswers = false; ///< Runs requests and closes the connection instead of answering.
    bool isAnnouncing = true;
    uint32_t running = 0;
    uint32_t maxRunning = 0;
    uint64_t started = 0;
    std::map<std::string, uint32_t> startsByKey;

    void start(const std::string& key)
    {
        ++running;
        maxRunning = std::max(maxRunning, running);
        requireInvariant(running <= announcement.slots, "an upstream runs no more than its slots");
        ++started;
        if (!key.empty())
            ++startsByKey[key];
    }

    /// What an attempt at a request that was started ends with.
    Event result(AttemptId attempt, RequestId request) const
    {
        if (isUnresponsive)
            return AttemptFailed { attempt, AttemptFailure::Unresponsive };
        if (losesAnswers)
            return AttemptFailed { attempt, AttemptFailure::AnswerLost };
        return AttemptAnswered { attempt, UpstreamResponse { 200, "text/plain", makeBlob("answer to " + std::to_string(request.value)) } };
    }
};

/// What became of the callers' requests. Checks that each is answered at most once, runs at most once
/// if it has a key, and never runs if it is answered as not run.
class RequestRecords {
public:
    /// Records a request. Its service time overrides the upstream's unless it is zero.
    void arrive(Time now, const Request& request, Duration serviceTime)
    {
        m_arrivals[request.id] = now;
        m_keys[request.id] = request.key;
        if (serviceTime != Duration {})
            m_serviceTimes[request.id] = serviceTime;
    }

    const std::string& keyOf(RequestId id) { return m_keys[id]; }

    Duration serviceTime(RequestId id, Duration ofUpstream) const
    {
        const auto own = m_serviceTimes.find(id);
        return own == m_serviceTimes.end() ? ofUpstream : own->second;
    }

    void start(RequestId id)
    {
        m_started.insert(id);
        const std::string& key = m_keys[id];
        if (!key.empty())
            requireInvariant(++m_startsByKey[key] == 1, "a request with an idempotency key is started at most once");
    }

    void end(Time now, const EndedRequest& ended)
    {
        requireInvariant(m_ended.try_emplace(ended.request, EndedAt { ended, now }).second, "a request is answered at most once");
        if (ended.outcome == Outcome::NotRun)
            requireInvariant(!m_started.contains(ended.request), "a request that was answered as not run was never started");
    }

    const EndedRequest* ended(RequestId id) const
    {
        const auto found = m_ended.find(id);
        return found == m_ended.end() ? nullptr : &found->second.request;
    }

    Duration latency(RequestId id) const { return m_ended.at(id).at - m_arrivals.at(id); }

private:
    struct EndedAt {
        EndedRequest request;
        Time at {};
    };

    std::map<RequestId, EndedAt> m_ended;
    std::map<RequestId, Time> m_arrivals;
    std::map<RequestId, std::string> m_keys;
    std::map<RequestId, Duration> m_serviceTimes;
    std::set<RequestId> m_started;
    std::map<std::string, uint32_t> m_startsByKey;
};

/// What the workers did. Checks that a task runs on at most one of them at a time.
class TaskRecords {
public:
    void add(Time now, const std::string& worker, examples::WorkerEvent event)
    {
        std::set<std::string>& runningOn = m_running[event.task];
        if (event.what == "started") {
            runningOn.insert(worker);
            m_startTimes[event.job] = now;
        } else {
            runningOn.erase(worker);
        }
        requireInvariant(runningOn.size() <= 1, "a task runs on at most one worker at a time");
        m_events.push_back(std::move(event));
    }

    const std::vector<examples::WorkerEvent>& events() const { return m_events; }

    uint64_t count(const std::string& what, const std::string& job) const
    {
        return static_cast<uint64_t>(std::count_if(m_events.begin(), m_events.end(), [&](const auto& event) { return event.what == what && event.job == job; }));
    }

    /// When a task of the job was last started.
    Time startedAt(const std::string& job) const
    {
        const auto found = m_startTimes.find(job);
        return found == m_startTimes.end() ? never : found->second;
    }

private:
    std::map<TaskId, std::set<std::string>> m_running;
    std::map<std::string, Time> m_startTimes;
    std::vector<examples::WorkerEvent> m_events;
};

} // namespace eelgrassloft::testing
