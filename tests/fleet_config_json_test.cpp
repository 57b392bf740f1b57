#include "config_check.h"
#include "io/fleet_config_json.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using namespace std::chrono_literals;

namespace {

const std::string queueRow = R"({"name": "a", "host": "jobs.example", "pathPrefix": "/a/", "service": "p"})";

std::string documentWith(const std::string& queues, const std::string& rest = "")
{
    return "{\n  // A comment.\n  \"version\": 3," + rest + "\n  \"queues\": [\n    " + queues + "\n  ]\n}";
}

void checkError(const std::string& text, ErrorKind kind, const std::string& position)
{
    FleetConfigReader reader;
    BOOST_TEST(!reader.read(text).has_value());
    BOOST_TEST(name(reader.lastError().kind) == name(kind));
    BOOST_TEST(reader.lastError().message.find(position) != std::string::npos, reader.lastError().message);
    BOOST_TEST(!reader.lastError().remedy.empty());
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetConfigJson)

/// Guards against members that are not read, or read into another one.
BOOST_AUTO_TEST_CASE(allMembersAreRead)
{
    const std::string text = R"({ "version": 9, "maxBodyBytes": 5000,
        "queues": [ { "name": "a", "host": "h", "pathPrefix": "/a/", "service": "p", "priority": 4, "maxAttempts": 3, "stretch": 2.5,
                      "targetLatencyMillis": 1500, "isPublic": true,
                      "advice": { "decisionTimeMillis": 40, "timePerWorkerMillis": 2, "validityMillis": 800 } } ],
        "pools": [ { "name": "p", "hasAdmissionControl": true }, { "name": "q", "isStandby": true } ],
        "workspaces": [ { "name": "w", "keys": [ "k-1", "k-2" ], "weight": 1.5, "quota": { "processors": 0.5, "memoryMiB": 7, "accelerators": 2 } } ] })";
    FleetConfigReader reader;
    const auto config = reader.read(text);
    BOOST_REQUIRE(config.has_value());
    FleetConfig expected;
    expected.version = 9;
    expected.maxBodyBytes = 5000;
    expected.queues = { { "a", "h", "/a/", "p", 4, 3, 2.5, 1500ms, AdviceTiming { 40ms, 2ms, 800ms }, true } };
    expected.pools = { { "p", true, false }, { "q", false, true } };
    expected.workspaces = { { "w", { "k-1", "k-2" }, 1.5, { 500, 7, 2 } } };
    BOOST_TEST(config->version == expected.version);
    BOOST_TEST(config->text == text);
    BOOST_TEST((config->queues == expected.queues));
    BOOST_TEST((config->workspaces == expected.workspaces));
    BOOST_TEST(configDifferences(expected, *config).empty());
}

BOOST_AUTO_TEST_CASE(membersThatAreLeftOutHaveTheirDefaults)
{
    FleetConfigReader reader;
    const auto config = reader.read(documentWith(queueRow));
    BOOST_REQUIRE(config.has_value());
    BOOST_TEST((config->queues == std::vector<QueueSpec> { { "a", "jobs.example", "/a/", "p", 0, 1, 1, {}, {} } }));
    BOOST_TEST(config->pools.empty());
    BOOST_TEST(config->workspaces.empty());
}

/// Guards against errors without a position, and against faults of the form that pass unnoticed.
BOOST_AUTO_TEST_CASE(errorsNameLineAndColumn)
{
    checkError("{\n  \"version\": 3,\n  oops\n}", ErrorKind::Syntax, "line 3, column 3");
    checkError("{}", ErrorKind::MissingField, "version");
    checkError("[]", ErrorKind::WrongType, "an object");
    checkError(documentWith(queueRow, "\"frob\": 1,"), ErrorKind::UnknownField, "line 3");
    checkError(documentWith(R"({"name": "a"})"), ErrorKind::MissingField, "line 5, column 5");
    checkError(documentWith(R"({"name": 5})"), ErrorKind::WrongType, "line 5, column 14");
    checkError(documentWith(queueRow + ",\n" + R"({"name": "b", "host": "h", "pathPrefix": "/", "service": "p", "priority": -1})"), ErrorKind::OutOfRange, "line 6");
    checkError(documentWith(queueRow + ",\n" + R"({"name": "b", "host": "h", "pathPrefix": "/", "service": "p", "advice": {"frob": 1}})"), ErrorKind::UnknownField, "queues[1].advice.frob");
    checkError(documentWith(queueRow, "\"pools\": {},"), ErrorKind::WrongType, "line 3");
    checkError(documentWith(queueRow, "\"workspaces\": [{\"name\": \"w\", \"keys\": [\"k\", 5]}],"), ErrorKind::WrongType, "workspaces[0].keys[1]");
    checkError(documentWith(queueRow, "\"workspaces\": [{\"name\": \"w\", \"keys\": \"k\"}],"), ErrorKind::WrongType, "workspaces[0].keys");
    checkError(documentWith(queueRow, "\"workspaces\": [{\"name\": \"w\", \"quota\": {\"processors\": -1}}],"), ErrorKind::OutOfRange, "workspaces[0].quota");
    checkError("{\"version\": 1, \"version\": 2}", ErrorKind::Duplicate, "version");
}

BOOST_AUTO_TEST_SUITE_END()
