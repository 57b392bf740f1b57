#pragma once

#include "open_work.h"

#include <concepts>
#include <optional>

namespace eelgrassloft {

/// Why a job is refused: the work that goes ahead of it and takes longer than the job's result has value.
enum class AdmissionRefusal : uint8_t {
    BehindUrgentWork, ///< Work of the most urgent priority.
    BehindOwedWork, ///< Work that is owed to workspaces, ahead of a job beyond its workspace's share.
    Count
};

constexpr NameTable<AdmissionRefusal> nameTable(AdmissionRefusal)
{
    constexpr NameTable<AdmissionRefusal> table { "behind-urgent-work", "behind-owed-work" };
    static_assert(detail::isComplete<AdmissionRefusal>(table));
    return table;
}

/// A job that is about to be proposed.
struct JobToAdmit {
    JobKey key;
    const QueueSpec& queue;
    const WorkSpec& work;
    bool isBeyondShare = false; ///< Whether it exceeds the weight of its workspace.
};

struct AdmissionDecision {
    Time forecastEnd {}; ///< Lower bound of the job's end.
    Time lateLimit {}; ///< When its result loses its value.
    std::optional<AdmissionRefusal> refusal {};
    Duration comeBack {}; ///< After which a refused job can be served by the forecast.
    double processorSecondsAhead = 0; ///< Of the work that the forecast counts.
    double processors = 0; ///< Of the pool.
};

/// Decides whether a job is accepted, by the open work.
template <typename T>
concept JobAdmissionPolicy = requires(const T policy, const JobToAdmit& job, const OpenWork& openWork, Time now)
{
    {
        policy.decide(job, openWork, now)
        } -> std::same_as<AdmissionDecision>;
};

/// Baseline: accepts every job. Its forecast is the job's critical path.
struct AcceptAllAdmission {
    AdmissionDecision decide(const JobToAdmit& job, const OpenWork& openWork, Time now) const;
};

/// Policy for overload that outlasts a job's late limit: bursts of quick jobs while work that goes ahead of
/// them fills the fleet for longer than their results have value. Such jobs would still run, past their
/// limit, and take room from others. Refuses a job only if a lower bound of its end exceeds its late limit
/// by `limitFactor`, for the order of `TardinessCostPolicy`.
struct ForecastAdmission {
    AdmissionDecision decide(const JobToAdmit& job, const OpenWork& openWork, Time now) const;

private:
    /// A refused job's forecast takes this multiple of the time until its late limit. Workers that are 1.3
    /// times as fast as others and estimates that are 1.5 times too long make the bound twice too high.
    static constexpr int limitFactor = 2;
};

static_assert(JobAdmissionPolicy<AcceptAllAdmission> && JobAdmissionPolicy<ForecastAdmission>);

} // namespace eelgrassloft
