#pragma once

#include "eelgrassloft/time.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <string>

namespace eelgrassloft {

// Observed speed of workers, for fleets whose models differ by a third and in which a rack may run at half
// speed. Estimates of run times may be far off, but have the same error for all tasks of a queue. So a run
// tells about its worker only by how it compares with the runs of the same queue on all workers.

/// What one run, or a part of it, took.
struct SpeedSample {
    Duration took {};
    uint32_t percents = 0; ///< Part of the task that was done in that time.
};

/// Cuts the progress of one run into samples. Reports arrive about every 120 ms with whole percents, so
/// that a sample over a short time or few percents would mostly show the time between reports.
class ProgressSampler {
public:
    bool hasBegun() const { return m_hasBegun; }

    void begin(Time at, uint32_t percent)
    {
        m_hasBegun = true;
        m_at = at;
        m_percent = percent;
    }

    /// Takes in the progress that the run had at the given time. Returns a sample once there is enough for
    /// one, or if the run has ended.
    std::optional<SpeedSample> advance(Time at, uint32_t percent, bool hasEnded = false)
    {
        if (!m_hasBegun || percent <= m_percent || at <= m_at)
            return std::nullopt;
        const SpeedSample sample { at - m_at, percent - m_percent };
        if (!hasEnded && (sample.percents < minPercents || sample.took < minTime))
            return std::nullopt;
        begin(at, percent);
        return sample;
    }

private:
    static constexpr uint32_t minPercents = 20;
    static constexpr Duration minTime = std::chrono::milliseconds(500); // Four reports.

    bool m_hasBegun = false;
    Time m_at {};
    uint32_t m_percent = 0;
};

/// Estimated speed of one worker against the others: 1 for a usual one, 0.5 for one that takes twice as
/// long. A moving average that decays towards 1, so that a worker which got no work for being slow gets
/// some again.
class WorkerSpeed {
public:
    double factor(Time now) const
    {
        if (m_log == 0)
            return 1;
        return 1 + (m_factor - 1) * remaining(now);
    }

    /// Logarithm of the speed, in which the average is kept.
    double logarithm(Time now) const { return m_log * remaining(now); }

    /// Moves the logarithm of the speed by a step.
    void adjust(Time now, double step)
    {
        m_log = std::clamp(logarithm(now) + step, -maxLog, maxLog);
        m_factor = std::exp(m_log);
        m_updatedAt = now;
    }

private:
    /// Part of the estimate that is left of the last update. Cheaper than an exponential function, as plans
    /// ask it of every worker.
    double remaining(Time now) const
    {
        const double age = std::chrono::duration<double>(std::max(now - m_updatedAt, Duration {})).count();
        return decaySeconds / (decaySeconds + age);
    }

    static constexpr double decaySeconds = 60;
    static constexpr double maxLog = 1.4; // A factor of 4 either way.

    double m_log = 0;
    double m_factor = 1;
    Time m_updatedAt {};
};

/// Learns from each sample both how far the estimates of its queue are off and how fast its worker is. What
/// the queue's runs usually take is corrected for the speed of the workers that they ran on, so that it also
/// holds for queues whose tasks may run on a part of the workers only.
class SpeedEstimator {
public:
    /// Takes in a sample of a run with the given estimate for the whole task.
    void observe(const std::string& queue, WorkerSpeed& worker, const SpeedSample& sample, Duration estimate, Time now)
    {
        if (estimate <= Duration::zero() || sample.took <= Duration::zero() || !sample.percents)
            return;
        const double share = std::min(sample.percents, 100U) / 100.0;
        const double took = std::chrono::duration<double>(sample.took).count();
        const double expected = std::chrono::duration<double>(estimate).count() * share;
        const double weight = share * took / (took + reportSeconds);
        const double observed = std::log(took / expected);
        QueueError& error = m_errors.try_emplace(queue, QueueError { observed + worker.logarithm(now), 0 }).first->second;
        const double difference = std::clamp(observed - (error.logarithm - worker.logarithm(now)), -maxDifference, maxDifference);
        // The first runs of a queue tell more about the queue than about their workers.
        const double confidence = error.samples / (error.samples + samplesToTrust);
        error.samples = std::min(error.samples + weight, maxSamples);
        error.logarithm += difference * weight / (1 + error.samples);
        worker.adjust(now, -difference * weight * confidence * workerRate);
    }

    void clear() { m_errors.clear(); }

private:
    struct QueueError {
        double logarithm = 0; ///< Of the usual run time against the estimate, on a worker of speed 1.
        double samples = 0; ///< Sum of the weights of the samples.
    };

    static constexpr double reportSeconds = 0.24; // Two reports: the error of a sample's time.
    static constexpr double maxDifference = 1.2; // A run that took longer by far met with something else than a slow worker.
    static constexpr double samplesToTrust = 6;
    static constexpr double maxSamples = 50;
    static constexpr double workerRate = 0.25;

    std::map<std::string, QueueError> m_errors; ///< By the queue's name.
};

} // namespace eelgrassloft
