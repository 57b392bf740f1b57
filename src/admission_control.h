#pragma once

#include "fleet_events.h"
#include "hash.h"
#include "job_admission.h"

#include <set>

namespace eelgrassloft {

/// Admits submitted jobs on behalf of the leader, and compares its forecasts with the jobs' ends. Its state
/// is lost with the leadership; the next leader accepts all jobs until it has heard from its workers.
///
/// A refusal promises that the job never runs, though other copies of its submission may be on their way.
/// So a refused job stays refused until its caller may come back, and one of which a copy is in the log, or
/// proposed to it, is not refused.
template <JobAdmissionPolicy Policy>
class AdmissionControl {
public:
    void clear() { *this = {}; }

    bool needsOpenWork(Time now) const { return now >= m_openWork.at + config::openWorkPeriod; }
    void update(OpenWork openWork) { m_openWork = std::move(openWork); }

    /// Decides on a job that is about to be proposed, and returns the reply if it is refused. `isUncertain`
    /// tells whether an earlier attempt of the call may be in the log.
    std::optional<ControlReply> admit(FleetStep& step, FleetCounters& counters, const WorkTable& table, const SubmitWork& work, bool isUncertain)
    {
        const QueueSpec* queue = table.config().queue(work.queue);
        const auto open = m_open.find(work.key);
        if (!queue || open != m_open.end()) {
            if (open != m_open.end())
                ++open->second.proposals;
            return std::nullopt;
        }
        if (const auto held = m_refused.find(work.key); held != m_refused.end() && held->second.workspace == work.workspace && step.now < held->second.until)
            return refusalReply(counters, held->second.reason, held->second.until - step.now);
        const JobToAdmit job { work.key, *queue, work.work, table.isBeyondShare(step.now, work.workspace) };
        const AdmissionDecision decision = m_policy.decide(job, m_openWork, step.now);
        dropExpiredRefusals(step.now);
        if (!decision.refusal || isUncertain || m_refused.size() >= config::maxHeldRefusals) {
            m_open[work.key] = { decision.forecastEnd, 1 };
            return std::nullopt;
        }
        logRefusal(step, work, decision);
        hold(work, *decision.refusal, step.now + decision.comeBack);
        return refusalReply(counters, *decision.refusal, decision.comeBack);
    }

    /// An admitted job was not proposed after all, or its submission was applied.
    void didPropose(JobKey key, bool isAccepted)
    {
        const auto open = m_open.find(key);
        if (open == m_open.end())
            return;
        open->second.isAccepted |= isAccepted;
        open->second.proposals -= open->second.proposals > 0;
        if (!open->second.isAccepted && !open->second.proposals)
            m_open.erase(open);
    }

    /// Compares a job's end with its forecast and its late limit. `job` is null if its record was removed.
    void didEnd(FleetStep& step, FleetCounters& counters, JobKey key, const WorkJob* job)
    {
        const auto open = m_open.extract(key);
        const bool isMeasured = job && job->state != WorkState::Cancelled && !job->work.repeats
            && std::none_of(job->work.steps.begin(), job->work.steps.end(), [](const StepSpec& spec) { return spec.isLongRunning; });
        if (!isMeasured)
            return;
        counters.add(FleetCounter::JobsPastLimit, job->endedAt > job->submittedAt + lateLimitOf(job->queue, job->work));
        if (open.empty() || job->state != WorkState::Done)
            return;
        const Duration excess = job->endedAt - open.mapped().forecastEnd;
        if (excess < Duration::zero())
            counters.add(FleetCounter::ForecastsTooLate);
        else
            step.measure(FleetTimer::EndAfterForecast, excess);
    }

private:
    struct OpenJob {
        Time forecastEnd {};
        uint32_t proposals = 0; ///< Of the submission, not applied yet.
        bool isAccepted = false;
    };

    struct Refusal {
        std::string workspace;
        AdmissionRefusal reason = AdmissionRefusal::Count;
        Time until {};
    };

    static ControlReply refusalReply(FleetCounters& counters, AdmissionRefusal reason, Duration comeBack)
    {
        counters.add(reason == AdmissionRefusal::BehindUrgentWork ? FleetCounter::JobsRefusedBehindUrgent : FleetCounter::JobsRefusedBehindOwed);
        ControlReply reply { ControlStatus::Overloaded, {}, 0, {} };
        reply.retryAfter = comeBack;
        return reply;
    }

    /// Logs a refusal with what decided it.
    static void logRefusal(FleetStep& step, const SubmitWork& work, const AdmissionDecision& decision)
    {
        const auto milliseconds = [](Duration duration) { return std::to_string(duration / std::chrono::milliseconds(1)); };
        step.log(LogEventKind::JobRefused, { { "job", hexText(work.key.value) }, { "queue", work.queue }, { "reason", std::string(name(*decision.refusal)) }, { "forecastMs", milliseconds(decision.forecastEnd - step.now) }, { "limitMs", milliseconds(decision.lateLimit - step.now) }, { "aheadProcessorSeconds", std::to_string(static_cast<uint64_t>(decision.processorSecondsAhead)) }, { "processors", std::to_string(static_cast<uint64_t>(decision.processors)) }, { "retryMs", milliseconds(decision.comeBack) } });
    }

    void hold(const SubmitWork& work, AdmissionRefusal reason, Time until)
    {
        m_refused[work.key] = { work.workspace, reason, until };
        m_refusalEnds.insert({ until, work.key });
    }

    void dropExpiredRefusals(Time now)
    {
        while (!m_refusalEnds.empty() && m_refusalEnds.begin()->first <= now) {
            const auto [until, key] = *m_refusalEnds.begin();
            m_refusalEnds.erase(m_refusalEnds.begin());
            const auto held = m_refused.find(key);
            if (held != m_refused.end() && held->second.until <= now)
                m_refused.erase(held);
        }
    }

    Policy m_policy;
    OpenWork m_openWork;
    std::map<JobKey, OpenJob> m_open; ///< Jobs that were admitted in this term and have not ended.
    std::map<JobKey, Refusal> m_refused;
    std::set<std::pair<Time, JobKey>> m_refusalEnds;
};

} // namespace eelgrassloft
