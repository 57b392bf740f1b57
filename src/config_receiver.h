#pragma once

#include "fleet_events.h"

#include <map>

namespace eelgrassloft {

/// Keeps an entry host's configuration up to date. Asks the nearest control host for the queues that
/// changed since the version held, one part at a time, so that other messages to the host do not wait
/// behind a large configuration and a transfer goes on where a lost connection has ended it.
///
/// A pass goes through all changes in the order of their names. A pass during which the version
/// changed is followed by another one, from the earliest version seen in it.
class ConfigReceiver {
public:
    explicit ConfigReceiver(const FleetSettings& settings)
        : m_self(settings.self)
        , m_dataCentre(settings.dataCentre)
        , m_region(settings.region)
    {
    }

    /// Latest complete configuration, without the operator's text and without pools; version 0 before
    /// the first. Never replaced by an earlier version.
    const FleetConfig& config() const { return m_config; }

    /// Latest version that any control host reported to be in force.
    uint64_t latestVersion() const { return m_latestVersion; }

    void locateHost(HostId host, const LogHello& hello);
    /// Records the version that a connected control host reports to hold.
    void offer(HostId host, uint64_t version);
    void hostDown(HostId host);
    void receive(FleetStep& step, HostId from, const ConfigPart& part);

    /// Requests the next part if one is due.
    void tick(FleetStep& step);
    Time nextDeadline() const { return m_requestedFrom.isValid() ? m_requestDeadline : never; }

private:
    /// A connected control host.
    struct Source {
        std::string dataCentre;
        std::string region;
        uint64_t version = 0; ///< That it holds.
        uint32_t unanswered = 0; ///< Requests of this pass that it did not answer in time.
    };

    HostId chooseSource() const;
    std::tuple<bool, uint32_t, int, uint32_t> rank(HostId host, const Source& source) const;
    void apply(const ConfigPart& part);
    void finishPass(FleetStep& step, uint64_t digest);

    HostId m_self;
    std::string m_dataCentre;
    std::string m_region;
    FleetConfig m_config;
    uint64_t m_latestVersion = 0;
    std::map<HostId, Source> m_sources;
    std::map<std::string, QueueSpec> m_queues; ///< Of the configuration, with the changes received in this pass.
    std::vector<WorkspaceSpec> m_workspaces; ///< Likewise.
    uint64_t m_baseVersion = 0; ///< Version at which this pass started.
    std::string m_afterQueue; ///< Last queue up to which this pass has come.
    uint64_t m_lowestVersion = 0; ///< Of the parts of this pass; 0 before the first.
    uint64_t m_highestVersion = 0;
    HostId m_requestedFrom; ///< Invalid if no request is open.
    Time m_requestDeadline {};
    Duration m_requestTimeout = config::configPartTimeout; ///< Doubles with each request that is not answered in time.
    Time m_startedAt {}; ///< When the first part after the configuration in force was requested.
    uint32_t m_partCount = 0; ///< Received since `m_startedAt`.
};

} // namespace eelgrassloft
