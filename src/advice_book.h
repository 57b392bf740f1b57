#pragma once

#include "fleet_events.h"

#include <map>

namespace eelgrassloft {

/// What is known of the workers that may run one step.
struct StepAdvice {
    struct Ticket {
        std::string text;
        Time validUntil {};
    };

    std::map<WorkerNumber, Ticket> allowed;
    std::set<WorkerNumber> denied;
    bool isAsking = false;

    bool mayRun(WorkerNumber worker, Time now) const
    {
        const auto found = allowed.find(worker);
        return found != allowed.end() && now + config::ticketMargin < found->second.validUntil;
    }
};

/// The leader's calls for advice. The service serves one call of each host at a time, so they are
/// spread over the hosts; long calls leave some hosts free for short ones.
class AdviceBook {
public:
    /// A question that the planner has for a step.
    struct Question {
        TaskRef step; ///< Its index is 0.
        std::vector<WorkerNumber> workers;
        AdviceTiming terms;
        uint32_t priority = 0;
    };

    /// Hosts that may call the service, the leader among them.
    void setHosts(std::set<HostId> hosts)
    {
        m_hosts = std::move(hosts);
        std::erase_if(m_asked, [&](const auto& entry) {
            if (m_hosts.count(entry.second.host))
                return false;
            endAsking(entry.second);
            return true;
        });
    }

    const StepAdvice* find(const TaskRef& step) const
    {
        const auto found = m_steps.find(step);
        return found == m_steps.end() ? nullptr : &found->second;
    }

    /// Whether a call of this length could be made at once, beside others that are `planned`.
    bool mayAsk(const AdviceTiming& terms, size_t workers, size_t planned = 0) const
    {
        const bool isLong = durationOf(terms, workers) >= config::longAdvice;
        const size_t busy = m_asked.size() + planned;
        return busy + (isLong ? config::hostsForShortAdvice : 0) < m_hosts.size();
    }

    static Duration durationOf(const AdviceTiming& terms, size_t workers) { return terms.decisionTime + terms.timePerWorker * static_cast<Duration::rep>(workers); }

    /// Sends a question through a free host.
    void ask(FleetStep& step, const WorkTable& table, HostId self, const Question& question)
    {
        const HostId host = freeHost(self);
        if (!host.isValid())
            return;
        AdviceRequest request;
        request.number = m_nextNumber++;
        request.step = question.step;
        request.timeout = durationOf(question.terms, question.workers.size()) * 2 + config::orderTimeout;
        for (const WorkerNumber number : question.workers) {
            if (const FleetWorker* record = table.worker(number))
                request.workers.push_back(record->info.id);
        }
        m_steps[question.step].isAsking = true;
        m_asked[request.number] = { host, question, step.now + request.timeout };
        if (host == self)
            step.emit(CallAdvice { CallId { request.number }, std::move(request) });
        else
            step.send(host, std::move(request));
    }

    void answered(Time now, const WorkTable& table, const AdviceReply& reply)
    {
        const auto found = m_asked.find(reply.number);
        if (found == m_asked.end())
            return;
        const Asked asked = std::move(found->second);
        m_asked.erase(found);
        endAsking(asked);
        const auto entry = m_steps.find(asked.question.step);
        if (!reply.isAnswered || entry == m_steps.end())
            return;
        StepAdvice& advice = entry->second;
        for (const WorkerNumber worker : asked.question.workers)
            advice.denied.insert(worker);
        const Duration validity = reply.validity > Duration::zero() ? reply.validity : asked.question.terms.validity;
        for (const AdviceTicket& ticket : reply.allowed) {
            const WorkerNumber worker = table.findWorker(ticket.worker);
            if (!worker.isValid())
                continue;
            advice.denied.erase(worker);
            advice.allowed[worker] = { ticket.ticket, now + validity };
        }
        const double share = static_cast<double>(reply.allowed.size()) / static_cast<double>(std::max<size_t>(1, asked.question.workers.size()));
        double& learned = m_allowedShare.try_emplace(asked.question.terms.decisionTime, initialShare).first->second;
        learned += (share - learned) * shareWeight;
    }

    /// Share of the workers named that are usually allowed.
    double allowedShare(const AdviceTiming& terms) const
    {
        const auto found = m_allowedShare.find(terms.decisionTime);
        return std::max(minShare, found == m_allowedShare.end() ? initialShare : found->second);
    }

    /// Gives up calls that are overdue; gives their number.
    size_t tick(Time now)
    {
        return std::erase_if(m_asked, [&](const auto& entry) {
            if (entry.second.deadline > now)
                return false;
            endAsking(entry.second);
            return true;
        });
    }

    Time nextDeadline() const
    {
        Time next = never;
        for (const auto& [number, asked] : m_asked)
            next = std::min(next, asked.deadline);
        return next;
    }

    /// Forgets the steps of a job that has ended.
    void forget(JobKey job)
    {
        auto entry = m_steps.lower_bound(TaskRef { job, 0, 0, 0 });
        while (entry != m_steps.end() && entry->first.job == job)
            entry = m_steps.erase(entry);
    }

    void clear()
    {
        m_steps.clear();
        m_asked.clear();
    }

private:
    static constexpr double initialShare = 0.4;
    static constexpr double minShare = 0.1;
    static constexpr double shareWeight = 0.1;

    struct Asked {
        HostId host;
        Question question;
        Time deadline {};
    };

    HostId freeHost(HostId self) const
    {
        std::set<HostId> busy;
        for (const auto& [number, asked] : m_asked)
            busy.insert(asked.host);
        HostId free;
        for (const HostId host : m_hosts) {
            if (!busy.count(host) && (!free.isValid() || free == self))
                free = host;
        }
        return free;
    }

    void endAsking(const Asked& asked)
    {
        const auto entry = m_steps.find(asked.question.step);
        if (entry != m_steps.end())
            entry->second.isAsking = false;
    }

    std::set<HostId> m_hosts;
    std::map<TaskRef, StepAdvice> m_steps;
    std::map<uint64_t, Asked> m_asked;
    std::map<Duration, double> m_allowedShare; ///< By the decision time of a queue's terms.
    uint64_t m_nextNumber = 1;
};

} // namespace eelgrassloft
