#pragma once

#include "eelgrassloft/config.h"
#include "eelgrassloft/outcome.h"
#include "eelgrassloft/record.h"

#include <map>
#include <string>

namespace eelgrassloft {

/// The request that holds a claim, identified by its entry host, that host's incarnation and its id there.
struct ClaimOwner {
    HostId host;
    uint64_t incarnation = 0;
    RequestId request;

    static constexpr auto members()
    {
        return std::make_tuple(&ClaimOwner::host, &ClaimOwner::incarnation, &ClaimOwner::request);
    }

    friend bool operator==(const ClaimOwner&, const ClaimOwner&) = default;
};

/// Complete response of an upstream.
struct UpstreamResponse {
    uint16_t status = 0; ///< HTTP status.
    std::string contentType;
    Blob body;

    static constexpr auto members() { return std::make_tuple(&UpstreamResponse::status, &UpstreamResponse::contentType, &UpstreamResponse::body); }
};

/// Command: claims an idempotency key before its request is dispatched.
struct ClaimKey {
    std::string key;
    uint64_t digest = 0; ///< Hash of the service and the body.
    ClaimOwner owner;
    Time deadline {}; ///< The owner starts no attempt after it.

    static constexpr auto members()
    {
        return std::make_tuple(&ClaimKey::key, &ClaimKey::digest, &ClaimKey::owner, &ClaimKey::deadline);
    }
};

/// Command: records how the request that holds a claim ended.
struct SettleKey {
    std::string key;
    ClaimOwner owner;
    Outcome outcome = Outcome::Unknown; ///< Answered, NotRun or Unknown.
    UnknownReason unknown = UnknownReason::None;
    UpstreamResponse upstreamResponse;

    static constexpr auto members()
    {
        return std::make_tuple(&SettleKey::key, &SettleKey::owner, &SettleKey::outcome, &SettleKey::unknown, &SettleKey::upstreamResponse);
    }
};

enum class ClaimStatus : uint8_t {
    Granted, ///< The owner may dispatch the request.
    InProgress,
    Answered,
    Unknown,
    KeyReused, ///< The key belongs to a different request.
    Settled, ///< Reply to `SettleKey`.
    Count
};

constexpr NameTable<ClaimStatus> nameTable(ClaimStatus)
{
    constexpr NameTable<ClaimStatus> table { "granted", "in-progress", "answered", "unknown", "key-reused", "settled" };
    return table;
}

/// Result of `ClaimKey` and `SettleKey`.
struct ClaimResult {
    ClaimStatus status = ClaimStatus::Granted;
    UnknownReason unknown = UnknownReason::None;
    UpstreamResponse upstreamResponse;

    static constexpr auto members()
    {
        return std::make_tuple(&ClaimResult::status, &ClaimResult::unknown, &ClaimResult::upstreamResponse);
    }
};

/// The request that holds an idempotency key, and how it ended.
struct IdempotencyRecord {
    uint64_t digest = 0;
    ClaimOwner owner;
    Time claimedAt {};
    Time deadline {};
    Outcome outcome = Outcome::InProgress;
    UnknownReason unknown = UnknownReason::None;
    UpstreamResponse upstreamResponse;

    static constexpr auto members()
    {
        return std::make_tuple(&IdempotencyRecord::digest, &IdempotencyRecord::owner, &IdempotencyRecord::claimedAt, &IdempotencyRecord::deadline,
            &IdempotencyRecord::outcome, &IdempotencyRecord::unknown, &IdempotencyRecord::upstreamResponse);
    }
};

/// Idempotency records of requests that may run at most once; part of a data centre's replicated
/// state. The lock before execution and the expiry by whole time segments follow the idempotency key
/// pattern (Goh Ling Yong, "Advanced Idempotency Patterns for Kafka-based Microservices").
class IdempotencyTable {
public:
    /// Grants the key to the first owner; to others returns the state of that owner's request.
    ClaimResult claim(Time at, const ClaimKey& command);

    /// Records the outcome if the owner holds the key. `Outcome::NotRun` releases the key.
    ClaimResult settle(const SettleKey& command);

    /// Removes the records of all segments that ended more than `config::idempotencyRecordLifetime` before `at`.
    void expire(Time at);

    size_t size() const { return m_records.size(); }
    const IdempotencyRecord* find(const std::string& key) const;

    static constexpr auto members() { return std::make_tuple(&IdempotencyTable::m_records, &IdempotencyTable::m_segments); }

private:
    std::map<std::string, IdempotencyRecord> m_records;
    std::map<int64_t, std::vector<std::string>> m_segments; ///< Keys by the time segment of their claim.
};

} // namespace eelgrassloft
