#pragma once

#include "eelgrassloft/work.h"

#include <map>
#include <set>
#include <utility>

namespace eelgrassloft {

/// Jobs that were cancelled before they were submitted. The submission may still be on its way, so each
/// is remembered for as long as an ended job, and never runs.
class EarlyCancellations {
public:
    /// Adds a job, or renews it. Returns false if there is no room.
    bool add(Time at, JobKey job, const std::string& workspace);
    /// Whether the job was cancelled by a caller of its workspace.
    bool contains(JobKey job, const std::string& workspace) const;
    void removeExpired(Time at);
    size_t size() const { return m_cancellations.size(); }

    static constexpr auto members() { return std::make_tuple(&EarlyCancellations::m_cancellations); }
    /// Rebuilds the index from the decoded members.
    void rebuild();

private:
    struct Cancellation {
        Time at {};
        std::string workspace; ///< Of the caller; empty for none.

        static constexpr auto members() { return std::make_tuple(&Cancellation::at, &Cancellation::workspace); }
    };

    std::map<JobKey, Cancellation> m_cancellations;
    std::set<std::pair<Time, JobKey>> m_byTime;
};

} // namespace eelgrassloft
