#include "snapshot_parts.h"

#include "work_table.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;

namespace {

struct Inner {
    std::vector<std::string> words;
    uint64_t count = 0;

    static constexpr auto members() { return std::make_tuple(&Inner::words, &Inner::count); }
    friend bool operator==(const Inner&, const Inner&) = default;
};

struct Outer {
    uint64_t version = 0;
    std::map<uint64_t, std::string> texts;
    Inner inner;
    std::string name;
    std::map<std::string, uint64_t> numbers;

    static constexpr auto members() { return std::make_tuple(&Outer::version, &Outer::texts, &Outer::inner, &Outer::name, &Outer::numbers); }
    friend bool operator==(const Outer&, const Outer&) = default;
};

Outer exampleState(size_t elements)
{
    Outer state { 7, {}, { {}, 3 }, "name", {} };
    for (size_t i = 0; i < elements; ++i) {
        state.texts[i] = std::string(i % 50, 'x');
        state.inner.words.push_back(std::string(i % 7, 'y'));
        state.numbers[std::to_string(i)] = i;
    }
    return state;
}

/// Copies a state part by part, and returns it with the number of parts.
std::pair<Outer, size_t> copyInParts(const Outer& state, size_t maxBytes)
{
    StatePart<Outer> part = copyPart(state, {}, maxBytes);
    Outer copy = std::move(part.state);
    size_t parts = 1;
    for (; part.next; ++parts) {
        const size_t largestElement = 64;
        part = copyPart(state, *part.next, maxBytes);
        BOOST_REQUIRE(encodedSize(part.state) <= maxBytes + largestElement + encodedSize(Outer {}));
        appendPart(copy, std::move(part.state));
    }
    return { std::move(copy), parts };
}

} // namespace

BOOST_AUTO_TEST_SUITE(SnapshotPartsTests)

BOOST_AUTO_TEST_CASE(partsOfAnySizeMakeTheWholeState)
{
    for (const size_t elements : { 0U, 1U, 2U, 99U, 1000U }) {
        const Outer state = exampleState(elements);
        for (const size_t maxBytes : { size_t { 1 }, size_t { 100 }, size_t { 4096 }, encodedSize(state) }) {
            const auto [copy, parts] = copyInParts(state, maxBytes);
            BOOST_TEST((copy == state));
            BOOST_TEST((maxBytes > 1 || parts == std::max<size_t>(elements * 3, 1)));
            BOOST_TEST((maxBytes < encodedSize(state) || parts == 1));
        }
    }
}

BOOST_AUTO_TEST_CASE(jobsAndWorkersOfATableGoInParts)
{
    WorkTable table;
    FleetConfig config;
    config.version = 1;
    config.queues.emplace_back().name = "queue";
    table.apply({}, SetFleetConfig { config });
    WorkSpec work;
    work.text = std::string(4000, 'x');
    work.steps.emplace_back();
    for (uint64_t key = 1; key <= 500; ++key)
        table.apply({}, SubmitWork { JobKey { key }, "queue", work });
    StatePart<WorkTable> part = copyPart(table, {}, 256UL * 1024);
    WorkTable copy = std::move(part.state);
    while (part.next) {
        part = copyPart(table, *part.next, 256UL * 1024);
        appendPart(copy, std::move(part.state));
    }
    copy.rebuild();
    BOOST_TEST(copy.jobs().size() == 500U);
    BOOST_TEST(copy.openJobs().size() == 500U);
    BOOST_TEST(copy.config().version == 1U);
    BOOST_TEST(encodedSize(copy) == encodedSize(table));
}

BOOST_AUTO_TEST_SUITE_END()
