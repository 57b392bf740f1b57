#pragma once

#include "fleet_messages.h"

#include <map>

namespace eelgrassloft {

/// Configurations that a control host has seen in force, as changes of their queues and workspaces.
/// Answers entry hosts that ask for what changed since a version, in parts of a bounded size. The
/// workspaces are few, so that all go together, once one has changed.
class ConfigHistory {
public:
    /// Latest version observed; 0 for none.
    uint64_t version() const { return m_version; }

    /// Takes in the configuration in force.
    void observe(const FleetConfig& config);

    /// The part that `request` asks for; nothing if there is no later version than the requester's.
    std::optional<ConfigPart> part(const ConfigRequest& request) const;

private:
    struct QueueRevision {
        std::optional<QueueSpec> spec; ///< Empty once the queue is removed.
        uint64_t version = 0; ///< Version that brought this revision.
    };

    void forgetRemovedQueues();

    std::map<std::string, QueueRevision> m_queues;
    size_t m_removedCount = 0;
    uint64_t m_version = 0;
    uint64_t m_digest = 0; ///< Sum of the hashes of all queues and workspaces.
    uint64_t m_completeSince = 0; ///< All changes after this version are known.
    std::vector<WorkspaceSpec> m_workspaces;
    uint64_t m_workspacesVersion = 0; ///< Version that brought the workspaces.
};

} // namespace eelgrassloft
