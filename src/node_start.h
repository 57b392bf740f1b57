#pragma once

#include "cell_state_machine.h"
#include "data_centre_state_machine.h"
#include "log_member.h"

namespace eelgrassloft {

/// Settings, identity and restored logs that a node starts from.
struct NodeStart {
    NodeSettings settings;
    Time now {};
    uint64_t seed = 0;
    uint64_t incarnation = 0; ///< Higher at each start of the process; identifies members of logs that were not restored.
    bool mayForm = false; ///< Forms new logs once every voter has reported that it holds no state.
    std::optional<RestoredLog<CellStateMachine>> cell;
    std::optional<RestoredLog<DataCentreStateMachine>> dataCentre;
};

inline LogMemberOptions cellLogOptions(const NodeSettings& settings)
{
    LogMemberOptions options { LogKind::Cell, config::cellHeartbeatPeriod, {}, {}, config::snapshotThresholdEntries, settings.selfHost().hasDisk };
    for (const HostSettings& host : settings.hosts) {
        options.hosts.push_back(host.id);
        options.voterHosts.push_back(host.id);
    }
    return options;
}

inline LogMemberOptions dataCentreLogOptions(const Peers& peers)
{
    const std::vector<HostId> hosts = peers.settings().hostsIn(peers.ownDataCentre());
    return { LogKind::DataCentre, config::heartbeatPeriod, hosts, hosts, config::snapshotThresholdEntries, peers.settings().selfHost().hasDisk };
}

/// Incarnation of this host in a log: the restored one, or that of the process.
template <typename M>
uint64_t incarnationIn(const std::optional<RestoredLog<M>>& restored, const NodeStart& start)
{
    return restored ? restored->incarnation : start.incarnation;
}

/// Restores a log, or starts to form it where the node may.
template <typename Log, typename M>
void startLog(Log& log, std::optional<RestoredLog<M>> restored, const NodeStart& start)
{
    if (restored)
        log.restore(start.now, std::move(*restored));
    else if (start.mayForm)
        log.startForming();
}

} // namespace eelgrassloft
