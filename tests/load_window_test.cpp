#include "io/load_window.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using namespace std::chrono_literals;

namespace {

const LoadWindow::TimePoint start { 1h };

std::string valueOf(const std::vector<LogField>& fields, std::string_view key)
{
    for (const LogField& field : fields) {
        if (field.key == key)
            return field.value;
    }
    return "missing";
}

struct Fixture {
    Fixture() { load.finish(start, 0); }

    LoadWindow load;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LoadWindowTests, Fixture)

BOOST_AUTO_TEST_CASE(windowWithoutADelayHasNoLine)
{
    load.addStep(FleetEventKind::Tick, config::delayToLog - 1ms);
    load.addDuration(FleetTimer::MailboxWait, config::delayToLog - 1ms);
    BOOST_TEST(load.finish(start + 1s, 0).empty());
}

BOOST_AUTO_TEST_CASE(delayIsDescribedOnceAtTheEndOfItsWindow)
{
    load.addStep(FleetEventKind::Tick, 2ms);
    load.addStep(FleetEventKind::MessageReplica, 3ms);
    load.addStep(FleetEventKind::MessageReplica, 4ms);
    load.addDuration(FleetTimer::AcknowledgementAge, config::delayToLog);
    BOOST_TEST(load.finish(start + 999ms, 7).empty());
    const std::vector<LogField> fields = load.finish(start + 1s, 7);
    BOOST_TEST(valueOf(fields, "steps") == "3");
    BOOST_TEST(valueOf(fields, "stepsMs") == "9");
    BOOST_TEST(valueOf(fields, "longestStepMs") == "4");
    BOOST_TEST(valueOf(fields, "busiest") == "replica");
    BOOST_TEST(valueOf(fields, "busiestSteps") == "2");
    BOOST_TEST(valueOf(fields, "queued") == "7");
    BOOST_TEST(valueOf(fields, "ackAgeMs") == "50");
    BOOST_TEST(load.finish(start + 2s, 0).empty());
}

BOOST_AUTO_TEST_SUITE_END()
