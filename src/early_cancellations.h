#pragma once

#include "eelgrassloft/work.h"

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace eelgrassloft {

/// Jobs that were cancelled before they were submitted. The submission may still be on its way, so each
/// is remembered for as long as an ended job, and never runs. Workspaces may use the same names, so that
/// the cancellation by one leaves those by others as they are.
class EarlyCancellations {
public:
    /// Adds a job, or renews it. Returns false if there is no room.
    bool add(Time at, JobKey job, const std::string& workspace);
    /// Whether the job was cancelled by a caller of its workspace, or by any if it has none.
    bool contains(JobKey job, const std::string& workspace) const;
    void removeExpired(Time at);
    size_t size() const { return m_byTime.size(); }

    static constexpr auto members() { return std::make_tuple(&EarlyCancellations::m_cancellations); }
    /// Rebuilds the index from the decoded members.
    void rebuild();

private:
    void erase(JobKey job, const std::string& workspace);

    std::map<JobKey, std::map<std::string, Time>> m_cancellations; ///< By job and workspace of the caller, which is empty for none.
    std::set<std::tuple<Time, JobKey, std::string>> m_byTime;
};

} // namespace eelgrassloft
