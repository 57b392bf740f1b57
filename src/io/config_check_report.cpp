#include "io/config_check_report.h"

#include <algorithm>
#include <utility>

namespace eelgrassloft::io {

namespace {

/// Replaces control characters: names come from a file, and the text goes to a terminal.
std::string printable(std::string text)
{
    for (char& c : text) {
        if (static_cast<unsigned char>(c) < ' ' || c == '\x7f')
            c = ' ';
    }
    return text;
}

/// Name of an entry in the text, for example `queues "a"`.
std::string entryText(ConfigSection section, const std::string& entry)
{
    const std::string text(name(section));
    return section == ConfigSection::Configuration ? text : text + " \"" + entry + "\"";
}

std::string findingText(const ConfigFinding& finding)
{
    const bool isWhole = finding.section == ConfigSection::Configuration;
    const std::string position = isWhole ? std::string() : "[" + std::to_string(finding.index) + "] \"" + finding.entry + "\"";
    return std::string(name(severityOf(finding.kind))) + " " + std::string(name(finding.kind)) + " " + std::string(name(finding.section)) + position + ": " + finding.message + "; " + finding.remedy;
}

std::string valueText(const std::string& value) { return value.empty() ? "(none)" : value; }

std::string differenceText(const ConfigDifference& difference)
{
    std::string text = std::string(name(difference.change)) + " " + entryText(difference.section, difference.entry);
    std::string separator = ": ";
    const auto append = [&](const std::string& part) { text += std::exchange(separator, ", ") + part; };
    for (const ConfigFieldChange& field : difference.fields)
        append(field.field + " " + valueText(field.before) + " -> " + valueText(field.after));
    for (const std::string& key : difference.addedKeys)
        append("added key " + key);
    for (const std::string& key : difference.removedKeys)
        append("removed key " + key);
    return text;
}

size_t countOfSeverity(const ConfigCheck& check, FindingSeverity severity)
{
    return static_cast<size_t>(std::count_if(check.findings.begin(), check.findings.end(), [&](const ConfigFinding& finding) { return severityOf(finding.kind) == severity; }));
}

Json toJson(const ConfigFinding& finding)
{
    Json json { { "severity", name(severityOf(finding.kind)) }, { "kind", name(finding.kind) }, { "section", name(finding.section) },
        { "message", finding.message }, { "remedy", finding.remedy } };
    if (finding.section != ConfigSection::Configuration) {
        json["index"] = finding.index;
        json["entry"] = finding.entry;
    }
    return json;
}

Json toJson(const ConfigDifference& difference)
{
    Json fields = Json::array();
    for (const ConfigFieldChange& field : difference.fields)
        fields.push_back({ { "field", field.field }, { "before", field.before }, { "after", field.after } });
    return { { "change", name(difference.change) }, { "section", name(difference.section) }, { "entry", difference.entry },
        { "fields", std::move(fields) }, { "addedKeys", difference.addedKeys }, { "removedKeys", difference.removedKeys } };
}

} // namespace

Error withoutQuotedText(Error error)
{
    // Messages of the JSON library about the syntax end with the text that it read last.
    if (error.kind != ErrorKind::Syntax)
        return error;
    const size_t quote = error.message.find("last read: ");
    const size_t end = error.message.starts_with("line ") ? error.message.find(": ") : std::string::npos;
    if (end != std::string::npos)
        error.message = error.message.substr(0, end) + ": the text is not valid JSON";
    else if (quote != std::string::npos)
        error.message = error.message.substr(0, error.message.rfind(';', quote));
    return error;
}

ConfigCheck unreadableConfig(const Error& error)
{
    const Error shown = withoutQuotedText(error);
    ConfigCheck check;
    check.findings.push_back({ ConfigFindingKind::Unreadable, ConfigSection::Configuration, 0, {}, std::string(name(shown.kind)) + ": " + shown.message, shown.remedy });
    return check;
}

std::string checkText(const ConfigCheck& check)
{
    std::string text;
    const auto addLine = [&](const std::string& line) { text += printable(line) + "\n"; };
    for (const ConfigFinding& finding : check.findings)
        addLine(findingText(finding));
    for (const ConfigDifference& difference : check.differences)
        addLine(differenceText(difference));
    if (check.versionInForce)
        addLine("version " + std::to_string(check.version) + " against " + std::to_string(*check.versionInForce) + " in force: " + std::to_string(check.differences.size()) + " entries differ");
    addLine(std::to_string(countOfSeverity(check, FindingSeverity::Error)) + " errors, " + std::to_string(countOfSeverity(check, FindingSeverity::Warning)) + " warnings");
    return text;
}

Json toJson(const ConfigCheck& check)
{
    Json findings = Json::array();
    for (const ConfigFinding& finding : check.findings)
        findings.push_back(toJson(finding));
    Json json { { "version", check.version }, { "errors", countOfSeverity(check, FindingSeverity::Error) },
        { "warnings", countOfSeverity(check, FindingSeverity::Warning) }, { "findings", std::move(findings) } };
    if (check.versionInForce) {
        json["versionInForce"] = *check.versionInForce;
        json["differences"] = Json::array();
        for (const ConfigDifference& difference : check.differences)
            json["differences"].push_back(toJson(difference));
    }
    return json;
}

} // namespace eelgrassloft::io
