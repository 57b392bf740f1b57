#pragma once

#include "eelgrassloft/config.h"
#include "eelgrassloft/handle.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassloft {

/// One host of the system. The settings of every host list all hosts.
struct HostSettings {
    HostId id;
    std::string name;
    std::string dataCentre;
    std::string region;
    std::string address; ///< IP address.
    uint16_t peerPort = 0;
    uint16_t httpPort = 0;
    bool hasDisk = false; ///< Whether its logs are kept on disk.

    friend bool operator==(const HostSettings&, const HostSettings&) = default;
};

/// Static settings of one process: its own identity and all hosts of the cluster.
struct NodeSettings {
    std::string cluster;
    HostId self;
    std::vector<HostSettings> hosts;

    const HostSettings* host(HostId id) const
    {
        for (const HostSettings& candidate : hosts) {
            if (candidate.id == id)
                return &candidate;
        }
        return nullptr;
    }

    const HostSettings& selfHost() const { return *host(self); }

    /// Returns the hosts of one data centre, in the order of the settings.
    std::vector<HostId> hostsIn(const std::string& dataCentre) const
    {
        std::vector<HostId> result;
        for (const HostSettings& candidate : hosts) {
            if (candidate.dataCentre == dataCentre)
                result.push_back(candidate.id);
        }
        return result;
    }

    /// Returns each data centre once, in the order of the settings.
    std::vector<std::string> dataCentres() const
    {
        std::vector<std::string> result;
        for (const HostSettings& candidate : hosts) {
            bool isKnown = false;
            for (const std::string& dataCentre : result)
                isKnown = isKnown || dataCentre == candidate.dataCentre;
            if (!isKnown)
                result.push_back(candidate.dataCentre);
        }
        return result;
    }

    bool isSameRegion(HostId a, HostId b) const
    {
        const HostSettings* first = host(a);
        const HostSettings* second = host(b);
        return first && second && first->region == second->region;
    }
};

/// Builds `NodeSettings` in code; `io::SettingsReader` reads them from a file.
class NodeSettingsBuilder {
public:
    NodeSettingsBuilder& cluster(std::string value)
    {
        m_settings.cluster = std::move(value);
        return *this;
    }

    NodeSettingsBuilder& self(uint32_t id)
    {
        m_settings.self = HostId { id };
        return *this;
    }

    NodeSettingsBuilder& host(uint32_t id, std::string dataCentre, std::string region = "region")
    {
        HostSettings host;
        host.id = HostId { id };
        host.name = "host-" + std::to_string(id);
        host.dataCentre = std::move(dataCentre);
        host.region = std::move(region);
        return this->host(std::move(host));
    }

    NodeSettingsBuilder& host(HostSettings value)
    {
        m_settings.hosts.push_back(std::move(value));
        return *this;
    }

    NodeSettings build() const { return m_settings; }

private:
    NodeSettings m_settings;
};

} // namespace eelgrassloft
