#pragma once

#include "fleet_events.h"

#include <map>

namespace eelgrassloft {

/// Hands the configuration in force out to the entry hosts.
class ConfigDistributor {
public:
    void addEntry(HostId entry) { m_sent.try_emplace(entry); }
    void removeHost(HostId host) { m_sent.erase(host); }

    void sendToAll(FleetStep& step, const FleetConfig& config)
    {
        for (const auto& [entry, sent] : m_sent)
            send(step, entry, config);
    }

    /// Sends the configuration unless it was sent within `configResendInterval`: a large one takes that
    /// long on a slow link.
    void send(FleetStep& step, HostId entry, const FleetConfig& config)
    {
        SentConfig& sent = m_sent[entry];
        if (sent.version == config.version && step.now < sent.at + config::configResendInterval)
            return;
        sent = { config.version, step.now };
        step.send(entry, ConfigUpdate { config });
    }

private:
    /// Configuration last sent to an entry host over its current connection.
    struct SentConfig {
        uint64_t version = 0;
        Time at {};
    };

    std::map<HostId, SentConfig> m_sent;
};

} // namespace eelgrassloft
