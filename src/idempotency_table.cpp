#include "idempotency_table.h"

namespace eelgrassloft {

namespace {

int64_t segmentOf(Time at) { return at.time_since_epoch() / config::idempotencySegment; }

} // namespace

ClaimResult IdempotencyTable::claim(Time at, const ClaimKey& command)
{
    const auto [position, isNew] = m_records.try_emplace(command.key);
    IdempotencyRecord& record = position->second;
    if (isNew) {
        record.digest = command.digest;
        record.owner = command.owner;
        record.claimedAt = at;
        record.deadline = command.deadline;
        m_segments[segmentOf(at)].push_back(command.key);
        return { ClaimStatus::Granted, {}, {} };
    }
    if (record.digest != command.digest)
        return { ClaimStatus::KeyReused, {}, {} };
    if (record.outcome == Outcome::Answered)
        return { ClaimStatus::Answered, {}, record.upstreamResponse };
    if (record.outcome == Outcome::InProgress) {
        if (record.owner == command.owner)
            return { ClaimStatus::Granted, {}, {} }; // A retry: the first reply was lost.
        if (at < record.deadline + config::claimSettleGrace)
            return { ClaimStatus::InProgress, {}, {} };
        record.outcome = Outcome::Unknown; // The owner did not settle in time; its attempt may have run.
        record.unknown = UnknownReason::OwnerLost;
    }
    return { ClaimStatus::Unknown, record.unknown, {} };
}

ClaimResult IdempotencyTable::settle(const SettleKey& command)
{
    const auto found = m_records.find(command.key);
    if (found == m_records.end() || !(found->second.owner == command.owner))
        return { ClaimStatus::Settled, {}, {} };
    IdempotencyRecord& record = found->second;
    if (record.outcome == Outcome::Answered)
        return { ClaimStatus::Settled, {}, {} };
    if (command.outcome == Outcome::NotRun) {
        m_records.erase(found); // Nothing ran under the key, so it can be claimed again.
        return { ClaimStatus::Settled, {}, {} };
    }
    record.outcome = command.outcome;
    record.unknown = command.unknown;
    record.upstreamResponse = command.upstreamResponse;
    return { ClaimStatus::Settled, {}, {} };
}

void IdempotencyTable::expire(Time at)
{
    const int64_t oldest = segmentOf(at - config::idempotencyRecordLifetime);
    while (!m_segments.empty() && m_segments.begin()->first < oldest) {
        const auto& [segment, keys] = *m_segments.begin();
        for (const std::string& key : keys) {
            const auto found = m_records.find(key);
            // A key that was released and claimed again belongs to a later segment.
            if (found != m_records.end() && segmentOf(found->second.claimedAt) == segment)
                m_records.erase(found);
        }
        m_segments.erase(m_segments.begin());
    }
}

const IdempotencyRecord* IdempotencyTable::find(const std::string& key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

} // namespace eelgrassloft
