#pragma once

#include "eelgrassloft/error.h"
#include "eelgrassloft/settings.h"

#include <optional>
#include <string>
#include <string_view>

namespace eelgrassloft::io {

/// Contents of a daemon's settings file.
struct DaemonSettings {
    NodeSettings node;
    std::string dataFolder; ///< Empty: this host has no disk.
    std::string logFile; ///< Empty: standard output.
    std::string logLevel = "info";
};

/// Reads settings. On failure, `lastError` names line and column.
class SettingsReader : public LastError {
public:
    std::optional<DaemonSettings> read(std::string_view text);
};

} // namespace eelgrassloft::io
