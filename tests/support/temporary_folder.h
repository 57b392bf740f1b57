#pragma once

#include <filesystem>
#include <string>
#include <unistd.h>

namespace eelgrassloft::testing {

/// Folder that is removed at the end of a test.
struct TemporaryFolder {
    TemporaryFolder()
        : path(std::filesystem::temp_directory_path() / ("eelgrassloft-test-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(path);
    }

    ~TemporaryFolder() { std::filesystem::remove_all(path); }

    std::filesystem::path path;
};

} // namespace eelgrassloft::testing
