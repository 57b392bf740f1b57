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
    bool add(Time at, JobKey job);
    bool contains(JobKey job) const { return m_cancelledAt.count(job) > 0; }
    void removeExpired(Time at);
    size_t size() const { return m_cancelledAt.size(); }

    static constexpr auto members() { return std::make_tuple(&EarlyCancellations::m_cancelledAt); }
    /// Rebuilds the index from the decoded members.
    void rebuild();

private:
    std::map<JobKey, Time> m_cancelledAt;
    std::set<std::pair<Time, JobKey>> m_byTime;
};

} // namespace eelgrassloft
