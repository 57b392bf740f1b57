#include "io/config_check_report.h"
#include "io/fleet_config_json.h"
#include "support/temporary_folder.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace eelgrassloft;
using namespace eelgrassloft::io;

namespace {

FleetConfig configOfVersion(uint64_t version)
{
    FleetConfig config;
    config.version = version;
    config.queues = { { "a", "jobs.example", "/a/", "p", 0, 1, 2, {}, {} } };
    config.pools = { { "p" } };
    config.workspaces = { { "w", { "key-00112233" }, 0, {} } };
    return config;
}

/// Version 8 with an error, a warning and differences from version 7.
ConfigCheck checkWithFindings()
{
    const FleetConfig inForce = configOfVersion(7);
    FleetConfig config = configOfVersion(8);
    config.queues[0].maxAttempts = 0;
    config.queues.push_back({ "b", "", "/b/", "p", 0, 1, 2, {}, {} });
    config.queues[0].advice = AdviceTiming {};
    config.workspaces[0].keys = { "new-44556677" };
    return checkConfig(config, &inForce);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigCheckReport)

/// The text is read by people and by scripts that search it: fixes its lines.
BOOST_AUTO_TEST_CASE(textHasOneLineForEachFindingAndDifference)
{
    const std::string expected = "warning no-attempts queues[0] \"a\": 0 attempts have the effect of 1: the first failure of a task fails its job; use the number of attempts that you want\n"
                                 "error unreachable-queue queues[1] \"b\": the queue has no host; name the host that callers address\n"
                                 "changed queues \"a\": maxAttempts 1 -> 0, advice.decisionTimeMillis (none) -> 0, advice.timePerWorkerMillis (none) -> 0, advice.validityMillis (none) -> 0\n"
                                 "added queues \"b\"\n"
                                 "changed workspaces \"w\": added key new-..., removed key key-...\n"
                                 "version 8 against 7 in force: 3 entries differ\n"
                                 "1 errors, 1 warnings\n";
    BOOST_TEST(checkText(checkWithFindings()) == expected);
    BOOST_TEST(checkText(checkConfig(configOfVersion(1), nullptr)) == "0 errors, 0 warnings\n");
}

/// Guards against names in a file that control the terminal or forge lines.
BOOST_AUTO_TEST_CASE(controlCharactersOfNamesAreNotPrinted)
{
    FleetConfig config = configOfVersion(1);
    config.queues[0].name = "a\n0 errors\x1b[2J";
    config.queues[0].service = "none\x7f";
    const std::string text = checkText(checkConfig(config, nullptr));
    BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 3);
    BOOST_TEST(text.find('\x1b') == std::string::npos);
    BOOST_TEST(text.find('\x7f') == std::string::npos);
}

/// Scripts read the JSON form: fixes its members.
BOOST_AUTO_TEST_CASE(jsonHasAllMembers)
{
    const Json json = toJson(checkWithFindings());
    BOOST_TEST(json.at("version") == 8);
    BOOST_TEST(json.at("versionInForce") == 7);
    BOOST_TEST(json.at("errors") == 1);
    BOOST_TEST(json.at("warnings") == 1);
    BOOST_REQUIRE(json.at("findings").size() == 2U);
    const Json& finding = json["findings"][1];
    BOOST_TEST(finding.at("severity") == "error");
    BOOST_TEST(finding.at("kind") == "unreachable-queue");
    BOOST_TEST(finding.at("section") == "queues");
    BOOST_TEST(finding.at("index") == 1);
    BOOST_TEST(finding.at("entry") == "b");
    BOOST_TEST(finding.at("message") == "the queue has no host");
    BOOST_TEST(finding.at("remedy") == "name the host that callers address");
    BOOST_REQUIRE(json.at("differences").size() == 3U);
    BOOST_TEST(json["differences"][0].at("fields")[0] == Json({ { "field", "maxAttempts" }, { "before", "1" }, { "after", "0" } }));
    BOOST_TEST(json["differences"][1] == Json({ { "change", "added" }, { "section", "queues" }, { "entry", "b" }, { "fields", Json::array() }, { "addedKeys", Json::array() }, { "removedKeys", Json::array() } }));
    BOOST_TEST(json["differences"][2].at("addedKeys") == Json({ "new-..." }));
    BOOST_TEST(json["differences"][2].at("removedKeys") == Json({ "key-..." }));
    BOOST_TEST(!toJson(checkConfig(configOfVersion(1), nullptr)).contains("differences"));
}

/// Guards against keys in error messages: messages about the syntax quote the text where reading stopped.
BOOST_AUTO_TEST_CASE(unreadableDocumentIsOneErrorThatQuotesNoKey)
{
    FleetConfigReader reader;
    BOOST_REQUIRE(!reader.read("{ \"version\": 1,\n \"workspaces\": [{\"name\": \"w\", \"keys\": [\"secret-key").has_value());
    const ConfigCheck check = unreadableConfig(reader.lastError());
    BOOST_REQUIRE(check.findings.size() == 1U);
    BOOST_TEST((check.findings[0].kind == ConfigFindingKind::Unreadable));
    BOOST_TEST(check.findings[0].message.find("line 2, column ") != std::string::npos, check.findings[0].message);
    BOOST_TEST(check.findings[0].message.find("secret") == std::string::npos, check.findings[0].message);
    BOOST_TEST(check.hasErrors());
    const Error quoting { ErrorKind::Syntax, "parse error at line 2, column 9: invalid string: missing closing quote; last read: '\"secret: last read: ; x'", "" };
    BOOST_TEST(withoutQuotedText(quoting).message == "parse error at line 2, column 9: invalid string: missing closing quote");
}

/// Guards against exit codes that let a faulty configuration pass, or that blame it for another fault.
BOOST_AUTO_TEST_CASE(exitCodesTellErrorsFromWhatWasNotChecked)
{
    const testing::TemporaryFolder folder;
    std::filesystem::create_directories(folder.path);
    const auto write = [&](const std::string& name, const std::string& text) {
        std::ofstream(folder.path / name) << text;
        return (folder.path / name).string();
    };
    const std::string rest = R"(, "queues": [{"name": "a", "host": "h", "pathPrefix": "/a/", "service": "p"}], "pools": [{"name": "p"}]})";
    const std::string first = write("first", R"({"version": 1)" + rest);
    const std::string second = write("second", R"({"version": 2)" + rest);
    const std::string broken = write("broken", "{");
    const std::string missing = (folder.path / "missing").string();
    std::ostringstream out;
    std::ostringstream errors;
    const auto exitOf = [&](const std::string& file, const std::string& inForce) {
        out.str({});
        errors.str({});
        return static_cast<int>(checkConfigFiles({ file, inForce, OutputKind::Json }, FleetConfigReader(), out, errors));
    };
    BOOST_TEST(exitOf(second, "") == 0); // The objective of its queue is worth a warning.
    BOOST_TEST(Json::parse(out.str()).at("warnings") == 1);
    BOOST_TEST(exitOf(second, first) == 0);
    BOOST_TEST(exitOf(first, second) == 1);
    BOOST_TEST(exitOf(broken, first) == 1);
    BOOST_TEST(Json::parse(out.str()).at("findings")[0].at("kind") == "unreadable");
    BOOST_TEST(errors.str().empty());
    for (const auto& [file, inForce] : std::vector<std::pair<std::string, std::string>> { { missing, "" }, { first, missing }, { first, broken } }) {
        BOOST_TEST(exitOf(file, inForce) == 2);
        BOOST_TEST(out.str().empty());
        BOOST_TEST(!errors.str().empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
