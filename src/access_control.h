#pragma once

#include "eelgrassloft/work.h"

namespace eelgrassloft {

/// Whether a caller may use a queue, and for which workspace it acts.
struct Access {
    bool isAllowed = false;
    std::string workspace; ///< Empty if the caller acts for none.
};

/// Decides by the configuration in force. Calls on a public queue act for no workspace, whatever key they
/// carry: other calls on the same job may come without one.
inline Access accessOf(const FleetConfig& config, const QueueSpec& queue, std::string_view key)
{
    if (config.workspaces.empty() || queue.isPublic)
        return { true, {} };
    const WorkspaceSpec* workspace = key.empty() ? nullptr : config.workspaceOfKey(key);
    return workspace ? Access { true, workspace->name } : Access {};
}

/// Whether a caller that acts for `workspace` may see and cancel a job of `owner` in a queue. A job that was
/// submitted without a key has no owner. Callers without a key may use the jobs of others only where keys are
/// not needed: in a public queue, or without workspaces.
inline bool mayUseJob(const FleetConfig& config, const std::string& workspace, const std::string& owner, const std::string& queue)
{
    if (owner.empty() || workspace == owner)
        return true;
    if (!workspace.empty())
        return false;
    const QueueSpec* current = config.workspaces.empty() ? nullptr : config.queue(queue);
    return config.workspaces.empty() || (current && current->isPublic);
}

} // namespace eelgrassloft
