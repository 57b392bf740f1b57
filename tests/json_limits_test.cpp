#include "io/json_limits.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::io;

using Json = nlohmann::json;

namespace {

std::string nested(size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

uint64_t countValues(const Json& json)
{
    uint64_t count = 1;
    if (json.is_structured()) {
        for (const Json& value : json)
            count += countValues(value);
    }
    return count;
}

} // namespace

// A body of legal size took up to 100 times its size once it was parsed.
BOOST_AUTO_TEST_SUITE(JsonLimitTests)

BOOST_AUTO_TEST_CASE(noValueOfAValidTextIsMissed)
{
    for (const char* text : { "1", "[]", "{}", "[1]", "[1,2,3]", R"({"a":1})", R"({"a":[1,{"b":[]}],"c":"x,y[{"})", R"(["\"",1,"\\",2])", R"([[],[],[[]]])", " [ 1 , { \"a\" : null } ] " }) {
        const Json json = Json::parse(text);
        BOOST_TEST(measureJson(text).values >= countValues(json), text);
        BOOST_TEST(measureJson(text).values <= 2 * countValues(json), text);
    }
}

BOOST_AUTO_TEST_CASE(signsInStringsAreNoValues)
{
    BOOST_TEST(measureJson(R"(["[[,,,{\",,[["])").values == 2U);
    BOOST_TEST(measureJson(R"(["[[,,,{\",,[["])").depth == 1U);
}

/// A quotation mark in a comment would have hidden everything behind it.
BOOST_AUTO_TEST_CASE(commentsHideNoValues)
{
    BOOST_TEST(measureJson("/* \" */ [1,2,3]").values == 4U);
    BOOST_TEST(measureJson("// \" \n[1,2,3]").values == 4U);
    BOOST_TEST(measureJson("[1] /* x").values == 2U);
    BOOST_TEST(measureJson("[1] // x").values == 2U);
    BOOST_TEST(measureJson("[1] /").values == 2U);
    BOOST_TEST(measureJson("[\"\\").values == 2U);
}

BOOST_AUTO_TEST_CASE(depthIsBounded)
{
    BOOST_CHECK_NO_THROW(parseWithin(nested(32), { 1000 }));
    BOOST_CHECK_THROW(parseWithin(nested(33), { 1000 }), JsonLimitExceeded);
    BOOST_CHECK_THROW(parseWithin(std::string(1000000, '['), { 2000000 }), JsonLimitExceeded);
}

BOOST_AUTO_TEST_CASE(numberOfValuesIsBounded)
{
    std::string text = "[1";
    for (size_t i = 1; i < 100; ++i)
        text += ",1";
    text += "]";
    BOOST_TEST(parseWithin(text, { 101 }).size() == 100U);
    BOOST_CHECK_THROW(parseWithin(text, { 100 }), JsonLimitExceeded);
}

BOOST_AUTO_TEST_CASE(deepValuesAreSkippedWhereUnknownMembersAre)
{
    const JsonLimits limits { 100, 4, DeepValues::Ignore };
    const Json json = parseWithin("{\"known\":7,\"other\":" + nested(100000) + ",\"last\":[8]}", limits);
    BOOST_TEST(json.at("known") == 7);
    BOOST_TEST(json.at("last").at(0) == 8);
    BOOST_TEST(countValues(json) < 10U);
    std::string wide = "[[[[[1";
    for (size_t i = 0; i < 1000; ++i)
        wide += ",1";
    BOOST_TEST(countValues(parseWithin(wide + "]]]]]", limits)) < 10U);
    BOOST_CHECK_THROW(parseWithin("[[[[[1]]]]", limits), Json::parse_error);
    BOOST_TEST(parseWithin(R"([[[[{"a":"]}"},[],7],{"b":{"c":8}}]]])", limits).dump() == R"([[[[null,null,7],{"b":null}]]])");
    BOOST_CHECK_THROW(parseWithin(std::string(2000000, '[') + std::string(1999999, ']'), limits), Json::parse_error);
}

BOOST_AUTO_TEST_CASE(legalTextsAreFarBelowTheLimits)
{
    Json step { { "count", 1 }, { "cpu", 100 }, { "memMb", 100 }, { "gpu", 0 }, { "estMs", 100 }, { "deps", std::vector<int>(63, 1) }, { "label", "ssd" } };
    Json job { { "spec", std::string(4000, 'x') }, { "phases", std::vector<Json>(64, step) } };
    BOOST_TEST(measureJson(job.dump()).values < config::maxJobJsonValues / 4);
    Json route = Json::object();
    for (int field = 0; field < 20; ++field)
        route["field-" + std::to_string(field)] = field;
    Json configuration { { "version", 1 }, { "routes", std::vector<Json>(10000, route) }, { "services", Json::array() } };
    BOOST_TEST(measureJson(configuration.dump()).values < config::maxConfigJsonValues / 4);
}

BOOST_AUTO_TEST_SUITE_END()
