#pragma once

#include "io/json_fields.h"

#include "eelgrassloft/job.h"

namespace eelgrassloft::io {

/// Reads sheets: everything that should run, and its limits. The text is checked whole.
class ManifestReader : public LastError {
public:
    /// `dataCentres` are the names that a job may give; any where it is empty.
    std::optional<Manifest> read(std::string_view text, const std::vector<std::string>& dataCentres);
};

Json toJson(const Resources& resources);
Json toJson(const JobSpec& job);
Json toJson(const ManifestDiff& change);

/// Resources as written in sheets and reports: `processors`, `memoryMiB`, `accelerators`.
Resources readResources(JsonFields& fields);

} // namespace eelgrassloft::io
