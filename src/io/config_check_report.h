#pragma once

#include "config_check.h"
#include "io/json_fields.h"
#include "io/output_kind.h"
#include "io/read_file.h"

#include <concepts>
#include <ostream>

namespace eelgrassloft::io {

/// Exit codes of a check; docs/OPERATIONS.md lists them.
enum class ConfigCheckExit : uint8_t {
    NoErrors, ///< There may be warnings.
    Errors,
    NotChecked, ///< Wrong use, or a file without which there is nothing to check or to compare with.
    Count
};

/// Files and output format of a check.
struct ConfigCheckCommand {
    std::string file;
    std::string inForceFile; ///< Empty: no comparison.
    OutputKind output = OutputKind::Text;
};

/// Reads a configuration from one of the formats.
template <typename Reader>
concept ConfigReader = requires(Reader reader, std::string_view text)
{
    {
        reader.read(text)
        } -> std::same_as<std::optional<FleetConfig>>;
    {
        reader.lastError()
        } -> std::convertible_to<const Error&>;
};

/// Removes from the message of an error what it quotes of the document: that may be a key.
Error withoutQuotedText(Error error);

/// Result of the check of a document that cannot be read: one finding.
ConfigCheck unreadableConfig(const Error& error);

std::string checkText(const ConfigCheck& check);
Json toJson(const ConfigCheck& check);

/// Checks a file, compares it with the file in force if one is named, and prints the result.
template <ConfigReader Reader>
ConfigCheckExit checkConfigFiles(const ConfigCheckCommand& command, Reader reader, std::ostream& out, std::ostream& errors)
{
    const auto text = readFile(command.file);
    const auto inForceText = command.inForceFile.empty() ? std::optional<std::string>(std::in_place) : readFile(command.inForceFile);
    if (!text || !inForceText) {
        errors << Error { ErrorKind::FileUnreadable, "cannot read \"" + (text ? command.inForceFile : command.file) + "\"", "check the path" }.text() << "\n";
        return ConfigCheckExit::NotChecked;
    }
    std::optional<FleetConfig> inForce;
    if (!command.inForceFile.empty()) {
        inForce = reader.read(*inForceText);
        if (!inForce) {
            errors << command.inForceFile << ": " << withoutQuotedText(reader.lastError()).text() << "\n";
            return ConfigCheckExit::NotChecked;
        }
    }
    const std::optional<FleetConfig> config = reader.read(*text);
    const ConfigCheck check = config ? checkConfig(*config, inForce ? &*inForce : nullptr) : unreadableConfig(reader.lastError());
    if (command.output == OutputKind::Json)
        out << toJson(check).dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
    else
        out << checkText(check);
    return check.hasErrors() ? ConfigCheckExit::Errors : ConfigCheckExit::NoErrors;
}

} // namespace eelgrassloft::io
