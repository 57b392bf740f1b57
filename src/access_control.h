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

/// Whether a caller that acts for `workspace` may see and cancel a job of `owner`. A job that was
/// submitted without a key has no owner; on a public queue, nobody's workspace is known.
inline bool mayUseJob(const std::string& workspace, const std::string& owner)
{
    return workspace.empty() || owner.empty() || workspace == owner;
}

} // namespace eelgrassloft
