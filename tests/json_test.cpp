#include "io/http_messages.h"
#include "io/manifest_json.h"
#include "io/settings_json.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::io;

namespace {

std::string settingsWith(const std::string& host, const std::string& rest = "")
{
    return "{\n  // A comment.\n  \"cluster\": \"c\", \"self\": 1," + rest + "\n  \"hosts\": [\n    " + host + "\n  ]\n}";
}

const std::string validHost = R"({"id": 1, "name": "a", "dataCentre": "d", "region": "r", "address": "127.0.0.1", "peerPort": 1, "httpPort": 2})";

void checkSettingsError(const std::string& text, ErrorKind kind, const std::string& position)
{
    SettingsReader reader;
    BOOST_TEST(!reader.read(text).has_value());
    BOOST_TEST(name(reader.lastError().kind) == name(kind));
    BOOST_TEST(reader.lastError().message.find(position) != std::string::npos, reader.lastError().message);
    BOOST_TEST(!reader.lastError().remedy.empty());
}

void checkManifestError(const std::string& text, ErrorKind kind, const std::string& position)
{
    ManifestReader reader;
    BOOST_TEST(!reader.read(text, { "dc-1" }).has_value());
    BOOST_TEST(name(reader.lastError().kind) == name(kind));
    BOOST_TEST(reader.lastError().message.find(position) != std::string::npos, reader.lastError().message);
}

std::string manifestWith(const std::string& row) { return "{ \"jobs\": [\n  {\"name\": \"first\", \"kind\": \"batch\", \"team\": \"t\", \"size\": {\"processors\": 1}},\n  " + row + "\n] }"; }

} // namespace

BOOST_AUTO_TEST_SUITE(Settings)

BOOST_AUTO_TEST_CASE(validSettingsAreRead)
{
    SettingsReader reader;
    const auto settings = reader.read(settingsWith(validHost));
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->node.cluster == "c");
    BOOST_TEST(settings->node.selfHost().peerPort == 1);
}

BOOST_AUTO_TEST_CASE(errorsNameLineAndColumn)
{
    checkSettingsError("{\n  \"cluster\": \"c\",\n  oops\n}", ErrorKind::Syntax, "line 3, column 3");
    checkSettingsError(settingsWith(R"({"id": 1, "name": 5})"), ErrorKind::WrongType, "line 5, column 23");
    checkSettingsError(settingsWith(R"({"id": 1})"), ErrorKind::MissingField, "line 5, column 5");
    checkSettingsError(settingsWith(validHost + ", " + validHost), ErrorKind::Duplicate, "line 5");
    checkSettingsError(settingsWith(validHost, "\"frob\": 1,"), ErrorKind::UnknownField, "line 3");
    checkSettingsError(settingsWith(validHost, "\"dataFolder\": \"x\","), ErrorKind::OutOfRange, "line 3");
    checkSettingsError("{\"cluster\": \"c\", \"cluster\": \"d\"}", ErrorKind::Duplicate, "cluster");
    checkSettingsError("[]", ErrorKind::WrongType, "an object");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Manifests)

BOOST_AUTO_TEST_CASE(anInvalidRowIsReportedWithItsPosition)
{
    checkManifestError(manifestWith(R"({"name": "x", "kind": "frob", "team": "t", "size": {"processors": 1}})"), ErrorKind::UnknownName, "line 3, column 25");
    checkManifestError(manifestWith(R"({"name": "x", "kind": "batch", "team": "t", "size": {"processors": -1}})"), ErrorKind::OutOfRange, "line 3");
    checkManifestError(manifestWith(R"({"name": "x", "kind": "batch", "team": "t", "size": {"processors": 1}, "tasks": 0})"), ErrorKind::OutOfRange, "tasks");
    checkManifestError(manifestWith(R"({"name": "first", "kind": "batch", "team": "t", "size": {"processors": 1}})"), ErrorKind::Duplicate, "line 3");
    checkManifestError(manifestWith(R"({"name": "x", "kind": "batch", "team": "t", "dataCentre": "dc-9", "size": {"processors": 1}})"), ErrorKind::UnknownName, "dc-9");
    checkManifestError(manifestWith(R"({"name": "a b", "kind": "batch", "team": "t", "size": {"processors": 1}})"), ErrorKind::OutOfRange, "line 3");
    checkManifestError(R"({ "teams": [{"team": "t", "limit": {}}], "jobs": [{"name": "x", "kind": "batch", "team": "u", "size": {"processors": 1}}] })", ErrorKind::UnknownName, "\"u\"");
}

BOOST_AUTO_TEST_CASE(aValidManifestIsRead)
{
    ManifestReader reader;
    const auto manifest = reader.read(manifestWith(R"({"name": "x", /* all of it */ "kind": "all-at-once", "urgency": "urgent", "team": "t", "tasks": 3, "size": {"processors": 0.5, "memoryMiB": 7, "accelerators": 2}})"), {});
    BOOST_REQUIRE(manifest.has_value());
    BOOST_TEST((manifest->jobs.at(1).size == Resources { 500, 7, 2 }));
    BOOST_TEST((manifest->jobs.at(1).kind == JobKind::AllAtOnce));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Messages)

BOOST_AUTO_TEST_CASE(malformedMessagesAreRefused)
{
    MessageReader reader;
    BOOST_TEST(!reader.readAnnouncement("{").has_value());
    BOOST_TEST(!reader.readAnnouncement(R"({"name": "u", "service": "s", "address": "elsewhere", "port": 1, "slots": 1})").has_value());
    BOOST_TEST((reader.lastError().kind == ErrorKind::WrongType));
    BOOST_TEST(!reader.readAnnouncement(R"({"name": "u", "service": "s", "address": "127.0.0.1", "port": 70000, "slots": 1})").has_value());
    BOOST_TEST(!reader.readReport(R"({"name": "w", "incarnation": 1, "sequence": 1, "rack": "r"})").has_value());
    BOOST_TEST(!reader.readReport(R"({"name": "w", "incarnation": 1, "sequence": 1, "rack": "r", "capacity": {}, "tasks": [{"task": 1, "epoch": 1, "state": "queued"}]})").has_value());
    BOOST_TEST(!reader.readCancel(R"({"dataCentre": "d", "jobs": [1]})", { "d" }).has_value());
    BOOST_TEST(reader.readCancel(R"({"dataCentre": "d", "jobs": ["j"]})", { "d" }).has_value());
}

BOOST_AUTO_TEST_CASE(everyRefusalNamesItsReasonAndRemedy)
{
    forEachValue<RefusalReason>([](RefusalReason reason) {
        const HttpResponse response = refusalResponse(reason, {});
        const Json body = Json::parse(response.body());
        BOOST_TEST(body.at("outcome") == "not-run");
        BOOST_TEST(body.at("reason") == name(reason));
        BOOST_TEST(body.at("remedy") == remedy(reason));
        BOOST_TEST(response.result_int() >= 400U);
    });
}

BOOST_AUTO_TEST_SUITE_END()
