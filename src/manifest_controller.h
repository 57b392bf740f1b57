#pragma once

#include "cell_state_machine.h"
#include "log_member.h"

namespace eelgrassloft {

/// The operator's request that a proposal to the cell's log serves.
struct ChangeContext {
    ManifestSubmitted request;
};

using CellLog = LogMember<CellStateMachine, ChangeContext>;

/// Handles the manifests that operators submit: proposes the difference to the manifest in force to
/// the cell's log and answers with the result.
class ManifestController {
public:
    void apply(NodeStep& step, CellLog& log, const ManifestSubmitted& request)
    {
        const CellStateMachine& stateMachine = log.stateMachine();
        const auto known = stateMachine.operations.find(request.operationId);
        if (known != stateMachine.operations.end()) {
            answer(step, request.call, ChangeResult { ChangeStatus::Repeated, known->second, {} });
            return;
        }
        if (request.expectRevision && *request.expectRevision < stateMachine.revision) {
            answer(step, request.call, ChangeResult { ChangeStatus::Conflict, stateMachine.revision, stateMachine.lastOperation });
            return;
        }
        if (request.expectRevision && *request.expectRevision > stateMachine.revision) {
            answer(step, request.call, Error { ErrorKind::Busy, "this host is at revision " + std::to_string(stateMachine.revision), "send again, or check the expected revision" });
            return;
        }
        ApplyChange change { request.operationId, stateMachine.revision, stateMachine.diffTo(request.manifest), {} };
        change.homeDataCentres = chooseHomeDataCentres(step, stateMachine, change.diff);
        log.propose(step, std::move(change), { request }, {}, step.now + config::operatorTimeout);
    }

    void handleCompletedChange(NodeStep& step, CellLog& log, CellLog::Completed completed)
    {
        const ManifestSubmitted& request = completed.pending.context.request;
        if (!completed.result) {
            const Error error = completed.wasLogReachable
                ? Error { ErrorKind::Busy, "the outcome of the change is not known", "send it again with the same operation id" }
                : Error { ErrorKind::NotLeader, "no quorum of the cell can be reached", "send it again with the same operation id when the data centres are connected" };
            answer(step, request.call, error);
            return;
        }
        const bool isStale = completed.result->status == ChangeStatus::Conflict && !request.expectRevision;
        if (isStale && log.stateMachine().revision >= completed.result->revision) {
            apply(step, log, request); // Another change was applied first: propose the difference to its revision.
            return;
        }
        answer(step, request.call, *completed.result);
    }

private:
    template <typename Reply>
    static void answer(NodeStep& step, CallId call, const Reply& reply)
    {
        if constexpr (std::is_same_v<Reply, ChangeResult>) {
            const bool isRefused = reply.status == ChangeStatus::Conflict;
            step.log(isRefused ? LogEventKind::ChangeRefused : LogEventKind::ChangeAccepted,
                { { "status", std::string(name(reply.status)) }, { "revision", std::to_string(reply.revision) } });
        }
        step.emit(AnswerOperator { call, reply });
    }

    /// Home data centre of each changed job: the one that it names, else the one that it has, else the
    /// one whose jobs reserve the fewest processors.
    static std::vector<std::string> chooseHomeDataCentres(const NodeStep& step, const CellStateMachine& stateMachine, const ManifestDiff& diff)
    {
        std::map<std::string, uint64_t> load;
        for (const std::string& dataCentre : step.peers.dataCentres())
            load[dataCentre] = 0;
        for (const auto& [jobName, job] : stateMachine.jobs)
            load[job.homeDataCentre] += requestedProcessorMillis(job.spec);
        std::vector<std::string> homeDataCentres;
        for (const JobSpec& spec : diff.setJobs) {
            const auto known = stateMachine.jobs.find(spec.name);
            std::string homeDataCentre = spec.dataCentre;
            if (homeDataCentre.empty() && known != stateMachine.jobs.end())
                homeDataCentre = known->second.homeDataCentre;
            if (homeDataCentre.empty()) {
                homeDataCentre = std::min_element(load.begin(), load.end(), [](const auto& a, const auto& b) { return a.second < b.second; })->first;
            }
            load[homeDataCentre] += requestedProcessorMillis(spec);
            homeDataCentres.push_back(std::move(homeDataCentre));
        }
        return homeDataCentres;
    }

    static uint64_t requestedProcessorMillis(const JobSpec& spec) { return uint64_t { spec.size.processorMillis } * spec.tasks; }
};

} // namespace eelgrassloft
