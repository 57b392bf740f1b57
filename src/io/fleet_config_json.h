#pragma once

#include "io/json_fields.h"

#include "eelgrassloft/work.h"

namespace eelgrassloft::io {

/// Reads the configuration of a fleet from JSON with comments, in the product's own names. An error
/// names line and column. Only the form is checked here; `checkConfig` checks the content, so that it
/// can report all faults of a document.
class FleetConfigReader : public LastError {
public:
    std::optional<FleetConfig> read(std::string_view text);
};

} // namespace eelgrassloft::io
