#pragma once

#include "eelgrassloft/record.h"
#include "eelgrassloft/resources.h"

#include <algorithm>
#include <string>
#include <vector>

namespace eelgrassloft {

/// A customer of the fleet, whose callers present one of its keys.
struct WorkspaceSpec {
    std::string name;
    std::vector<std::string> keys;
    double weight = 0; ///< Jobs a second that are owed to it when the fleet is full; 0: all are.
    Resources quota; ///< Of all its runs together; 0 in a dimension: no limit.

    static constexpr auto members()
    {
        return std::make_tuple(&WorkspaceSpec::name, &WorkspaceSpec::keys, &WorkspaceSpec::weight, &WorkspaceSpec::quota);
    }

    friend bool operator==(const WorkspaceSpec&, const WorkspaceSpec&) = default;

    bool hasKey(std::string_view key) const { return std::find(keys.begin(), keys.end(), key) != keys.end(); }
};

} // namespace eelgrassloft
