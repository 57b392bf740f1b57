#include "io/event_log.h"
#include "io/fleet_settings_json.h"
#include "io/http_messages.h"
#include "io/read_file.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <unistd.h>

using namespace eelgrassloft;
using namespace eelgrassloft::io;

namespace {

std::string workerReportWith(const std::string& rest)
{
    return R"({"name":"w","incarnation":1,"sequence":1,"rack":"r","capacity":{"processors":1,"memoryMiB":1,"accelerators":0})" + rest + "}";
}

/// A log in a file of its own, which is removed in the end.
class LogFile {
public:
    LogFile()
        : m_path(std::filesystem::temp_directory_path() / ("odd_input_" + std::to_string(::getpid()) + ".log"))
    {
        std::filesystem::remove(m_path);
    }
    ~LogFile() { std::filesystem::remove(m_path); }

    std::string path() const { return m_path.string(); }
    std::string text() const { return readFile(m_path.string()).value_or(""); }

private:
    std::filesystem::path m_path;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OddInput)

/// An exception here would end the connection without an answer, and its place would never be free again.
BOOST_AUTO_TEST_CASE(errorsThatQuoteUnreadableBytesAreAnswered)
{
    MessageReader reader;
    for (const char* body : { "\xff\xfe", "{\"name\":\"\xc3\x28\"}", "{\"name\":1,\xff" }) {
        BOOST_TEST(!reader.readAnnouncement(body).has_value());
        BOOST_TEST(Json::accept(errorResponse(http::status::bad_request, reader.lastError()).body()));
        BOOST_TEST(!reader.readReport(body).has_value());
        BOOST_TEST(Json::accept(errorResponse(http::status::bad_request, reader.lastError()).body()));
    }
    BOOST_TEST(Json::accept(errorResponse(http::status::not_found, { ErrorKind::UnknownName, "/\xff", {} }).body()));
    BOOST_TEST(Json::accept(refusalResponse(RefusalReason::Malformed, "\xff").body()));
}

/// The path of the error is made of names from the text, which may look like positions in a list.
BOOST_AUTO_TEST_CASE(unknownFieldsNamedLikeAPositionAreRefused)
{
    MessageReader reader;
    for (const char* field : { "[", "[x", "[99999999999999999999999", "[0", "a.b", ".", "a[", "" }) {
        const std::string body = workerReportWith(",\"a\":\"x /* y\",\"" + std::string(field) + "\":1");
        BOOST_TEST(!reader.readReport(body).has_value(), field);
        BOOST_TEST(name(reader.lastError().kind) == "unknown-field", field);
    }
}

BOOST_AUTO_TEST_CASE(refusalsOfLongInputAreShort)
{
    MessageReader reader;
    const std::string longText(1UL << 20, 'x');
    for (const std::string& body : { workerReportWith(",\"" + longText + "\":1"), workerReportWith(",\"" + longText), longText }) {
        BOOST_TEST(!reader.readReport(body).has_value());
        BOOST_TEST(errorResponse(http::status::bad_request, reader.lastError()).body().size() < 1000U);
    }
}

BOOST_AUTO_TEST_CASE(deeplyNestedInputIsRefused)
{
    MessageReader reader;
    constexpr size_t depth = 100'000;
    const std::string lists = std::string(depth, '[') + std::string(depth, ']');
    std::string objects;
    for (size_t i = 0; i < depth; ++i)
        objects += "{\"a\":";
    objects += "1" + std::string(depth, '}');
    for (const std::string& nested : { lists, objects }) {
        BOOST_TEST(!reader.readReport(nested).has_value());
        for (const char* field : { "name", "incarnation", "sequence", "rack", "capacity", "leaving", "tasks", "unknown" })
            BOOST_TEST(!reader.readReport("{\"" + std::string(field) + "\":" + nested + "}").has_value(), field);
        for (const char* field : { "name", "service", "address", "port", "slots", "connections", "leaving", "unknown" })
            BOOST_TEST(!reader.readAnnouncement("{\"" + std::string(field) + "\":" + nested + "}").has_value(), field);
        BOOST_TEST(!reader.readCancel("{\"dataCentre\":\"d\",\"jobs\":[" + nested + "]}", { "d" }).has_value());
    }
}

BOOST_AUTO_TEST_CASE(logLinesOfRepeatedOddInputAreFewAndShort)
{
    const LogFile file;
    EventLog log(file.path(), "info");
    const std::string message = "invalid \xff\x01 text " + std::string(1UL << 20, 'x');
    for (int i = 0; i < 1000; ++i)
        log.writeError("report-unreadable", { ErrorKind::Syntax, message, "correct it" });
    const std::string text = file.text();
    const auto lines = std::count(text.begin(), text.end(), '\n');
    BOOST_TEST(lines >= 1);
    BOOST_TEST(lines <= 300); // The limit of 100 lines a second, for a test that takes up to three.
    BOOST_TEST(text.size() < 1000U * static_cast<size_t>(lines));
    EventLog other({}, "error");
}

/// The JSON library reports these numbers by another exception than errors of syntax.
BOOST_AUTO_TEST_CASE(numbersBeyondAnyTypeAreRefused)
{
    MessageReader reader;
    FleetSettingsReader settingsReader;
    for (const char* number : { "1e400", "-1e400" }) {
        BOOST_CHECK_NO_THROW(BOOST_TEST(!reader.readReport(workerReportWith(",\"unknown\":" + std::string(number))).has_value()));
        BOOST_CHECK_NO_THROW(BOOST_TEST(!reader.readCancel("{\"dataCentre\":" + std::string(number) + "}", { "d" }).has_value()));
        BOOST_CHECK_NO_THROW(BOOST_TEST(!settingsReader.read("{\"remoteFactor\":" + std::string(number) + "}").has_value()));
    }
}

BOOST_AUTO_TEST_CASE(announcementWithAnOddPortIsRefused)
{
    MessageReader reader;
    const auto announcement = [](const std::string& port) { return R"({"name":"u","service":"s","address":"10.0.0.1","slots":1,"port":)" + port + "}"; };
    for (const char* port : { "0", "65536", "4294967376", "-1", "1.5", "1e30", "1e400", "99999999999999999999", "\"80\"", "null", "" })
        BOOST_TEST(!reader.readAnnouncement(announcement(port)).has_value(), port);
    BOOST_TEST(reader.readAnnouncement(announcement("65535")).has_value());
}

/// A host that can't read the list would not start, or would go on without its changes.
BOOST_AUTO_TEST_CASE(oddSeedLeavesTheOthersInForce)
{
    const auto settings = [](const std::string& seeds) {
        return R"({"address":"10.0.0.1","dataCentre":"d","linkPort":1,"seeds":[)" + seeds + "]}";
    };
    constexpr size_t depth = 100'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    for (const std::string& odd : std::vector<std::string> { "\"10.0.0.3:65536\"", "\"10.0.0.3:4294967376\"", "\"10.0.0.3:0\"", "\"10.0.0.3:-1\"", "\"10.0.0.3\"", "\"\"", "\"host:80\"", "\"::1:80\"",
             "8", "null", "1e300", "{}", nested }) {
        FleetSettingsReader reader;
        const auto read = reader.read(settings("\"10.0.0.2:80\"," + odd));
        BOOST_REQUIRE_MESSAGE(read.has_value(), odd.substr(0, 30));
        BOOST_TEST(read->node.seeds.size() == 1U);
        BOOST_TEST(read->ignoredSeeds.size() == 1U);
        BOOST_TEST(!reader.read(settings(odd)).has_value()); // Without a usable seed there is nothing to follow.
    }
}

BOOST_AUTO_TEST_SUITE_END()
