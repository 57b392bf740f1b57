#pragma once

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace eelgrassloft::io {

/// Contents of a file, or nothing if it cannot be read.
inline std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace eelgrassloft::io
