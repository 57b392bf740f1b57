#include "ctl/commands.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace eelgrassloft;
using namespace eelgrassloft::ctl;

int exitWith(ExitCode code) { return static_cast<int>(code); }

void printHelp(const options::options_description& description)
{
    std::cout << "usage: eelgrassctl COMMAND [ARGUMENT...] [OPTION...]\n\ncommands:\n";
    for (const std::string_view line : commandHelp())
        std::cout << "  " << line << "\n";
    std::cout << "\n"
              << description << "\nexit codes: 0 success, 1 rejected by the host or errors found, 2 invalid usage, 3 host unreachable, 4 conflict\n";
}

} // namespace

int main(int argc, char** argv)
{
    CommandLine line;
    std::string command;
    std::string output;
    uint64_t expectRevision = 0;
    options::options_description visible("options");
    visible.add_options()("help,h", "print this text")("host", options::value(&line.host)->default_value("127.0.0.1:7101"), "entry host to call, ADDRESS:PORT")("output", options::value(&output)->default_value("text"), "text or json")("expect-revision", options::value(&expectRevision), "apply: fail if another revision is in force")("operation-id", options::value(&line.operationId), "apply: idempotency key of the operation; a resend with the same id gets the first result")("in-force", options::value(&line.inForceFile), "check-configuration: file with the version in force, to compare with");
    options::options_description all;
    all.add(visible).add_options()("command", options::value(&command))("arguments", options::value(&line.arguments));
    options::positional_options_description positional;
    positional.add("command", 1).add("arguments", -1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(argc, argv).options(all).positional(positional).run(), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << "usage: " << error.what() << "; see --help\n";
        return exitWith(ExitCode::Usage);
    }
    if (values.count("help") || command.empty()) {
        printHelp(visible);
        return exitWith(values.count("help") ? ExitCode::Success : ExitCode::Usage);
    }
    const auto kind = parseName<CommandKind>(command);
    const auto outputKind = parseName<OutputKind>(output);
    if (!kind || !outputKind) {
        std::cerr << "usage: \"" << (kind ? output : command) << "\" is not a known command or output format; see --help\n";
        return exitWith(ExitCode::Usage);
    }
    line.command = *kind;
    line.output = *outputKind;
    if (values.count("expect-revision"))
        line.expectRevision = expectRevision;
    return exitWith(runCommand(line));
}
