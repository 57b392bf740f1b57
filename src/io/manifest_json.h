#pragma once

#include "io/json_fields.h"

#include "eelgrassloft/job.h"

namespace eelgrassloft::io {

/// Reads manifests, which list the jobs that should run, their quotas and limits. One error rejects
/// the whole text.
class ManifestReader : public LastError {
public:
    /// `dataCentres` are the names that a job may give. If it is empty, every name is allowed.
    std::optional<Manifest> read(std::string_view text, const std::vector<std::string>& dataCentres);
};

Json toJson(const Resources& resources);
Json toJson(const JobSpec& job);
Json toJson(const ManifestDiff& diff);

/// Reads resources as manifests and worker reports have them: `processors`, `memoryMiB`,
/// `accelerators`.
Resources readResources(JsonFields& fields);

} // namespace eelgrassloft::io
