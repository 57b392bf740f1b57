#pragma once

#include "eelgrassloft/config.h"
#include "eelgrassloft/handle.h"

#include <algorithm>
#include <map>
#include <set>

namespace eelgrassloft {

/// Sort key of a queued request: earliest deadline first.
struct QueueKey {
    Time deadline {};
    RequestId request;

    friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
};

/// Queued requests of one service, its mean service time and its retry budget.
class ServiceQueue {
public:
    size_t size() const { return m_keys.size(); }
    const std::set<QueueKey>& keys() const { return m_keys; }
    uint32_t maxQueued() const { return m_maxQueued; }
    void setMaxQueued(uint32_t value) { m_maxQueued = value; }

    void push(const QueueKey& key, Time arrivedAt)
    {
        m_keys.insert(key);
        m_arrivals[key.request] = arrivedAt;
    }

    void remove(const QueueKey& key)
    {
        m_keys.erase(key);
        m_arrivals.erase(key.request);
    }

    /// Arrival of the request that has waited longest. Ids rise in order of arrival.
    Time oldestArrival() const { return m_arrivals.empty() ? Time {} : m_arrivals.begin()->second; }

    void recordServiceTime(Duration sample)
    {
        if (m_serviceTime == Duration {})
            m_serviceTime = sample;
        else
            m_serviceTime += (sample - m_serviceTime) / (1 << config::latencyWeightShift);
    }

    /// Expected queueing plus service time of a new request with this deadline on `slots` slots.
    Duration expectedWait(Time deadline, uint32_t slots) const
    {
        const auto ahead = static_cast<Duration::rep>(std::distance(m_keys.begin(), m_keys.upper_bound({ deadline, {} })));
        return m_serviceTime * ahead / std::max(1U, slots) + m_serviceTime;
    }

    // Retry budget, a token bucket filled by requests, so that retries cannot multiply the load.

    void addRetryTokens() { m_retryTokens = std::min(m_retryTokens + config::retryTokensPerRequest, config::retryTokenReserve); }

    bool spendRetryTokens()
    {
        if (m_retryTokens < config::retryTokenCost)
            return false;
        m_retryTokens -= config::retryTokenCost;
        return true;
    }

private:
    std::set<QueueKey> m_keys;
    std::map<RequestId, Time> m_arrivals;
    Duration m_serviceTime {};
    uint32_t m_maxQueued = config::maxQueuedRequests;
    uint32_t m_retryTokens = config::retryTokenReserve;
};

} // namespace eelgrassloft
