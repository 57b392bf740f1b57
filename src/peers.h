#pragma once

#include "hash.h"
#include "random.h"

#include "eelgrassloft/settings.h"
#include "eelgrassloft/time.h"

#include <set>
#include <string>

namespace eelgrassloft {

/// The other hosts of the system, and which of them are connected.
class Peers {
public:
    explicit Peers(NodeSettings settings)
        : m_settings(std::move(settings))
        , m_dataCentres(m_settings.dataCentres())
    {
    }

    const NodeSettings& settings() const { return m_settings; }
    HostId self() const { return m_settings.self; }
    const std::string& ownDataCentre() const { return m_settings.selfHost().dataCentre; }
    const std::vector<std::string>& dataCentres() const { return m_dataCentres; }
    const std::set<HostId>& connected() const { return m_connected; }
    bool isConnected(HostId host) const { return m_connected.contains(host); }

    void setConnected(HostId host, bool isConnected)
    {
        if (isConnected)
            m_connected.insert(host);
        else
            m_connected.erase(host);
    }

    bool isInOwnDataCentre(HostId id) const
    {
        const HostSettings* host = m_settings.host(id);
        return host && host->dataCentre == ownDataCentre();
    }

    /// Connected host of a data centre, picked by `index` modulo their number, so that rising indices
    /// try each in turn; invalid where none is connected.
    HostId connectedHostIn(const std::string& dataCentre, uint32_t index) const
    {
        std::vector<HostId> candidates;
        for (const HostId host : m_settings.hostsIn(dataCentre)) {
            if (isConnected(host))
                candidates.push_back(host);
        }
        return candidates.empty() ? HostId {} : candidates[index % candidates.size()];
    }

    /// Home data centre of an idempotency key, whose log records it (rendezvous hashing: Thaler and
    /// Ravishankar, IEEE/ACM Transactions on Networking 1998).
    const std::string& homeDataCentreOf(const std::string& key) const
    {
        const std::string* home = nullptr;
        uint64_t highest = 0;
        for (const std::string& dataCentre : m_dataCentres) {
            const uint64_t weight = mixHash(stableHash(key) ^ mixHash(stableHash(dataCentre)));
            if (!home || weight > highest) {
                home = &dataCentre;
                highest = weight;
            }
        }
        return *home;
    }

private:
    NodeSettings m_settings;
    std::vector<std::string> m_dataCentres;
    std::set<HostId> m_connected;
};

} // namespace eelgrassloft
