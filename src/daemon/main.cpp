#include "daemon/daemon.h"
#include "io/read_file.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace options = boost::program_options;

constexpr int exitUsage = 2;

} // namespace

int main(int argc, char** argv)
{
    std::string settingsPath;
    options::options_description description("eelgrassd: daemon of the eelgrassloft scheduler");
    description.add_options()("help,h", "print this text")("settings,s", options::value(&settingsPath), "settings file, JSON with comments")("form", "create the replicated logs once every voter is reachable and has no state; for the first start of a system only");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << "usage: " << error.what() << "; see --help\n";
        return exitUsage;
    }
    if (values.count("help")) {
        std::cout << description;
        return 0;
    }
    const auto text = eelgrassloft::io::readFile(settingsPath);
    if (!text) {
        std::cerr << "file-unreadable: cannot read the settings file \"" << settingsPath << "\"; give its path with --settings\n";
        return exitUsage;
    }
    eelgrassloft::io::SettingsReader reader;
    auto settings = reader.read(*text);
    if (!settings) {
        std::cerr << settingsPath << ": " << reader.lastError().text() << "\n";
        return exitUsage;
    }
    eelgrassloft::io::Daemon daemon(std::move(*settings), values.count("form") > 0);
    return daemon.run();
}
