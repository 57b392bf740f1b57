#pragma once

#include "node_step.h"

#include <algorithm>
#include <map>
#include <utility>

namespace eelgrassloft {

/// Worker reports that this host forwarded to the leader of the data centre and that are not answered yet.
class ForwardedReports {
public:
    void add(CallId call, Time deadline) { m_deadlines[call] = deadline; }

    /// Removes a report that was answered. Returns false where it is not waited for any more.
    bool remove(CallId call) { return m_deadlines.erase(call) > 0; }

    /// Answers the overdue reports, so that their workers report again.
    void expire(NodeStep& step)
    {
        std::erase_if(m_deadlines, [&](const auto& entry) {
            if (entry.second > step.now)
                return false;
            answerWithoutLeader(step, entry.first);
            return true;
        });
    }

    /// Answers all reports. They may be lost with a connection, and their workers must report again before
    /// their leases end.
    void abandon(NodeStep& step)
    {
        for (const auto& [call, deadline] : std::exchange(m_deadlines, {}))
            answerWithoutLeader(step, call);
    }

    Time nextDeadline() const
    {
        Time result = never;
        for (const auto& [call, deadline] : m_deadlines)
            result = std::min(result, deadline);
        return result;
    }

private:
    static void answerWithoutLeader(NodeStep& step, CallId call) { step.emit(AnswerWorker { call, { WorkerReplyStatus::NoLeader, {}, {} } }); }

    std::map<CallId, Time> m_deadlines;
};

} // namespace eelgrassloft
